import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.TreeMap;

/** The name service: what the one daemon's reports say, as front ends see it. Thread-safe. */
final class Names implements Closeable {
  /** Front ends see changes "a second or two late". */
  private static final long LATE_MS = 2000;

  private final Log log;
  private final DatagramSocket socket;
  private final TreeMap<Long, Boolean> changes = new TreeMap<>();
  private boolean last = true;

  Names(Log log) throws IOException {
    this.log = log;
    socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    Rig.thread("names", this::read);
  }

  int port() {
    return socket.getLocalPort();
  }

  /** Whether front ends see the daemon on the list as taking work. */
  synchronized boolean isListed() {
    var change = changes.floorEntry(System.currentTimeMillis() - LATE_MS);
    return change == null || change.getValue();
  }

  private void read() {
    try {
      for (; ; ) {
        DatagramPacket report = new DatagramPacket(new byte[200], 200);
        socket.receive(report);
        enter(new String(report.getData(), 0, report.getLength(), StandardCharsets.ISO_8859_1));
      }
    } catch (IOException closed) {
      return;
    }
  }

  private synchronized void enter(String report) {
    boolean takesWork = report.trim().endsWith(" yes");
    if (takesWork != last) {
      log.add("names: %s", report);
      last = takesWork;
      changes.put(System.currentTimeMillis(), takesWork);
    }
  }

  @Override
  public void close() {
    socket.close();
  }
}
