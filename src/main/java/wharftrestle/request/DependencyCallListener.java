package wharftrestle.request;

import wharftrestle.admission.Admission.Outcome;

/** Receives the outcome of a dependency call, on a thread of the client. */
@FunctionalInterface
public interface DependencyCallListener {
  /** Called once per call that is not cancelled; the response is null unless it succeeded. */
  void onCompleted(Outcome outcome, byte[] response);
}
