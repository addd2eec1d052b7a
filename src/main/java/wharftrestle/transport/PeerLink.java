package wharftrestle.transport;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.StandardProtocolFamily;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.handover.PeerProcess;
import wharftrestle.idempotency.KeyDigest;
import wharftrestle.io.BoundedTransfers;
import wharftrestle.request.PeerCoordinator;
import wharftrestle.request.PlatformThreads;
import wharftrestle.version.VersionRange;

/**
 * One end of the Unix socket between the two processes of a host. Messages are lines of fields with
 * bounded lengths, followed by bodies of announced length; they carry the updates of keys between
 * the two {@link PeerCoordinator}s and the steps of the handover, in order. Key ownership and the
 * time to listen are decided elsewhere. Senders return at once, except where {@link PeerProcess}
 * says that they wait. The link stays open while both processes live, because its end means that a
 * process has ended; after a message that cannot be handled, the link stays open, but further input
 * is discarded and nothing more is written.
 */
public final class PeerLink implements PeerProcess, Closeable {

  /** Messages of the handover from the peer process. */
  public enum Message {
    TAKEOVER_REQUEST,
    PREDECESSOR_CAPABILITIES,
    SUCCESSOR_CAPABILITIES,
    WITHDRAWAL,
    ACCEPTANCE,
    REJECTION,
    RETRY_LATER,
    KEYS_COMPLETE,
    KEYS_ACKNOWLEDGED,
    OWNERSHIP,
    LEGACY_OWNERSHIP,
    LISTENING,
    OWNERSHIP_RETURNED,
    RELINQUISHED,
    LINK_LOST
  }

  /** Receives each handover message, in order; LINK_LOST is the last. */
  public interface MessageHandler {
    /**
     * Called on the reading thread. The detail is the message's text, such as capabilities or a
     * reason; empty if there is none.
     */
    void onMessage(PeerLink link, Message message, String detail);
  }

  private static final int MAX_LINE_BYTES = 1024;
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** Maximum length of a reason. */
  private static final int MAX_REASON_CHARS = 300;

  /**
   * Milliseconds for which an execution waits at most until its key is sent to the peer process.
   */
  private static final long KEY_WRITE_TIMEOUT_MS = 1000;

  /**
   * Milliseconds to wait at most for completed keys to be written; waiting for a stopped process
   * costs nothing.
   */
  private static final long COMPLETED_KEY_TIMEOUT_MS = 10_000;

  /** Nanoseconds between two attempts to accept a link while descriptors are short. */
  private static final long ACCEPT_RETRY_NANOS = 200_000_000L;

  private static final byte[] CRLF = {'\r', '\n'};

  /**
   * Maximum number of completed keys that wait to be written, so that a full table is never in the
   * heap twice.
   */
  private static final int MAX_UNWRITTEN_COMPLETED_KEYS = 16;

  /**
   * Messages that may be unwritten while completions are forwarded; with more, the peer process
   * lags too far behind.
   */
  private static final int MAX_UNWRITTEN_MESSAGES = 1024;

  /** Field of a takeover request: the sender understands messages of completed keys. */
  private static final String COMPLETED_KEY_CAPABILITY = "over";

  /** Maximum number of links at once: the successor, and processes that wait for their turn. */
  private static final int MAX_LINKS = 4;

  private final SocketChannel channel;
  private final PeerCoordinator coordinator;
  private final MessageHandler handler;
  private final LinkedBlockingQueue<byte[]> outgoing = new LinkedBlockingQueue<>();
  private long queuedCount;
  private long writtenCount;
  private boolean isClosed;
  private volatile boolean isMuted;

  private PeerLink(SocketChannel channel, PeerCoordinator coordinator, MessageHandler handler) {
    this.channel = channel;
    this.coordinator = coordinator;
    this.handler = handler;
  }

  /**
   * Connects to a process that is already serving; null if there is none. Messages are read from
   * {@link #start} on.
   */
  public static PeerLink connect(Path path, PeerCoordinator coordinator, MessageHandler handler) {
    try {
      return new PeerLink(
          SocketChannel.open(UnixDomainSocketAddress.of(path)), coordinator, handler);
    } catch (IOException | RuntimeException e) {
      return null; // no such socket file, or a stale one
    }
  }

