package wharftrestle.supervisor;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.UnaryOperator;
import org.tinylog.Logger;

/**
 * A Unix socket that takes orders of people on this machine: a line each, and a line back. It owns
 * the socket's file.
 */
public final class CommandSocket implements Closeable {
  private static final int LONGEST = 200;

  private final Path at;
  private final ServerSocketChannel server;
  private final UnaryOperator<String> obey;

  /**
   * @param obey gives the answer to an order, in a thread of its own
   */
  public CommandSocket(Path at, UnaryOperator<String> obey) throws IOException {
    this.at = at;
    this.obey = obey;
    Files.deleteIfExists(at);
    server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
    server.bind(UnixDomainSocketAddress.of(at));
    thread(
        "orders",
        () -> {
          try {
            for (; ; ) {
              SocketChannel caller = server.accept();
              thread("order", () -> serve(caller));
            }
          } catch (IOException closed) {
            return;
          }
        });
  }

  private static void thread(String name, Runnable body) {
    Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(SocketChannel caller) {
    try (caller) {
      String line =
          new BufferedReader(
                  new InputStreamReader(Channels.newInputStream(caller), StandardCharsets.UTF_8))
              .readLine();
      if (line != null && line.length() <= LONGEST) {
        caller.write(ByteBuffer.wrap((obey.apply(line) + "\n").getBytes(StandardCharsets.UTF_8)));
      }
    } catch (IOException e) {
      Logger.debug("order: {}", e.toString());
    }
  }

  /** Sends one order to whoever listens there; the answer, or null where nobody does. */
  public static String order(Path at, String text) {
    try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(at))) {
      channel.write(ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8)));
      return new BufferedReader(
              new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8))
          .readLine();
    } catch (IOException none) {
      return null;
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    Files.deleteIfExists(at);
  }
}
