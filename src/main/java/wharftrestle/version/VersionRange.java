package wharftrestle.version;

/**
 * The versions of one format that a program supports, from the oldest to the newest inclusive;
 * written as {@code 1-2} or {@code 1}. Immutable.
 */
public record VersionRange(int oldest, int newest) {
  private static final int NO_COMMON_VERSION = -1;

  /** Rejects an empty range and negative versions. */
  public VersionRange {
    if (oldest < 0 || newest < oldest) {
      throw new IllegalArgumentException(
          "expected 0 <= oldest <= newest version, found " + oldest + " to " + newest);
    }
  }

  /**
   * Parses a range such as {@code 1-2} or {@code 1}.
   *
   * @throws IllegalArgumentException for any other text
   */
  public static VersionRange parse(String text) {
    if (!text.matches("[0-9]{1,6}(-[0-9]{1,6})?")) {
      throw new IllegalArgumentException(
          "expected a version range such as 1-2 or 1, found '" + text + "'");
    }
    String[] bounds = text.split("-", -1);
    return new VersionRange(
        Integer.parseInt(bounds[0]), Integer.parseInt(bounds[bounds.length - 1]));
  }

  /** The newest version in both ranges; -1 if there is none. */
  public int newestCommon(VersionRange other) {
    int candidate = Math.min(newest, other.newest);
    return candidate >= Math.max(oldest, other.oldest) ? candidate : NO_COMMON_VERSION;
  }

  /** True if this range includes the version. */
  public boolean contains(int version) {
    return version >= oldest && version <= newest;
  }

  @Override
  public String toString() {
    return oldest == newest ? Integer.toString(oldest) : oldest + "-" + newest;
  }
}
