package wharftrestle.request;

/** What became of a request that was handed to {@link RequestCoordinator#accept}. */
public sealed interface Acceptance {

  /**
   * The request is in flight and its listener will be notified; names it for {@link
   * RequestCoordinator#callerDisconnected}.
   */
  sealed interface InFlight extends Acceptance permits InFlightRequest {}

  /** The listener was notified within the call. */
  enum Answered implements Acceptance {
    ANSWERED
  }
}
