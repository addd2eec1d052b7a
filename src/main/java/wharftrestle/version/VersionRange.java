package wharftrestle.version;

/**
 * The versions of one format that a program speaks, both ends included; written {@code 1-2}, or
 * {@code 1}.
 */
public record VersionRange(int least, int most) {

  public VersionRange {
    if (least < 0 || most < least) {
      throw new IllegalArgumentException("no range: " + least + " to " + most);
    }
  }

  /**
   * Reads {@code 1-2} or {@code 1}.
   *
   * @throws IllegalArgumentException for anything else
   */
  public static VersionRange of(String text) {
    String[] ends = text.split("-", -1);
    if (ends.length > 2 || !text.matches("[0-9]{1,6}(-[0-9]{1,6})?")) {
      throw new IllegalArgumentException("no range: '" + text + "'");
    }
    return new VersionRange(Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]));
  }

  /** The newest version that both speak; -1 for none. */
  public int common(VersionRange other) {
    int best = Math.min(most, other.most);
    return best >= Math.max(least, other.least) ? best : -1;
  }

  public boolean holds(int version) {
    return version >= least && version <= most;
  }

  @Override
  public String toString() {
    return least == most ? Integer.toString(least) : least + "-" + most;
  }
}
