package wharftrestle.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The built-in functions of the settings language. They do no I/O, and the size of each result is
 * bounded.
 */
enum Builtin {
  LEN,
  RANGE,
  STR,
  INT,
  FLOAT,
  MIN,
  MAX,
  SORTED,
  FAIL;

  private static final long MAX_RANGE_SIZE = 10_000;

  static Builtin of(String name) {
    for (Builtin builtin : values()) {
      if (builtin.functionName().equals(name)) {
        return builtin;
      }
    }
    return null;
  }

  private String functionName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  Object call(Place at, List<Object> arguments) throws Script.ScriptException {
    Object first = arguments.isEmpty() ? Script.NONE : arguments.get(0);
    return switch (this) {
      case LEN -> {
        if (arguments.size() == 1 && first instanceof List<?> list) {
          yield (long) list.size();
        }
        if (arguments.size() == 1 && first instanceof Map<?, ?> map) {
          yield (long) map.size();
        }
        if (arguments.size() == 1 && first instanceof String text) {
          yield (long) text.length();
        }
        throw invalidArguments(at, "one list, dict or text");
      }
      case RANGE -> range(at, arguments);
      case STR -> {
        if (arguments.size() != 1) {
          throw invalidArguments(at, "one value");
        }
        yield first instanceof String ? first : Script.format(first);
      }
      case INT, FLOAT -> number(at, arguments, first);
      case MIN, MAX, SORTED -> {
        List<Object> all =
            new ArrayList<>(
                arguments.size() == 1 && first instanceof List<?> list ? list : arguments);
        if (all.isEmpty() && this != SORTED) {
          throw invalidArguments(at, "at least one value");
        }
        sort(at, all);
        yield this == SORTED ? all : all.get(this == MIN ? 0 : all.size() - 1);
      }
      case FAIL ->
          throw new Script.ScriptException(
              at,
              arguments.size() == 1 && first instanceof String text
                  ? text
                  : "the script called fail()");
    };
  }

  private Script.ScriptException invalidArguments(Place at, String expected) {
    return new Script.ScriptException(at, functionName() + " takes " + expected);
  }

  private Object range(Place at, List<Object> arguments) throws Script.ScriptException {
    long[] bounds = new long[arguments.size()];
    for (int i = 0; i < bounds.length; i++) {
      if (!(arguments.get(i) instanceof Long number)) {
        throw invalidArguments(at, "whole numbers");
      }
      bounds[i] = number;
    }
    if (bounds.length < 1 || bounds.length > 3) {
      throw invalidArguments(at, "one to three whole numbers");
    }
    long start = bounds.length == 1 ? 0 : bounds[0];
    long end = bounds[bounds.length == 1 ? 0 : 1];
    long step = bounds.length < 3 ? 1 : bounds[2];
    if (step == 0 || Math.abs((double) end - start) / Math.abs((double) step) > MAX_RANGE_SIZE) {
      throw invalidArguments(
          at, "a nonzero step and yields at most " + MAX_RANGE_SIZE + " numbers");
    }
    List<Object> all = new ArrayList<>();
    for (long next = start; step > 0 ? next < end : next > end; next += step) {
      all.add(next);
    }
    return all;
  }

  private Object number(Place at, List<Object> arguments, Object first)
      throws Script.ScriptException {
    if (arguments.size() == 1) {
      try {
        if (first instanceof Number number) {
          return this == INT ? (Object) number.longValue() : (Object) number.doubleValue();
        }
        if (first instanceof String text) {
          return this == INT
              ? (Object) Long.parseLong(text.trim())
              : (Object) Double.parseDouble(text.trim());
        }
      } catch (NumberFormatException e) {
        throw new Script.ScriptException(at, Script.format(first) + " is not a number");
      }
    }
    throw invalidArguments(at, "one number or text");
  }

  private static void sort(Place at, List<Object> all) throws Script.ScriptException {
    for (int i = 1; i < all.size(); i++) {
      Arithmetic.compare(at, "<", all.get(0), all.get(i)); // throws if the types are mixed
    }
    all.sort(
        (a, b) ->
            a instanceof Number x
                ? Double.compare(x.doubleValue(), ((Number) b).doubleValue())
                : ((String) a).compareTo((String) b));
  }
}
