package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import wharftrestle.rollout.EpochFence;
import wharftrestle.rollout.HostSample;
import wharftrestle.rollout.Rollout;
import wharftrestle.rollout.RolloutPlan;

/**
 * What a driver last heard of one box: it reads the keeper's words and gives them as the decisions
 * take them. It must never take what a keeper obeyed in another epoch for an answer to this one.
 */
final class HostView {
  /** A box at the edge of a window. */
  private record WindowStart(JsonNode reported, double at) {}

  private final RolloutPlan.Host host;
  private JsonNode reported = MissingNode.getInstance();
  private EpochFence.Grant grant = EpochFence.Grant.NONE;
  private String incarnation = "";
  private WindowStart windowStart;
  private JsonNode deaths = MissingNode.getInstance();

  HostView(RolloutPlan.Host host) {
    this.host = host;
  }

  /**
   * Takes what a keeper said; the releases whose daemons have died since the last word, one for
   * each death.
   */
  List<String> update(SupervisorClient.Answer heard) {
    JsonNode now = heard.body().path("box");
    JsonNode died = now.path("deaths");
    String start = heard.body().path("incarnation").asText();
    List<String> releases = new ArrayList<>();
    boolean same = start.equals(incarnation);
    died.fields()
        .forEachRemaining(
            each -> {
              int before = same ? deaths.path(each.getKey()).asInt() : each.getValue().asInt();
              for (int i = before; i < each.getValue().asInt(); i++) {
                releases.add(each.getKey());
              }
            });
    deaths = died;
    incarnation = start;
    reported = now;
    grant = heard.reply().grant();
    return releases;
  }

  String incarnation() {
    return incarnation;
  }

  /** The release that its daemon is; empty for none known. */
  String runningRelease() {
    return reported.path("acts").asText();
  }

  String state() {
    return reported.path("state").asText("unknown");
  }

  String failure() {
    return reported.path("failed").asText();
  }

  /** As a roll sees it, in this epoch. */
  Rollout.ReportedState reportedState(boolean contact, long epoch) {
    boolean ours = grant.epoch() == epoch && !grant.targetRelease().isEmpty();
    // A keeper writes an order down before it carries it out: until then nothing that it shows is
    // an answer to it.
    boolean carried =
        ours
            && reported.path("told").asText().equals(grant.targetRelease())
            && reported.path("attempt").asInt() == grant.attempt();
    return new Rollout.ReportedState(
        contact,
        runningRelease(),
        reported.path("settled").asBoolean(),
        ours ? grant.targetRelease() : "",
        !ours ? 0 : carried ? grant.attempt() : grant.attempt() - 1,
        carried ? failure() : "");
  }

  /**
   * What it did since the last edge of a window, which this is; null where it said too little.
   *
   * @param warm seconds of a daemon's life that do not count
   */
  HostSample sampleWindow(boolean contact, String to, double warm, double now) {
    WindowStart last = windowStart;
    windowStart = new WindowStart(reported, now);
    if (last == null || !reported.has("pid") || !last.reported().has("pid")) {
      return null;
    }
    JsonNode before = last.reported();
    double span = now - last.at();
    boolean same =
        before.path("pid").asLong() == reported.path("pid").asLong()
            && before.path("acts").asText().equals(runningRelease());
    boolean steady =
        contact
            && same
            && reported.path("settled").asBoolean()
            && before.path("settled").asBoolean()
            && reported.path("up").asDouble() - span >= warm;
    List<HostSample.Counts> classes = new ArrayList<>();
    for (int i = 0; same && i < reported.path("classes").size(); i++) {
      JsonNode a = before.path("classes").path(i);
      JsonNode b = reported.path("classes").path(i);
      classes.add(
          new HostSample.Counts(
              b.path("name").asText(),
              grown(a, b, "asked"),
              grown(a, b, "served"),
              grown(a, b, "late"),
              grown(a, b, "refused"),
              grown(a, b, "failed"),
              b.path("worth").asDouble(),
              b.path("lateWorth").asDouble()));
    }
    return new HostSample(
        host.name(),
        host.zone(),
        runningRelease().equals(to),
        steady,
        classes,
        grown(before, reported, "calls"),
        grown(before, reported, "badCalls"),
        reported.path("cpu").asDouble() - before.path("cpu").asDouble(),
        reported.path("ownMb").asDouble(),
        (reported.path("ownMb").asDouble() - before.path("ownMb").asDouble()) * 60 / span);
  }

  private static long grown(JsonNode before, JsonNode after, String what) {
    return Math.max(0, after.path(what).asLong() - before.path(what).asLong());
  }

  /** The classes it told of. */
  List<String> requestClasses() {
    List<String> names = new ArrayList<>();
    reported.path("classes").forEach(each -> names.add(each.path("name").asText()));
    return names;
  }
}
