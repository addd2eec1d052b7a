package wharftrestle.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.config.DaemonConfig;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.time.SteadyWallClock;
import wharftrestle.transport.BoundedReader;

/**
 * The class-data-sharing training run. It sends requests to a daemon without a worker pool and
 * passes the messages of the worker pool to the daemon directly. The build runs it once, so that
 * the JVM archives the classes that a daemon loads. A serving daemon does not use it.
 */
public final class ClassDataTrainingRun {
  private static final String CONFIGURATION = "/rehearsal.json";
  private static final int REQUESTS = 4;

  /** Requests after this one also call the store, at an address at which no server listens. */
  private static final int LAST_REQUEST_WITHOUT_CALL = 2;

  /** In the order of the settings' gauges: cpu_busy, runnable, mem_used and sockets. */
  private static final double[] WORKER_POOL_GAUGES = {0.1, 0, 0.1, 1};

  private static final double EXECUTION_SECONDS = 0.01;

  private ClassDataTrainingRun() {}

  /**
   * Runs a daemon from start to stop.
   *
   * @throws IOException if a request gets no response
   */
  public static void run()
      throws IOException, InterruptedException, DaemonConfig.BadConfigException {
    Path file = Files.createTempFile("rehearsal", ".json");
    try (InputStream configuration =
        ClassDataTrainingRun.class.getResourceAsStream(CONFIGURATION)) {
      Files.copy(configuration, file, StandardCopyOption.REPLACE_EXISTING);
      run(DaemonConfig.read(Map.of("EDGE_CONFIG", file.toString())));
    } finally {
      Files.delete(file);
    }
  }

  private static void run(DaemonConfig config) throws IOException, InterruptedException {
    try (Lifecycle daemon =
        new Lifecycle(config, new DaemonConfig.Appliance(null, null, null, "", 24))) {
      daemon.start();
      daemon.requestCoordinator().workerPoolStarted(false, 0);
      daemon.requestCoordinator().gaugesReceived(WORKER_POOL_GAUGES);
      getVariables(daemon.adminAddress());
      sendRequests(daemon);
      daemon.leave();
      daemon.serveUntilStopped();
    }
  }

  private static void getVariables(InetSocketAddress admin) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(admin);
      socket.getOutputStream().write(BoundedReader.ascii("GET /_vars HTTP/1.1\r\n\r\n"));
      readUntil(socket.getInputStream(), " 200 ");
    }
  }

  private static void sendRequests(Lifecycle daemon) throws IOException {
    try (Socket client = new Socket()) {
      client.connect(daemon.respAddress());
      for (int tag = 1; tag <= REQUESTS; tag++) {
        sendRequest(daemon.requestCoordinator(), client, tag);
      }
    }
  }

  private static void sendRequest(RequestCoordinator requests, Socket client, int tag)
      throws IOException {
    String reference = String.format("%016x", tag);
    OutputStream out = client.getOutputStream();
    InputStream in = client.getInputStream();
    out.write(BoundedReader.ascii(requestMessage(tag, reference) + statusMessage(tag)));
    readUntil(in, "healthy"); // Sent only after the daemon has read the request before it.
    if (tag > LAST_REQUEST_WITHOUT_CALL) {
      requests.executionBlocked(reference, tag, new byte[0]);
    }
    requests.executionCompleted(reference, Outcome.SUCCESS, EXECUTION_SECONDS, new byte[0]);
    readUntil(in, "\r\n$0\r\n\r\n$0\r\n\r\n"); // The answer ends with two empty bulk strings.
  }

  private static String requestMessage(int tag, String reference) {
    boolean isKeyed = tag % 2 == 0;
    String fields =
        "txn="
            + reference
            + ",door="
            + SteadyWallClock.wallMillis()
            + ",lb=1,team=one,ram=24.5,standing=0.5"
            + (isKeyed ? ",unique=k" + tag : "");
    StringBuilder message = new StringBuilder("*5\r\n");
    for (String argument :
        new String[] {"ASK", Integer.toString(tag), isKeyed ? "save" : "read", fields, "x"}) {
      message.append('$').append(argument.length()).append("\r\n").append(argument).append("\r\n");
    }
    return message.toString();
  }

  private static String statusMessage(int tag) {
    return "*3\r\n$6\r\nSTATUS\r\n$2\r\n9" + tag + "\r\n$0\r\n\r\n";
  }

  private static void readUntil(InputStream in, String end) throws IOException {
    StringBuilder received = new StringBuilder();
    while (received.indexOf(end) < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException(
            "connection closed: expected '" + end + "', received '" + received + "'");
      }
      received.append((char) next);
    }
  }
}
