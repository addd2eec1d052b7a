package wharftrestle.request;

/** Carries out the dependency calls of executions. */
public interface DependencyClient {
  /**
   * Sends a call on another thread and returns at once; the listener is notified once unless the
   * call is cancelled. A call that is not idempotent never uses a connection that may have ended
   * meanwhile.
   */
  DependencyCall call(
      String reference,
      byte[] body,
      long timeoutMillis,
      boolean isIdempotent,
      DependencyCallListener listener);
}
