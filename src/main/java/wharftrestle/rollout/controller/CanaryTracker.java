package wharftrestle.rollout.controller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import wharftrestle.rollout.CanaryAnalysis;
import wharftrestle.rollout.RolloutPlan;

/**
 * Passes windows of samples to the canary analysis of one rollout and keeps the latest verdict. The
 * analysis is created as soon as a daemon has reported its request classes. Not thread-safe; used
 * under the lock of {@link RolloutExecution}. Times are seconds of the monotonic clock.
 */
final class CanaryTracker {
  private static final CanaryAnalysis.Verdict NOTHING_COMPARED =
      new CanaryAnalysis.Verdict(
          CanaryAnalysis.Outcome.INCONCLUSIVE, "nothing can be compared yet");

  private final RolloutPlan plan;
  private final double windowSeconds;
  private CanaryAnalysis analysis; // null until request classes are known
  private CanaryAnalysis.Verdict verdict = NOTHING_COMPARED;
  private double windowStartedAt;
  private boolean stageStarted;

  CanaryTracker(RolloutPlan plan, double windowSeconds) {
    this.plan = plan;
    this.windowSeconds = windowSeconds;
  }

  /** Starts the first window. */
  void start(double now) {
    windowStartedAt = now;
  }

  boolean isComparing() {
    return analysis != null;
  }

  CanaryAnalysis.Verdict verdict() {
    return verdict;
  }

  /** The current state of every metric; empty before the analysis is created. */
  List<CanaryAnalysis.Reading> readings() {
    return analysis == null ? List.of() : analysis.readings();
  }

  void beginStage() {
    stageStarted = analysis != null;
    if (analysis != null) {
      analysis.beginStage();
    }
    verdict = NOTHING_COMPARED;
  }

  void onHostRollback(String host, String reason) {
    if (analysis != null) {
      analysis.onHostRollback(host, reason);
      verdict = analysis.verdict();
    }
  }

  void onDaemonDeath(String host, boolean onNewRelease) {
    if (analysis != null) {
      analysis.onDaemonDeath(host, onNewRelease);
      verdict = analysis.verdict();
    }
  }

  /** Fails the stage for a broken rule. Requires {@link #isComparing}. */
  void onViolation(String host, String violated) {
    analysis.onViolation(host, violated);
    verdict = analysis.verdict();
  }

  /** Adds the window to the analysis if it has ended; true if the verdict's outcome changed. */
  boolean tick(Map<String, HostView> views, Predicate<String> isReachable, double now) {
    if (analysis == null && !createAnalysis(views)) {
      return false;
    }
    if (now - windowStartedAt < windowSeconds) {
      return false;
    }
    windowStartedAt = now;
    analysis.addWindow(
        views.entrySet().stream()
            .map(
                each ->
                    each.getValue()
                        .sampleWindow(
                            isReachable.test(each.getKey()),
                            plan.targetRelease(),
                            plan.criteria().warmUpSeconds(),
                            now))
            .flatMap(Optional::stream)
            .toList());
    CanaryAnalysis.Verdict next = analysis.verdict();
    boolean changed = next.outcome() != verdict.outcome();
    verdict = next;
    return changed;
  }

  private boolean createAnalysis(Map<String, HostView> views) {
    List<String> requestClasses =
        views.values().stream()
            .map(HostView::requestClasses)
            .filter(each -> !each.isEmpty())
            .findFirst()
            .orElse(List.of());
    if (requestClasses.isEmpty() && !plan.criteria().limits().isEmpty()) {
      return false;
    }
    analysis =
        new CanaryAnalysis(
            plan.criteria().limits(),
            requestClasses,
            plan.stages().size(),
            plan.criteria().errorProbability());
    if (!stageStarted) {
      analysis.beginStage();
    }
    return true;
  }
}
