package wharftrestle.request;

/** Sends the dependency calls of executions. */
public interface DependencyClient {
  /**
   * Sends a call on another thread and returns at once; the listener is notified once unless the
   * call is cancelled. A call that is not idempotent is never sent on a connection that the store
   * may have closed meanwhile.
   */
  DependencyCall call(
      String reference,
      byte[] body,
      long timeoutMillis,
      boolean isIdempotent,
      DependencyCallListener listener);
}
