package wharftrestle.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/**
 * Limits the CPU time of all processes of one host together with SIGSTOP and SIGCONT, which
 * imitates contended cores without the privilege to set limits. One shell sends all signals, since
 * starting a process for each signal would cost more than what is measured. On close every stopped
 * process is continued. One thread of its own does the work.
 */
public final class CpuLimiter implements Closeable {
  private static final double PERIOD_SECONDS =
      0.1; // the usual CFS period; the kernel reports CPU time in hundredths of a second
  private static final long CHECK_INTERVAL_NANOS = 1_000_000;

  private final Supplier<List<DaemonProcess>> processes;
  private final Process shell;
  private final OutputStream signals;
  private final Thread limiterThread = new Thread(this::limit, "cpu-limiter");
  private final Map<Long, Double> cpuSecondsByPid = new HashMap<>();
  private final Set<DaemonProcess> stopped = new HashSet<>();
  private final double cores;
  private volatile boolean closed;
  private volatile IOException failure;
  private volatile int stopCount;

  /**
   * @param processes supplies the processes of the host, which may change
   * @param cores number of cores that they may use together
   */
  public CpuLimiter(Supplier<List<DaemonProcess>> processes, double cores) throws IOException {
    this.processes = processes;
    this.cores = cores;
    shell =
        new ProcessBuilder("/bin/sh", "-c", "while read signal id; do kill -$signal $id; done")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    signals = shell.getOutputStream();
    limiterThread.setDaemon(true);
    limiterThread.start();
  }

  /** Number of times that the processes were stopped. */
  public int stops() {
    return stopCount;
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // stopCount is written by one thread
  private void limit() {
    long startedAt = System.nanoTime();
    CpuQuota quota = new CpuQuota(cores, PERIOD_SECONDS, 0, usedSeconds());
    boolean running = true;
    try {
      while (!closed) {
        boolean mayRun = quota.mayRun((System.nanoTime() - startedAt) / 1e9, usedSeconds());
        if (mayRun != running) {
          running = mayRun;
          if (running) {
            resume();
          } else {
            stopCount++;
            stopAll();
          }
        }
        LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
      }
    } catch (IOException e) {
      failure = e;
    } finally {
      try {
        resume();
      } catch (IOException e) {
        failure = e;
      }
    }
  }

  private void stopAll() throws IOException {
    stopped.addAll(processes.get());
    signal("STOP");
  }

  /**
   * Continues exactly the processes that were stopped: one of them may no longer belong to the host
   * and would otherwise stay stopped.
   */
  private void resume() throws IOException {
    signal("CONT");
    stopped.clear();
  }

  private void signal(String name) throws IOException {
    StringBuilder text = new StringBuilder();
    for (DaemonProcess process : stopped) {
      if (process.alive()) {
        text.append(name).append(' ').append(process.pid()).append('\n');
      }
    }
    signals.write(text.toString().getBytes(StandardCharsets.US_ASCII));
    signals.flush();
  }

  /** CPU seconds used by these processes, including those that have ended. */
  private double usedSeconds() {
    for (DaemonProcess process : processes.get()) {
      try {
        cpuSecondsByPid.put(process.pid(), process.cpuSeconds());
      } catch (IOException ended) {
        continue; // keep the last figure
      }
    }
    return cpuSecondsByPid.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    try {
      limiterThread.join();
      signals.close();
      shell.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (failure != null) {
      throw failure;
    }
  }
}
