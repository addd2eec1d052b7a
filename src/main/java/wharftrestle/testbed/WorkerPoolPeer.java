package wharftrestle.testbed;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import wharftrestle.transport.BoundedReader;

/**
 * The worker pool's end of its links: listens, reads the commands of the protocol and passes them
 * to a {@link Script}, which decides what to do and reply. One thread for each link.
 */
public final class WorkerPoolPeer implements Closeable {

  /** Time in which a new link sends its bind command. */
  private static final int BIND_TIMEOUT_MS = 10_000;

  private static final int MAX_LINE_BYTES = 400;

  /** The behaviour of the worker pool. */
  public interface Script {
    /** A daemon that has read {@code read} notices binds; false closes its link. */
    boolean binds(Link link, int read) throws IOException;

    /** A command arrived; the body is empty if it has none. */
    void command(Link link, String[] words, String body) throws IOException;
  }

  /** The link of one daemon. */
  public static final class Link {
    private final Socket socket;

    Link(Socket socket) {
      this.socket = socket;
    }

    /** Sends these bytes in one piece. */
    public void say(byte[] bytes) throws IOException {
      synchronized (socket) {
        socket.getOutputStream().write(bytes);
      }
    }

    /** Sends this text unchanged. */
    public void say(String text) throws IOException {
      say(BoundedReader.ascii(text));
    }

    /** Closes the link. */
    public void cut() throws IOException {
      socket.close();
    }

    public boolean open() {
      return !socket.isClosed();
    }
  }

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final List<Link> links = new CopyOnWriteArrayList<>();
  private final Script script;
  private volatile boolean retired;

  public WorkerPoolPeer(Script script) throws IOException {
    this.script = script;
  }

  /** Starts to accept links. */
  public WorkerPoolPeer start() {
    thread("fake-worker-pool", this::accept);
    return this;
  }

  private static void thread(String name, Runnable body) {
    Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    thread.start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  private void accept() {
    try {
      for (; ; ) {
        Socket socket = server.accept();
        if (retired) {
          socket.close();
          return; // later connections stay in the backlog
        }
        Link link = new Link(socket);
        links.add(link);
        thread("fake-worker-pool-link", () -> serve(link));
      }
    } catch (IOException closed) {
      return;
    }
  }

  private void serve(Link link) {
    try (Socket socket = link.socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      socket.setSoTimeout(BIND_TIMEOUT_MS);
      int read = Integer.parseInt(BoundedReader.line(in, MAX_LINE_BYTES).split(" ")[1]);
      socket.setSoTimeout(0);
      if (!script.binds(link, read)) {
        return;
      }
      for (; ; ) {
        String[] words = BoundedReader.line(in, MAX_LINE_BYTES).split(" ");
        String body = "";
        if (words[0].equals("spawn") || words[0].equals("supply")) {
          body =
              new String(
                  BoundedReader.exactly(in, Integer.parseInt(words[words.length - 1])),
                  StandardCharsets.ISO_8859_1);
          BoundedReader.crlf(in);
        }
        script.command(link, words, body);
      }
    } catch (IOException ended) {
      return; // the daemon has ended, or its link was cut
    } finally {
      links.remove(link);
    }
  }

  /**
   * Closes all links and accepts no more, but keeps the port bound: a daemon that has not ended
   * keeps connecting to this address, which another process of the machine could otherwise bind.
   */
  public void retire() throws IOException {
    retired = true;
    for (Link link : links) {
      link.cut();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    retire();
  }
}