  /**
   * Listens for further processes on this socket file, replacing a stale one; null if that fails.
   */
  public static ServerSocketChannel listen(
      Path path, PeerCoordinator coordinator, MessageHandler handler) {
    ServerSocketChannel server;
    try {
      Files.deleteIfExists(path);
      server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
      server.bind(UnixDomainSocketAddress.of(path));
    } catch (IOException | RuntimeException e) {
      Logger.warn("cannot listen for a successor, handover is not possible: {}", e.toString());
      return null;
    }
    Semaphore linkPermits = new Semaphore(MAX_LINKS);
    PlatformThreads.thread(
            "box-accept",
            () -> {
              while (server.isOpen()) {
                try {
                  linkPermits.acquire();
                  SocketChannel channel = server.accept();
                  try {
                    PeerLink link = new PeerLink(channel, coordinator, handler);
                    PlatformThreads.thread(
                            "box",
                            () -> {
                              try {
                                link.readMessages();
                              } finally {
                                linkPermits.release();
                              }
                            })
                        .start();
                  } catch (RuntimeException | Error noThread) {
                    BoundedReader.closeQuietly(
                        channel); // nothing was read from it, so the successor retries
                    throw noThread;
                  }
                } catch (IOException | RuntimeException | Error e) {
                  // A temporary shortage of descriptors must not make later handovers impossible.
                  Logger.debug("handover: cannot accept a link: {}", e.toString());
                  linkPermits.release();
                  LockSupport.parkNanos(ACCEPT_RETRY_NANOS);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                  return;
                }
              }
            })
        .start();
    return server;
  }

  /** Starts to read and write messages. */
  public void start() {
    PlatformThreads.thread("box", this::readMessages).start();
  }

  // ---- Messages of the handover ----

  /** Requests a takeover; a build of format 1 reads only the first fields. */
  public void sendTakeoverRequest(String name, VersionRange formats) {
    send(
        "take "
            + URLEncoder.encode(name, StandardCharsets.ISO_8859_1)
            + " "
            + COMPLETED_KEY_CAPABILITY
            + " "
            + formats);
  }

  public void sendPredecessorCapabilities(String capabilities) {
    sendText("who", capabilities);
  }

  public void sendSuccessorCapabilities(String capabilities) {
    sendText("terms", capabilities);
  }

  private void sendText(String verb, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    send(verb + " " + body.length, body);
  }

  /** Sends a message that has no fields but a reason, which is for people. */
  public void send(Message message, String reason) {
    String text =
        switch (message) {
          case ACCEPTANCE -> "agreed";
          case REJECTION -> "no never";
          case RETRY_LATER -> "no later";
          case WITHDRAWAL -> "unfit";
          case OWNERSHIP_RETURNED -> "back";
          case KEYS_ACKNOWLEDGED -> "taken";
          case LISTENING -> "listens";
          case RELINQUISHED -> "ceded";
          default -> throw new IllegalArgumentException("message needs further fields: " + message);
        };
    String truncated =
        reason.length() > MAX_REASON_CHARS ? reason.substring(0, MAX_REASON_CHARS) : reason;
    send(
        truncated.isEmpty()
            ? text
            : text + " " + URLEncoder.encode(truncated, StandardCharsets.UTF_8));
  }

  /** Reports that this number of keys has been sent; this process still owns them. */
  public void sendKeysComplete(int keys) {
    send("told " + keys);
  }

  /**
   * Reports that this number of open keys has been sent, and transfers the ownership of all keys.
   */
  public void sendOwnership(int keys) {
    send("yours " + keys);
  }

  /** The same for a process of format 1. */
  public void sendLegacyOwnership(int keys) {
    send("handed " + keys);
  }

  // ---- Reading ----

  private void readMessages() {
    PlatformThreads.thread("box-write", this::writeMessages).start();
    try {
      InputStream in =
          new BufferedInputStream(
              new BoundedReader.BlockInputStream() {
                // The channel's own stream would block all writes during a read.
                @Override
                public int read(byte[] buffer, int offset, int length) throws IOException {
                  return channel.read(ByteBuffer.wrap(buffer, offset, Math.min(length, 4096)));
                }
              },
              4096);
      try {
        for (; ; ) {
          handle(BoundedReader.line(in, MAX_LINE_BYTES).split(" "), in);
        }
      } catch (Server.MalformedException | RuntimeException | Error e) {
        Logger.error(
            "peer process link: message not handled, link unused until the peer process ends: {}",
            e.toString());
        mute();
        for (byte[] discarded = new byte[4096]; in.read(discarded) >= 0; ) {
          continue;
        }
      }
    } catch (IOException e) {
      Logger.info(
          "link to the peer process closed, as the peer process ended or the link failed: {}",
          e.getMessage());
    } finally {
      close();
      handler.onMessage(this, Message.LINK_LOST, "");
    }
  }

