package wharftrestle.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.settings.BadSettingsException;

/**
 * Processes held to a share of the cores: what is decided, and real daemons that keep the rules
 * under it.
 */
@Timeout(60)
class CpuLimiterTest {
  @TempDir private Path folder;

  /**
   * Work that comes evenly and waits while nothing runs; at each start all threads are woken at a
   * cost.
   */
  private static final class Held {
    private final CpuQuota share;
    private double used = 7;
    private double waits;
    private boolean run = true;
    private int stops;

    Held(double cores, double turn) {
      share = new CpuQuota(cores, turn, 0, used);
    }

    /** From one moment to another with so much work a second. */
    void play(double from, double to, double work, double costOfWaking) {
      for (double now = from; now < to; now += 0.001) {
        boolean next = share.runs(now, used);
        stops += run && !next ? 1 : 0;
        used += !run && next ? costOfWaking : 0;
        run = next;
        waits += 0.001 * work;
        double done = run ? Math.min(waits, 0.001) : 0;
        waits -= done;
        used += done;
      }
    }
  }

  @Property(tries = 60)
  void whoWantsMoreThanItsShareHasItAndNoMore(
      @ForAll @DoubleRange(min = 0.1, max = 0.9) double cores,
      @ForAll @DoubleRange(min = 0.01, max = 0.2) double turn) {
    Held held = new Held(cores, turn);
    held.play(0, 20, 1, 0);
    assertEquals(cores, (held.used - 7) / 20, 0.02);
  }

  @Property(tries = 30)
  void whoStaysUnderItsShareIsNeverStopped(
      @ForAll @DoubleRange(min = 0.1, max = 1) double cores,
      @ForAll @DoubleRange(min = 0.05, max = 0.2) double turn) {
    Held held = new Held(cores, turn);
    held.play(0, 10, cores * 0.8, 0.01);
    assertEquals(0, held.stops);
  }

  @Test
  void whoseThreadsCostItsShareAtEachWakingNeverComesBackUnderIt() {
    // A fifth of a core is asked for, a half is allowed, in turns of 10 ms; 9 us for each thread
    // that is woken.
    Held many = new Held(0.5, 0.01);
    Held few = new Held(0.5, 0.01);
    for (Held each : new Held[] {many, few}) {
      double waking = each == many ? 490 * 9e-6 : 190 * 9e-6;
      each.play(0, 1, 2, waking); // a burst
      each.stops = 0;
      each.play(1, 20, 0.2, waking);
    }
    assertTrue(few.waits < 0.01, "with 190 threads " + few.waits + " s of work wait");
    assertTrue(many.waits > 1, "with 490 threads " + many.waits + " s of work wait");
    assertTrue(many.stops > 1500, many.stops + " stops in 19 s");
  }

  @Test
  void aHeldDaemonStaysWithinItsShareAndKeepsTheRules() throws Exception {
    try (HostTestbed floor = new HostTestbed(folder, "", 5, HostTestbed.Play.of(192))) {
      DaemonProcess daemon =
          floor.begin(new HostTestbed.Version(null, "wharftrestle.Main", floor.settings(), ""));
      assertTrue(daemon.awaitReady(20_000), daemon.log());
      TestClients callers = new TestClients(floor, TestClients.Habit.of(16, 9000), 5, () -> false);
      double before;
      long began;
      try (CpuLimiter holder = new CpuLimiter(() -> List.of(daemon), 0.15)) {
        before = daemon.cpuSeconds();
        began = System.nanoTime();
        callers.start();
        long until = began + TimeUnit.SECONDS.toNanos(20);
        while ((callers.served() < 300 || holder.stops() < 20) && System.nanoTime() < until) {
          LockSupport.parkNanos(5_000_000);
        }
        assertTrue(holder.stops() >= 20, "it was never over its share");
        double span = (System.nanoTime() - began) / 1e9;
        double used = daemon.cpuSeconds() - before;
        assertTrue(used < 2 * 0.15 * span + 0.2, used + " s in " + span);
      }
      int served = callers.served();
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      while (callers.served() < served + 50 && System.nanoTime() < until) {
        LockSupport.parkNanos(5_000_000);
      }
      callers.stop();
      assertTrue(callers.served() >= served + 50, "it was let go");
      assertTrue(callers.tally().holds(), callers.tally().toString());
      assertFalse(stopped(daemon));
    }
  }

  @Test
  void whoeverWasStoppedGoesOnAlsoWhenItIsNoMoreOfTheBox() throws Exception {
    try (HostTestbed floor = new HostTestbed(folder, "", 6, HostTestbed.Play.of(192))) {
      DaemonProcess daemon =
          floor.begin(new HostTestbed.Version(null, "wharftrestle.Main", floor.settings(), ""));
      AtomicReference<List<DaemonProcess>> box = new AtomicReference<>(List.of(daemon));
      try (CpuLimiter holder = new CpuLimiter(box::get, 0.05)) { // its start alone is over that
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!stopped(daemon) && System.nanoTime() < until) {
          Thread.onSpinWait();
        }
        box.set(List.of());
        while (stopped(daemon) && System.nanoTime() < until) {
          Thread.onSpinWait();
        }
        assertFalse(stopped(daemon), "after " + holder.stops() + " stops");
      }
    }
  }

  private static boolean stopped(DaemonProcess daemon) throws Exception {
    String stat = Files.readString(Path.of("/proc/" + daemon.pid() + "/stat"));
    return stat.charAt(stat.lastIndexOf(')') + 2) == 'T';
  }

  @Test
  void aScriptHoldsABoxAndFreesIt() throws Exception {
    FaultScript script =
        FaultScript.parse("f.star", "at(1, hold(\"b1\", 0.5))\nat(2, free(\"b1\"))\n");
    assertEquals(
        new FaultScript.Fault(FaultScript.Kind.HOLD, "b1", "", 0.5, 0, "both"),
        script.steps().get(0).fault());
    assertEquals(FaultScript.Kind.FREE, script.steps().get(1).fault().kind());
    BadSettingsException none =
        assertThrows(
            BadSettingsException.class,
            () -> FaultScript.parse("f.star", "at(1, hold(\"b1\", 0))"));
    assertEquals(
        "f.star:1:18: hold.cores: expected a number from 0.05 to 64.0, got 0", none.getMessage());
  }
}
