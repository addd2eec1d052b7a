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
 * Tests the decisions of the CPU limiter, and that real daemons break no rule under a CPU limit.
 */
@Timeout(60)
class CpuLimiterTest {
  @TempDir private Path folder;

  /**
   * Work that arrives evenly and waits while the processes are stopped; each continue wakes all
   * threads at a cost.
   */
  private static final class SimulatedLoad {
    private final CpuQuota quota;
    private double usedSeconds = 7;
    private double waitingSeconds;
    private boolean running = true;
    private int stops;

    SimulatedLoad(double cores, double periodSeconds) {
      quota = new CpuQuota(cores, periodSeconds, 0, usedSeconds);
    }

    /** Advances the time with an amount of work a second. */
    void advance(double from, double to, double work, double costOfWaking) {
      for (double now = from; now < to; now += 0.001) {
        boolean next = quota.mayRun(now, usedSeconds);
        stops += running && !next ? 1 : 0;
        usedSeconds += !running && next ? costOfWaking : 0;
        running = next;
        waitingSeconds += 0.001 * work;
        double done = running ? Math.min(waitingSeconds, 0.001) : 0;
        waitingSeconds -= done;
        usedSeconds += done;
      }
    }
  }

  @Property(tries = 60)
  void excessDemandGetsExactlyTheQuota(
      @ForAll @DoubleRange(min = 0.1, max = 0.9) double cores,
      @ForAll @DoubleRange(min = 0.01, max = 0.2) double periodSeconds) {
    SimulatedLoad load = new SimulatedLoad(cores, periodSeconds);
    load.advance(0, 20, 1, 0);
    assertEquals(cores, (load.usedSeconds - 7) / 20, 0.02);
  }

  @Property(tries = 30)
  void demandBelowTheQuotaIsNeverStopped(
      @ForAll @DoubleRange(min = 0.1, max = 1) double cores,
      @ForAll @DoubleRange(min = 0.05, max = 0.2) double periodSeconds) {
    SimulatedLoad load = new SimulatedLoad(cores, periodSeconds);
    load.advance(0, 10, cores * 0.8, 0.01);
    assertEquals(0, load.stops);
  }

  @Test
  void wakeUpCostOfTheWholeQuotaPreventsRecovery() {
    // Demand is 0.2 cores, the quota 0.5 cores in periods of 10 ms, and waking a thread costs
    // 9 us.
    SimulatedLoad manyThreads = new SimulatedLoad(0.5, 0.01);
    SimulatedLoad fewThreads = new SimulatedLoad(0.5, 0.01);
    for (SimulatedLoad each : new SimulatedLoad[] {manyThreads, fewThreads}) {
      double waking = each == manyThreads ? 490 * 9e-6 : 190 * 9e-6;
      each.advance(0, 1, 2, waking); // a burst
      each.stops = 0;
      each.advance(1, 20, 0.2, waking);
    }
    assertTrue(
        fewThreads.waitingSeconds < 0.01,
        "with 190 threads " + fewThreads.waitingSeconds + " s of work wait");
    assertTrue(
        manyThreads.waitingSeconds > 1,
        "with 490 threads " + manyThreads.waitingSeconds + " s of work wait");
    assertTrue(manyThreads.stops > 1500, manyThreads.stops + " stops in 19 s");
  }

  @Test
  void limitedDaemonStaysWithinItsQuotaAndBreaksNoRule() throws Exception {
    try (HostTestbed testbed = new HostTestbed(folder, "", 5, HostTestbed.Play.of(192))) {
      DaemonProcess daemon =
          testbed.begin(new HostTestbed.Version(null, "wharftrestle.Main", testbed.settings(), ""));
      assertTrue(daemon.awaitReady(20_000), daemon.log());
      TestClients clients =
          new TestClients(testbed, TestClients.Workload.of(16, 9000), 5, () -> false);
      double before;
      long startedAt;
      try (CpuLimiter limiter = new CpuLimiter(() -> List.of(daemon), 0.15)) {
        before = daemon.cpuSeconds();
        startedAt = System.nanoTime();
        clients.start();
        long deadline = startedAt + TimeUnit.SECONDS.toNanos(20);
        while ((clients.served() < 300 || limiter.stops() < 20) && System.nanoTime() < deadline) {
          LockSupport.parkNanos(5_000_000);
        }
        assertTrue(limiter.stops() >= 20, "the daemon never exceeded its quota");
        double span = (System.nanoTime() - startedAt) / 1e9;
        double usedSeconds = daemon.cpuSeconds() - before;
        assertTrue(usedSeconds < 2 * 0.15 * span + 0.2, usedSeconds + " s in " + span);
      }
      int served = clients.served();
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      while (clients.served() < served + 50 && System.nanoTime() < deadline) {
        LockSupport.parkNanos(5_000_000);
      }
      clients.stop();
      assertTrue(clients.served() >= served + 50, "the daemon serves after the limit ended");
      assertTrue(clients.tally().holds(), clients.tally().toString());
      assertFalse(isStopped(daemon));
    }
  }

  @Test
  void processThatLeftTheHostIsContinued() throws Exception {
    try (HostTestbed testbed = new HostTestbed(folder, "", 6, HostTestbed.Play.of(192))) {
      DaemonProcess daemon =
          testbed.begin(new HostTestbed.Version(null, "wharftrestle.Main", testbed.settings(), ""));
      AtomicReference<List<DaemonProcess>> hostProcesses = new AtomicReference<>(List.of(daemon));
      try (CpuLimiter limiter =
          new CpuLimiter(hostProcesses::get, 0.05)) { // its start alone exceeds that
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!isStopped(daemon) && System.nanoTime() < deadline) {
          Thread.onSpinWait();
        }
        hostProcesses.set(List.of());
        while (isStopped(daemon) && System.nanoTime() < deadline) {
          Thread.onSpinWait();
        }
        assertFalse(isStopped(daemon), "after " + limiter.stops() + " stops");
      }
    }
  }

  private static boolean isStopped(DaemonProcess daemon) throws Exception {
    String stat = Files.readString(Path.of("/proc/" + daemon.pid() + "/stat"));
    return stat.charAt(stat.lastIndexOf(')') + 2) == 'T';
  }

  @Test
  void scriptLimitsAndReleasesCpuOfAHost() throws Exception {
    FaultScript script =
        FaultScript.parse("f.star", "at(1, hold(\"b1\", 0.5))\nat(2, free(\"b1\"))\n");
    assertEquals(
        new FaultScript.Fault(FaultScript.Kind.HOLD, "b1", "", 0.5, 0, "both"),
        script.steps().get(0).fault());
    assertEquals(FaultScript.Kind.FREE, script.steps().get(1).fault().kind());
    BadSettingsException error =
        assertThrows(
            BadSettingsException.class,
            () -> FaultScript.parse("f.star", "at(1, hold(\"b1\", 0))"));
    assertEquals(
        "f.star:1:18: hold.cores: expected a number from 0.05 to 64.0, got 0", error.getMessage());
  }
}
