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
 * Holds the processes of one box to a share of the cores, together, by stopping them and letting
 * them go: crowded cores, without a right to set limits. It owns a shell that sends the signals, as
 * one process for each would cost more than is measured, and lets all go when it is closed. It must
 * never leave a process stopped.
 */
public final class CpuLimiter implements Closeable {
  private static final double TURN =
      0.1; // seconds, as is usual; the kernel's figures come in hundredths
  private static final long LOOK_NANOS = 1_000_000;

  private final Supplier<List<DaemonProcess>> whom;
  private final Process shell;
  private final OutputStream signals;
  private final Thread thread = new Thread(this::hold, "holder");
  private final Map<Long, Double> seen = new HashMap<>();
  private final Set<DaemonProcess> stopped = new HashSet<>();
  private final double cores;
  private volatile boolean over;
  private volatile IOException fault;
  private volatile int stops;

  /**
   * @param whom the processes of the box, which may change
   * @param cores that they may use together
   */
  public CpuLimiter(Supplier<List<DaemonProcess>> whom, double cores) throws IOException {
    this.whom = whom;
    this.cores = cores;
    shell =
        new ProcessBuilder("/bin/sh", "-c", "while read signal id; do kill -$signal $id; done")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    signals = shell.getOutputStream();
    thread.setDaemon(true);
    thread.start();
  }

  /** How often they were stopped. */
  public int stops() {
    return stops;
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // stops: its thread alone counts them
  private void hold() {
    long began = System.nanoTime();
    CpuQuota share = new CpuQuota(cores, TURN, 0, used());
    boolean run = true;
    try {
      while (!over) {
        boolean next = share.runs((System.nanoTime() - began) / 1e9, used());
        if (next != run) {
          run = next;
          if (run) {
            goOn();
          } else {
            stops++;
            stop();
          }
        }
        LockSupport.parkNanos(LOOK_NANOS);
      }
    } catch (IOException e) {
      fault = e;
    } finally {
      try {
        goOn();
      } catch (IOException e) {
        fault = e;
      }
    }
  }

  private void stop() throws IOException {
    stopped.addAll(whom.get());
    signal("STOP");
  }

  /**
   * Guards against a process that was stopped, and is none of the box's by the time that they may
   * go on.
   */
  private void goOn() throws IOException {
    signal("CONT");
    stopped.clear();
  }

  private void signal(String name) throws IOException {
    StringBuilder text = new StringBuilder();
    for (DaemonProcess each : stopped) {
      if (each.alive()) {
        text.append(name).append(' ').append(each.pid()).append('\n');
      }
    }
    signals.write(text.toString().getBytes(StandardCharsets.US_ASCII));
    signals.flush();
  }

  /** Seconds of all cores that these processes used, with what those that ended had used. */
  private double used() {
    for (DaemonProcess each : whom.get()) {
      try {
        seen.put(each.pid(), each.cpuSeconds());
      } catch (IOException ended) {
        continue; // what it had used stands
      }
    }
    return seen.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  @Override
  public void close() throws IOException {
    over = true;
    try {
      thread.join();
      signals.close();
      shell.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (fault != null) {
      throw fault;
    }
  }
}
