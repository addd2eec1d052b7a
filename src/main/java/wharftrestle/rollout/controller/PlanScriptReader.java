package wharftrestle.rollout.controller;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharftrestle.rollout.CanaryCriteria;
import wharftrestle.rollout.CanaryMetric;
import wharftrestle.rollout.RolloutPlan;
import wharftrestle.settings.BadSettingsException;
import wharftrestle.settings.Scripts;
import wharftrestle.settings.Scripts.RefusedException;
import wharftrestle.transport.Address;

/**
 * Reads a plan's script, which calls {@code box(...)} for each host of the fleet and {@code
 * change(...)} once. Maps the published functions and parameters of the script to {@link
 * RolloutPlan} and checks the ranges of their values. Created for one script.
 */
final class PlanScriptReader implements Scripts.Words {
  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";
  private static final int DAY_SECONDS = 86_400;

  /** Number of windows that the canary analysis needs of a host before the host is changed. */
  private static final int MIN_BASELINE_WINDOWS = 8;

  private static final double DEFAULT_WINDOW_SECONDS = 10;

  /** Seconds in addition to the baseline windows, until all daemons have reported. */
  private static final double OBSERVATION_MARGIN_SECONDS = 20;

  private static final Map<String, RolloutPlan.UnreachablePolicy> UNREACHABLE_POLICIES =
      Map.of(
          "hold", RolloutPlan.UnreachablePolicy.HOLD,
          "go", RolloutPlan.UnreachablePolicy.CONTINUE);

  private static final Map<String, RolloutPlan.RegressionPolicy> REGRESSION_POLICIES =
      Map.of(
          "back", RolloutPlan.RegressionPolicy.ROLL_BACK,
          "hold", RolloutPlan.RegressionPolicy.HOLD);

  private static final Map<String, List<String>> PARAMETERS = new LinkedHashMap<>();

  static {
    PARAMETERS.put("box", List.of("name", "zone", "keeper", "tenants", "front"));
    PARAMETERS.put("stage", List.of("boxes", "share", "spread", "hold"));
    PARAMETERS.put(
        "change",
        List.of(
            "to",
            "stages",
            "worse",
            "most_away",
            "when_cut",
            "when_worse",
            "errors",
            "tries",
            "warm",
            "patience",
            "window",
            "watch"));
    for (CanaryMetric metric : CanaryMetric.values()) {
      PARAMETERS.put(metric.publishedName(), List.of("limit"));
    }
  }

  private record Limit(CanaryMetric metric, double value) {}

  private final Map<String, RolloutPlan.Host> hosts = new LinkedHashMap<>();
  private final Map<String, String> clientAddresses = new LinkedHashMap<>();
  private Scripts.Call change;
  private List<RolloutPlan.Stage> stages;
  private Map<CanaryMetric, Double> limits;

  private PlanScriptReader() {}

  /** Reads a script; {@code name} is used in error messages. */
  static PlanScript read(String name, String text) throws BadSettingsException {
    PlanScriptReader reader = new PlanScriptReader();
    Scripts.run(name, text, reader);
    if (reader.change == null) {
      throw new BadSettingsException(name + ": has no change(to = ..., stages = [...])");
    }
    try {
      return reader.toPlanScript(text);
    } catch (RefusedException wrong) {
      throw new BadSettingsException(name, wrong.place(), wrong.getMessage());
    }
  }

  @Override
  public List<String> values(String word) {
    return PARAMETERS.get(word);
  }

  @Override
  public Object called(Scripts.Call call) throws RefusedException {
    switch (call.word()) {
      case "box" -> {
        addHost(call);
        return null;
      }
      case "stage" -> {
        return stage(call);
      }
      case "change" -> {
        setChange(call);
        return null;
      }
      default -> {
        return limit(call);
      }
    }
  }

  // ---- box(...) ----

  private void addHost(Scripts.Call call) throws RefusedException {
    String name =
        call.text("name", null, NAME_PATTERN, "a name of letters, digits, '.', '_' and '-'");
    if (hosts.containsKey(name)) {
      throw new RefusedException(call.place(), "box " + name + " is defined twice");
    }
    String supervisor = address(call, "keeper");
    String clientAddress = call.values().containsKey("front") ? address(call, "front") : "";
    if (hosts.values().stream().anyMatch(each -> each.supervisor().equals(supervisor))) {
      throw refused(call, "keeper", "box.keeper: " + supervisor + " is used by another box");
    }
    if (!clientAddress.isEmpty()) {
      clientAddresses.put(name, clientAddress);
    }
    String zone = call.text("zone", "", NAME_PATTERN, "a zone's name");
    hosts.put(name, new RolloutPlan.Host(name, zone, supervisor, tenants(call)));
  }

  private static String address(Scripts.Call call, String parameter) throws RefusedException {
    Scripts.Value value = call.need(parameter);
    InetSocketAddress address = value.value() instanceof String text ? Address.of(text) : null;
    if (address == null) {
      throw new RefusedException(
          value.place(),
          call.word()
              + "."
              + parameter
              + ": expected an address as \"HOST:PORT\", with a numeric host, got "
              + value.value());
    }
    return (String) value.value();
  }

  private static List<String> tenants(Scripts.Call call) throws RefusedException {
    List<String> tenants = new ArrayList<>();
    for (Object each : call.list("tenants", List.of())) {
      if (!(each instanceof String tenant) || tenant.isEmpty()) {
        throw refused(call, "tenants", "box.tenants: expected names, got " + each);
      }
      tenants.add(tenant);
    }
    return List.copyOf(tenants);
  }

