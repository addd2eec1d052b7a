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
import wharftrestle.request.PeerCoordinator;
import wharftrestle.request.PlatformThreads;
import wharftrestle.version.VersionRange;

/**
 * Owns the Unix socket over which the two processes of a box talk: lines of words, bounded, with
 * bodies by length. It carries what the core tells the other core and the steps of the hand-over,
 * in order. It must never decide who owns a key or when a side listens, never make the core wait
 * but where the core asks for it, and never close a link while its process lives and the other may
 * talk: the end of a link means that a process has ended. What cannot be understood makes it deaf
 * and dumb instead.
 */
public final class PeerLink implements PeerProcess, Closeable {

  /** The steps of a hand-over, as the other process says them. */
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

  /** Told of each word, in order; LOST is the last. */
  public interface MessageHandler {
    /** The detail is what came with the word: terms, a reason; empty for none. */
    void onMessage(PeerLink link, Message word, String detail);
  }

  private static final int LONGEST_LINE = 1024;
  private static final int LONGEST_BODY = 64 * 1024;

  /** Characters of a reason. */
  private static final int LONGEST_REASON = 300;

  /** Milliseconds for which a run waits at most until the other process can know of it. */
  private static final long SURELY_MS = 1000;

  /**
   * Milliseconds for which the words of settled keys wait at most: waiting for a stopped process
   * costs nothing.
   */
  private static final long PATIENCE_MS = 10_000;

  /** Nanoseconds between two tries to hear who comes, where descriptors are short. */
  private static final long AGAIN_NANOS = 200_000_000L;

  private static final byte[] CRLF = {'\r', '\n'};

  /**
   * Words of keys that are over which wait to be written at most: a full table is never in the heap
   * twice.
   */
  private static final int MOST_OVER = 16;

  /**
   * Words that may wait while what settles is told; with more, the other side lags too far behind.
   */
  private static final int MOST_FOLLOW = 1024;

  /** What a process says with its wish to take over: it knows the word for keys that are over. */
  private static final String KNOWS_OVER = "over";

  /** Links at once: the process that takes over, and those that wait. */
  private static final int MOST_LINKS = 4;

  private final SocketChannel channel;
  private final PeerCoordinator core;
  private final MessageHandler side;
  private final LinkedBlockingQueue<byte[]> words = new LinkedBlockingQueue<>();
  private long queued;
  private long written;
  private boolean over;
  private volatile boolean mute;

  private PeerLink(SocketChannel channel, PeerCoordinator core, MessageHandler side) {
    this.channel = channel;
    this.core = core;
    this.side = side;
  }

  /**
   * The link to a process that serves already; null where none does. Nothing is heard before {@link
   * #start}.
   */
  public static PeerLink connect(Path at, PeerCoordinator core, MessageHandler side) {
    try {
      return new PeerLink(SocketChannel.open(UnixDomainSocketAddress.of(at)), core, side);
    } catch (IOException | RuntimeException none) {
      return null; // no such file, or a stale one
    }
  }

  /**
   * Waits for further processes at this file, which may be a stale one; null where it cannot be
   * had.
   */
  public static ServerSocketChannel listen(Path at, PeerCoordinator core, MessageHandler side) {
    ServerSocketChannel server;
    try {
      Files.deleteIfExists(at);
      server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
      server.bind(UnixDomainSocketAddress.of(at));
    } catch (IOException | RuntimeException e) {
      Logger.warn("no upgrade can take over from this process: {}", e.toString());
      return null;
    }
    Semaphore links = new Semaphore(MOST_LINKS);
    PlatformThreads.thread(
            "box-accept",
            () -> {
              while (server.isOpen()) {
                try {
                  links.acquire();
                  SocketChannel channel = server.accept();
                  try {
                    PeerLink link = new PeerLink(channel, core, side);
                    PlatformThreads.thread(
                            "box",
                            () -> {
                              try {
                                link.converse();
                              } finally {
                                links.release();
                              }
                            })
                        .start();
                  } catch (RuntimeException | Error noThread) {
                    BoundedReader.closeQuietly(
                        channel); // nothing was heard on it: whoever comes tries again
                    throw noThread;
                  }
                } catch (IOException | RuntimeException | Error e) {
                  // Guards against a box that no process can take over any more, as descriptors
                  // were short once.
                  Logger.debug("hand-over: {}", e.toString());
                  links.release();
                  LockSupport.parkNanos(AGAIN_NANOS);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                  return;
                }
              }
            })
        .start();
    return server;
  }

