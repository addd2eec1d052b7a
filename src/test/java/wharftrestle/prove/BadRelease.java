package wharftrestle.prove;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import sun.misc.Signal;
import sun.misc.Unsafe;
import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.settings.Settings;
import wharftrestle.transport.Address;
import wharftrestle.transport.BoundedReader;

/**
 * The daemon made worse in one way, which the word in its jar names: what a rolling change has to
 * stop.
 */
public final class BadRelease {
  private BadRelease() {}

  public static void main(String[] args) throws Exception {
    String[] word;
    try (InputStream in = BadRelease.class.getResourceAsStream("/release.txt")) {
      word = new String(in.readAllBytes(), StandardCharsets.UTF_8).split(" ");
    }
    Map<String, String> environment = new HashMap<>(System.getenv());
    Path config = Path.of(environment.get("EDGE_CONFIG"));
    ObjectNode root = (ObjectNode) new ObjectMapper().readTree(config.toFile());
    switch (word[1]) {
      case "fails" -> root.put("pool", "127.0.0.1:" + spoil(root.path("pool").asText()));
      case "refuses" -> ((ObjectNode) root.at("/settings/specifics")).put("memoryKb", 6);
      case "crashes" ->
          thread(
              () -> {
                LockSupport.parkNanos(5_000_000_000L);
                Runtime.getRuntime().halt(3);
              });
      case "slow" ->
          thread(
              () -> {
                for (long i = 0; i >= 0; i++) {
                  if (i % 50_000_000 == 0) {
                    LockSupport.parkNanos(20_000_000); // about two thirds of a core
                  }
                }
              });
      case "leaks" -> thread(BadRelease::leak);
      default -> throw new IllegalArgumentException(word[1]);
    }
    Path own = Files.createTempFile("bad", ".json");
    Files.write(own, new ObjectMapper().writeValueAsBytes(root));
    environment.put("EDGE_CONFIG", own.toString());
    int at = Arrays.asList(args).indexOf("--appliance");
    DaemonConfig.Appliance set =
        at < 0 ? DaemonConfig.Appliance.none() : Settings.read(Path.of(args[at + 1])).appliance();
    Lifecycle life = new Lifecycle(DaemonConfig.read(environment), set);
    Signal.handle(new Signal("TERM"), signal -> life.leave());
    life.start();
    life.serveUntilStopped();
    System.exit(0);
  }

  private static void thread(Runnable body) {
    Thread thread = new Thread(body);
    thread.setDaemon(true);
    thread.start();
  }

  /** 4 MB a second that nobody gives back. */
  private static void leak() {
    try {
      Field field = Unsafe.class.getDeclaredField("theUnsafe");
      field.setAccessible(true);
      Unsafe memory = (Unsafe) field.get(null);
      for (int i = 0; i < 400; i++) {
        long at = memory.allocateMemory(1 << 20);
        memory.setMemory(at, 1 << 20, (byte) 1);
        LockSupport.parkNanos(250_000_000);
      }
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Stands before the worker pool, and has four in ten runs end badly; its port. */
  private static int spoil(String pool) throws IOException {
    ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    InetSocketAddress to = Address.of(pool);
    thread(
        () -> {
          try {
            for (; ; ) {
              Socket daemon = server.accept();
              Socket workers = new Socket(to.getAddress(), to.getPort());
              thread(() -> copy(daemon, workers));
              thread(() -> spoil(workers, daemon));
            }
          } catch (IOException closed) {
            return;
          }
        });
    return server.getLocalPort();
  }

  private static void copy(Socket from, Socket to) {
    try (from;
        to) {
      from.getInputStream().transferTo(to.getOutputStream());
    } catch (IOException ended) {
      return;
    }
  }

  private static void spoil(Socket workers, Socket daemon) {
    try (workers;
        daemon) {
      InputStream in = new BufferedInputStream(workers.getInputStream());
      OutputStream out = new BufferedOutputStream(daemon.getOutputStream());
      for (int i = 0; ; i++) {
        String line = BoundedReader.line(in, 1000);
        String[] words = line.split(" ", 0);
        if (words[0].equals("finished")) {
          byte[] body = BoundedReader.exactly(in, Integer.parseInt(words[5]));
          BoundedReader.crlf(in);
          out.write(
              BoundedReader.ascii(
                  i % 5 < 2 ? line.replace(" good ", " bad ") + "\r\n" : line + "\r\n"));
          out.write(body);
          out.write(BoundedReader.ascii("\r\n"));
        } else {
          out.write(BoundedReader.ascii(line + "\r\n"));
        }
        out.flush();
      }
    } catch (IOException ended) {
      return;
    }
  }
}
