package wharftrestle.simulator;

/**
 * One line of the simulator protocol: a name and tab-separated fields {@code field=value}. Fields
 * are looked up by scanning the line. Methods without a default value throw {@link
 * MalformedLineException} if the field is absent or empty.
 */
final class ProtocolLine {
  private final String line;
  private final String name;

  ProtocolLine(String line) {
    this.line = line;
    int tab = line.indexOf('\t');
    this.name = tab < 0 ? line : line.substring(0, tab);
  }

  String name() {
    return name;
  }

  String text(String field) throws MalformedLineException {
    String value = text(field, null);
    if (value == null) {
      throw new MalformedLineException("missing field '" + field + "' of '" + name + "'");
    }
    return value;
  }

  String text(String field, String defaultValue) {
    int from = name.length();
    while (from < line.length()) {
      int start = from + 1;
      int end = line.indexOf('\t', start);
      end = end < 0 ? line.length() : end;
      int equals = start + field.length();
      if (equals < end && line.charAt(equals) == '=' && line.startsWith(field, start)) {
        return equals + 1 == end ? defaultValue : line.substring(equals + 1, end);
      }
      from = end;
    }
    return defaultValue;
  }

  double number(String field) throws MalformedLineException {
    return parseNumber(field, text(field));
  }

  double number(String field, double defaultValue) throws MalformedLineException {
    String value = text(field, null);
    return value == null ? defaultValue : parseNumber(field, value);
  }

  long id(String field) throws MalformedLineException {
    return parseUnsigned(field, text(field));
  }

  long id(String field, long defaultValue) throws MalformedLineException {
    String value = text(field, null);
    return value == null ? defaultValue : parseUnsigned(field, value);
  }

  int integer(String field) throws MalformedLineException {
    return toInt(field, id(field));
  }

  int integer(String field, int defaultValue) throws MalformedLineException {
    return toInt(field, id(field, defaultValue));
  }

  boolean bool(String field) throws MalformedLineException {
    String value = text(field, "0");
    if (!value.equals("0") && !value.equals("1")) {
      throw unreadable(field, value);
    }
    return value.equals("1");
  }

  double[] numbers(String field) throws MalformedLineException {
    String value = text(field, "");
    if (value.isEmpty()) {
      return new double[0];
    }
    String[] parts = value.split(",", -1);
    double[] numbers = new double[parts.length];
    for (int i = 0; i < parts.length; i++) {
      numbers[i] = parseNumber(field, parts[i]);
    }
    return numbers;
  }

  private int toInt(String field, long value) throws MalformedLineException {
    if (value < 0 || value > Integer.MAX_VALUE) {
      throw unreadable(field, Long.toString(value));
    }
    return (int) value;
  }

  private double parseNumber(String field, String value) throws MalformedLineException {
    try {
      double number = Double.parseDouble(value);
      if (Double.isFinite(number)) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below, like numbers that are not finite.
    }
    throw unreadable(field, value);
  }

  private long parseUnsigned(String field, String value) throws MalformedLineException {
    try {
      // The seed and timer labels reach 2^63 and may use all 64 bits.
      return Long.parseUnsignedLong(value);
    } catch (NumberFormatException e) {
      throw unreadable(field, value);
    }
  }

  private MalformedLineException unreadable(String field, String value) {
    return new MalformedLineException(
        "unreadable field '" + field + "' of '" + name + "': " + value);
  }
}
