package wharftrestle.handover;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharftrestle.version.VersionRange;

/**
 * What a process says of itself before anything moves. It owns the text form: a line a part, {@code
 * name value}; parts that a reader does not know are passed over, so that later builds may say
 * more.
 *
 * @param build for people: which build it is
 * @param speaks formats of the hand-over
 * @param log files of kept results that it reads; it writes the newest
 * @param folder where it keeps results; empty for nowhere
 * @param classes by place
 * @param tenants names by place
 * @param room what it knows, or can
 * @param scale where its scale of stamps begins, ms; 0 where it does not say, as builds before this
 *     line do not
 */
public record Capabilities(
    String build,
    VersionRange handoverVersions,
    VersionRange logVersions,
    String storageDirectory,
    List<RequestClass> requestClasses,
    List<String> tenants,
    KeyCapacity keyCapacity,
    long clockBaseUnixMillis) {

  /** One class of requests: {@code window} in ms, 0 where it has no keys. */
  public record RequestClass(String name, boolean isKeyed, long windowMillis) {}

  /**
   * Keys and bytes of results.
   *
   * @param keys known now
   * @param mostKeys known at most
   * @param bytes of what is known now, kept in memory
   * @param mostBytes kept in memory at most
   */
  public record KeyCapacity(long keys, long maxKeys, long resultBytes, long maxResultBytes) {}

  /** What a peer said is no terms. */
  public static final class MalformedCapabilitiesException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedCapabilitiesException(String message) {
      super(message, null, false, false);
    }
  }

  /** Lines and characters of a line that are read at most. */
  private static final int MOST_LINES = 2000;

  private static final int LONGEST = 4000;

  /** As it is said. */
  public String encode() {
    StringBuilder text = new StringBuilder();
    line(text, "build", build);
    line(text, "speaks", handoverVersions.toString());
    line(text, "log", logVersions.toString());
    line(text, "folder", storageDirectory);
    for (RequestClass kind : requestClasses) {
      line(
          text,
          "class",
          (kind.isKeyed() ? "keyed " : "plain ") + kind.windowMillis() + " " + kind.name());
    }
    tenants.forEach(name -> line(text, "tenant", name));
    line(
        text,
        "room",
        keyCapacity.keys()
            + " "
            + keyCapacity.maxKeys()
            + " "
            + keyCapacity.resultBytes()
            + " "
            + keyCapacity.maxResultBytes());
    line(text, "scale", Long.toString(clockBaseUnixMillis));
    return text.toString();
  }

  /**
   * A value is one line, whatever is in it: what ends a line or the escape itself is written as
   * %XX.
   */
  private static void line(StringBuilder text, String name, String value) {
    text.append(name)
        .append(' ')
        .append(value.replace("%", "%25").replace("\n", "%0A").replace("\r", "%0D"))
        .append('\n');
  }

  private static String plain(String value) {
    return value.replace("%0A", "\n").replace("%0D", "\r").replace("%25", "%");
  }

  /**
   * Reads what a peer said.
   *
   * @throws UnreadableException in one line
   */
  public static Capabilities decode(String text) throws MalformedCapabilitiesException {
    String[] lines = text.split("\n");
    if (lines.length > MOST_LINES) {
      throw new MalformedCapabilitiesException("more than " + MOST_LINES + " lines of terms");
    }
    Map<String, String> once = new LinkedHashMap<>();
    List<RequestClass> classes = new ArrayList<>();
    List<String> tenants = new ArrayList<>();
    for (String line : lines) {
      int blank = line.indexOf(' ');
      if (blank < 1 || line.length() > LONGEST) {
        throw new MalformedCapabilitiesException(
            "no line of terms: '" + (line.length() > 40 ? line.substring(0, 40) : line) + "'");
      }
      String name = line.substring(0, blank);
      String value = plain(line.substring(blank + 1));
      switch (name) {
        case "class" -> classes.add(kind(value));
        case "tenant" -> tenants.add(value);
        default -> once.put(name, value);
      }
    }
    try {
      long[] room = new long[4];
      String[] figures = need(once, "room").split(" ");
      for (int i = 0; i < room.length; i++) {
        room[i] = Long.parseLong(figures[i]);
      }
      return new Capabilities(
          need(once, "build"),
          VersionRange.parse(need(once, "speaks")),
          VersionRange.parse(need(once, "log")),
          need(once, "folder"),
          List.copyOf(classes),
          List.copyOf(tenants),
          new KeyCapacity(room[0], room[1], room[2], room[3]),
          Long.parseLong(once.getOrDefault("scale", "0")));
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new MalformedCapabilitiesException("terms cannot be read: " + e.getMessage());
    }
  }

  private static String need(Map<String, String> once, String name)
      throws MalformedCapabilitiesException {
    String value = once.get(name);
    if (value == null) {
      throw new MalformedCapabilitiesException("terms say no " + name);
    }
    return value;
  }

  private static RequestClass kind(String value) throws MalformedCapabilitiesException {
    String[] words = value.split(" ", 3);
    if (words.length < 3 || !words[0].matches("keyed|plain") || !words[1].matches("[0-9]{1,12}")) {
      throw new MalformedCapabilitiesException("terms name a class that cannot be read");
    }
    return new RequestClass(words[2], words[0].equals("keyed"), Long.parseLong(words[1]));
  }
}
