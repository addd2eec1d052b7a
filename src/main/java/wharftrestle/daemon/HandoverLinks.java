package wharftrestle.daemon;

import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import wharftrestle.request.PeerCoordinator;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.OwnershipLock;
import wharftrestle.transport.PeerLink;

/**
 * The links of this process to the other processes of its host, the socket at which successors
 * connect, and the ownership lock. Guarded by the lock of {@link HandoverCoordinator}.
 */
final class HandoverLinks {
  private final Path socket; // null if handovers are off
  private final PeerCoordinator peerKeys;
  private final PeerLink.MessageHandler handler;
  private final OwnershipLock ownershipLock; // null if handovers are off

  /** Link to the peer of the handover under way; null for none. */
  private PeerLink current;

  private WaitingRequest waiting;
  private ServerSocketChannel listener;

  /** A takeover request that arrived while another handover was under way. */
  record WaitingRequest(PeerLink link, String versions) {}

  /**
   * Connects to the process that serves, if there is one. No message is read before {@link
   * PeerLink#start}.
   */
  HandoverLinks(Path socket, PeerCoordinator peerKeys, PeerLink.MessageHandler handler) {
    this.socket = socket;
    this.peerKeys = peerKeys;
    this.handler = handler;
    ownershipLock = socket == null ? null : new OwnershipLock(socket);
    current = connect();
  }

  private PeerLink connect() {
    return socket == null ? null : PeerLink.connect(socket, peerKeys, handler);
  }

  boolean isEnabled() {
    return socket != null;
  }

  /** The link of the handover under way; null for none. */
  PeerLink current() {
    return current;
  }

  void setCurrent(PeerLink link) {
    current = link;
  }

  /** Connects again and starts to read messages; false if no process can be reached. */
  boolean reconnect() {
    ownershipLock.release(); // Keys that were received in part are void.
    PeerLink link = connect();
    if (link == null) {
      return false;
    }
    current = link;
    link.start();
    return true;
  }

  /** True if no other process knows the keys of this host; holds the lock exclusively then. */
  boolean isOnlyKeyHolder() {
    return !isEnabled() || ownershipLock.tryAcquireExclusive();
  }

  /** Holds the ownership lock shared: this process knows the keys of its host, or is about to. */
  void holdKeys() {
    ownershipLock.acquireShared();
  }

  /** Releases the ownership lock: this process knows no key that others do not know. */
  void releaseKeys() {
    ownershipLock.release();
  }

  /** Opens the socket at which successors connect. */
  void listen() {
    BoundedReader.closeQuietly(listener);
    listener = PeerLink.listen(socket, peerKeys, handler);
    if (listener != null) {
      holdKeys();
    } else {
      releaseKeys(); // A successor cannot reach this process, and must not wait for it.
    }
  }

  /** Stores a request until the handover under way has ended. */
  void enqueue(WaitingRequest request) {
    waiting = request;
  }

  /** Discards the waiting request of a link that has ended. */
  void removeWaiting(PeerLink lost) {
    if (waiting != null && waiting.link() == lost) {
      waiting = null;
    }
  }

  /** Removes and returns the waiting request; null for none. */
  WaitingRequest pollWaiting() {
    WaitingRequest request = waiting;
    waiting = null;
    return request;
  }

  /** Closes all links and the socket, and releases the lock. */
  void close() {
    BoundedReader.closeQuietly(listener);
    if (ownershipLock != null) {
      ownershipLock.close();
    }
    if (current != null) {
      current.close();
    }
    if (waiting != null) {
      waiting.link().close();
    }
  }
}
