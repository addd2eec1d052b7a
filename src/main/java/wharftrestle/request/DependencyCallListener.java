package wharftrestle.request;

import wharftrestle.admission.Admission.Outcome;

/** Is notified how a dependency call ended, on a thread of the client. */
@FunctionalInterface
public interface DependencyCallListener {
  /** The response is null unless the call succeeded. */
  void onCompleted(Outcome outcome, byte[] response);
}
