package wharftrestle.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;

/** A test front end's connection that sends one request at a time. Not thread-safe. */
public final class TestClient extends RespPeer {
  private static final int REPLY_TIMEOUT_MS = 8000;
  private static final double DECLARED_KB = 1;

  private final LongSupplier clock;
  private int tag;
  private boolean closing;

  /** Stamps requests with the system clock. */
  public TestClient(InetSocketAddress to) throws IOException {
    this(to, System::currentTimeMillis);
  }

  /**
   * @param clock wall clock of the host that is asked, Unix ms
   */
  TestClient(InetSocketAddress to, LongSupplier clock) throws IOException {
    super(to, REPLY_TIMEOUT_MS);
    this.clock = clock;
  }

  public Reply ask(String type, long reference, String key, String body) throws IOException {
    String requestTag = Integer.toString(++tag);
    ask(requestTag, reference, clock.getAsLong(), type, DECLARED_KB, key, body);
    for (; ; ) {
      Reply reply = reply();
      if (reply.tag().equals(requestTag)) {
        return reply;
      }
      handleUnsolicited(reply);
    }
  }

  /** A request was answered a second time. */
  static final class DoubledException extends IOException {
    private static final long serialVersionUID = 1L;

    DoubledException(String message) {
      super(message);
    }
  }

  private void handleUnsolicited(Reply reply) throws IOException {
    closing |= reply.tag().equals("0") && reply.word().equals("closing");
    if (reply.tag().matches("[1-9][0-9]{0,8}") && Integer.parseInt(reply.tag()) <= tag) {
      throw new DoubledException("duplicate reply to request " + reply.tag());
    }
    if (!reply.tag().equals("0")) {
      throw new IOException("reply to request " + reply.tag() + ", which was never sent");
    }
  }

  /** Whether an announcement that the daemon closes this connection has been read. */
  public boolean wasToldToGo() {
    return closing;
  }

  /**
   * Whether the daemon announced that it closes this connection; reads what arrived while the
   * connection was idle.
   */
  public boolean closing() throws IOException {
    while (!closing && waiting()) {
      handleUnsolicited(reply());
    }
    return closing;
  }
}
