package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.tinylog.Logger;
import wharftrestle.rollout.RolloutPlan;

/**
 * Queries every supervisor, before the first order, for the holder of the lease and for whether its
 * host can change to the release and be rolled back. Created for one use by {@link
 * RolloutController#check}.
 */
final class PreflightCheck {
  /** Seconds after its last heartbeat for which another controller is considered alive. */
  private static final double CONTROLLER_ALIVE_SECONDS = 10;

  private static final int MAX_DISPLAYED_OBJECTIONS = 5;

  private record HostAnswers(JsonNode status, JsonNode release) {}

  private final RolloutPlan plan;
  private final RolloutExecution execution;
  private final SupervisorClient supervisors;
  private final Set<String> endedControllers;
  private final boolean isResuming;
  private final boolean takesOver;
  private final List<String> objections = new ArrayList<>();
  private String firstBuild = "";

  /**
   * @param endedControllers names of controllers that have ended, even if a supervisor still
   *     reports one as the holder
   * @param isResuming true if the releases were checked when the rollout began
   * @param takesOver true to replace a controller that is alive
   */
  PreflightCheck(
      RolloutPlan plan,
      RolloutExecution execution,
      SupervisorClient supervisors,
      Set<String> endedControllers,
      boolean isResuming,
      boolean takesOver) {
    this.plan = plan;
    this.execution = execution;
    this.supervisors = supervisors;
    this.endedControllers = endedControllers;
    this.isResuming = isResuming;
    this.takesOver = takesOver;
  }

  /**
   * Queries all supervisors concurrently.
   *
   * @throws RolloutRefusedException with every objection
   */
  void run() throws RolloutRefusedException, InterruptedException {
    Map<String, HostAnswers> answers = queryAll();
    if (!isResuming && answers.size() * 2 <= plan.hosts().size()) {
      objections.add(
          answers.size()
              + " of "
              + plan.hosts().size()
              + " supervisors answer, which is not more than half");
    }
    for (RolloutPlan.Host host : plan.hosts()) {
      HostAnswers answer = answers.get(host.name());
      if (answer != null) {
        checkStatus(host, answer.status());
        if (!isResuming) {
          checkRelease(host, answer.release());
        }
      }
    }
    if (!objections.isEmpty()) {
      throw new RolloutRefusedException(summary());
    }
  }

  private Map<String, HostAnswers> queryAll() throws InterruptedException {
    Map<String, HostAnswers> answers = new LinkedHashMap<>();
    CountDownLatch pendingQueries = new CountDownLatch(plan.hosts().size());
    for (RolloutPlan.Host host : plan.hosts()) {
      ControllerThreads.start(
          "check " + host.name(),
          () -> {
            try {
              HostAnswers answer = query(host);
              synchronized (answers) {
                answers.put(host.name(), answer);
              }
            } catch (IOException unreachable) {
              Logger.debug(
                  "supervisor does not answer: host={} reason={}",
                  host.name(),
                  unreachable.getMessage());
            } finally {
              pendingQueries.countDown();
            }
          });
    }
    pendingQueries.await();
    return answers;
  }

  private HostAnswers query(RolloutPlan.Host host) throws IOException {
    return new HostAnswers(
        supervisors.hostStatus(host.supervisor()),
        supervisors.checkRelease(host.supervisor(), plan.targetRelease()));
  }

  private void checkStatus(RolloutPlan.Host host, JsonNode status) {
    execution.observeEpoch(status.path("epoch").asLong());
    String name = status.path("name").asText();
    if (!name.equals(host.name())) {
      objections.add(
          "the supervisor at "
              + host.supervisor()
              + " is of host '"
              + name
              + "', expected "
              + host.name());
    }
    String holder = status.path("driver").asText();
    double secondsSinceHeartbeat = status.path("askedAgo").asDouble();
    if (!takesOver
        && !holder.isEmpty()
        && !endedControllers.contains(holder)
        && secondsSinceHeartbeat < CONTROLLER_ALIVE_SECONDS) {
      objections.add(
          String.format(
              Locale.ROOT,
              "%s holds the lease in epoch %d (its last heartbeat to %s was %.1f s ago); "
                  + "--take-over replaces it",
              holder,
              status.path("epoch").asLong(),
              host.name(),
              secondsSinceHeartbeat));
    }
  }

  private void checkRelease(RolloutPlan.Host host, JsonNode release) {
    String unusable = release.path("against").asText();
    String build = release.path("build").asText();
    if (!unusable.isEmpty()) {
      objections.add(host.name() + ": " + unusable);
    } else if (firstBuild.isEmpty()) {
      firstBuild = build;
    } else if (!firstBuild.equals(build)) {
      objections.add(
          host.name()
              + ": its release '"
              + plan.targetRelease()
              + "' contains a different program than that of the first host");
    }
    String irreversible = release.path("back").asText();
    if (!irreversible.isEmpty()
        && plan.regressionPolicy() == RolloutPlan.RegressionPolicy.ROLL_BACK) {
      objections.add(host.name() + " could not be rolled back: " + irreversible);
    }
  }

  private String summary() {
    int displayed = Math.min(MAX_DISPLAYED_OBJECTIONS, objections.size());
    int omitted = objections.size() - displayed;
    return String.join("; ", objections.subList(0, displayed))
        + (omitted > 0 ? "; and " + omitted + " more" : "");
  }
}
