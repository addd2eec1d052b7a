package wharftrestle.request;

/** The outcome of {@link RequestCoordinator#accept} for one request. */
public sealed interface Acceptance {

  /**
   * The request is in flight and its listener will be notified. Passed to {@link
   * RequestCoordinator#callerDisconnected} to identify the request.
   */
  sealed interface InFlight extends Acceptance permits InFlightRequest {}

  /** The listener was notified before {@link RequestCoordinator#accept} returned. */
  enum Answered implements Acceptance {
    ANSWERED
  }
}
