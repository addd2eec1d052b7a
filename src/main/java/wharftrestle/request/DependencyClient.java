package wharftrestle.request;

/** Sends the dependency calls of executions. */
public interface DependencyClient {
  /**
   * Sends a call on another thread and returns at once; the listener is notified once unless the
   * call is cancelled. Only what the store sent in response to this very call is passed on.
   */
  DependencyCall call(
      String reference, byte[] body, long timeoutMillis, DependencyCallListener listener);
}
