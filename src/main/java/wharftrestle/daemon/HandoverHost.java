package wharftrestle.daemon;

import wharftrestle.handover.Capabilities;

/**
 * What a handover does to the process itself. Called under the lock of {@link HandoverCoordinator};
 * no method waits for the peer process.
 */
interface HandoverHost {
  /** What this process states of itself, but for its keys and its clock. */
  Capabilities capabilities();

  /**
   * Binds the clients' addresses, alone or beside the peer process; false where the platform's
   * address cannot be bound.
   */
  boolean listen(boolean isAlone);

  /** Accepts clients at the addresses that are bound. */
  void acceptClients();

  /** Takes no more clients. */
  void relinquishClients();

  /**
   * Uses half of all threads and connections while two processes serve, or all of them. Connections
   * beyond that are sent away.
   */
  void shareResources(boolean isShared);

  /** Opens the stored results where there are any; false where they cannot be opened. */
  boolean openStorage(int attempts);

  /** True where stored results tell what was executed, whichever process has ended. */
  boolean storesResults();

  /** Closes the stored results, once what waits to be written is, or has waited long enough. */
  void closeStorage();

  /** True once this process has had the notice to leave. */
  boolean isLeaving();

  /** This process serves from now on. */
  void enterServing();

  /** This process cannot take over and waits until the peer has ended. */
  void reportRefusal(String reason);

  /**
   * Fails unknown keys for the longest idempotency window: what was executed before may be among
   * them.
   */
  void failUnknownKeys();

  /** The peer has ended: the operators' addresses become free. */
  void onPeerExit();
}
