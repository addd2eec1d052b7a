package wharftrestle.request;

/** A dependency call that is in progress. */
public interface DependencyCall {
  /** Cancels the call; its listener is not notified. */
  void cancel();
}