  /** Hears from now on. */
  public void start() {
    PlatformThreads.thread("box", this::converse).start();
  }

  // ---- The steps, as this side says them ----

  /** Asks to take over; a build of format 1 reads the first words alone. */
  public void sendTakeoverRequest(String name, VersionRange speaks) {
    send(
        "take "
            + URLEncoder.encode(name, StandardCharsets.ISO_8859_1)
            + " "
            + KNOWS_OVER
            + " "
            + speaks);
  }

  public void sendPredecessorCapabilities(String terms) {
    sayText("who", terms);
  }

  public void sendSuccessorCapabilities(String terms) {
    sayText("terms", terms);
  }

  private void sayText(String word, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    send(word + " " + body.length, body);
  }

  /** Says one step; the reason is for people. */
  public void send(Message word, String reason) {
    String text =
        switch (word) {
          case ACCEPTANCE -> "agreed";
          case REJECTION -> "no never";
          case RETRY_LATER -> "no later";
          case WITHDRAWAL -> "unfit";
          case OWNERSHIP_RETURNED -> "back";
          case KEYS_ACKNOWLEDGED -> "taken";
          case LISTENING -> "listens";
          case RELINQUISHED -> "ceded";
          default -> throw new IllegalArgumentException("has more to say: " + word);
        };
    String brief = reason.length() > LONGEST_REASON ? reason.substring(0, LONGEST_REASON) : reason;
    send(brief.isEmpty() ? text : text + " " + URLEncoder.encode(brief, StandardCharsets.UTF_8));
  }

  /** Says that so many keys have been told, which this side owns still. */
  public void sendKeysComplete(int keys) {
    send("told " + keys);
  }

  /** Says that so many open keys have been told, and that the other side owns all. */
  public void sendOwnership(int keys) {
    send("yours " + keys);
  }

  /** The same to a process of format 1. */
  public void sendLegacyOwnership(int keys) {
    send("handed " + keys);
  }

  // ---- Reading ----

  private void converse() {
    PlatformThreads.thread("box-write", this::write).start();
    try {
      InputStream in =
          new BufferedInputStream(
              new BoundedReader.Runs() {
                // The channel's own stream would hold its lock while it waits, and so hold up all
                // writes.
                @Override
                public int read(byte[] into, int from, int most) throws IOException {
                  return channel.read(ByteBuffer.wrap(into, from, Math.min(most, 4096)));
                }
              },
              4096);
      try {
        for (; ; ) {
          hear(BoundedReader.line(in, LONGEST_LINE).split(" "), in);
        }
      } catch (Server.MalformedException | RuntimeException | Error e) {
        Logger.error(
            "the other process of this box is not understood ({}): nothing more is said or heard until it"
                + " has ended",
            e.toString());
        hush();
        for (byte[] dropped = new byte[4096]; in.read(dropped) >= 0; ) {
          continue;
        }
      }
    } catch (IOException e) {
      Logger.info("the other process of this box has ended its link ({})", e.getMessage());
    } finally {
      close();
      side.onMessage(this, Message.LINK_LOST, "");
    }
  }

