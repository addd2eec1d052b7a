package wharftrestle.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;

/** A stand-in front end's connection: one request at a time, with the whole answer as bytes. */
public final class TestClient extends RespPeer {
  private static final int PATIENCE_MS = 8000;
  private static final double KB = 1;

  private final LongSupplier clock;
  private int tag;
  private boolean closing;

  /** Stamps by this machine's clock. */
  public TestClient(InetSocketAddress to) throws IOException {
    this(to, System::currentTimeMillis);
  }

  /**
   * @param clock of the machine whose door is asked, Unix ms
   */
  TestClient(InetSocketAddress to, LongSupplier clock) throws IOException {
    super(to, PATIENCE_MS);
    this.clock = clock;
  }

  public Reply ask(String type, long reference, String key, String body) throws IOException {
    String mine = Integer.toString(++tag);
    ask(mine, reference, clock.getAsLong(), type, KB, key, body);
    for (; ; ) {
      Reply reply = reply();
      if (reply.tag().equals(mine)) {
        return reply;
      }
      remark(reply);
    }
  }

  /** A request that had its answer has another one. */
  static final class DoubledException extends IOException {
    private static final long serialVersionUID = 1L;

    DoubledException(String message) {
      super(message);
    }
  }

  private void remark(Reply reply) throws IOException {
    closing |= reply.tag().equals("0") && reply.word().equals("closing");
    if (reply.tag().matches("[1-9][0-9]{0,8}") && Integer.parseInt(reply.tag()) <= tag) {
      throw new DoubledException("a second answer to " + reply.tag());
    }
    if (!reply.tag().equals("0")) {
      throw new IOException("an answer to " + reply.tag() + ", which was not asked");
    }
  }

  /**
   * True where it was told to go elsewhere: the connection ends soon, or has. Hears what came while
   * it was idle.
   */
  public boolean closing() throws IOException {
    while (!closing && waiting()) {
      remark(reply());
    }
    return closing;
  }
}
