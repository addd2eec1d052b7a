package wharftrestle.daemon;

import wharftrestle.handover.Capabilities;

/**
 * The effects of a handover on the daemon of this process. Called under the lock of {@link
 * HandoverCoordinator}; no method waits for the peer process.
 */
interface HandoverHost {
  /** The capabilities of this process, without its keys and its clock. */
  Capabilities capabilities();

  /**
   * Binds the clients' addresses, alone or beside the peer process; false if the platform's address
   * cannot be bound.
   */
  boolean listen(boolean isAlone);

  /** Accepts clients at the addresses that are bound. */
  void acceptClients();

  /** Stops accepting clients. */
  void relinquishClients();

  /**
   * Limits this process to half of all threads and connections while two processes serve, or lifts
   * that limit. Surplus connections of the platform are asked to disconnect.
   */
  void shareResources(boolean isShared);

  /** Opens the stored results, if there are any; false if they cannot be opened. */
  boolean openStorage(int attempts);

  /** True if results are stored, so that executions are known whichever process has ended. */
  boolean storesResults();

  /** Closes the stored results once all records are written, or after a time limit. */
  void closeStorage();

  /** True once a shutdown of this process has been requested. */
  boolean isShuttingDown();

  /** Sets the state of the daemon to serving. */
  void enterServing();

  /** Reports that this process cannot take over and waits until the peer has ended. */
  void reportRefusal(String reason);

  /**
   * Fails unknown keys for the longest idempotency window, as they may have been executed already.
   */
  void failUnknownKeys();

  /** Called when the peer has ended, so that the operators' addresses become available. */
  void onPeerExit();
}