  private void hear(String[] words, InputStream in) throws IOException {
    need(words, 1);
    switch (words[0]) {
      case "take" ->
          step(
              Message.TAKEOVER_REQUEST,
              words.length < 3 || !words[2].equals(KNOWS_OVER)
                  ? "0"
                  : words.length < 4 ? "1" : words[3]);
      case "who" -> step(Message.PREDECESSOR_CAPABILITIES, text(words, in));
      case "terms" -> step(Message.SUCCESSOR_CAPABILITIES, text(words, in));
      case "unfit" -> step(Message.WITHDRAWAL, reason(words, 1));
      case "agreed" -> step(Message.ACCEPTANCE, "");
      case "no" -> {
        need(words, 2);
        step(words[1].equals("never") ? Message.REJECTION : Message.RETRY_LATER, reason(words, 2));
      }
      case "told" -> step(Message.KEYS_COMPLETE, "");
      case "taken" -> step(Message.KEYS_ACKNOWLEDGED, "");
      case "yours" -> step(Message.OWNERSHIP, "");
      case "handed" -> step(Message.LEGACY_OWNERSHIP, "");
      case "listens" -> step(Message.LISTENING, "");
      case "back" -> step(Message.OWNERSHIP_RETURNED, reason(words, 1));
      case "ceded" -> step(Message.RELINQUISHED, "");
      case "over" -> {
        need(words, 7);
        core.keySettled(
            new CompletedKey(
                new KeyDigest(Long.parseLong(words[1]), Long.parseLong(words[2])),
                Long.parseLong(words[3]),
                BoundedReader.duration(words[4]),
                Long.parseLong(words[5]),
                words[6].equals("-") ? null : body(in, words[6])));
      }
      case "key" -> {
        need(words, 7);
        byte[] body = body(in, words[5]);
        byte[] result = words[6].equals("-") ? null : body(in, words[6]);
        core.keyUpdated(
            new KeyUpdate(
                key(words[1]),
                words[2].equals("over"),
                Long.parseLong(words[3]),
                BoundedReader.duration(words[4]),
                body,
                result));
      }
      case "claim" -> {
        need(words, 4);
        core.keyClaimed(key(words[1]), Long.parseLong(words[2]), body(in, words[3]));
      }
      case "granted" -> core.keyGranted(key(words[1]));
      case "ended" -> {
        need(words, 3);
        core.executionCompleted(key(words[1]), words[2].equals("-") ? null : body(in, words[2]));
      }
      case "freed" -> core.keyReleased(key(words[1]));
      case "intend" -> {
        need(words, 4);
        body(in, words[3]);
        core.intentRequested(key(words[1]));
      }
      case "intended" -> {
        need(words, 3);
        core.intentWritten(key(words[1]), words[2].equals("yes"));
      }
      case "saved" -> core.resultSaved(key(words[1]));
      default -> throw new Server.MalformedException("the other process says '" + words[0] + "'");
    }
  }

  private void step(Message word, String detail) {
    side.onMessage(this, word, detail);
  }

  private static void need(String[] words, int least) throws IOException {
    boolean keyed = words[0].matches("key|claim|granted|ended|freed|intend|intended|saved");
    if (words.length < (keyed ? Math.max(2, least) : least)) {
      throw new Server.MalformedException("too short a word of the other process");
    }
  }

  private static String key(String word) {
    String key = URLDecoder.decode(word, StandardCharsets.ISO_8859_1);
    if (!key.matches("(?s)[0-9]{1,6}/.*")) {
      throw new IllegalArgumentException("a key without its class");
    }
    return key;
  }

  private static String reason(String[] words, int at) {
    return words.length <= at ? "" : URLDecoder.decode(words[at], StandardCharsets.UTF_8);
  }

  private static String text(String[] words, InputStream in) throws IOException {
    need(words, 2);
    return new String(body(in, words[1]), StandardCharsets.UTF_8);
  }

  private static byte[] body(InputStream in, String length) throws IOException {
    byte[] body = BoundedReader.exactly(in, (int) BoundedReader.number(length, LONGEST_BODY));
    BoundedReader.crlf(in);
    return body;
  }

  // ---- Writing ----

