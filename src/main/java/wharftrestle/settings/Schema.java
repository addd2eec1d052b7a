package wharftrestle.settings;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharftrestle.transport.Address;

/**
 * What operators can set: the declarations, their fields with type, bounds, default and meaning. It
 * owns the one list that scripts are checked against and that {@code settings show} prints; it must
 * never let an unknown name, a wrong type or a value out of its bounds through.
 */
final class Schema {

  /** What one field may hold. */
  interface Type {
    /** The value as the program has it. */
    Object check(Object given) throws Wrong;

    /** What is expected, for a fault. */
    String expected();
  }

  /** A value of the wrong type or out of its bounds. */
  static final class Wrong extends Exception {
    private static final long serialVersionUID = 1L;

    Wrong() {
      super(null, null, false, false);
    }
  }

  /** One field; a null default is nothing set, where not required. */
  record Field(String name, Type type, Object initial, boolean required, String meaning) {}

  /** One declaration; at most one of each in a script. */
  record Declaration(String name, String meaning, Map<String, Field> fields) {}

  private static final String SYNCS = "group";

  /** All declarations, in the order in which they are shown. */
  static final Map<String, Declaration> ALL = new LinkedHashMap<>();

  static {
    declare(
        "uwsgi",
        "the front for uwsgi gateways",
        needed("listen", address(false), "where gateways connect"),
        field(
            "held_kb",
            number(0.001, 1999.999),
            24.0,
            "kB booked for a held request, which uwsgi does not tell"));
    declare(
        "control",
        "the operators' door, where EDGE_CONSOLE and the configuration name none",
        needed("listen", address(true), "where operators call, on loopback"));
    declare(
        "snmp",
        "the SNMP agent",
        needed("listen", address(true), "where it answers, on loopback"),
        field(
            "community",
            text("[\\x21-\\x7e]{1,64}", "a word of up to 64 characters"),
            "public",
            "who names it may read"));
    declare(
        "durable",
        "results kept over restarts",
        needed("dir", text("(?s).{1,1000}", "a folder's path"), "the folder, on a disk that lasts"),
        field("max_mb", whole(4, 65_536), 64L, "MB on disk at most"),
        field(
            "max_keys",
            whole(64, 4_000_000),
            32_768L,
            "keys known at most; some 300 bytes of memory each"),
        field("queue_kb", whole(64, 65_536), 1024L, "kB that wait for the disk at most"),
        field(
            "patience_ms",
            whole(10, 5000),
            300L,
            "a disk that is silent for longer counts as stalled"),
        field(
            "sync",
            choice(SYNCS, "each", "none"),
            SYNCS,
            "group: records share a sync; each: one a record; none: a loss of power may lose some"));
    declare(
        "box",
        "the keeper of one box: when a change is undone, and how a daemon that dies is started again",
        field("ready_s", number(1, 600), 20.0, "seconds in which a daemon has to serve"),
        field("probation_s", number(0, 86_400), 60.0, "seconds for which a new release is watched"),
        field(
            "worse_failed",
            number(0, 1),
            0.02,
            "part of answers by which failures may grow with a new release"),
        field("worse_refused", number(0, 1), 0.05, "part of answers by which refusals may grow"),
        field(
            "least_answers",
            whole(1, 1_000_000),
            50L,
            "answers below which a new release's figures say nothing"),
        field(
            "pause_s",
            number(0.05, 600),
            0.5,
            "seconds before a daemon that died is started again; doubles"),
        field("most_pause_s", number(0.05, 3600), 30.0, "seconds of the longest pause"),
        field(
            "deaths",
            whole(1, 100),
            3L,
            "deaths in a row after which the release before is started"));
  }

  private Schema() {}

  private static void declare(String name, String meaning, Field... fields) {
    Map<String, Field> all = new LinkedHashMap<>();
    for (Field field : fields) {
      all.put(field.name(), field);
    }
    ALL.put(name, new Declaration(name, meaning, all));
  }

  private static Field needed(String name, Type type, String meaning) {
    return new Field(name, type, null, true, meaning);
  }

  private static Field field(String name, Type type, Object initial, String meaning) {
    return new Field(name, type, initial, false, meaning);
  }

  private static Type type(String expected, Check check) {
    return new Type() {
      @Override
      public Object check(Object given) throws Wrong {
        Object value = check.of(given);
        if (value == null) {
          throw new Wrong();
        }
        return value;
      }

      @Override
      public String expected() {
        return expected;
      }
    };
  }

  /** The value, or null where it does not do. */
  private interface Check {
    Object of(Object given);
  }

  static Type whole(long least, long most) {
    return type(
        "a whole number from " + least + " to " + most,
        given -> given instanceof Long number && number >= least && number <= most ? number : null);
  }

  static Type number(double least, double most) {
    return type(
        "a number from " + shown(least) + " to " + shown(most),
        given ->
            given instanceof Number number
                    && number.doubleValue() >= least
                    && number.doubleValue() <= most
                ? (Object) number.doubleValue()
                : null);
  }

  private static String shown(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }

  static Type text(String pattern, String expected) {
    return type(
        expected, given -> given instanceof String text && text.matches(pattern) ? text : null);
  }

  static Type choice(String... words) {
    return type(
        "one of \"" + String.join("\", \"", words) + "\"",
        given -> given instanceof String text && List.of(words).contains(text) ? text : null);
  }

  static Type address(boolean loopback) {
    return type(
        (loopback ? "a loopback address" : "an address") + " as \"HOST:PORT\", with a numeric host",
        given -> {
          InetSocketAddress address = given instanceof String text ? Address.of(text) : null;
          return address == null || (loopback && !address.getAddress().isLoopbackAddress())
              ? null
              : address;
        });
  }
}
