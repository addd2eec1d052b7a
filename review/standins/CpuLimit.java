package review;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.time.Duration;

/**
 * Holds a process to its cores, as the deployment does: while it has used more processor time than
 * that allows, it is stopped, and then continued. Only this process, which the test started, gets
 * the signals.
 */
final class CpuLimit {
  private static final double BURST_SECONDS = 0.1;
  private static final int PERIOD_MILLIS = 5;

  private final Process process;
  private final Process signals;
  private final double cores;
  private volatile double stoppedSeconds;

  CpuLimit(Process process, double cores) throws IOException {
    this.process = process;
    this.cores = cores;
    signals = new ProcessBuilder("/bin/sh", "-c", "while read -r s; do kill -$s " + process.pid() + " 2>/dev/null; done").start();
    Thread thread = new Thread(this::hold, "cpu-limit");
    thread.setDaemon(true);
    thread.setPriority(Thread.NORM_PRIORITY);
    thread.start();
  }

  private double used() {
    return process.toHandle().info().totalCpuDuration().map(Duration::toNanos).orElse(0L) / 1e9;
  }

  private void send(String signal) {
    try {
      OutputStream to = signals.getOutputStream();
      to.write(Bytes.of(signal + "\n"));
      to.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Seconds for which the process was stopped. */
  double stoppedSeconds() {
    return stoppedSeconds;
  }

  private void hold() {
    double tokens = BURST_SECONDS;
    double lastUsed = used();
    long last = System.nanoTime();
    boolean stopped = false;
    try {
      while (process.isAlive()) {
        Thread.sleep(PERIOD_MILLIS);
        long now = System.nanoTime();
        double nowUsed = used();
        double elapsed = (now - last) / 1e9;
        stoppedSeconds += stopped ? elapsed : 0;
        tokens = Math.min(BURST_SECONDS, tokens + cores * elapsed - (nowUsed - lastUsed));
        last = now;
        lastUsed = nowUsed;
        if (stopped != (tokens < 0)) {
          stopped = !stopped;
          send(stopped ? "STOP" : "CONT");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      signals.destroy();
    }
  }
}
