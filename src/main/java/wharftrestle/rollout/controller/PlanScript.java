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
    RolloutPlan plan, Map<String, String> fronts, double window, double watch, String text) {
  private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";
  private static final long LONGEST = 256 * 1024;

  /** Windows of a box that a judge needs before it is changed. */
  private static final int LEAST_WINDOWS = 8;

  private static final Map<String, List<String>> WORDS = new LinkedHashMap<>();

  static {
    WORDS.put("box", List.of("name", "zone", "keeper", "tenants", "front"));
    WORDS.put("stage", List.of("boxes", "share", "spread", "hold"));
    WORDS.put(
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
      WORDS.put(measure.word(), List.of("limit"));
    }
  }

  private record Limit(CanaryMetric measure, double value) {}

  /**
   * Reads a plan.
   *
   * @throws BadSettingsException in one line
   */
  public static PlanScript read(Path file) throws BadSettingsException {
    try {
      if (Files.size(file) > LONGEST) {
        throw new BadSettingsException(file + ": longer than " + LONGEST + " bytes");
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
      return reader.whole(text);
    } catch (RefusedException wrong) {
      throw new BadSettingsException(name, wrong.place(), wrong.getMessage());
    }
  }

  private static final class Reader implements Scripts.Words {
    private final Map<String, RolloutPlan.Box> boxes = new LinkedHashMap<>();
    private final Map<String, String> fronts = new LinkedHashMap<>();
    private Scripts.Call change;
    private List<RolloutPlan.Stage> stages;
    private Map<CanaryMetric, Double> limits;

    @Override
    public List<String> values(String word) {
      return WORDS.get(word);
    }

    @Override
    public Object called(Scripts.Call call) throws RefusedException {
      switch (call.word()) {
        case "box" -> {
          box(call);
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
              measure, call.number("limit", measure.limit(), 1e-4, measure.part() ? 1 : 1e6));
        }
      }
    }

    private static CanaryMetric measure(String word) {
      return CanaryMetric.valueOf(word.toUpperCase(Locale.ROOT));
    }

    private void box(Scripts.Call call) throws RefusedException {
      String name = call.text("name", null, NAME, "a name of letters, digits, '.', '_' and '-'");
      if (boxes.containsKey(name)) {
        throw new RefusedException(call.place(), "box " + name + " stands twice");
      }
      String keeper = address(call, "keeper", true);
      String front = address(call, "front", false);
      if (boxes.values().stream().anyMatch(each -> each.keeper().equals(keeper))) {
        throw new RefusedException(
            call.values().get("keeper").place(), "the keeper at " + keeper + " has another box");
      }
      if (!front.isEmpty()) {
        fronts.put(name, front);
      }
      boxes.put(
          name,
          new RolloutPlan.Box(
              name, call.text("zone", "", NAME, "a zone's name"), keeper, tenants(call)));
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
          all.put(measure, measure.limit());
        }
        return all;
      }
      for (Object each : call.list("worse", null)) {
        if (!(each instanceof Limit limit)) {
          throw new RefusedException(
              call.values().get("worse").place(),
              "change.worse: expected measures, such as worth(0.03), got " + each);
        }
        if (all.put(limit.measure(), limit.value()) != null) {
          throw new RefusedException(
              call.values().get("worse").place(),
              "change.worse: " + limit.measure().word() + " stands twice");
        }
      }
      return all;
    }

    private PlanScript whole(String text) throws RefusedException {
      Place at = change.place();
      if (boxes.isEmpty()) {
        throw new RefusedException(at, "there is no box: name each with box(name, zone, keeper)");
      }
      int before = 0;
      for (RolloutPlan.Stage stage : stages) {
        int target = stage.target(boxes.size());
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
      double watch = change.number("watch", LEAST_WINDOWS * window + 20, 0, 86_400);
      if (watch < LEAST_WINDOWS * window && !limits.isEmpty()) {
        throw new RefusedException(
            change.values().get("watch").place(),
            "change.watch: expected "
                + LEAST_WINDOWS
                + " windows at least, or nothing can be compared: "
                + LEAST_WINDOWS * window
                + " s");
      }
      RolloutPlan plan =
          new RolloutPlan(
              change.text("to", null, NAME, "the name of a release"),
              List.copyOf(boxes.values()),
              List.copyOf(stages),
              limits,
              change.number("errors", 0.05, 1e-6, 0.5),
              (int) change.number("most_away", 1, 1, 1000),
              (int) change.number("tries", 2, 1, 100),
              change.number("warm", 30, 0, 3600),
              change.number("patience", 1800, 0, 86_400),
              RolloutPlan.WhenCut.valueOf(
                  change
                      .text("when_cut", "hold", "hold|go", "\"hold\" or \"go\"")
                      .toUpperCase(Locale.ROOT)),
              RolloutPlan.WhenWorse.valueOf(
                  change
                      .text("when_worse", "back", "back|hold", "\"back\" or \"hold\"")
                      .toUpperCase(Locale.ROOT)));
      return new PlanScript(plan, fronts, window, watch, text);
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
  public List<String> warnings(double longestWindow) {
    List<String> all = new ArrayList<>();
    Set<String> zones = new HashSet<>();
    plan.boxes().forEach(box -> zones.add(box.zone()));
    for (int i = 0; i + 1 < plan.stages().size(); i++) {
      if (plan.stages().get(i).hold() < longestWindow) {
        all.add(
            String.format(
                Locale.ROOT,
                "stage %d holds %.0f s, less than the longest window of keys (%.0f s): what "
                    + "shows only after it shows in no stage",
                i + 1,
                plan.stages().get(i).hold(),
                longestWindow));
      }
    }
    if (zones.size() > 1 && plan.stages().stream().noneMatch(RolloutPlan.Stage::spread)) {
      all.add("no stage spreads over zones: a whole zone may go first");
    }
    if (plan.limits().isEmpty()) {
      all.add("nothing is compared: only deaths and broken rules stop the change");
    }
    return all;
  }
}
