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
 * A script of failures, in the settings' language: {@code play(seconds = 20, boxes = 3)}, then
 * {@code at(4, cut("b2", "front"))}. It owns the words and their bounds; whatever is wrong is told
 * with line and column before anything starts.
 *
 * @param play what is played
 * @param steps in the order of their times
 */
public record FaultScript(Play play, List<Step> steps) {

  /**
   * What is played.
   *
   * @param seconds how long
   * @param boxes b1, b2, ...
   * @param callers of each box
   * @param kept results are kept on disk
   * @param seed of all that is drawn
   */
  public record Play(double seconds, int boxes, int callers, boolean kept, long seed) {}

  /** What can be done: to a path of a box, or to its process. */
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
   * One thing that goes wrong.
   *
   * @param path "front", "pool", "store" or "names"; empty for the process itself
   * @param value ms of a delay, kB a second of a rate, part of datagrams, cores that a box is held
   *     to, ms that a clock is off
   * @param more ms of jitter
   * @param way "both", "there" (to the box on its front, from it on the others) or "back"
   */
  public record Fault(Kind kind, String box, String path, double value, double more, String way) {}

  /** A fault and when it comes, in seconds from the start. */
  public record Step(double at, Fault fault) {}

  private static final List<String> PATHS = List.of("front", "pool", "store", "names");
  private static final Map<String, List<String>> WORDS = new LinkedHashMap<>();

  static {
    WORDS.put("play", List.of("seconds", "boxes", "callers", "kept", "seed"));
    WORDS.put("at", List.of("time", "fault"));
    for (String word : List.of("cut", "heal", "refuse", "half_close")) {
      WORDS.put(word, List.of("box", "path"));
    }
    WORDS.put("hole", List.of("box", "path", "way"));
    WORDS.put("delay", List.of("box", "path", "ms", "jitter", "way"));
    WORDS.put("rate", List.of("box", "path", "kb", "way"));
    for (String word : List.of("drop", "double", "reorder")) {
      WORDS.put(word, List.of("box", "path", "part", "way"));
    }
    WORDS.put("hold", List.of("box", "cores"));
    WORDS.put("clock", List.of("box", "ms"));
    for (String word : List.of("stop", "go", "kill", "start", "change", "free", "leave")) {
      WORDS.put(word, List.of("box"));
    }
  }

  /**
   * Reads a script.
   *
   * @throws BadSettingsException in one line
   */
  public static FaultScript read(Path file) throws BadSettingsException {
    try {
      return parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new BadSettingsException(
          file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
    }
  }

  /** The same with a text; the name is for faults. */
  public static FaultScript parse(String name, String text) throws BadSettingsException {
    Reader reader = new Reader();
    Scripts.run(name, text, reader);
    List<Step> steps = new ArrayList<>();
    for (Given each : reader.steps) {
      String wrong = reader.wrong(each.step());
      if (wrong != null) {
        throw new BadSettingsException(name, each.place(), wrong);
      }
      steps.add(each.step());
    }
    steps.sort(Comparator.comparingDouble(Step::at));
    return new FaultScript(reader.play, List.copyOf(steps));
  }

  private record Given(Step step, Place place) {}

  private static final class Reader implements Scripts.Words {
    private Play play = new Play(10, 1, 4, false, 1);
    private boolean played;
    private final List<Given> steps = new ArrayList<>();

    @Override
    public List<String> values(String word) {
      return WORDS.get(word);
    }

    @Override
    public Object called(Scripts.Call call) throws Scripts.RefusedException {
      switch (call.word()) {
        case "play" -> {
          if (played) {
            throw new Scripts.RefusedException(call.place(), "play stands twice");
          }
          played = true;
          play =
              new Play(
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
          if (!(fault.value() instanceof Fault what)) {
            throw new Scripts.RefusedException(
                fault.place(), "at takes a fault, such as cut(\"b1\", \"front\")");
          }
          steps.add(new Given(new Step(time, what), call.place()));
          return null;
        }
        default -> {
          return fault(call);
        }
      }
    }

    private Fault fault(Scripts.Call call) throws Scripts.RefusedException {
      Kind kind = Kind.valueOf(call.word().toUpperCase(Locale.ROOT));
      boolean path = values(call.word()).contains("path");
      return new Fault(
          kind,
          word(call, "box", null, "b[1-9][0-9]?"),
          path ? word(call, "path", null, String.join("|", PATHS)) : "",
          switch (kind) {
            case DELAY -> call.number("ms", Double.NaN, 0, 60_000);
            case RATE -> call.number("kb", Double.NaN, 0.1, 1e6);
            case DROP, DOUBLE, REORDER -> call.number("part", Double.NaN, 0, 1);
            case HOLD -> call.number("cores", Double.NaN, 0.05, 64);
            case CLOCK -> call.number("ms", Double.NaN, -1e9, 1e9);
            default -> 0;
          },
          kind == Kind.DELAY ? call.number("jitter", 0, 0, 60_000) : 0,
          word(call, "way", "both", "both|there|back"));
    }

    private String wrong(Step step) {
      int box = Integer.parseInt(step.fault().box().substring(1));
      if (box > play.boxes()) {
        return "there is no " + step.fault().box() + ": " + play.boxes() + " boxes are played";
      }
      if (step.at() > play.seconds()) {
        return "nothing happens after " + play.seconds() + " s, which is when the play ends";
      }
      boolean datagrams =
          List.of(Kind.DROP, Kind.DOUBLE, Kind.REORDER).contains(step.fault().kind());
      return datagrams && !step.fault().path().equals("names")
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

    private static String word(Scripts.Call call, String name, String initial, String pattern)
        throws Scripts.RefusedException {
      return call.text(name, initial, pattern, "one of " + pattern.replace("|", ", "));
    }
  }
}
