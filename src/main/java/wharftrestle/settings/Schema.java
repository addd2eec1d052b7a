package wharftrestle.settings;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharftrestle.transport.Address;

/**
 * The declarations that a settings script can make: their fields with type, bounds, default and
 * meaning. {@link Settings} validates scripts against this schema, and {@code settings show} prints
 * it.
 */
final class Schema {

  /** The type of a field: which values it accepts and how they are converted. */
  interface Type {
    /** Returns the value converted to the type that the program uses. */
    Object check(Object input) throws InvalidValueException;

    /** Describes the accepted values, for error messages. */
    String expected();
  }

  /** Thrown for a value of the wrong type or out of bounds. */
  static final class InvalidValueException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidValueException() {
      super(null, null, false, false);
    }
  }

  /** A field of a declaration; a null default means that an optional field is unset. */
  record Field(String name, Type type, Object defaultValue, boolean required, String meaning) {}

  /** A declaration, which a script can make at most once. */
  record Declaration(String name, String meaning, Map<String, Field> fields) {}

  private static final String GROUP_SYNC = "group";

  /** All declarations, in the order in which {@code settings show} prints them. */
  static final Map<String, Declaration> ALL = new LinkedHashMap<>();

  static {
    declare(
        "uwsgi",
        "the front end for uwsgi gateways",
        required("listen", address(false), "listen address for gateways"),
        field(
            "held_kb",
            number(0.001, 1999.999),
            24.0,
            "kB reserved for a request in flight, which uwsgi does not report"));
    declare(
        "control",
        "the admin endpoint, unless EDGE_CONSOLE or the configuration sets its address",
        required("listen", address(true), "listen address, on loopback"));
    declare(
        "snmp",
        "the SNMP agent",
        required("listen", address(true), "listen address, on loopback"),
        field(
            "community",
            text("[\\x21-\\x7e]{1,64}", "a word of up to 64 characters"),
            "public",
            "community that may read the objects"));
    declare(
        "durable",
        "results stored across restarts",
        required(
            "dir", text("(?s).{1,1000}", "a directory path"), "directory, on persistent storage"),
        field("max_mb", whole(4, 65_536), 64L, "maximum MB on disk"),
        field(
            "max_keys",
            whole(64, 4_000_000),
            32_768L,
            "maximum number of keys; about 300 bytes of memory each"),
        field("queue_kb", whole(64, 65_536), 1024L, "maximum kB waiting to be written"),
        field(
            "patience_ms",
            whole(10, 5000),
            300L,
            "ms without an answer after which the disk counts as stalled"),
        field(
            "sync",
            choice(GROUP_SYNC, "each", "none"),
            GROUP_SYNC,
            "group: records share a sync; each: one sync per record; none: a power failure may lose records"));
    declare(
        "box",
        "the supervisor of one host: when a change is rolled back and how a crashed daemon is restarted",
        field("ready_s", number(1, 600), 20.0, "seconds within which a started daemon must serve"),
        field("probation_s", number(0, 86_400), 60.0, "seconds for which a new release is watched"),
        field(
            "worse_failed",
            number(0, 1),
            0.02,
            "fraction of answers by which failures may rise with a new release"),
        field(
            "worse_refused",
            number(0, 1),
            0.05,
            "fraction of answers by which rejections may rise"),
        field(
            "least_answers",
            whole(1, 1_000_000),
            50L,
            "minimum answers before a new release is judged by its counts"),
        field(
            "pause_s",
            number(0.05, 600),
            0.5,
            "seconds before a crashed daemon is restarted; doubles with each crash"),
        field("most_pause_s", number(0.05, 3600), 30.0, "maximum seconds before a restart"),
        field(
            "deaths",
            whole(1, 100),
            3L,
            "consecutive crashes after which the previous release is started"));
  }

  private Schema() {}

  private static void declare(String name, String meaning, Field... fields) {
    Map<String, Field> all = new LinkedHashMap<>();
    for (Field field : fields) {
      all.put(field.name(), field);
    }
    ALL.put(name, new Declaration(name, meaning, all));
  }

  private static Field required(String name, Type type, String meaning) {
    return new Field(name, type, null, true, meaning);
  }

  private static Field field(String name, Type type, Object defaultValue, String meaning) {
    return new Field(name, type, defaultValue, false, meaning);
  }

  private static Type type(String expected, Converter converter) {
    return new Type() {
      @Override
      public Object check(Object input) throws InvalidValueException {
        Object value = converter.convert(input);
        if (value == null) {
          throw new InvalidValueException();
        }
        return value;
      }

      @Override
      public String expected() {
        return expected;
      }
    };
  }

  private interface Converter {
    /** Returns the converted value, or null if it is not acceptable. */
    Object convert(Object input);
  }

  static Type whole(long min, long max) {
    return type(
        "a whole number from " + min + " to " + max,
        input -> input instanceof Long number && number >= min && number <= max ? number : null);
  }

  static Type number(double min, double max) {
    return type(
        "a number from " + format(min) + " to " + format(max),
        input ->
            input instanceof Number number
                    && number.doubleValue() >= min
                    && number.doubleValue() <= max
                ? (Object) number.doubleValue()
                : null);
  }

  private static String format(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }

  static Type text(String pattern, String expected) {
    return type(
        expected, input -> input instanceof String text && text.matches(pattern) ? text : null);
  }

  static Type choice(String... words) {
    return type(
        "one of \"" + String.join("\", \"", words) + "\"",
        input -> input instanceof String text && List.of(words).contains(text) ? text : null);
  }

  static Type address(boolean loopback) {
    return type(
        (loopback ? "a loopback address" : "an address") + " as \"HOST:PORT\", with a numeric host",
        input -> {
          InetSocketAddress address = input instanceof String text ? Address.of(text) : null;
          return address == null || (loopback && !address.getAddress().isLoopbackAddress())
              ? null
              : address;
        });
  }
}
