package wharftrestle.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import wharftrestle.config.DaemonConfig;
import wharftrestle.io.BoundedTransfers;
import wharftrestle.io.FileTooLargeException;

/**
 * The validated settings of a script: the value and the origin of each field. Every value has
 * passed the {@link Schema}; required fields have no default.
 */
public final class Settings {
  private static final int MAX_SCRIPT_BYTES = 256 * 1024;

  /** A value with its origin: FILE:LINE:COLUMN, or "default". */
  public record Value(Object value, String origin) {}

  private final Map<String, Map<String, Value>> declared = new LinkedHashMap<>();

  private Settings() {}

  /** Returns settings without any declaration: every optional feature is off. */
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
              + ": properties files are not supported; write a script, e.g. appliance.star with the line: "
              + "uwsgi(listen = \"127.0.0.1:3031\")");
    }
    String text;
    try {
      byte[] bytes = BoundedTransfers.readFile(file, MAX_SCRIPT_BYTES);
      text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (FileTooLargeException e) {
      throw new BadSettingsException(file + ": longer than " + MAX_SCRIPT_BYTES + " bytes");
    } catch (CharacterCodingException e) {
      throw new BadSettingsException(file + ": is not UTF-8 text");
    } catch (IOException e) {
      throw new BadSettingsException(
          file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
    }
    return parse(file.toString(), text);
  }

  /** Checks the text of a script; the name stands for the file in errors and origins. */
  public static Settings parse(String name, String text) throws BadSettingsException {
    Settings settings = new Settings();
    try {
      Script.run(
          text,
          new Script.DeclarationHandler() {
            @Override
            public boolean isDeclarable(String declaration) {
              return Schema.ALL.containsKey(declaration);
            }

            @Override
            public Object declare(Script.DeclarationCall call) throws Script.ScriptException {
              settings.validateAndAdd(name, call);
              return Script.NONE;
            }
          });
    } catch (Script.ScriptException error) {
      throw new BadSettingsException(name, error.place(), error.getMessage());
    }
    return settings;
  }

  private void validateAndAdd(String file, Script.DeclarationCall call)
      throws Script.ScriptException {
    Schema.Declaration declaration = Schema.ALL.get(call.name());
    if (declared.containsKey(call.name())) {
      throw new Script.ScriptException(call.place(), call.name() + " is declared twice");
    }
    Map<String, Value> values = new LinkedHashMap<>();
    for (Map.Entry<String, Script.Argument> argument : call.arguments().entrySet()) {
      if (!declaration.fields().containsKey(argument.getKey())) {
        throw new Script.ScriptException(
            argument.getValue().place(),
            call.name()
                + " has no '"
                + argument.getKey()
                + "', expected one of "
                + String.join(", ", declaration.fields().keySet()));
      }
    }
    for (Schema.Field field : declaration.fields().values()) {
      Script.Argument argument = call.arguments().get(field.name());
      if (argument == null) {
        if (field.required()) {
          throw new Script.ScriptException(
              call.place(),
              call.name() + " needs " + field.name() + ": " + field.type().expected());
        }
        values.put(field.name(), new Value(field.defaultValue(), "default"));
        continue;
      }
      try {
        values.put(
            field.name(),
            new Value(field.type().check(argument.value()), file + ":" + argument.place()));
      } catch (Schema.InvalidValueException e) {
        throw new Script.ScriptException(
            argument.place(),
            call.name()
                + "."
                + field.name()
                + ": expected "
                + field.type().expected()
                + ", got "
                + Script.format(argument.value()));
      }
    }
    declared.put(call.name(), values);
  }

  /** Returns whether the script makes this declaration. */
  public boolean declares(String name) {
    return declared.containsKey(name);
  }

  private Object get(String name, String field) {
    Map<String, Value> values = declared.get(name);
    return values == null ? null : values.get(field).value();
  }

  /** Returns a line for each setting: its name, effective value and origin. */
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
                      format(value.value()),
                      value.origin())));
    }
    return lines.toString();
  }

  private static String format(Object value) {
    return value instanceof InetSocketAddress address
        ? address.getAddress().getHostAddress() + ":" + address.getPort()
        : String.valueOf(value);
  }

  /** Returns the value of a field: that of the script, else the default of the schema. */
  public Object value(String name, String field) {
    return declares(name)
        ? get(name, field)
        : Schema.ALL.get(name).fields().get(field).defaultValue();
  }

  /** Returns the configuration of the optional front ends, endpoints and result storage. */
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
