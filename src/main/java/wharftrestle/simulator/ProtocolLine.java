package wharftrestle.simulator;

/** One line of the wire: a name and tab-separated fields, found by scanning. */
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

  String text(String field, String absent) {
    int from = name.length();
    while (from < line.length()) {
      int start = from + 1;
      int end = line.indexOf('\t', start);
      end = end < 0 ? line.length() : end;
      int equals = start + field.length();
      if (equals < end && line.charAt(equals) == '=' && line.startsWith(field, start)) {
        return equals + 1 == end ? absent : line.substring(equals + 1, end);
      }
      from = end;
    }
    return absent;
  }

  double number(String field) throws MalformedLineException {
    return parse(field, text(field));
  }

  double number(String field, double absent) throws MalformedLineException {
    String value = text(field, null);
    return value == null ? absent : parse(field, value);
  }

  long id(String field) throws MalformedLineException {
    return whole(field, text(field));
  }

  long id(String field, long absent) throws MalformedLineException {
    String value = text(field, null);
    return value == null ? absent : whole(field, value);
  }

  int integer(String field) throws MalformedLineException {
    return small(field, id(field));
  }

  int integer(String field, int absent) throws MalformedLineException {
    return small(field, id(field, absent));
  }

  boolean bool(String field) throws MalformedLineException {
    String value = text(field, "0");
    if (!value.equals("0") && !value.equals("1")) {
      throw unreadable(field, value);
    }
    return value.equals("1");
  }

  double[] row(String field) throws MalformedLineException {
    String value = text(field, "");
    if (value.isEmpty()) {
      return new double[0];
    }
    String[] parts = value.split(",", -1);
    double[] row = new double[parts.length];
    for (int i = 0; i < parts.length; i++) {
      row[i] = parse(field, parts[i]);
    }
    return row;
  }

  private int small(String field, long value) throws MalformedLineException {
    if (value < 0 || value > Integer.MAX_VALUE) {
      throw unreadable(field, Long.toString(value));
    }
    return (int) value;
  }

  private double parse(String field, String value) throws MalformedLineException {
    try {
      double number = Double.parseDouble(value);
      if (Double.isFinite(number)) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Named below, as what is not finite is.
    }
    throw unreadable(field, value);
  }

  private long whole(String field, String value) throws MalformedLineException {
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