  private void handle(String[] fields, InputStream in) throws IOException {
    requireFields(fields, 1);
    switch (fields[0]) {
      case "take" ->
          deliver(
              Message.TAKEOVER_REQUEST,
              fields.length < 3 || !fields[2].equals(COMPLETED_KEY_CAPABILITY)
                  ? "0"
                  : fields.length < 4 ? "1" : fields[3]);
      case "who" -> deliver(Message.PREDECESSOR_CAPABILITIES, readText(fields, in));
      case "terms" -> deliver(Message.SUCCESSOR_CAPABILITIES, readText(fields, in));
      case "unfit" -> deliver(Message.WITHDRAWAL, decodeReason(fields, 1));
      case "agreed" -> deliver(Message.ACCEPTANCE, "");
      case "no" -> {
        requireFields(fields, 2);
        deliver(
            fields[1].equals("never") ? Message.REJECTION : Message.RETRY_LATER,
            decodeReason(fields, 2));
      }
      case "told" -> deliver(Message.KEYS_COMPLETE, "");
      case "taken" -> deliver(Message.KEYS_ACKNOWLEDGED, "");
      case "yours" -> deliver(Message.OWNERSHIP, "");
      case "handed" -> deliver(Message.LEGACY_OWNERSHIP, "");
      case "listens" -> deliver(Message.LISTENING, "");
      case "back" -> deliver(Message.OWNERSHIP_RETURNED, decodeReason(fields, 1));
      case "ceded" -> deliver(Message.RELINQUISHED, "");
      case "over" -> {
        requireFields(fields, 7);
        coordinator.keySettled(
            new CompletedKey(
                new KeyDigest(Long.parseLong(fields[1]), Long.parseLong(fields[2])),
                Long.parseLong(fields[3]),
                BoundedReader.parseMillisAsSeconds(fields[4]),
                Long.parseLong(fields[5]),
                fields[6].equals("-") ? null : readBody(in, fields[6])));
      }
      case "key" -> {
        requireFields(fields, 7);
        byte[] body = readBody(in, fields[5]);
        byte[] result = fields[6].equals("-") ? null : readBody(in, fields[6]);
        coordinator.keyUpdated(
            new KeyUpdate(
                decodeKey(fields[1]),
                fields[2].equals("over"),
                Long.parseLong(fields[3]),
                BoundedReader.parseMillisAsSeconds(fields[4]),
                body,
                result));
      }
      case "claim" -> {
        requireFields(fields, 4);
        coordinator.keyClaimed(
            decodeKey(fields[1]), Long.parseLong(fields[2]), readBody(in, fields[3]));
      }
      case "granted" -> coordinator.keyGranted(decodeKey(fields[1]));
      case "ended" -> {
        requireFields(fields, 3);
        coordinator.executionCompleted(
            decodeKey(fields[1]), fields[2].equals("-") ? null : readBody(in, fields[2]));
      }
      case "freed" -> coordinator.keyReleased(decodeKey(fields[1]));
      case "intend" -> {
        requireFields(fields, 4);
        readBody(in, fields[3]);
        coordinator.intentRequested(decodeKey(fields[1]));
      }
      case "intended" -> {
        requireFields(fields, 3);
        coordinator.intentWritten(decodeKey(fields[1]), fields[2].equals("yes"));
      }
      case "saved" -> coordinator.resultSaved(decodeKey(fields[1]));
      default ->
          throw new Server.MalformedException(
              "unknown message of the peer process: '" + fields[0] + "'");
    }
  }

  private void deliver(Message message, String detail) {
    handler.onMessage(this, message, detail);
  }

  private static void requireFields(String[] fields, int minFields) throws IOException {
    boolean hasKey = fields[0].matches("key|claim|granted|ended|freed|intend|intended|saved");
    if (fields.length < (hasKey ? Math.max(2, minFields) : minFields)) {
      throw new Server.MalformedException("message of the peer process has too few fields");
    }
  }

  private static String decodeKey(String field) {
    String key = URLDecoder.decode(field, StandardCharsets.ISO_8859_1);
    if (!key.matches("(?s)[0-9]{1,6}/.*")) {
      throw new IllegalArgumentException("key without its class number");
    }
    return key;
  }

  private static String decodeReason(String[] fields, int index) {
    return fields.length <= index ? "" : URLDecoder.decode(fields[index], StandardCharsets.UTF_8);
  }

  private static String readText(String[] fields, InputStream in) throws IOException {
    requireFields(fields, 2);
    return new String(readBody(in, fields[1]), StandardCharsets.UTF_8);
  }

  private static byte[] readBody(InputStream in, String length) throws IOException {
    byte[] body = BoundedReader.exactly(in, (int) BoundedReader.number(length, MAX_BODY_BYTES));
    BoundedReader.crlf(in);
    return body;
  }

  // ---- Writing ----

