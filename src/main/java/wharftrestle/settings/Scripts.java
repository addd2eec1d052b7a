package wharftrestle.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs a script of the settings' language with words of the caller's own, such as a script of
 * faults. It owns the way from a fault to file, line and column; it must never know what a word
 * means.
 */
public final class Scripts {

  /** A value as it was given, and where. */
  public record Value(Object value, Place place) {}

  /**
   * One call of a word; values are Long, Double, String, Boolean, List, Map, or what another word
   * was worth.
   */
  public record Call(String word, Map<String, Value> values, Place place) {

    /** A value that has to be there. */
    public Value need(String name) throws RefusedException {
      Value value = values.get(name);
      if (value == null) {
        throw new RefusedException(place, word + " needs " + name);
      }
      return value;
    }

    /** What is wrong with a value, at its place. */
    private RefusedException wrong(String name, Value value, String expected) {
      return new RefusedException(
          value.place(), word + "." + name + ": expected " + expected + ", got " + value.value());
    }

    /** A number within bounds; where it is absent the initial one, or a fault where that is NaN. */
    public double number(String name, double initial, double least, double most)
        throws RefusedException {
      if (!values.containsKey(name) && !Double.isNaN(initial)) {
        return initial;
      }
      Value value = need(name);
      if (value.value() instanceof Number number
          && number.doubleValue() >= least
          && number.doubleValue() <= most) {
        return number.doubleValue();
      }
      throw wrong(name, value, "a number from " + least + " to " + most);
    }

    /** A text that matches; where it is absent the initial one, or a fault where that is null. */
    public String text(String name, String initial, String pattern, String expected)
        throws RefusedException {
      if (!values.containsKey(name) && initial != null) {
        return initial;
      }
      Value value = need(name);
      if (value.value() instanceof String text && text.matches(pattern)) {
        return text;
      }
      throw wrong(name, value, expected);
    }

    /** A list; where it is absent the initial one, or a fault where that is null. */
    public List<?> list(String name, List<?> initial) throws RefusedException {
      if (!values.containsKey(name) && initial != null) {
        return initial;
      }
      Value value = need(name);
      if (value.value() instanceof List<?> all) {
        return all;
      }
      throw wrong(name, value, "a list");
    }
  }

  /** What is wrong with a call. */
  public static final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient Place place;

    public RefusedException(Place place, String message) {
      super(message, null, false, false);
      this.place = place;
    }

    /** Where it stands. */
    public Place place() {
      return place;
    }
  }

  /** The caller's words. */
  public interface Words {
    /** The values of a word, in their order; null where there is no such word. */
    List<String> values(String word);

    /** What a call is worth in the script; null for nothing. */
    Object called(Call call) throws RefusedException;
  }

  private Scripts() {}

  /**
   * Runs a script; the name is for faults.
   *
   * @throws BadSettingsException in one line: file, line, column, what was expected
   */
  public static void run(String name, String text, Words words) throws BadSettingsException {
    try {
      Script.run(
          text,
          new Script.Declarations() {
            @Override
            public boolean knows(String word) {
              return words.values(word) != null;
            }

            @Override
            public List<String> order(String word) {
              return words.values(word);
            }

            @Override
            public Object declare(Script.Declared declared) throws Script.Fault {
              Map<String, Value> values = new LinkedHashMap<>();
              List<String> known = words.values(declared.name());
              for (Map.Entry<String, Script.Given> each : declared.arguments().entrySet()) {
                if (!known.contains(each.getKey())) {
                  throw new Script.Fault(
                      each.getValue().place(),
                      declared.name()
                          + " has no '"
                          + each.getKey()
                          + "', expected one of "
                          + String.join(", ", known));
                }
                values.put(
                    each.getKey(), new Value(each.getValue().value(), each.getValue().place()));
              }
              try {
                Object worth = words.called(new Call(declared.name(), values, declared.place()));
                return worth == null ? Script.NONE : worth;
              } catch (RefusedException refused) {
                throw new Script.Fault(refused.place, refused.getMessage());
              }
            }
          });
    } catch (Script.Fault fault) {
      throw new BadSettingsException(name, fault.place(), fault.getMessage());
    }
  }
}
