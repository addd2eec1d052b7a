package wharftrestle.request;

import java.util.PriorityQueue;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.tinylog.Logger;

/**
 * Runs the timers of the admission module and passes it fresh gauges of the worker pool with each
 * of them. One thread runs {@link #run} and holds the coordinator's lock, which guards all fields,
 * except while it waits.
 */
final class AdmissionTimers {

  /** How long a timer waits for the gauges that it requested from the worker pool. */
  private static final double GAUGE_WAIT_SECONDS = 0.015;

  private static final double IDLE_WAIT_SECONDS = 1;

  /** Delay before a timer whose handling threw an exception fires again. */
  private static final double RETRY_SECONDS = 0.1;

  private static final double[] NO_GAUGES = {};

  private record Timer(double dueAtSeconds, long label) {}

  private final ReentrantLock lock;
  private final Condition timerWork;
  private final Condition gaugesArrived;
  private final EventClock clock;
  private final AdmissionDriver admission;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>((a, b) -> Double.compare(a.dueAtSeconds(), b.dueAtSeconds()));
  private WorkerPool workerPool;
  private double[] gauges = NO_GAUGES;
  private long gaugeReports;

  /** The condition belongs to the lock and is signalled when earlier work becomes due. */
  AdmissionTimers(
      ReentrantLock lock, Condition timerWork, EventClock clock, AdmissionDriver admission) {
    this.lock = lock;
    this.timerWork = timerWork;
    this.gaugesArrived = lock.newCondition();
    this.clock = clock;
    this.admission = admission;
  }

  /** Starts the timer thread. */
  void start(WorkerPool gaugeSource) {
    workerPool = gaugeSource;
    PlatformThreads.restartingThread("timer", this::run).start();
  }

  /** Schedules a timer of the module. Called under the lock. */
  void schedule(long label, double delaySeconds) {
    timers.add(new Timer(clock.now() + delaySeconds, label));
    timerWork.signal();
  }

  /** Stores the gauges and wakes a timer that waits for them. Called under the lock. */
  void gaugesReceived(double[] values) {
    gauges = values;
    gaugeReports++;
    gaugesArrived.signal();
  }

  private void run() {
    lock.lock();
    try {
      for (; ; ) {
        Timer nextTimer = timers.peek();
        double now = clock.now();
        double secondsToBatchEnd = admission.batchEndsAtSeconds() - now;
        double secondsToTimer =
            nextTimer == null ? IDLE_WAIT_SECONDS : nextTimer.dueAtSeconds() - now;
        if (Math.min(secondsToBatchEnd, secondsToTimer) > 0) {
          timerWork.awaitNanos(EventClock.waitNanos(Math.min(secondsToBatchEnd, secondsToTimer)));
        } else if (secondsToBatchEnd < secondsToTimer) {
          endBatch();
        } else {
          fire(nextTimer);
        }
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(
          "timer thread was interrupted, which nothing in the daemon does", e);
    } finally {
      lock.unlock();
    }
  }

  private void endBatch() {
    double now = clock.now();
    try {
      admission.completeBatch(now);
    } catch (RuntimeException | Error fault) {
      scheduleRetry(now, 0, fault);
    }
  }

  private void fire(Timer timer) throws InterruptedException {
    double[] freshGauges = awaitFreshGauges();
    double now = clock.now();
    try {
      timers.remove(timer);
      admission.events().timerFired(now, timer.label(), freshGauges);
      admission.completeBatch(now);
    } catch (RuntimeException | Error fault) {
      scheduleRetry(now, timer.label(), fault);
    }
  }

  // Without a timer no queued request would ever be answered.
  private void scheduleRetry(double now, long label, Throwable fault) {
    Logger.error(
        fault,
        "admission timer failed with an internal error, queued requests wait until it fires again"
            + " retrySeconds={}",
        RETRY_SECONDS);
    timers.add(new Timer(now + RETRY_SECONDS, label));
  }

  /**
   * Requests gauges and waits for them; empty if the worker pool does not send them in time, as
   * outdated gauges would mislead the module.
   */
  private double[] awaitFreshGauges() throws InterruptedException {
    long reportsBefore = gaugeReports;
    if (!workerPool.pollGauges()) {
      return NO_GAUGES;
    }
    long remainingNanos = EventClock.waitNanos(GAUGE_WAIT_SECONDS);
    while (gaugeReports == reportsBefore && remainingNanos > 0) {
      remainingNanos = gaugesArrived.awaitNanos(remainingNanos);
    }
    return gaugeReports == reportsBefore ? NO_GAUGES : gauges;
  }
}
