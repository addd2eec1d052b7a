package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import wharftrestle.rollout.EpochFence;
import wharftrestle.rollout.HostSample;
import wharftrestle.rollout.Rollout;
import wharftrestle.rollout.RolloutPlan;

/**
 * The last reported state of one host, from its supervisor's answers, for {@link Rollout} and the
 * canary analysis. Orders accepted in other epochs are ignored. Not thread-safe; used under the
 * lock of {@link RolloutExecution}.
 */
final class HostView {
  private record WindowStart(JsonNode reported, double at) {}

  private final RolloutPlan.Host host;
  private JsonNode reported = MissingNode.getInstance();
  private EpochFence.Grant grant = EpochFence.Grant.NONE;
  private String incarnation = "";
  private WindowStart windowStart;

  HostView(RolloutPlan.Host host) {
    this.host = host;
  }

  /**
   * Updates the view from a supervisor's answer. Deaths before the first answer of an incarnation
   * are ignored.
   *
   * @return the release of each daemon that has died since the last answer, once for each death
   */
  List<String> update(SupervisorClient.Answer answer) {
    JsonNode current = answer.body().path("box");
    boolean sameIncarnation = answer.incarnation().equals(incarnation);
    List<String> deaths =
        sameIncarnation ? newDeaths(reported.path("deaths"), current.path("deaths")) : List.of();
    incarnation = answer.incarnation();
    reported = current;
    grant = answer.reply().grant();
    return deaths;
  }

  private static List<String> newDeaths(JsonNode before, JsonNode after) {
    List<String> releases = new ArrayList<>();
    after
        .fields()
        .forEachRemaining(
            deaths -> {
              String release = deaths.getKey();
              int count = deaths.getValue().asInt() - before.path(release).asInt();
              releases.addAll(Collections.nCopies(Math.max(0, count), release));
            });
    return releases;
  }

  /** The supervisor's incarnation; empty before its first answer. */
  String incarnation() {
    return incarnation;
  }

  /** The release of the daemon, by the daemon's own digest; empty if unknown. */
  String runningRelease() {
    return reported.path("acts").asText();
  }

  /** The supervisor's state by its published name; "unknown" before its first answer. */
  String state() {
    return reported.path("state").asText("unknown");
  }

  /** Why the host rolled its last change back on its own; empty if it did not. */
  String failure() {
    return reported.path("failed").asText();
  }

  /** The names of the request classes; empty until the daemon has reported them. */
  List<String> requestClasses() {
    List<String> names = new ArrayList<>();
    reported.path("classes").forEach(each -> names.add(each.path("name").asText()));
    return names;
  }

  /** The state for {@link Rollout}, with the orders of this epoch only. */
  Rollout.ReportedState reportedState(boolean reachable, long epoch) {
    boolean isOrdered = grant.epoch() == epoch && !grant.targetRelease().isEmpty();
    // A supervisor persists an order before it executes it. What it reports before the execution
    // does not refer to the order.
    boolean isExecuted =
        isOrdered
            && reported.path("told").asText().equals(grant.targetRelease())
            && reported.path("attempt").asInt() == grant.attempt();
    int executedAttempt = isExecuted ? grant.attempt() : grant.attempt() - 1;
    return new Rollout.ReportedState(
        reachable,
        runningRelease(),
        isSettled(reported),
        isOrdered ? grant.targetRelease() : "",
        isOrdered ? executedAttempt : 0,
        isExecuted ? failure() : "");
  }

  private static boolean isSettled(JsonNode reported) {
    return reported.path("settled").asBoolean();
  }

  /**
   * Ends the current window and starts the next one.
   *
   * @param warmUpSeconds after a daemon's start that are not compared
   * @return the sample of the ended window; empty if the host has not reported at both of its ends
   */
  Optional<HostSample> sampleWindow(
      boolean reachable, String newRelease, double warmUpSeconds, double now) {
    WindowStart start = windowStart;
    windowStart = new WindowStart(reported, now);
    if (start == null || !reported.has("pid") || !start.reported().has("pid")) {
      return Optional.empty();
    }
    JsonNode before = start.reported();
    double windowSeconds = now - start.at();
    boolean sameProcess =
        before.path("pid").asLong() == reported.path("pid").asLong()
            && before.path("acts").asText().equals(runningRelease());
    boolean isSteady =
        reachable
            && sameProcess
            && isSettled(before)
            && isSettled(reported)
            && reported.path("up").asDouble() - windowSeconds >= warmUpSeconds;
    double memoryMb = reported.path("ownMb").asDouble();
    return Optional.of(
        new HostSample(
            host.name(),
            host.zone(),
            runningRelease().equals(newRelease),
            isSteady,
            sameProcess ? classCounts(before.path("classes")) : List.of(),
            increase(before, reported, "calls"),
            increase(before, reported, "badCalls"),
            reported.path("cpu").asDouble() - before.path("cpu").asDouble(),
            memoryMb,
            (memoryMb - before.path("ownMb").asDouble()) * 60 / windowSeconds));
  }

  private List<HostSample.Counts> classCounts(JsonNode classesBefore) {
    List<HostSample.Counts> counts = new ArrayList<>();
    for (int i = 0; i < reported.path("classes").size(); i++) {
      JsonNode before = classesBefore.path(i);
      JsonNode after = reported.path("classes").path(i);
      counts.add(
          new HostSample.Counts(
              after.path("name").asText(),
              increase(before, after, "asked"),
              increase(before, after, "served"),
              increase(before, after, "late"),
              increase(before, after, "refused"),
              increase(before, after, "failed"),
              after.path("worth").asDouble(),
              after.path("lateWorth").asDouble()));
    }
    return counts;
  }

  private static long increase(JsonNode before, JsonNode after, String counter) {
    return Math.max(0, after.path(counter).asLong() - before.path(counter).asLong());
  }
}
