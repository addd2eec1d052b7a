package wharftrestle.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import wharftrestle.supervisor.ProcessInfo;
import wharftrestle.transport.BoundedReader;

/**
 * One real process of the program, of any build: it can be started, asked at its door, stopped,
 * killed and measured. It owns the process and its log.
 */
public final class DaemonProcess {
  private final Process process;
  private final Path log;
  private final int door;

  /**
   * Starts a process; whether it serves is another question.
   *
   * @param command with its arguments
   * @param environment on top of this one's
   * @param door the port of its operators' door, on loopback
   */
  DaemonProcess(List<String> command, Map<String, String> environment, Path log, int door)
      throws IOException {
    this.log = log;
    this.door = door;
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    for (String other : List.of("TMPDIR", "EDGE_NAME", "EDGE_LISTEN", "EDGE_CONSOLE")) {
      builder.environment().remove(other);
    }
    builder.environment().putAll(environment);
    process = builder.start();
  }

  /** Waits until it serves; false where it does not in so many ms, or has ended. */
  public boolean awaitReady(long ms) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    while (!ready()) {
      if (!process.isAlive() || System.nanoTime() > until) {
        return false;
      }
      LockSupport.parkNanos(2_000_000);
    }
    return true;
  }

  /** True where its door says so now. */
  public boolean ready() {
    try {
      return get("/_ready").startsWith("HTTP/1.1 200 ");
    } catch (IOException notYet) {
      return false;
    }
  }

  /** What the operators' door says. */
  public String get(String path) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), door), 200);
      socket.setSoTimeout(2000);
      socket.getOutputStream().write(BoundedReader.ascii("GET " + path + " HTTP/1.1\r\n\r\n"));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  public boolean alive() {
    return process.isAlive();
  }

  public long pid() {
    return process.pid();
  }

  /** What it logged, whole. */
  public String log() throws IOException {
    return Files.readString(log);
  }

  /** SIGKILL, and no word before it; waits for the end. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** SIGTERM; goes on at once. */
  public void term() {
    process.destroy();
  }

  /** Waits for the end; its exit code, or -1 where it has not ended in so many ms. */
  public int awaitEnd(long ms) throws InterruptedException {
    return process.waitFor(ms, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
  }

  /** SIGSTOP, or SIGCONT. */
  public void stopped(boolean stopped) throws IOException, InterruptedException {
    new ProcessBuilder("kill", stopped ? "-STOP" : "-CONT", Long.toString(pid())).start().waitFor();
  }

  /**
   * Seconds of all cores that the process has used, by itself and in the system; in hundredths, as
   * Linux counts them.
   */
  public double cpuSeconds() throws IOException {
    return ProcessInfo.cpuSeconds(pid());
  }

  /**
   * Memory of the process, kB: VmHWM is the most that was resident, RssAnon what can only be its
   * own.
   */
  public long memoryKb(String name) throws IOException {
    return ProcessInfo.memoryKb(pid(), name);
  }

  /**
   * The process's own memory in MB: pages of its heap that were ever touched, and all else that no
   * file backs.
   */
  public record Own(double heap, double outside) {}

  /**
   * Reads what the kernel says of each mapping. A heap of some MB ends at 4 GB, as the JVM has its
   * references in 32 bits; nothing else of it lies within 64 MB below that.
   */
  public Own own() throws IOException {
    long heap = 0;
    long all = 0;
    boolean inHeap = false;
    for (String line : Files.readAllLines(Path.of("/proc/" + pid() + "/smaps"))) {
      int dash = line.indexOf('-');
      if (dash > 0 && line.substring(0, dash).matches("[0-9a-f]+")) {
        long from = Long.parseUnsignedLong(line.substring(0, dash), 16);
        inHeap = from >= (1L << 32) - (64L << 20) && from < 1L << 32;
      } else if (line.startsWith("Anonymous:")) {
        long kb = Long.parseLong(line.replaceAll("\\D", ""));
        all += kb;
        heap += inHeap ? kb : 0;
      }
    }
    return new Own(heap / 1024.0, (all - heap) / 1024.0);
  }

  /** The command of a build: a jar, or the classes that this process has where it is null. */
  static List<String> command(Path jar, String main, int memoryMb) {
    int heap = Math.max(16, Math.min(40, memoryMb * 3 / 10));
    List<String> command =
        new ArrayList<>(
            List.of(
                System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xms" + heap * 3 / 5 + "m",
                "-Xmx" + heap + "m",
                "-Xss192k",
                "-XX:MaxMetaspaceSize=40m",
                "-XX:ReservedCodeCacheSize=16m",
                "-XX:MaxDirectMemorySize=4m",
                "-cp",
                jar != null
                    ? jar.toString()
                    : System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path")),
                main,
                "serve"));
    return command;
  }
}
