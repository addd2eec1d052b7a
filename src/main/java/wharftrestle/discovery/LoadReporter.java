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
 * Owns the reports to the name service: one datagram many times within the 3 s after which an entry
 * runs out, and some at once when health changes, as some are lost. It must never make the one who
 * changes health wait.
 */
public final class LoadReporter implements HealthListener {
  private static final int EVERY_MS = 250;

  /** Reports in quick order after a change, and the milliseconds between them. */
  private static final int REPEATS = 3;

  private static final int REPEAT_MS = 40;

  private final String name;
  private final Counters counters;
  private volatile InetSocketAddress naming;
  private boolean good = true;
  private boolean paused;
  private int urgent = REPEATS;

  public LoadReporter(String name, InetSocketAddress naming, Counters counters) {
    this.name = name;
    this.naming = naming;
    this.counters = counters;
  }

  public void start() {
    PlatformThreads.restartingThread("reporter", this::report).start();
  }

  /** Reports go to another address from now on. */
  public synchronized void moveTo(InetSocketAddress next) {
    naming = next;
    hurry();
  }

  /** Says nothing, while another process of this box reports for both, or goes on. */
  public synchronized void pause(boolean quiet) {
    paused = quiet;
    hurry();
  }

  @Override
  public synchronized void onHealthChanged(boolean now) {
    if (now != good) {
      good = now;
      hurry();
    }
  }

  /** Guards against a lost datagram hiding a change: it is told again at once. */
  private void hurry() {
    urgent = REPEATS + 1;
    notifyAll();
  }

  private void report() {
    LogRateLimiter lines = new LogRateLimiter(System.nanoTime());
    boolean told = false;
    for (; ; ) {
      try (DatagramSocket socket = new DatagramSocket()) {
        for (; ; ) {
          byte[] word = BoundedReader.ascii("renew " + name + (next() ? " yes" : " no"));
          socket.send(new DatagramPacket(word, word.length, naming));
          counters.add(Count.LOAD_REPORTS);
          told = false;
        }
      } catch (IOException | RuntimeException e) {
        if (!told && lines.may(System.nanoTime())) {
          Logger.warn("name service: {}", e.getMessage());
          told = true;
        }
        // Guards against spinning where there is no socket to be had.
        LockSupport.parkNanos(EVERY_MS * 1_000_000L);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized boolean next() throws InterruptedException {
    long began = System.nanoTime();
    for (; ; ) {
      if (paused) {
        wait();
        continue;
      }
      long pause = urgent > REPEATS ? 0 : urgent > 0 ? REPEAT_MS : EVERY_MS;
      long left = pause - (System.nanoTime() - began) / 1_000_000;
      if (left <= 0) {
        urgent = Math.max(0, urgent - 1);
        return good;
      }
      wait(left);
    }
  }
}
