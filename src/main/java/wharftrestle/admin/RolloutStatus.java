package wharftrestle.admin;

/**
 * Where a rolling change of the fleet stands, as this box's keeper was last told; for people alone,
 * nothing is decided by it.
 *
 * @param epoch of the driver that steers; 0 where no keeper of a fleet has said anything
 * @param stage from 1; 0 for none
 * @param verdict a word: same, worse, cannot-tell, or none
 */
public record RolloutStatus(long epoch, int stage, String verdict) {
  /** Nobody has said anything. */
  public static final RolloutStatus NONE = new RolloutStatus(0, 0, "none");

  /** Reads {@code epoch=4&stage=2&verdict=same}; null where it is not that. */
  public static RolloutStatus read(String query) {
    long epoch = -1;
    int stage = -1;
    String verdict = "";
    for (String part : query.split("&")) {
      String[] pair = part.split("=", 2);
      if (pair.length < 2 || !pair[1].matches("[a-z-]{1,20}|[0-9]{1,9}")) {
        return null;
      }
      boolean number = Character.isDigit(pair[1].charAt(0));
      switch (pair[0]) {
        case "epoch" -> epoch = number ? Long.parseLong(pair[1]) : -1;
        case "stage" -> stage = number ? Integer.parseInt(pair[1]) : -1;
        case "verdict" -> verdict = number ? "" : pair[1];
        default -> {
          return null;
        }
      }
    }
    return epoch < 0 || stage < 0 || verdict.isEmpty()
        ? null
        : new RolloutStatus(epoch, stage, verdict);
  }

  /** One line. */
  public String line() {
    return epoch == 0 ? "none" : "epoch " + epoch + ", stage " + stage + ", verdict " + verdict;
  }
}
