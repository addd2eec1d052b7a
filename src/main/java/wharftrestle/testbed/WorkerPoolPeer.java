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
 * The worker pool's side of its links, as the protocol has them: it owns the address, the links and
 * how commands are read. What is done and said is its script's.
 */
public final class WorkerPoolPeer implements Closeable {

  /** Milliseconds in which a new link says its first word. */
  private static final int BIND_MS = 10_000;

  private static final int LONGEST_LINE = 400;

  /** What a worker pool does. */
  public interface Script {
    /** A daemon binds that has read so many notices; false closes its link. */
    boolean binds(Link link, int read) throws IOException;

    /** A command came, with its body; empty for none. */
    void command(Link link, String[] words, String body) throws IOException;
  }

  /** One link of a daemon. */
  public static final class Link {
    private final Socket socket;

    Link(Socket socket) {
      this.socket = socket;
    }

    /** Says these bytes as one. */
    public void say(byte[] bytes) throws IOException {
      synchronized (socket) {
        socket.getOutputStream().write(bytes);
      }
    }

    /** Says these words as they stand. */
    public void say(String text) throws IOException {
      say(BoundedReader.ascii(text));
    }

    /** Breaks it. */
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

  /** Takes daemons from now on. */
  public WorkerPoolPeer start() {
    thread("stand-in pool", this::accept);
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
          return; // whoever comes from now on waits at the address
        }
        Link link = new Link(socket);
        links.add(link);
        thread("stand-in link", () -> serve(link));
      }
    } catch (IOException closed) {
      return;
    }
  }

  private void serve(Link link) {
    try (Socket socket = link.socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      socket.setSoTimeout(BIND_MS);
      int read = Integer.parseInt(BoundedReader.line(in, LONGEST_LINE).split(" ")[1]);
      socket.setSoTimeout(0);
      if (!script.binds(link, read)) {
        return;
      }
      for (; ; ) {
        String[] words = BoundedReader.line(in, LONGEST_LINE).split(" ");
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
   * Ends its links and takes no more, and keeps its address. Guards against somebody else having
   * that address while a daemon that has not ended looks for its worker pool there for ever.
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
