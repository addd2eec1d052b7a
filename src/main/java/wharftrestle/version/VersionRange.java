package wharftrestle.version;

/**
 * The versions of one format that a program speaks, both included; written {@code 1-2}, or {@code
 * 1}. Immutable.
 */
public record VersionRange(int oldest, int newest) {
  private static final int NONE_IN_COMMON = -1;

  /** Checks that the range is not empty. */
  public VersionRange {
    if (oldest < 0 || newest < oldest) {
      throw new IllegalArgumentException("no range: " + oldest + " to " + newest);
    }
  }

  /**
   * Reads {@code 1-2} or {@code 1}.
   *
   * @throws IllegalArgumentException for any other text
   */
  public static VersionRange parse(String text) {
    if (!text.matches("[0-9]{1,6}(-[0-9]{1,6})?")) {
      throw new IllegalArgumentException("no range: '" + text + "'");
    }
    String[] bounds = text.split("-", -1);
    return new VersionRange(
        Integer.parseInt(bounds[0]), Integer.parseInt(bounds[bounds.length - 1]));
  }

  /** The newest version that both speak; -1 for none. */
  public int newestCommon(VersionRange that) {
    int candidate = Math.min(newest, that.newest);
    return candidate >= Math.max(oldest, that.oldest) ? candidate : NONE_IN_COMMON;
  }

  /** True where this range includes the version. */
  public boolean contains(int version) {
    return version >= oldest && version <= newest;
  }

  @Override
  public String toString() {
    return oldest == newest ? Integer.toString(oldest) : oldest + "-" + newest;
  }
}
