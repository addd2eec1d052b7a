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
 * A Unix domain socket for operators of this machine. Each connection carries one command, a line,
 * and its answer, another line. Each command is executed in a thread of its own. The socket's file
 * is created and deleted here.
 */
public final class CommandSocket implements Closeable {
  private static final int MAX_COMMAND_CHARS = 200;

  private final Path path;
  private final ServerSocketChannel server;
  private final UnaryOperator<String> executor;

  /**
   * Begins to listen; a file that an earlier process left at this path is replaced.
   *
   * @param executor executes a command and returns its answer; called in several threads at once
   */
  public CommandSocket(Path path, UnaryOperator<String> executor) throws IOException {
    this.path = path;
    this.executor = executor;
    Files.deleteIfExists(path);
    server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
    server.bind(UnixDomainSocketAddress.of(path));
    startThread(
        "orders",
        () -> {
          try {
            for (; ; ) {
              SocketChannel connection = server.accept();
              startThread("order", () -> serve(connection));
            }
          } catch (IOException closed) {
            return;
          }
        });
  }

  private static void startThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(SocketChannel connection) {
    try (connection) {
      String line =
          new BufferedReader(
                  new InputStreamReader(
                      Channels.newInputStream(connection), StandardCharsets.UTF_8))
              .readLine();
      if (line != null && line.length() <= MAX_COMMAND_CHARS) {
        connection.write(
            ByteBuffer.wrap((executor.apply(line) + "\n").getBytes(StandardCharsets.UTF_8)));
      }
    } catch (IOException e) {
      Logger.debug("command connection failed error={}", e.toString());
    }
  }

  /** Sends a command to the process that listens at this path; null if there is none. */
  public static String order(Path path, String command) {
    try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(path))) {
      channel.write(ByteBuffer.wrap((command + "\n").getBytes(StandardCharsets.UTF_8)));
      return new BufferedReader(
              new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8))
          .readLine();
    } catch (IOException unreachable) {
      return null;
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    Files.deleteIfExists(path);
  }
}
