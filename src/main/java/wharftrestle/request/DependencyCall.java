package wharftrestle.request;

/** A dependency call on its way. */
public interface DependencyCall {
  /** Its listener is not notified any more. */
  void cancel();
}
