package wharftrestle.handover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wharftrestle.handover.Capabilities.KeyCapacity;
import wharftrestle.handover.Capabilities.MalformedCapabilitiesException;
import wharftrestle.handover.Capabilities.RequestClass;
import wharftrestle.version.VersionRange;

/**
 * The text form of {@link Capabilities}: lines of {@code name value}. Lines with an unknown name
 * are skipped, so that later builds can add lines. The format is fixed, as different builds
 * exchange it.
 */
final class CapabilitiesCodec {
  private static final String BUILD = "build";
  private static final String HANDOVER_VERSIONS = "speaks";
  private static final String LOG_VERSIONS = "log";
  private static final String STORAGE_DIRECTORY = "folder";
  private static final String REQUEST_CLASS = "class";
  private static final String TENANT = "tenant";
  private static final String KEY_CAPACITY = "room";
  private static final String CLOCK_BASE = "scale";

  private static final String KEYED = "keyed";
  private static final String NOT_KEYED = "plain";

  private static final int MAX_LINES = 2000;
  private static final int MAX_LINE_CHARS = 4000;

  /** Characters of a malformed line that an error message quotes. */
  private static final int MAX_QUOTED_CHARS = 40;

  private CapabilitiesCodec() {}

  static String encode(Capabilities capabilities) {
    StringBuilder text = new StringBuilder();
    appendLine(text, BUILD, capabilities.build());
    appendLine(text, HANDOVER_VERSIONS, capabilities.handoverVersions().toString());
    appendLine(text, LOG_VERSIONS, capabilities.logVersions().toString());
    appendLine(text, STORAGE_DIRECTORY, capabilities.storageDirectory());
    capabilities
        .requestClasses()
        .forEach(each -> appendLine(text, REQUEST_CLASS, encodeRequestClass(each)));
    capabilities.tenants().forEach(name -> appendLine(text, TENANT, name));
    appendLine(text, KEY_CAPACITY, encodeKeyCapacity(capabilities.keyCapacity()));
    appendLine(text, CLOCK_BASE, Long.toString(capabilities.clockBaseUnixMillis()));
    return text.toString();
  }

  /** Escapes line ends and the escape character as %XX, so that a value stays on one line. */
  private static void appendLine(StringBuilder text, String name, String value) {
    text.append(name)
        .append(' ')
        .append(value.replace("%", "%25").replace("\n", "%0A").replace("\r", "%0D"))
        .append('\n');
  }

  private static String unescape(String value) {
    return value.replace("%0A", "\n").replace("%0D", "\r").replace("%25", "%");
  }

  private static String encodeRequestClass(RequestClass requestClass) {
    return (requestClass.isKeyed() ? KEYED : NOT_KEYED)
        + " "
        + requestClass.windowMillis()
        + " "
        + requestClass.name();
  }

  private static String encodeKeyCapacity(KeyCapacity capacity) {
    return capacity.keys()
        + " "
        + capacity.maxKeys()
        + " "
        + capacity.resultBytes()
        + " "
        + capacity.maxResultBytes();
  }

  static Capabilities decode(String text) throws MalformedCapabilitiesException {
    String[] lines = text.split("\n");
    if (lines.length > MAX_LINES) {
      throw new MalformedCapabilitiesException(
          "capabilities: expected at most " + MAX_LINES + " lines, found " + lines.length);
    }
    Map<String, String> singleValues = new HashMap<>();
    List<RequestClass> requestClasses = new ArrayList<>();
    List<String> tenants = new ArrayList<>();
    for (String line : lines) {
      String name = nameOf(line);
      String value = unescape(line.substring(name.length() + 1));
      switch (name) {
        case REQUEST_CLASS -> requestClasses.add(decodeRequestClass(value));
        case TENANT -> tenants.add(value);
        default -> singleValues.put(name, value);
      }
    }
    return decode(singleValues, requestClasses, tenants);
  }

  private static String nameOf(String line) throws MalformedCapabilitiesException {
    int blank = line.indexOf(' ');
    if (blank < 1 || line.length() > MAX_LINE_CHARS) {
      throw new MalformedCapabilitiesException(
          "capabilities: expected a line 'name value' of at most "
              + MAX_LINE_CHARS
              + " characters, found '"
              + (line.length() > MAX_QUOTED_CHARS ? line.substring(0, MAX_QUOTED_CHARS) : line)
              + "'");
    }
    return line.substring(0, blank);
  }

  private static Capabilities decode(
      Map<String, String> singleValues, List<RequestClass> requestClasses, List<String> tenants)
      throws MalformedCapabilitiesException {
    try {
      return new Capabilities(
          required(singleValues, BUILD),
          VersionRange.parse(required(singleValues, HANDOVER_VERSIONS)),
          VersionRange.parse(required(singleValues, LOG_VERSIONS)),
          required(singleValues, STORAGE_DIRECTORY),
          List.copyOf(requestClasses),
          List.copyOf(tenants),
          decodeKeyCapacity(required(singleValues, KEY_CAPACITY)),
          Long.parseLong(singleValues.getOrDefault(CLOCK_BASE, "0")));
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new MalformedCapabilitiesException(
          "capabilities: malformed value: " + e.getMessage(), e);
    }
  }

  private static String required(Map<String, String> singleValues, String name)
      throws MalformedCapabilitiesException {
    String value = singleValues.get(name);
    if (value == null) {
      throw new MalformedCapabilitiesException("capabilities: missing line '" + name + "'");
    }
    return value;
  }

  private static KeyCapacity decodeKeyCapacity(String value) {
    String[] figures = value.split(" ");
    return new KeyCapacity(
        Long.parseLong(figures[0]),
        Long.parseLong(figures[1]),
        Long.parseLong(figures[2]),
        Long.parseLong(figures[3]));
  }

  private static RequestClass decodeRequestClass(String value)
      throws MalformedCapabilitiesException {
    String[] fields = value.split(" ", 3);
    if (fields.length < 3
        || !fields[0].matches(KEYED + "|" + NOT_KEYED)
        || !fields[1].matches("[0-9]{1,12}")) {
      throw new MalformedCapabilitiesException(
          "capabilities: expected '"
              + REQUEST_CLASS
              + " "
              + KEYED
              + "|"
              + NOT_KEYED
              + " windowMillis name'");
    }
    return new RequestClass(fields[2], fields[0].equals(KEYED), Long.parseLong(fields[1]));
  }
}
