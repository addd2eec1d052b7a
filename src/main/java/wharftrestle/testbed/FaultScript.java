package wharftrestle.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wharftrestle.settings.BadSettingsException;
import wharftrestle.settings.Place;
import wharftrestle.settings.Scripts;

/**
 * A fault script, in the language of the settings script: {@code play(seconds = 20, boxes = 3)},
 * then {@code at(4, cut("b2", "front"))}. The whole script is checked before anything starts;
 * errors name line and column.
 *
 * @param run duration and size of the scenario
 * @param steps faults, sorted by time
 */
public record FaultScript(Run run, List<Step> steps) {

  /**
   * Duration and size of the scenario: the function {@code play} of a script.
   *
   * @param hosts number of hosts, named b1, b2, ...
   * @param clients clients of each host
   * @param durableResults whether results are kept on disk
   * @param seed seed of all random choices
   */
  public record Run(double seconds, int hosts, int clients, boolean durableResults, long seed) {}

  /** Kind of a fault, on a path of a host or on its process. */
  public enum Kind {
    CUT,
    HEAL,
    REFUSE,
    HALF_CLOSE,
    HOLE,
    DELAY,
    RATE,
    DROP,
    DOUBLE,
    REORDER,
    STOP,
    GO,
    KILL,
    START,
    CHANGE,
    HOLD,
    FREE,
    CLOCK,
    LEAVE
  }

  /**
   * One fault. The component names are written to the results as JSON.
   *
   * @param box name of the host
   * @param path "front", "pool", "store" or "names"; empty for the process itself
   * @param value ms of a delay, kB a second of a rate, part of datagrams, cores of a CPU limit, ms
   *     of a clock offset
   * @param more ms of jitter
   * @param way "both", "there" (to the host on the path "front", from it on the others) or "back"
   */
  public record Fault(Kind kind, String box, String path, double value, double more, String way) {}

  /** A fault and the time at which it is injected, in seconds from the start. */
  public record Step(double at, Fault fault) {}

  private static final List<String> PATHS = List.of("front", "pool", "store", "names");
  private static final Map<String, List<String>> PARAMETERS = new LinkedHashMap<>();

  static {
    PARAMETERS.put("play", List.of("seconds", "boxes", "callers", "kept", "seed"));
    PARAMETERS.put("at", List.of("time", "fault"));
    for (String function : List.of("cut", "heal", "refuse", "half_close")) {
      PARAMETERS.put(function, List.of("box", "path"));
    }
    PARAMETERS.put("hole", List.of("box", "path", "way"));
    PARAMETERS.put("delay", List.of("box", "path", "ms", "jitter", "way"));
    PARAMETERS.put("rate", List.of("box", "path", "kb", "way"));
    for (String function : List.of("drop", "double", "reorder")) {
      PARAMETERS.put(function, List.of("box", "path", "part", "way"));
    }
    PARAMETERS.put("hold", List.of("box", "cores"));
    PARAMETERS.put("clock", List.of("box", "ms"));
    for (String function : List.of("stop", "go", "kill", "start", "change", "free", "leave")) {
      PARAMETERS.put(function, List.of("box"));
    }
  }

  /**
   * Reads a script from a file.
   *
   * @throws BadSettingsException with a message of one line
   */
  public static FaultScript read(Path file) throws BadSettingsException {
    try {
      return parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new BadSettingsException(
          file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
    }
  }

  /** Reads a script from a text; the name is used in error messages. */
  public static FaultScript parse(String name, String text) throws BadSettingsException {
    Reader reader = new Reader();
    Scripts.run(name, text, reader);
    List<Step> steps = new ArrayList<>();
    for (PlacedStep placed : reader.steps) {
      String error = reader.findError(placed.step());
      if (error != null) {
        throw new BadSettingsException(name, placed.place(), error);
      }
      steps.add(placed.step());
    }
    steps.sort(Comparator.comparingDouble(Step::at));
    return new FaultScript(reader.run, List.copyOf(steps));
  }

  private record PlacedStep(Step step, Place place) {}

  private static final class Reader implements Scripts.Words {
    private Run run = new Run(10, 1, 4, false, 1);
    private boolean runSeen;
    private final List<PlacedStep> steps = new ArrayList<>();

    @Override
    public List<String> values(String function) {
      return PARAMETERS.get(function);
    }

    @Override
    public Object called(Scripts.Call call) throws Scripts.RefusedException {
      switch (call.word()) {
        case "play" -> {
          if (runSeen) {
            throw new Scripts.RefusedException(call.place(), "play is called twice");
          }
          runSeen = true;
          run =
              new Run(
                  call.number("seconds", 10, 1, 3600),
                  (int) call.number("boxes", 1, 1, 50),
                  (int) call.number("callers", 4, 1, 64),
                  flag(call, "kept"),
                  (long) call.number("seed", 1, 0, 1e15));
          return null;
        }
        case "at" -> {
          double time = call.number("time", Double.NaN, 0, 3600);
          Scripts.Value fault = call.need("fault");
          if (!(fault.value() instanceof Fault faultValue)) {
            throw new Scripts.RefusedException(
                fault.place(), "at takes a fault, such as cut(\"b1\", \"front\")");
          }
          steps.add(new PlacedStep(new Step(time, faultValue), call.place()));
          return null;
        }
        default -> {
          return fault(call);
        }
      }
    }

    private Fault fault(Scripts.Call call) throws Scripts.RefusedException {
      Kind kind = Kind.valueOf(call.word().toUpperCase(Locale.ROOT));
      boolean hasPath = values(call.word()).contains("path");
      return new Fault(
          kind,
          textValue(call, "box", null, "b[1-9][0-9]?"),
          hasPath ? textValue(call, "path", null, String.join("|", PATHS)) : "",
          switch (kind) {
            case DELAY -> call.number("ms", Double.NaN, 0, 60_000);
            case RATE -> call.number("kb", Double.NaN, 0.1, 1e6);
            case DROP, DOUBLE, REORDER -> call.number("part", Double.NaN, 0, 1);
            case HOLD -> call.number("cores", Double.NaN, 0.05, 64);
            case CLOCK -> call.number("ms", Double.NaN, -1e9, 1e9);
            default -> 0;
          },
          kind == Kind.DELAY ? call.number("jitter", 0, 0, 60_000) : 0,
          textValue(call, "way", "both", "both|there|back"));
    }

    private String findError(Step step) {
      int host = Integer.parseInt(step.fault().box().substring(1));
      if (host > run.hosts()) {
        return "no box " + step.fault().box() + ": play declares " + run.hosts() + " boxes";
      }
      if (step.at() > run.seconds()) {
        return "expected a time of at most " + run.seconds() + " s, the end of the scenario";
      }
      boolean datagramsOnly =
          List.of(Kind.DROP, Kind.DOUBLE, Kind.REORDER).contains(step.fault().kind());
      return datagramsOnly && !step.fault().path().equals("names")
          ? "datagrams cross the path \"names\" alone; use hole or delay"
          : null;
    }

    private static boolean flag(Scripts.Call call, String name) throws Scripts.RefusedException {
      Scripts.Value value = call.values().get(name);
      if (value == null) {
        return false;
      }
      if (value.value() instanceof Boolean flag) {
        return flag;
      }
      throw new Scripts.RefusedException(
          value.place(), call.word() + "." + name + ": expected True or False");
    }

    private static String textValue(Scripts.Call call, String name, String initial, String pattern)
        throws Scripts.RefusedException {
      return call.text(name, initial, pattern, "one of " + pattern.replace("|", ", "));
    }
  }
}