  private void writeMessages() {
    try {
      for (byte[] next = outgoing.take(); next.length > 0; next = outgoing.take()) {
        for (ByteBuffer remaining = ByteBuffer.wrap(next); remaining.hasRemaining() && !isMuted; ) {
          BoundedTransfers.writeSome(channel, remaining);
        }
        synchronized (outgoing) {
          writtenCount++;
          outgoing.notifyAll();
        }
      }
    } catch (IOException | RuntimeException | Error e) {
      Logger.debug("handover: cannot write a message: {}", e.toString());
      mute(); // a message may be written in part; the reading thread sees the end of the link
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Queues a message and returns its number. The coordinator calls it under its lock, so messages
   * are in the order of its events.
   */
  private long send(String line, byte[]... bodies) {
    byte[] message = BoundedReader.ascii(line + "\r\n");
    for (byte[] body : bodies) {
      message = body == null ? message : BoundedReader.join(message, body, CRLF);
    }
    synchronized (outgoing) {
      if (!isClosed) {
        outgoing.add(message);
      }
      return ++queuedCount;
    }
  }

  private static String encodeKey(String key) {
    return URLEncoder.encode(key, StandardCharsets.ISO_8859_1);
  }

  private static String lengthField(byte[] body) {
    return body == null ? "-" : Integer.toString(body.length);
  }

  @Override
  public void sendClaim(String key, long arrivalUnixMillis, byte[] body) {
    send("claim " + encodeKey(key) + " " + arrivalUnixMillis + " " + body.length, body);
  }

  @Override
  public void sendGrant(String key) {
    send("granted " + encodeKey(key));
  }

  @Override
  public void sendKey(KeyUpdate update) {
    enqueueKey(update);
  }

  private long enqueueKey(KeyUpdate update) {
    return send(
        "key "
            + encodeKey(update.key())
            + (update.isCompleted() ? " over " : " open ")
            + update.coveredUntilUnixMillis()
            + " "
            + Math.round(update.remainingSeconds() * 1000)
            + " "
            + update.body().length
            + " "
            + lengthField(update.result()),
        update.body(),
        update.result());
  }

  @Override
  public void sendKeyAndAwaitWrite(KeyUpdate update) {
    awaitWritten(enqueueKey(update), KEY_WRITE_TIMEOUT_MS);
  }

  private long enqueueKey(CompletedKey completed) {
    return send(
        "over "
            + completed.digest().high()
            + " "
            + completed.digest().low()
            + " "
            + completed.coveredUntilUnixMillis()
            + " "
            + Math.round(completed.remainingSeconds() * 1000)
            + " "
            + completed.bodyChecksum()
            + " "
            + lengthField(completed.result()),
        completed.result());
  }

  @Override
  public boolean sendCompletedKey(CompletedKey completed) {
    return awaitWritten(
        enqueueKey(completed) - MAX_UNWRITTEN_COMPLETED_KEYS, COMPLETED_KEY_TIMEOUT_MS);
  }

  @Override
  public boolean forwardCompletedKey(CompletedKey completed) {
    long messageNumber = enqueueKey(completed);
    synchronized (outgoing) {
      return messageNumber - writtenCount <= MAX_UNWRITTEN_MESSAGES;
    }
  }

  /**
   * Waits until this number of messages is written; false on a timeout or if the link is closed.
   */
  private boolean awaitWritten(long count, long timeoutMs) {
    long deadline = System.nanoTime() + timeoutMs * 1_000_000;
    synchronized (outgoing) {
      try {
        for (long remainingMs = timeoutMs;
            writtenCount < count && !isClosed && remainingMs > 0;
            remainingMs = (deadline - System.nanoTime()) / 1_000_000) {
          outgoing.wait(remainingMs);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return writtenCount >= count && !isClosed;
    }
  }

  @Override
  public void sendCompletion(String key, byte[] result) {
    send("ended " + encodeKey(key) + " " + lengthField(result), result);
  }

  @Override
  public void sendRelease(String key) {
    send("freed " + encodeKey(key));
  }

  @Override
  public void sendIntentRequest(String key, long arrivalUnixMillis, byte[] body) {
    send("intend " + encodeKey(key) + " " + arrivalUnixMillis + " " + body.length, body);
  }

  @Override
  public void sendIntentOutcome(String key, boolean isWritten) {
    send("intended " + encodeKey(key) + (isWritten ? " yes" : " no"));
  }

  @Override
  public void sendResultWritten(String key) {
    send("saved " + encodeKey(key));
  }

  /** Writes nothing more: drops unwritten messages and wakes the threads that wait for them. */
  private void mute() {
    synchronized (outgoing) {
      isMuted = true;
      isClosed = true;
      outgoing.clear();
      outgoing.add(new byte[0]);
      outgoing.notifyAll();
    }
  }

  /** Closes the link, which the peer process takes for the end of this process. */
  @Override
  public void close() {
    mute();
    BoundedReader.closeQuietly(channel);
  }
}
