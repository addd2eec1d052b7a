package wharftrestle.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;

/**
 * Simulated hosts, their clients and the faults of the fleet. Requests arrive as a Poisson process;
 * a client whose request is refused retries on a few other hosts. Hosts are chosen only by what a
 * client can see, never by the state of an admission controller.
 */
final class SimulatedFleet {

  /**
   * Size and load of the fleet.
   *
   * @param hosts number of hosts
   * @param zones number of zones, to which hosts are assigned in turn
   * @param requestsPerSecond arrival rate for each host
   * @param utilization part of the cores that the requests need
   * @param retryProbability part of refused requests that are retried on another host
   * @param shiftProbability part of requests that go to the less loaded of two hosts; 0 for none
   */
  record Site(
      int hosts,
      int zones,
      double requestsPerSecond,
      double utilization,
      double retryProbability,
      double shiftProbability) {
    /** 14 hosts, the minimum of the first site, near the capacity of their cores. */
    static Site usual() {
      return new Site(14, 3, 12, 0.85, 0.5, 0);
    }
  }

  private static final int CORES = 4;

  /** Shares of the request classes. */
  static final double[] SHARES = {0.35, 0.3, 0.2, 0.15};

  private static final int MAX_ATTEMPTS = 3;
  private static final double CALLING_SHARE = 0.5;

  /** Dependency call quota of a host that is large enough not to matter. */
  private static final double AMPLE_CALL_QUOTA = 64;

  final EventQueue eventQueue = new EventQueue();
  final AdmissionSettings settings;
  final SimulatedStore store = new SimulatedStore(eventQueue);
  final List<SimulatedHost> hosts = new ArrayList<>();
  private final Site site;
  private final SplittableRandom random;
  private final double meanWorkSeconds;
  private double loadFactor = 1;
  private String unreachableZone = ""; // empty for none
  private int nextHost;

  SimulatedFleet(Site site, long seed) {
    this.site = site;
    random = new SplittableRandom(seed);
    settings = settings(site, AMPLE_CALL_QUOTA, false);
    meanWorkSeconds = site.utilization() * CORES / site.requestsPerSecond();
    for (int i = 0; i < site.hosts(); i++) {
      SimulatedHost host =
          new SimulatedHost(
              "b" + (i + 1),
              "z" + (i % site.zones() + 1),
              eventQueue,
              settings,
              store,
              0.92 + 0.16 * random.nextDouble(),
              random.nextLong());
      host.start(SimulatedHost.Defects.none(SHARES.length), true);
      hosts.add(host);
    }
    eventQueue.schedule(0, this::scheduleArrival);
  }

  static AdmissionSettings settings(Site site, double callShare, boolean cold) {
    double unitWorkSeconds =
        site.utilization() * CORES / site.requestsPerSecond(); // mean work of a request
    List<Admission.RequestClass> classes =
        List.of(
            requestClass("next-step", unitWorkSeconds, 1, Admission.Idempotency.IDEMPOTENT),
                requestClass("prefill", unitWorkSeconds, 2, Admission.Idempotency.IDEMPOTENT),
            requestClass("history", unitWorkSeconds, 2, Admission.Idempotency.IDEMPOTENT),
                requestClass("outcome", unitWorkSeconds, 5, Admission.Idempotency.NON_IDEMPOTENT));
    return new AdmissionSettings(
        classes,
        List.of(),
        new AdmissionSettings.Fleet(site.hosts(), 8, true, false, true),
        new AdmissionSettings.Capacity(CORES, 720_000, 4, 1, Admission.Preemption.NONE, 8, 3),
        new AdmissionSettings.WarmUp(cold, 0.3, 15),
        new AdmissionSettings.DependencyCalls(Admission.Dependency.SHARED, callShare, 5, 0.2),
        new AdmissionSettings.Timing(0.004, 0.06, 2, 0),
        new AdmissionSettings.Retries(1, false),
        new AdmissionSettings.Weighting(false, 1),
        List.of("cpu_busy", "runnable"));
  }

  private static Admission.RequestClass requestClass(
      String name, double unitWorkSeconds, double weight, Admission.Idempotency idempotency) {
    return new Admission.RequestClass(
        name, 6 * unitWorkSeconds, 0, 16 * unitWorkSeconds, weight, 0.2, idempotency, 0, true, 0);
  }

  /** Multiplies the arrival rate by this factor from now on. */
  void setLoadFactor(double factor) {
    loadFactor = factor;
  }

  /** Makes the hosts of this zone unreachable for clients; empty for none. */
  void setUnreachableZone(String zone) {
    unreachableZone = zone;
  }

  boolean reachable(SimulatedHost host) {
    return !host.zone.equals(unreachableZone);
  }

  private void scheduleArrival(double now) {
    eventQueue.schedule(
        now
            - StrictMath.log(1 - random.nextDouble())
                / (site.requestsPerSecond() * site.hosts() * loadFactor),
        this::scheduleArrival);
    double draw = random.nextDouble();
    int classIndex = 0;
    while (classIndex < SHARES.length - 1 && draw >= SHARES[classIndex]) {
      draw -= SHARES[classIndex++];
    }
    double work = meanWorkSeconds * (0.4 + 1.2 * random.nextDouble());
    send(classIndex, work, random.nextDouble() < CALLING_SHARE ? 0.5 : 0, 1, null);
  }

  private void send(
      int classIndex, double work, double callFraction, int attempt, SimulatedHost excluded) {
    SimulatedHost host = choose(excluded);
    if (host == null) {
      return;
    }
    host.send(
        classIndex,
        work,
        callFraction,
        (now, outcome, retryAfter) -> {
          if (outcome == SimulatedHost.Outcome.REFUSED
              && attempt < MAX_ATTEMPTS
              && random.nextDouble() < site.retryProbability()) {
            eventQueue.schedule(
                now + 0.01, retryTime -> send(classIndex, work, callFraction, attempt + 1, host));
          }
        });
  }

  /**
   * Chooses reachable, healthy hosts in turn; with the shift probability, the less loaded of two.
   */
  private SimulatedHost choose(SimulatedHost excluded) {
    SimulatedHost first = nextReachable(excluded);
    if (first == null || random.nextDouble() >= site.shiftProbability()) {
      return first;
    }
    SimulatedHost second = nextReachable(excluded);
    return second != null && second.inFlight() < first.inFlight() ? second : first;
  }

  private SimulatedHost nextReachable(SimulatedHost excluded) {
    for (int i = 0; i < hosts.size(); i++) {
      SimulatedHost host = hosts.get(nextHost++ % hosts.size());
      if (host != excluded && host.healthy() && reachable(host)) {
        return host;
      }
    }
    return null;
  }
}
