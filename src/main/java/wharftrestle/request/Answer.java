package wharftrestle.request;

/**
 * The one final answer of a request.
 *
 * @param result the result of the execution; empty unless the request was served
 * @param retryAfterSeconds value for Retry-After; 0 for none
 * @param fleetOverloaded true if the other hosts would reject the request too
 */
public record Answer(Kind kind, byte[] result, double retryAfterSeconds, boolean fleetOverloaded) {

  /** How a request ended. */
  public enum Kind {
    SERVED,
    REJECTED,
    FAILED,
    DEADLINE_EXCEEDED,
    CONFLICT
  }

  private static final byte[] EMPTY = new byte[0];

  static Answer served(byte[] result) {
    return new Answer(Kind.SERVED, result, 0, false);
  }

  static Answer failed() {
    return new Answer(Kind.FAILED, EMPTY, 0, false);
  }

  static Answer conflict() {
    return new Answer(Kind.CONFLICT, EMPTY, 0, false);
  }

  static Answer deadlineExceeded() {
    return new Answer(Kind.DEADLINE_EXCEEDED, EMPTY, 0, false);
  }

  static Answer rejected(double retryAfterSeconds, boolean fleetOverloaded) {
    return new Answer(Kind.REJECTED, EMPTY, retryAfterSeconds, fleetOverloaded);
  }
}
