package wharftrestle.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The functions that every script has. None of them reads or writes anything, and each is bounded
 * in what it makes.
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

  private static final long MOST = 10_000;

  static Builtin of(String name) {
    for (Builtin each : values()) {
      if (each.word().equals(name)) {
        return each;
      }
    }
    return null;
  }

  private String word() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  Object call(Place at, List<Object> given) throws Script.Fault {
    Object first = given.isEmpty() ? Script.NONE : given.get(0);
    return switch (this) {
      case LEN -> {
        if (given.size() == 1 && first instanceof List<?> list) {
          yield (long) list.size();
        }
        if (given.size() == 1 && first instanceof Map<?, ?> map) {
          yield (long) map.size();
        }
        if (given.size() == 1 && first instanceof String text) {
          yield (long) text.length();
        }
        throw wrong(at, "one list, dict or text");
      }
      case RANGE -> range(at, given);
      case STR -> {
        if (given.size() != 1) {
          throw wrong(at, "one value");
        }
        yield first instanceof String ? first : Script.shown(first);
      }
      case INT, FLOAT -> number(at, given, first);
      case MIN, MAX, SORTED -> {
        List<Object> all =
            new ArrayList<>(given.size() == 1 && first instanceof List<?> list ? list : given);
        if (all.isEmpty() && this != SORTED) {
          throw wrong(at, "at least one value");
        }
        sort(at, all);
        yield this == SORTED ? all : all.get(this == MIN ? 0 : all.size() - 1);
      }
      case FAIL ->
          throw new Script.Fault(
              at,
              given.size() == 1 && first instanceof String text
                  ? text
                  : "the script fails by its own word");
    };
  }

  private Script.Fault wrong(Place at, String wanted) {
    return new Script.Fault(at, word() + " takes " + wanted);
  }

  private Object range(Place at, List<Object> given) throws Script.Fault {
    long[] bounds = new long[given.size()];
    for (int i = 0; i < bounds.length; i++) {
      if (!(given.get(i) instanceof Long number)) {
        throw wrong(at, "whole numbers");
      }
      bounds[i] = number;
    }
    if (bounds.length < 1 || bounds.length > 3) {
      throw wrong(at, "one to three whole numbers");
    }
    long from = bounds.length == 1 ? 0 : bounds[0];
    long to = bounds[bounds.length == 1 ? 0 : 1];
    long by = bounds.length < 3 ? 1 : bounds[2];
    if (by == 0 || Math.abs((double) to - from) / Math.abs((double) by) > MOST) {
      throw wrong(at, "a step that is not 0, and makes " + MOST + " numbers at most");
    }
    List<Object> all = new ArrayList<>();
    for (long at1 = from; by > 0 ? at1 < to : at1 > to; at1 += by) {
      all.add(at1);
    }
    return all;
  }

  private Object number(Place at, List<Object> given, Object first) throws Script.Fault {
    if (given.size() == 1) {
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
        throw new Script.Fault(at, Script.shown(first) + " is no number");
      }
    }
    throw wrong(at, "one number or text");
  }

  private static void sort(Place at, List<Object> all) throws Script.Fault {
    for (int i = 1; i < all.size(); i++) {
      Arithmetic.compare(at, "<", all.get(0), all.get(i)); // all of one kind, or a fault
    }
    all.sort(
        (a, b) ->
            a instanceof Number x
                ? Double.compare(x.doubleValue(), ((Number) b).doubleValue())
                : ((String) a).compareTo((String) b));
  }
}
