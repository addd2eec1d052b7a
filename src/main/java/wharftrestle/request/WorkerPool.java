package wharftrestle.request;

/** Commands to the worker pool. None of these waits for the network. */
public interface WorkerPool {
  /** Starts an execution. */
  void dispatch(String reference, String className, byte[] body);

  /** Takes an execution off the cores for good. */
  void suspend(String reference);

  /** Continues an execution with the response to its dependency call. */
  void deliverResponse(String reference, byte[] response);

  /** Continues an execution without the call that it announced in this notice. */
  void skipCall(String reference, long announcementNumber);

  /** Asks for the gauges; false where there is no link to ask over. */
  boolean pollGauges();
}
