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
 * One real process of any build of the daemon, which can be started, queried at its admin endpoint,
 * paused, killed and measured. Output goes to a log file.
 */
public final class DaemonProcess {
  private final Process process;
  private final Path log;
  private final int adminPort;

  /**
   * Starts a process without waiting until it is ready.
   *
   * @param command command line
   * @param environment added to the environment of this process
   * @param adminPort port of its admin endpoint, on loopback
   */
  DaemonProcess(List<String> command, Map<String, String> environment, Path log, int adminPort)
      throws IOException {
    this(command, environment, Path.of("").toAbsolutePath(), log, adminPort);
  }

  /** The same in a working directory. */
  DaemonProcess(
      List<String> command,
      Map<String, String> environment,
      Path directory,
      Path log,
      int adminPort)
      throws IOException {
    this.log = log;
    this.adminPort = adminPort;
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .directory(directory.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    for (String variable : List.of("TMPDIR", "EDGE_NAME", "EDGE_LISTEN", "EDGE_CONSOLE")) {
      builder.environment().remove(variable);
    }
    builder.environment().putAll(environment);
    process = builder.start();
  }

  /** Waits until it is ready; false if it is not in time or has ended. */
  public boolean awaitReady(long timeoutMs) {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!ready()) {
      if (!process.isAlive() || System.nanoTime() > deadline) {
        return false;
      }
      LockSupport.parkNanos(2_000_000);
    }
    return true;
  }

  /** Whether the admin endpoint reports that it is ready. */
  public boolean ready() {
    try {
      return get("/_ready").startsWith("HTTP/1.1 200 ");
    } catch (IOException notReady) {
      return false;
    }
  }

  /** The HTTP response of the admin endpoint. */
  public String get(String path) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), adminPort), 200);
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

  /** The whole log. */
  public String log() throws IOException {
    return Files.readString(log);
  }

  /** Sends SIGKILL and waits for the exit. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends SIGTERM and returns at once. */
  public void terminate() {
    process.destroy();
  }

  /** Waits for the exit; the exit code, or -1 if it has not exited in time. */
  public int awaitExit(long timeoutMs) throws InterruptedException {
    return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
  }

  /** Sends SIGSTOP or SIGCONT. */
  public void setPaused(boolean paused) throws IOException, InterruptedException {
    new ProcessBuilder("kill", paused ? "-STOP" : "-CONT", Long.toString(pid())).start().waitFor();
  }

  /**
   * User and system CPU seconds of the process, with a resolution of a hundredth, as Linux counts
   * them.
   */
  public double cpuSeconds() throws IOException {
    return ProcessInfo.cpuSeconds(pid());
  }

  /**
   * Memory of the process in kB from /proc: VmHWM is the peak resident size, RssAnon the anonymous
   * resident memory.
   */
  public long memoryKb(String name) throws IOException {
    return ProcessInfo.memoryKb(pid(), name);
  }

  /**
   * Anonymous memory of the process: touched pages of the Java heap, and all other anonymous
   * memory.
   */
  public record PrivateMemory(double heapMb, double nonHeapMb) {}

  /**
   * Reads /proc/PID/smaps. A heap of some MB ends at address 4 GB, as the JVM uses 32-bit
   * references; no other mapping of the JVM is within 64 MB below that.
   */
  public PrivateMemory privateMemory() throws IOException {
    long heapKb = 0;
    long totalKb = 0;
    boolean inHeap = false;
    for (String line : Files.readAllLines(Path.of("/proc/" + pid() + "/smaps"))) {
      int dash = line.indexOf('-');
      if (dash > 0 && line.substring(0, dash).matches("[0-9a-f]+")) {
        long start = Long.parseUnsignedLong(line.substring(0, dash), 16);
        inHeap = start >= (1L << 32) - (64L << 20) && start < 1L << 32;
      } else if (line.startsWith("Anonymous:")) {
        long kb = Long.parseLong(line.replaceAll("\\D", ""));
        totalKb += kb;
        heapKb += inHeap ? kb : 0;
      }
    }
    return new PrivateMemory(heapKb / 1024.0, (totalKb - heapKb) / 1024.0);
  }

  /**
   * Command line for a build, with the limits of deploy/run.sh; a null jar means the class path of
   * this process.
   */
  static List<String> command(Path jar, String main, int memoryMb) {
    int heap = Math.max(16, Math.min(40, memoryMb * 3 / 10));
    int direct = 4 + Math.max(0, memoryMb * 92 / 100 - 28 - heap) / 15;
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
                "-XX:MaxDirectMemorySize=" + direct + "m",
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
