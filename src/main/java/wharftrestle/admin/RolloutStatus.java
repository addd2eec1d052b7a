package wharftrestle.admin;

/**
 * The status of a rollout as last reported by the supervisor of this host. It is shown to operators
 * only; no decision depends on it.
 *
 * @param epoch epoch of the controller; 0 if no status has been reported
 * @param stage stage number from 1; 0 for none
 * @param verdict verdict of the canary analysis: same, worse, cannot-tell, or none
 */
public record RolloutStatus(long epoch, int stage, String verdict) {
  /** No status has been reported. */
  public static final RolloutStatus NONE = new RolloutStatus(0, 0, "none");

  /** Parses {@code epoch=4&stage=2&verdict=same}; returns null for any other form. */
  public static RolloutStatus parse(String query) {
    long epoch = -1;
    int stage = -1;
    String verdict = "";
    for (String part : query.split("&")) {
      String[] pair = part.split("=", 2);
      if (pair.length < 2 || !pair[1].matches("[a-z-]{1,20}|[0-9]{1,9}")) {
        return null;
      }
      boolean numeric = Character.isDigit(pair[1].charAt(0));
      switch (pair[0]) {
        case "epoch" -> epoch = numeric ? Long.parseLong(pair[1]) : -1;
        case "stage" -> stage = numeric ? Integer.parseInt(pair[1]) : -1;
        case "verdict" -> verdict = numeric ? "" : pair[1];
        default -> {
          return null;
        }
      }
    }
    return epoch < 0 || stage < 0 || verdict.isEmpty()
        ? null
        : new RolloutStatus(epoch, stage, verdict);
  }

  /** Formats the status for the admin endpoint. */
  public String summary() {
    return epoch == 0 ? "none" : "epoch " + epoch + ", stage " + stage + ", verdict " + verdict;
  }
}
