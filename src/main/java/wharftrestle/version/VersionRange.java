package wharftrestle.version;

/**
 * The versions of one format that a program speaks, both ends included; written {@code 1-2}, or
 * {@code 1}.
 */
public record VersionRange(int oldest, int newest) {

  public VersionRange {
    if (oldest < 0 || newest < oldest) {
      throw new IllegalArgumentException("no range: " + oldest + " to " + newest);
    }
  }

  /**
   * Reads {@code 1-2} or {@code 1}.
   *
   * @throws IllegalArgumentException for anything else
   */
  public static VersionRange parse(String text) {
    String[] ends = text.split("-", -1);
    if (ends.length > 2 || !text.matches("[0-9]{1,6}(-[0-9]{1,6})?")) {
      throw new IllegalArgumentException("no range: '" + text + "'");
    }
    return new VersionRange(Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]));
  }

  /** The newest version that both speak; -1 for none. */
  public int newestCommon(VersionRange other) {
    int best = Math.min(newest, other.newest);
    return best >= Math.max(oldest, other.oldest) ? best : -1;
  }

  public boolean contains(int version) {
    return version >= oldest && version <= newest;
  }

  @Override
  public String toString() {
    return oldest == newest ? Integer.toString(oldest) : oldest + "-" + newest;
  }
}
