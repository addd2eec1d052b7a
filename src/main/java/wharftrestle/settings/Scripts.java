package wharftrestle.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs a script of the settings language with declarations defined by the caller, such as a fault
 * script or a rollout plan. Errors are reported with file, line and column.
 */
public final class Scripts {

  /** An argument value and its position in the script. */
  public record Value(Object value, Place place) {}

  /**
   * A call of one of the caller's declarations. The values are Long, Double, String, Boolean, List,
   * Map, or the result of another such call.
   */
  public record Call(String word, Map<String, Value> values, Place place) {

    /** Returns a required value. */
    public Value need(String name) throws RefusedException {
      Value value = values.get(name);
      if (value == null) {
        throw new RefusedException(place, word + " needs " + name);
      }
      return value;
    }

    /** Builds the error for a value that is not acceptable, at the position of the value. */
    private RefusedException invalidValue(String name, Value value, String expected) {
      return new RefusedException(
          value.place(), word + "." + name + ": expected " + expected + ", got " + value.value());
    }

    /** Returns a number within bounds. It is required if the default is NaN. */
    public double number(String name, double defaultValue, double min, double max)
        throws RefusedException {
      if (!values.containsKey(name) && !Double.isNaN(defaultValue)) {
        return defaultValue;
      }
      Value value = need(name);
      if (value.value() instanceof Number number
          && number.doubleValue() >= min
          && number.doubleValue() <= max) {
        return number.doubleValue();
      }
      throw invalidValue(name, value, "a number from " + min + " to " + max);
    }

    /** Returns a text that matches the pattern. It is required if the default is null. */
    public String text(String name, String defaultValue, String pattern, String expected)
        throws RefusedException {
      if (!values.containsKey(name) && defaultValue != null) {
        return defaultValue;
      }
      Value value = need(name);
      if (value.value() instanceof String text && text.matches(pattern)) {
        return text;
      }
      throw invalidValue(name, value, expected);
    }

    /** Returns a list. It is required if the default is null. */
    public List<?> list(String name, List<?> defaultValue) throws RefusedException {
      if (!values.containsKey(name) && defaultValue != null) {
        return defaultValue;
      }
      Value value = need(name);
      if (value.value() instanceof List<?> list) {
        return list;
      }
      throw invalidValue(name, value, "a list");
    }
  }

  /** Thrown for an invalid call of a declaration. */
  public static final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient Place place;

    public RefusedException(Place place, String message) {
      super(message, null, false, false);
      this.place = place;
    }

    /** The position of the error in the script. */
    public Place place() {
      return place;
    }
  }

  /** The declarations that a script can call. */
  public interface Words {
    /** Returns the parameter names in positional order; null if there is no such declaration. */
    List<String> values(String word);

    /** Handles a call and returns its result within the script; null stands for None. */
    Object called(Call call) throws RefusedException;
  }

  private Scripts() {}

  /**
   * Runs a script; the name stands for the file in error messages.
   *
   * @throws BadSettingsException in one line: file, line, column, what was expected
   */
  public static void run(String name, String text, Words words) throws BadSettingsException {
    try {
      Script.run(
          text,
          new Script.DeclarationHandler() {
            @Override
            public boolean isDeclarable(String word) {
              return words.values(word) != null;
            }

            @Override
            public List<String> positionalParameters(String word) {
              return words.values(word);
            }

            @Override
            public Object declare(Script.DeclarationCall call) throws Script.ScriptException {
              Map<String, Value> values = new LinkedHashMap<>();
              List<String> parameters = words.values(call.name());
              for (Map.Entry<String, Script.Argument> argument : call.arguments().entrySet()) {
                if (!parameters.contains(argument.getKey())) {
                  throw new Script.ScriptException(
                      argument.getValue().place(),
                      call.name()
                          + " has no '"
                          + argument.getKey()
                          + "', expected one of "
                          + String.join(", ", parameters));
                }
                values.put(
                    argument.getKey(),
                    new Value(argument.getValue().value(), argument.getValue().place()));
              }
              try {
                Object result = words.called(new Call(call.name(), values, call.place()));
                return result == null ? Script.NONE : result;
              } catch (RefusedException refused) {
                throw new Script.ScriptException(refused.place, refused.getMessage());
              }
            }
          });
    } catch (Script.ScriptException error) {
      throw new BadSettingsException(name, error.place(), error.getMessage());
    }
  }
}
