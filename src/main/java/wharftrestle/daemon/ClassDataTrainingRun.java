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
import wharftrestle.time.SteadyWallClock;
import wharftrestle.transport.BoundedReader;

/**
 * One request from end to end in a daemon without a worker pool, whose words are spoken for it
 * here. The build runs it once so that the JVM can keep the classes it loads in an archive, which
 * saves a start a fifth of its CPU. It must never be part of a daemon that serves, and decides
 * nothing.
 */
public final class ClassDataTrainingRun {
  private ClassDataTrainingRun() {}

  public static void run()
      throws IOException, InterruptedException, DaemonConfig.BadConfigException {
    Path file = Files.createTempFile("rehearsal", ".json");
    try (InputStream told = ClassDataTrainingRun.class.getResourceAsStream("/rehearsal.json")) {
      Files.copy(told, file, StandardCopyOption.REPLACE_EXISTING);
      DaemonConfig config = DaemonConfig.read(Map.of("EDGE_CONFIG", file.toString()));
      try (Lifecycle life =
          new Lifecycle(config, new DaemonConfig.Appliance(null, null, null, "", 24))) {
        life.start();
        life.requestCoordinator().workerPoolStarted(false, 0);
        life.requestCoordinator().gaugesReceived(new double[] {0.1, 0, 0.1, 1});
        exchange(life.adminAddress(), "GET /_vars HTTP/1.1\r\n\r\n", 200);
        try (Socket caller = new Socket()) {
          caller.connect(life.respAddress());
          for (int i = 1; i <= 4; i++) {
            ask(life, caller, i);
          }
        }
        life.leave();
        life.serveUntilStopped();
      }
    } finally {
      Files.delete(file);
    }
  }

  private static void ask(Lifecycle life, Socket caller, int tag) throws IOException {
    String ref = String.format("%016x", tag);
    String fields =
        "txn="
            + ref
            + ",door="
            + SteadyWallClock.now()
            + ",lb=1,team=one,ram=24.5,standing=0.5"
            + (tag % 2 == 0 ? ",unique=k" + tag : "");
    StringBuilder text = new StringBuilder("*5\r\n");
    for (String word :
        new String[] {"ASK", "" + tag, tag % 2 == 0 ? "save" : "read", fields, "x"}) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    OutputStream out = caller.getOutputStream();
    out.write(BoundedReader.ascii(text + "*3\r\n$6\r\nSTATUS\r\n$2\r\n9" + tag + "\r\n$0\r\n\r\n"));
    InputStream in = caller.getInputStream();
    read(in, "healthy"); // all that was sent before it has been read
    if (tag > 2) {
      life.requestCoordinator()
          .executionBlocked(ref, tag, new byte[0]); // nobody listens at the store's address
    }
    life.requestCoordinator().executionCompleted(ref, Outcome.SUCCESS, 0.01, new byte[0]);
    read(in, "\r\n$0\r\n\r\n$0\r\n\r\n");
  }

  private static void read(InputStream in, String end) throws IOException {
    StringBuilder seen = new StringBuilder();
    while (seen.indexOf(end) < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("ended within the rehearsal: " + seen);
      }
      seen.append((char) next);
    }
  }

  private static void exchange(InetSocketAddress at, String call, int status) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(at);
      socket.getOutputStream().write(BoundedReader.ascii(call));
      read(socket.getInputStream(), " " + status + " ");
    }
  }
}