  private static RefusedException refused(Scripts.Call call, String parameter, String message) {
    return new RefusedException(call.values().get(parameter).place(), message);
  }

  // ---- stage(...) and the metrics ----

  private static RolloutPlan.Stage stage(Scripts.Call call) throws RefusedException {
    boolean isCounted = call.values().containsKey("boxes");
    if (isCounted == call.values().containsKey("share")) {
      throw new RefusedException(call.place(), "stage needs boxes or share, and not both");
    }
    String spread = call.text("spread", "", "zone", "\"zone\"");
    return new RolloutPlan.Stage(
        isCounted ? (int) call.number("boxes", Double.NaN, 1, 100_000) : 0,
        isCounted ? 0 : call.number("share", Double.NaN, 1e-6, 1),
        !spread.isEmpty(),
        call.number("hold", 60, 0, DAY_SECONDS));
  }

  private static Limit limit(Scripts.Call call) throws RefusedException {
    CanaryMetric metric = CanaryMetric.ofPublishedName(call.word());
    double maxLimit = metric.isFraction() ? 1 : 1e6;
    return new Limit(metric, call.number("limit", metric.defaultLimit(), 1e-4, maxLimit));
  }

  // ---- change(...) ----

  private void setChange(Scripts.Call call) throws RefusedException {
    if (change != null) {
      throw new RefusedException(call.place(), "change is defined twice");
    }
    change = call;
    stages = stages(call);
    limits = limits(call);
  }

  private static List<RolloutPlan.Stage> stages(Scripts.Call call) throws RefusedException {
    List<RolloutPlan.Stage> stages = new ArrayList<>();
    for (Object each : call.list("stages", null)) {
      if (!(each instanceof RolloutPlan.Stage stage)) {
        throw refused(
            call,
            "stages",
            "change.stages: expected stages, such as stage(boxes = 1, hold = 120), got " + each);
      }
      stages.add(stage);
    }
    if (stages.isEmpty()) {
      throw refused(call, "stages", "change.stages: expected one at least");
    }
    return stages;
  }

  private static Map<CanaryMetric, Double> limits(Scripts.Call call) throws RefusedException {
    Map<CanaryMetric, Double> limits = new EnumMap<>(CanaryMetric.class);
    if (!call.values().containsKey("worse")) {
      for (CanaryMetric metric : CanaryMetric.values()) {
        limits.put(metric, metric.defaultLimit());
      }
      return limits;
    }
    for (Object each : call.list("worse", null)) {
      if (!(each instanceof Limit limit)) {
        throw refused(
            call, "worse", "change.worse: expected measures, such as worth(0.03), got " + each);
      }
      if (limits.put(limit.metric(), limit.value()) != null) {
        String name = limit.metric().publishedName();
        throw refused(call, "worse", "change.worse: " + name + " is given twice");
      }
    }
    return limits;
  }

  private PlanScript toPlanScript(String text) throws RefusedException {
    if (hosts.isEmpty()) {
      throw new RefusedException(
          change.place(), "there is no box: name each with box(name, zone, keeper)");
    }
    checkStagesGrow();
    double windowSeconds = change.number("window", DEFAULT_WINDOW_SECONDS, 0.5, 600);
    double observationSeconds = observationSeconds(MIN_BASELINE_WINDOWS * windowSeconds);
    return new PlanScript(plan(), clientAddresses, windowSeconds, observationSeconds, text);
  }

  private void checkStagesGrow() throws RefusedException {
    int before = 0;
    for (RolloutPlan.Stage stage : stages) {
      int target = stage.targetHosts(hosts.size());
      if (target <= before) {
        throw refused(
            change,
            "stages",
            "change.stages: a stage of "
                + target
                + " hosts comes after one of "
                + before
                + ", expected more");
      }
      before = target;
    }
  }

  private double observationSeconds(double baselineSeconds) throws RefusedException {
    double seconds =
        change.number("watch", baselineSeconds + OBSERVATION_MARGIN_SECONDS, 0, DAY_SECONDS);
    if (seconds < baselineSeconds && !limits.isEmpty()) {
      throw refused(
          change,
          "watch",
          "change.watch: expected "
              + MIN_BASELINE_WINDOWS
              + " windows at least, or nothing can be compared: "
              + baselineSeconds
              + " s");
    }
    return seconds;
  }

  private RolloutPlan plan() throws RefusedException {
    String targetRelease = change.text("to", null, NAME_PATTERN, "the name of a release");
    double errorProbability = change.number("errors", 0.05, 1e-6, 0.5);
    int maxUnavailable = (int) change.number("most_away", 1, 1, 1000);
    int maxAttempts = (int) change.number("tries", 2, 1, 100);
    double warmUpSeconds = change.number("warm", 30, 0, 3600);
    double verdictTimeoutSeconds = change.number("patience", 1800, 0, DAY_SECONDS);
    String unreachablePolicy = change.text("when_cut", "hold", "hold|go", "\"hold\" or \"go\"");
    String regressionPolicy =
        change.text("when_worse", "back", "back|hold", "\"back\" or \"hold\"");
    return new RolloutPlan(
        targetRelease,
        List.copyOf(hosts.values()),
        List.copyOf(stages),
        new CanaryCriteria(limits, errorProbability, warmUpSeconds),
        maxUnavailable,
        maxAttempts,
        verdictTimeoutSeconds,
        UNREACHABLE_POLICIES.get(unreachablePolicy),
        REGRESSION_POLICIES.get(regressionPolicy));
  }
}
