package wharftrestle.upstream;

import java.nio.charset.StandardCharsets;
import wharftrestle.transport.BoundedReader;

/**
 * One command, encoded, and what is known of its way over one link to the worker pool. Whoever
 * queues a command creates it; the thread that writes it marks it. Thread-safe.
 */
final class LinkCommand {
  private static final byte[] CRLF = {'\r', '\n'};

  /** What a second copy of a command does if the worker pool has read the first one. */
  enum Repetition {
    /** Nothing: the command names all that it applies to. */
    HARMLESS,
    /** It may be applied to a later state of the execution than the one it was meant for. */
    UNSAFE
  }

  private final String reference;
  private final byte[] bytes;
  private final Repetition repetition;
  private final WorkerPoolLink link;
  private final long queuedNanos;
  private volatile boolean isWriteStarted;

  /**
   * @param reference of the request that the command concerns; null for one that concerns the link
   * @param link on which it is sent; null while there is none
   * @param queuedNanos when it was queued, on the clock of System.nanoTime
   */
  LinkCommand(
      String reference,
      byte[] bytes,
      Repetition repetition,
      WorkerPoolLink link,
      long queuedNanos) {
    this.reference = reference;
    this.bytes = bytes;
    this.repetition = repetition;
    this.link = link;
    this.queuedNanos = queuedNanos;
  }

  /** Encodes a command without a body. */
  static byte[] encode(String line) {
    return (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Encodes a command with a body. */
  static byte[] encode(String line, byte[] body) {
    return BoundedReader.join(encode(line + " " + body.length), body, CRLF);
  }

  String reference() {
    return reference;
  }

  byte[] bytes() {
    return bytes;
  }

  WorkerPoolLink link() {
    return link;
  }

  long queuedNanos() {
    return queuedNanos;
  }

  /** Records that the first byte may be on its way; called before the write. */
  void markWriteStarted() {
    isWriteStarted = true;
  }

  /**
   * Returns whether the command can be sent again on another link, once its own link is closed:
   * either no byte of it was sent, or a second copy does no harm.
   */
  boolean mayBeRepeated() {
    return repetition == Repetition.HARMLESS || !isWriteStarted;
  }

  /** Returns this command for another link, where nothing of it was sent yet. */
  LinkCommand repeatedOn(WorkerPoolLink next, long nowNanos) {
    return new LinkCommand(reference, bytes, repetition, next, nowNanos);
  }
}
