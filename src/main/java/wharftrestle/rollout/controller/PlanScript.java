package wharftrestle.rollout.controller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import wharftrestle.rollout.CanaryMetric;
import wharftrestle.rollout.RolloutPlan;
import wharftrestle.settings.BadSettingsException;
import wharftrestle.settings.Place;
import wharftrestle.settings.Scripts;
import wharftrestle.settings.Scripts.RefusedException;
import wharftrestle.transport.Address;

/**
 * The plan of a rolling change, in the settings' language: {@code box(...)} for each box of the
 * fleet, and {@code change(...)} once. It owns the words and their bounds; whatever is wrong is
 * told with line and column before anything starts.
 *
 * @param plan what is decided by
 * @param fronts where callers reach each box, by its name; absent where the script does not say
 * @param window seconds over which boxes are compared
 * @param watch seconds for which the fleet is watched before the first box goes
 * @param text as it was read
 */
public record PlanScript(
    RolloutPlan plan,
    Map<String, String> clientAddresses,
    double windowSeconds,
    double observationSeconds,
    String text) {
  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";
  private static final long MAX_FILE_BYTES = 256 * 1024;

  /** Windows of a box that a judge needs before it is changed. */
  private static final int MIN_BASELINE_WINDOWS = 8;

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
    for (CanaryMetric measure : CanaryMetric.values()) {
      PARAMETERS.put(measure.publishedName(), List.of("limit"));
    }
  }

  private record Limit(CanaryMetric metric, double value) {}

  /**
   * Reads a plan.
   *
   * @throws BadSettingsException in one line
   */
  public static PlanScript read(Path file) throws BadSettingsException {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new BadSettingsException(file + ": longer than " + MAX_FILE_BYTES + " bytes");
      }
      return parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new BadSettingsException(
          file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
    }
  }

  /** The same with a text; the name is for faults. */
  public static PlanScript parse(String name, String text) throws BadSettingsException {
    Reader reader = new Reader();
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

  private static final class Reader implements Scripts.Words {
    private final Map<String, RolloutPlan.Host> hosts = new LinkedHashMap<>();
    private final Map<String, String> clientAddresses = new LinkedHashMap<>();
    private Scripts.Call change;
    private List<RolloutPlan.Stage> stages;
    private Map<CanaryMetric, Double> limits;

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
          if (change != null) {
            throw new RefusedException(call.place(), "change stands twice");
          }
          change = call;
          stages = stages(call);
          limits = limits(call);
          return null;
        }
        default -> {
          CanaryMetric measure = measure(call.word());
          return new Limit(
              measure,
              call.number("limit", measure.defaultLimit(), 1e-4, measure.isFraction() ? 1 : 1e6));
        }
      }
    }

    private static CanaryMetric measure(String word) {
      return CanaryMetric.ofPublishedName(word);
    }

    private void addHost(Scripts.Call call) throws RefusedException {
      String name =
          call.text("name", null, NAME_PATTERN, "a name of letters, digits, '.', '_' and '-'");
      if (hosts.containsKey(name)) {
        throw new RefusedException(call.place(), "box " + name + " stands twice");
      }
      String supervisor = address(call, "keeper", true);
      String clientAddress = address(call, "front", false);
      if (hosts.values().stream().anyMatch(each -> each.supervisor().equals(supervisor))) {
        throw new RefusedException(
            call.values().get("keeper").place(),
            "the keeper at " + supervisor + " has another box");
      }
      if (!clientAddress.isEmpty()) {
        clientAddresses.put(name, clientAddress);
      }
      hosts.put(
          name,
          new RolloutPlan.Host(
              name,
              call.text("zone", "", NAME_PATTERN, "a zone's name"),
              supervisor,
              tenants(call)));
    }

    private static List<String> tenants(Scripts.Call call) throws RefusedException {
      List<String> all = new ArrayList<>();
      for (Object each : call.list("tenants", List.of())) {
        if (!(each instanceof String tenant) || tenant.isEmpty()) {
          throw new RefusedException(
              call.values().get("tenants").place(), "box.tenants: expected names, got " + each);
        }
        all.add(tenant);
      }
      return List.copyOf(all);
    }

    private static RolloutPlan.Stage stage(Scripts.Call call) throws RefusedException {
      boolean counted = call.values().containsKey("boxes");
      if (counted == call.values().containsKey("share")) {
        throw new RefusedException(call.place(), "stage needs boxes or share, and not both");
      }
      String spread = call.text("spread", "", "zone", "\"zone\"");
      return new RolloutPlan.Stage(
          counted ? (int) call.number("boxes", Double.NaN, 1, 100_000) : 0,
          counted ? 0 : call.number("share", Double.NaN, 1e-6, 1),
          !spread.isEmpty(),
          call.number("hold", 60, 0, 86_400));
    }

    private static List<RolloutPlan.Stage> stages(Scripts.Call call) throws RefusedException {
      List<RolloutPlan.Stage> all = new ArrayList<>();
      for (Object each : call.list("stages", null)) {
        if (!(each instanceof RolloutPlan.Stage stage)) {
          throw new RefusedException(
              call.values().get("stages").place(),
              "change.stages: expected stages, such as stage(boxes = 1, hold = 120), got " + each);
        }
        all.add(stage);
      }
      if (all.isEmpty()) {
        throw new RefusedException(
            call.values().get("stages").place(), "change.stages: expected one at least");
      }
      return all;
    }

    private static Map<CanaryMetric, Double> limits(Scripts.Call call) throws RefusedException {
      Map<CanaryMetric, Double> all = new EnumMap<>(CanaryMetric.class);
      if (!call.values().containsKey("worse")) {
        for (CanaryMetric measure : CanaryMetric.values()) {
          all.put(measure, measure.defaultLimit());
        }
        return all;
      }
      for (Object each : call.list("worse", null)) {
        if (!(each instanceof Limit limit)) {
          throw new RefusedException(
              call.values().get("worse").place(),
              "change.worse: expected measures, such as worth(0.03), got " + each);
        }
        if (all.put(limit.metric(), limit.value()) != null) {
          throw new RefusedException(
              call.values().get("worse").place(),
              "change.worse: " + limit.metric().publishedName() + " stands twice");
        }
      }
      return all;
    }

    private PlanScript toPlanScript(String text) throws RefusedException {
      Place at = change.place();
      if (hosts.isEmpty()) {
        throw new RefusedException(at, "there is no box: name each with box(name, zone, keeper)");
      }
      int before = 0;
      for (RolloutPlan.Stage stage : stages) {
        int target = stage.targetHosts(hosts.size());
        if (target <= before) {
          throw new RefusedException(
              change.values().get("stages").place(),
              "change.stages: a stage of "
                  + target
                  + " boxes comes after one of "
                  + before
                  + ", expected more");
        }
        before = target;
      }
      double window = change.number("window", 10, 0.5, 600);
      double watch = change.number("watch", MIN_BASELINE_WINDOWS * window + 20, 0, 86_400);
      if (watch < MIN_BASELINE_WINDOWS * window && !limits.isEmpty()) {
        throw new RefusedException(
            change.values().get("watch").place(),
            "change.watch: expected "
                + MIN_BASELINE_WINDOWS
                + " windows at least, or nothing can be compared: "
                + MIN_BASELINE_WINDOWS * window
                + " s");
      }
      RolloutPlan plan =
          new RolloutPlan(
              change.text("to", null, NAME_PATTERN, "the name of a release"),
              List.copyOf(hosts.values()),
              List.copyOf(stages),
              limits,
              change.number("errors", 0.05, 1e-6, 0.5),
              (int) change.number("most_away", 1, 1, 1000),
              (int) change.number("tries", 2, 1, 100),
              change.number("warm", 30, 0, 3600),
              change.number("patience", 1800, 0, 86_400),
              UNREACHABLE_POLICIES.get(
                  change.text("when_cut", "hold", "hold|go", "\"hold\" or \"go\"")),
              REGRESSION_POLICIES.get(
                  change.text("when_worse", "back", "back|hold", "\"back\" or \"hold\"")));
      return new PlanScript(plan, clientAddresses, window, watch, text);
    }

    private static String address(Scripts.Call call, String name, boolean needed)
        throws RefusedException {
      if (!needed && !call.values().containsKey(name)) {
        return "";
      }
      Scripts.Value value = call.need(name);
      InetSocketAddress at = value.value() instanceof String text ? Address.of(text) : null;
      if (at == null) {
        throw new RefusedException(
            value.place(),
            call.word()
                + "."
                + name
                + ": expected an address as \"HOST:PORT\", with a numeric host, got "
                + value.value());
      }
      return (String) value.value();
    }
  }

  /** What a plan that can be carried out should still be looked at for. */
  public List<String> warnings(double idempotencyWindowSeconds) {
    List<String> all = new ArrayList<>();
    Set<String> zones = new HashSet<>();
    plan.hosts().forEach(box -> zones.add(box.zone()));
    for (int i = 0; i + 1 < plan.stages().size(); i++) {
      if (plan.stages().get(i).holdSeconds() < idempotencyWindowSeconds) {
        all.add(
            String.format(
                Locale.ROOT,
                "stage %d holds %.0f s, less than the longest window of keys (%.0f s): what "
                    + "shows only after it shows in no stage",
                i + 1,
                plan.stages().get(i).holdSeconds(),
                idempotencyWindowSeconds));
      }
    }
    if (zones.size() > 1 && plan.stages().stream().noneMatch(RolloutPlan.Stage::spreadOverZones)) {
      all.add("no stage spreads over zones: a whole zone may go first");
    }
    if (plan.limits().isEmpty()) {
      all.add("nothing is compared: only deaths and broken rules stop the change");
    }
    return all;
  }
}
