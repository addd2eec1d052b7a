package wharftrestle.request;

/** Commands to the worker pool. None of these methods waits for the network. */
public interface WorkerPool {
  /** Starts an execution. */
  void dispatch(String reference, String className, byte[] body);

  /** Suspends an execution permanently, so that it no longer uses a core. */
  void suspend(String reference);

  /** Continues an execution with the response to its dependency call. */
  void deliverResponse(String reference, byte[] response);

  /** Continues an execution without the call announced in its message of this number. */
  void skipCall(String reference, long announcementNumber);

  /** Requests the gauges; false if there is no connection to the worker pool. */
  boolean pollGauges();
}
