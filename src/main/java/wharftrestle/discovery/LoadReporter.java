package wharftrestle.discovery;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.request.HealthListener;
import wharftrestle.request.PlatformThreads;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.LogRateLimiter;

/**
 * Sends load reports to the name service: one datagram several times within the 3 s after which an
 * entry expires, and some in quick order when health changes, as datagrams may be lost. Reports are
 * sent on a thread of its own, so a change of health never waits for the network. Thread-safe.
 */
public final class LoadReporter implements HealthListener {
  private static final int REPORT_INTERVAL_MS = 250;

  /** Repeated reports after a change, and the milliseconds between them. */
  private static final int CHANGE_REPEATS = 3;

  private static final int CHANGE_REPEAT_MS = 40;

  private final String name;
  private final Counters counters;
  private volatile InetSocketAddress nameService;
  private boolean isHealthy = true;
  private boolean isPaused;
  private int pendingRepeats = CHANGE_REPEATS;

  public LoadReporter(String name, InetSocketAddress nameService, Counters counters) {
    this.name = name;
    this.nameService = nameService;
    this.counters = counters;
  }

  public void start() {
    PlatformThreads.restartingThread("reporter", this::report).start();
  }

  /** Sets the address of the name service. */
  public synchronized void moveTo(InetSocketAddress next) {
    nameService = next;
    reportChange();
  }

  /** Pauses the reports while another process of this host reports for both, or resumes them. */
  public synchronized void pause(boolean shouldPause) {
    isPaused = shouldPause;
    reportChange();
  }

  @Override
  public synchronized void onHealthChanged(boolean isHealthyNow) {
    if (isHealthyNow != isHealthy) {
      isHealthy = isHealthyNow;
      reportChange();
    }
  }

  /** Reports at once and repeats the report, so that a lost datagram does not hide a change. */
  private void reportChange() {
    pendingRepeats = CHANGE_REPEATS + 1;
    notifyAll();
  }

  private void report() {
    LogRateLimiter logLimiter = new LogRateLimiter(System.nanoTime());
    boolean isOutageLogged = false;
    for (; ; ) {
      try (DatagramSocket socket = new DatagramSocket()) {
        for (; ; ) {
          byte[] message =
              BoundedReader.ascii("renew " + name + (awaitNextReport() ? " yes" : " no"));
          socket.send(new DatagramPacket(message, message.length, nameService));
          counters.add(Count.LOAD_REPORTS);
          isOutageLogged = false;
        }
      } catch (IOException | RuntimeException e) {
        if (!isOutageLogged && logLimiter.tryAcquire(System.nanoTime())) {
          Logger.warn(
              "load report to the name service failed, retrying; without a report this host's entry"
                  + " expires after 3 s: {}",
              e.getMessage());
          isOutageLogged = true;
        }
        // Do not spin while no socket can be opened.
        LockSupport.parkNanos(REPORT_INTERVAL_MS * 1_000_000L);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized boolean awaitNextReport() throws InterruptedException {
    long startedNanos = System.nanoTime();
    for (; ; ) {
      if (isPaused) {
        wait();
        continue;
      }
      long intervalMs =
          pendingRepeats > CHANGE_REPEATS
              ? 0
              : pendingRepeats > 0 ? CHANGE_REPEAT_MS : REPORT_INTERVAL_MS;
      long remainingMs = intervalMs - (System.nanoTime() - startedNanos) / 1_000_000;
      if (remainingMs <= 0) {
        pendingRepeats = Math.max(0, pendingRepeats - 1);
        return isHealthy;
      }
      wait(remainingMs);
    }
  }
}
