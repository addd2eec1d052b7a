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

/** The daemon with one defect, which the marker in its jar names. A rollout has to stop it. */
public final class BadRelease {
  private BadRelease() {}

  public static void main(String[] args) throws Exception {
    String[] marker;
    try (InputStream in = BadRelease.class.getResourceAsStream("/release.txt")) {
      marker = new String(in.readAllBytes(), StandardCharsets.UTF_8).split(" ");
    }
    Map<String, String> environment = new HashMap<>(System.getenv());
    Path config = Path.of(environment.get("EDGE_CONFIG"));
    ObjectNode root = (ObjectNode) new ObjectMapper().readTree(config.toFile());
    switch (marker[1]) {
      case "fails" ->
          root.put("pool", "127.0.0.1:" + startFailingProxy(root.path("pool").asText()));
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
      default -> throw new IllegalArgumentException("unknown defect in /release.txt: " + marker[1]);
    }
    Path spoiledConfig = Files.createTempFile("bad", ".json");
    Files.write(spoiledConfig, new ObjectMapper().writeValueAsBytes(root));
    environment.put("EDGE_CONFIG", spoiledConfig.toString());
    int index = Arrays.asList(args).indexOf("--appliance");
    DaemonConfig.Appliance appliance =
        index < 0
            ? DaemonConfig.Appliance.none()
            : Settings.read(Path.of(args[index + 1])).appliance();
    Lifecycle lifecycle = new Lifecycle(DaemonConfig.read(environment), appliance);
    Signal.handle(new Signal("TERM"), signal -> lifecycle.leave());
    lifecycle.start();
    lifecycle.serveUntilStopped();
    System.exit(0);
  }

  private static void thread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  /** Leaks 4 MB of native memory a second. */
  private static void leak() {
    try {
      Field field = Unsafe.class.getDeclaredField("theUnsafe");
      field.setAccessible(true);
      Unsafe unsafe = (Unsafe) field.get(null);
      for (int i = 0; i < 400; i++) {
        long address = unsafe.allocateMemory(1 << 20);
        unsafe.setMemory(address, 1 << 20, (byte) 1);
        LockSupport.parkNanos(250_000_000);
      }
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Starts a proxy of the worker pool that reports 40% of executions as failed; returns its port.
   */
  private static int startFailingProxy(String pool) throws IOException {
    ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    InetSocketAddress target = Address.of(pool);
    thread(
        () -> {
          try {
            for (; ; ) {
              Socket daemon = server.accept();
              Socket workers = new Socket(target.getAddress(), target.getPort());
              thread(() -> copy(daemon, workers));
              thread(() -> copyWithFailures(workers, daemon));
            }
          } catch (IOException closed) {
            return;
          }
        });
    return server.getLocalPort();
  }

  private static void copy(Socket from, Socket target) {
    try (from;
        target) {
      from.getInputStream().transferTo(target.getOutputStream());
    } catch (IOException ended) {
      return;
    }
  }

  private static void copyWithFailures(Socket workers, Socket daemon) {
    try (workers;
        daemon) {
      InputStream in = new BufferedInputStream(workers.getInputStream());
      OutputStream out = new BufferedOutputStream(daemon.getOutputStream());
      for (int i = 0; ; i++) {
        String line = BoundedReader.line(in, 1000);
        String[] words = line.split(" ", 0);
        if (words[0].equals("finished")) {
          byte[] task = BoundedReader.exactly(in, Integer.parseInt(words[5]));
          BoundedReader.crlf(in);
          out.write(
              BoundedReader.ascii(
                  i % 5 < 2 ? line.replace(" good ", " bad ") + "\r\n" : line + "\r\n"));
          out.write(task);
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
