package wharftrestle.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import wharftrestle.config.DaemonConfig;

/**
 * What a script sets, checked: each field's value and where it comes from. It must never hold a
 * value that the schema did not take, or fill in a needed one.
 */
public final class Settings {
  /** A longer script is none of ours. */
  private static final long LONGEST = 256 * 1024;

  /** A value with its origin: FILE:LINE:COLUMN, or "default". */
  public record Value(Object value, String origin) {}

  private final Map<String, Map<String, Value>> declared = new LinkedHashMap<>();

  private Settings() {}

  /** Nothing set: all is off. */
  public static Settings none() {
    return new Settings();
  }

  /**
   * Reads and checks a script.
   *
   * @throws BadSettingsException in one line: file, line, column, what was expected
   */
  public static Settings read(Path file) throws BadSettingsException {
    if (file.toString().endsWith(".properties")) {
      throw new BadSettingsException(
          file
              + ": settings are a script now, e.g. appliance.star with the line: "
              + "uwsgi(listen = \"127.0.0.1:3031\")");
    }
    String text;
    try {
      if (Files.size(file) > LONGEST) {
        throw new BadSettingsException(file + ": longer than " + LONGEST + " bytes");
      }
      text = Files.readString(file);
    } catch (CharacterCodingException e) {
      throw new BadSettingsException(file + ": is no UTF-8 text");
    } catch (IOException e) {
      throw new BadSettingsException(
          file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
    }
    return parse(file.toString(), text);
  }

  /** Checks a script given as text; the name is for faults and origins. */
  public static Settings parse(String name, String text) throws BadSettingsException {
    Settings settings = new Settings();
    try {
      Script.run(
          text,
          new Script.Declarations() {
            @Override
            public boolean knows(String word) {
              return Schema.ALL.containsKey(word);
            }

            @Override
            public Object declare(Script.Declared given) throws Script.Fault {
              settings.take(name, given);
              return Script.NONE;
            }
          });
    } catch (Script.Fault fault) {
      throw new BadSettingsException(name, fault.place(), fault.getMessage());
    }
    return settings;
  }

  private void take(String file, Script.Declared given) throws Script.Fault {
    Schema.Declaration known = Schema.ALL.get(given.name());
    if (declared.containsKey(given.name())) {
      throw new Script.Fault(given.place(), given.name() + " is declared twice");
    }
    Map<String, Value> values = new LinkedHashMap<>();
    for (Map.Entry<String, Script.Given> argument : given.arguments().entrySet()) {
      if (!known.fields().containsKey(argument.getKey())) {
        throw new Script.Fault(
            argument.getValue().place(),
            given.name()
                + " has no '"
                + argument.getKey()
                + "', expected one of "
                + String.join(", ", known.fields().keySet()));
      }
    }
    for (Schema.Field field : known.fields().values()) {
      Script.Given argument = given.arguments().get(field.name());
      if (argument == null) {
        if (field.required()) {
          throw new Script.Fault(
              given.place(),
              given.name() + " needs " + field.name() + ": " + field.type().expected());
        }
        values.put(field.name(), new Value(field.initial(), "default"));
        continue;
      }
      try {
        values.put(
            field.name(),
            new Value(field.type().check(argument.value()), file + ":" + argument.place()));
      } catch (Schema.Wrong wrong) {
        throw new Script.Fault(
            argument.place(),
            given.name()
                + "."
                + field.name()
                + ": expected "
                + field.type().expected()
                + ", got "
                + Script.shown(argument.value()));
      }
    }
    declared.put(given.name(), values);
  }

  /** True where the script declares this. */
  public boolean declares(String name) {
    return declared.containsKey(name);
  }

  private Object get(String name, String field) {
    Map<String, Value> values = declared.get(name);
    return values == null ? null : values.get(field).value();
  }

  /** All that can be set, one line each: the effective value and its origin. */
  public String table() {
    StringBuilder lines = new StringBuilder();
    for (Schema.Declaration declaration : Schema.ALL.values()) {
      Map<String, Value> values = declared.get(declaration.name());
      lines.append(
          String.format(Locale.ROOT, "# %s: %s%n", declaration.name(), declaration.meaning()));
      if (values == null) {
        lines.append(
            String.format(Locale.ROOT, "%-22s %-28s %s%n", declaration.name(), "off", "default"));
        continue;
      }
      values.forEach(
          (field, value) ->
              lines.append(
                  String.format(
                      Locale.ROOT,
                      "%-22s %-28s %s%n",
                      declaration.name() + "." + field,
                      shown(value.value()),
                      value.origin())));
    }
    return lines.toString();
  }

  private static String shown(Object value) {
    return value instanceof InetSocketAddress address
        ? address.getAddress().getHostAddress() + ":" + address.getPort()
        : String.valueOf(value);
  }

  /** One value, as the script or the schema has it. */
  public Object value(String name, String field) {
    return declares(name) ? get(name, field) : Schema.ALL.get(name).fields().get(field).initial();
  }

  /** What the daemon opens and keeps besides the platform's front. */
  public DaemonConfig.Appliance appliance() {
    DaemonConfig.Durable durable =
        !declares("durable")
            ? null
            : new DaemonConfig.Durable(
                Path.of((String) get("durable", "dir")),
                (long) get("durable", "max_mb") << 20,
                (int) (long) get("durable", "max_keys"),
                (int) (long) get("durable", "queue_kb") << 10,
                (long) get("durable", "patience_ms") / 1000.0,
                (String) get("durable", "sync"));
    return new DaemonConfig.Appliance(
        (InetSocketAddress) get("uwsgi", "listen"),
        (InetSocketAddress) get("control", "listen"),
        (InetSocketAddress) get("snmp", "listen"),
        declares("snmp") ? (String) get("snmp", "community") : "public",
        declares("uwsgi") ? (double) get("uwsgi", "held_kb") : DaemonConfig.HELD_KB,
        durable);
  }
}
