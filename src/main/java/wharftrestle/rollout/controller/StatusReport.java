package wharftrestle.rollout.controller;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharftrestle.rollout.CanaryAnalysis;
import wharftrestle.rollout.ControllerLease;
import wharftrestle.rollout.MembershipView;
import wharftrestle.rollout.Rollout;
import wharftrestle.rollout.RolloutPlan;

/**
 * Formats a rollout's status with its published names, for operators and scripts. Created for one
 * use, under the lock of {@link RolloutExecution}.
 */
record StatusReport(
    String planDigest,
    RolloutPlan plan,
    Rollout rollout,
    ControllerLease lease,
    CanaryTracker canary,
    MembershipView membership,
    Map<String, HostView> views) {

  /** The status as a JSON object; {@code now} is in seconds of the monotonic clock. */
  Map<String, Object> toMap(double now) {
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("plan", ControllerDirectory.shortDigest(planDigest));
    status.put("to", plan.targetRelease());
    status.put("state", rollout.state().publishedName());
    status.put("why", rollout.reason());
    status.put("stage", rollout.stage() + 1);
    status.put("stages", plan.stages().size());
    status.put("epoch", lease.epoch());
    status.put("driver", lease.controller());
    status.put("steering", lease.state().publishedName());
    status.put("verdict", canary.verdict().outcome().publishedName());
    status.put("verdictWhy", canary.verdict().reason());
    status.put("measures", metrics());
    status.put("boxes", hosts(now));
    return status;
  }

  private List<Map<String, Object>> metrics() {
    List<Map<String, Object>> metrics = new ArrayList<>();
    for (CanaryAnalysis.Reading reading : canary.readings()) {
      Map<String, Object> metric = new LinkedHashMap<>();
      metric.put("measure", reading.metric().publishedName());
      metric.put("about", reading.requestClass());
      metric.put("loss", reading.loss());
      metric.put("least", finiteOrNull(reading.lowerBound()));
      metric.put("most", finiteOrNull(reading.upperBound()));
      metric.put("limit", reading.limit());
      metric.put("windows", reading.windows());
      metrics.add(metric);
    }
    return metrics;
  }

  private List<Map<String, Object>> hosts(double now) {
    List<Map<String, Object>> hosts = new ArrayList<>();
    for (RolloutPlan.Host host : plan.hosts()) {
      MembershipView.HostStatus member = membership.status(host.name()).orElseThrow();
      HostView view = views.get(host.name());
      Map<String, Object> entry = new LinkedHashMap<>();
      entry.put("box", host.name());
      entry.put("zone", host.zone());
      entry.put("acts", view.runningRelease());
      entry.put("state", view.state());
      entry.put("contact", member.reachability().publishedName());
      entry.put("silent", finiteOrNull(now - member.lastHeartbeatAt()));
      entry.put("witness", member.witness());
      entry.put("failed", view.failure());
      hosts.add(entry);
    }
    return hosts;
  }

  private static Double finiteOrNull(double value) {
    return Double.isInfinite(value) ? null : value;
  }
}