  private void write() {
    try {
      for (byte[] next = words.take(); next.length > 0; next = words.take()) {
        for (ByteBuffer rest = ByteBuffer.wrap(next); rest.hasRemaining() && !mute; ) {
          channel.write(rest);
        }
        synchronized (words) {
          written++;
          words.notifyAll();
        }
      }
    } catch (IOException | RuntimeException | Error e) {
      Logger.debug("hand-over: {}", e.toString());
      hush(); // its end is heard where words are read; half a word must not be followed by another
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The words stand in the order of the core's events, which tells them under its lock. */
  private long send(String line, byte[]... bodies) {
    byte[] all = BoundedReader.ascii(line + "\r\n");
    for (byte[] body : bodies) {
      all = body == null ? all : BoundedReader.join(all, body, CRLF);
    }
    synchronized (words) {
      if (!over) {
        words.add(all);
      }
      return ++queued;
    }
  }

  private static String word(String key) {
    return URLEncoder.encode(key, StandardCharsets.ISO_8859_1);
  }

  private static String length(byte[] body) {
    return body == null ? "-" : Integer.toString(body.length);
  }

  @Override
  public void sendClaim(String key, long door, byte[] body) {
    send("claim " + word(key) + " " + door + " " + body.length, body);
  }

  @Override
  public void sendGrant(String key) {
    send("granted " + word(key));
  }

  @Override
  public void sendKey(KeyUpdate kept) {
    told(kept);
  }

  private long told(KeyUpdate kept) {
    return send(
        "key "
            + word(kept.key())
            + (kept.isCompleted() ? " over " : " open ")
            + kept.coveredUntilUnixMillis()
            + " "
            + Math.round(kept.remainingSeconds() * 1000)
            + " "
            + kept.body().length
            + " "
            + length(kept.result()),
        kept.body(),
        kept.result());
  }

  @Override
  public void sendKeyAndAwaitWrite(KeyUpdate kept) {
    awaitWritten(told(kept), SURELY_MS);
  }

  private long told(CompletedKey key) {
    return send(
        "over "
            + key.digest().high()
            + " "
            + key.digest().low()
            + " "
            + key.coveredUntilUnixMillis()
            + " "
            + Math.round(key.remainingSeconds() * 1000)
            + " "
            + key.bodyChecksum()
            + " "
            + length(key.result()),
        key.result());
  }

  @Override
  public boolean sendCompletedKey(CompletedKey key) {
    return awaitWritten(told(key) - MOST_OVER, PATIENCE_MS);
  }

  @Override
  public boolean forwardCompletedKey(CompletedKey key) {
    long mine = told(key);
    synchronized (words) {
      return mine - written <= MOST_FOLLOW;
    }
  }

  /** Waits until so many words are written; false where they are not in time. */
  private boolean awaitWritten(long count, long patienceMs) {
    long end = System.nanoTime() + patienceMs * 1_000_000;
    synchronized (words) {
      try {
        for (long left = patienceMs;
            written < count && !over && left > 0;
            left = (end - System.nanoTime()) / 1_000_000) {
          words.wait(left);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return written >= count && !over;
    }
  }

  @Override
  public void sendCompletion(String key, byte[] result) {
    send("ended " + word(key) + " " + length(result), result);
  }

  @Override
  public void sendRelease(String key) {
    send("freed " + word(key));
  }

  @Override
  public void sendIntentRequest(String key, long door, byte[] body) {
    send("intend " + word(key) + " " + door + " " + body.length, body);
  }

  @Override
  public void sendIntentOutcome(String key, boolean written) {
    send("intended " + word(key) + (written ? " yes" : " no"));
  }

  @Override
  public void sendResultWritten(String key) {
    send("saved " + word(key));
  }

  /** Says nothing more; what waits to be said is dropped, and whoever waits for it goes on. */
  private void hush() {
    synchronized (words) {
      mute = true;
      over = true;
      words.clear();
      words.add(new byte[0]);
      words.notifyAll();
    }
  }

  /**
   * As at the end of the process; nothing else may close a link that the other side still talks on.
   */
  @Override
  public void close() {
    hush();
    BoundedReader.closeQuietly(channel);
  }
}
