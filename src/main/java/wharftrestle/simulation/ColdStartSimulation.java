package wharftrestle.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import wharftrestle.admission.AdmissionSettings;

/**
 * Simulates hosts that share only a store and all start cold at once, each with the real admission
 * controller. Cold hosts make more dependency calls, and the store is slow. Measures the calls in
 * flight in the store, without the state of any controller.
 */
public final class ColdStartSimulation {

  /**
   * Result of a simulation.
   *
   * @param worstMeanCalls largest mean number of calls in flight in the store over a quota window
   * @param allowedCalls number of calls that the store survives: the sum of the quotas of all hosts
   * @param calls number of calls made
   */
  public record Result(double worstMeanCalls, double allowedCalls, long calls) {
    public boolean holds() {
      return worstMeanCalls <= allowedCalls;
    }
  }

  private static final double REQUESTS_PER_SECOND = 12;
  private static final double DURATION_SECONDS = 25;
  private static final double SAMPLE_SECONDS = 0.05;

  /** Dependency call quota of each host, below the number that its load would have in flight. */
  private static final double CALLS_PER_HOST = 3;

  /** Slowdown of the store: a call takes 0.5 s on average. */
  private static final double STORE_SLOWDOWN = 25;

  private ColdStartSimulation() {}

  /**
   * Runs a simulation.
   *
   * @param eachTakesWholeQuota whether each host uses the quota of all hosts, as if it were the
   *     only one, with which the result must not hold
   */
  public static Result simulate(int hosts, boolean eachTakesWholeQuota, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    EventQueue eventQueue = new EventQueue();
    SimulatedStore store = new SimulatedStore(eventQueue);
    store.setSlowdown(STORE_SLOWDOWN);
    SimulatedFleet.Site site = new SimulatedFleet.Site(hosts, 1, REQUESTS_PER_SECOND, 0.85, 0, 0);
    AdmissionSettings settings =
        SimulatedFleet.settings(
            site, eachTakesWholeQuota ? CALLS_PER_HOST * hosts : CALLS_PER_HOST, true);
    double meanWorkSeconds =
        site.utilization() * settings.capacity().cores() / site.requestsPerSecond();
    List<SimulatedHost> hostList = new ArrayList<>();
    for (int i = 0; i < hosts; i++) {
      SimulatedHost host =
          new SimulatedHost(
              "b" + i,
              "z",
              eventQueue,
              settings,
              store,
              0.92 + 0.16 * random.nextDouble(),
              random.nextLong());
      host.start(SimulatedHost.Defects.none(settings.classes().size()), false);
      hostList.add(host);
      scheduleRequest(host, eventQueue, random.split(), settings.classes().size(), meanWorkSeconds);
    }
    ArrayDeque<Integer> samples = new ArrayDeque<>();
    double[] worstMeanCalls = {0};
    scheduleSample(
        eventQueue,
        store,
        samples,
        (int) Math.round(settings.calls().quotaWindowSeconds() / SAMPLE_SECONDS),
        worstMeanCalls);
    eventQueue.runTo(DURATION_SECONDS);
    return new Result(
        worstMeanCalls[0],
        CALLS_PER_HOST * hosts,
        hostList.stream().mapToLong(each -> each.tally().calls).sum());
  }

  /**
   * Clients keep sending whatever the host replies: this models the half of the clients that ignore
   * refusals. Each request makes one call, since cold hosts call more.
   */
  private static void scheduleRequest(
      SimulatedHost host,
      EventQueue eventQueue,
      SplittableRandom random,
      int classes,
      double meanWorkSeconds) {
    eventQueue.schedule(
        eventQueue.now() - StrictMath.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND,
        now -> {
          host.send(
              random.nextInt(classes),
              meanWorkSeconds * (0.4 + 1.2 * random.nextDouble()),
              0.5,
              (replyTime, outcome, retryAfter) -> {});
          scheduleRequest(host, eventQueue, random, classes, meanWorkSeconds);
        });
  }

  private static void scheduleSample(
      EventQueue eventQueue,
      SimulatedStore store,
      ArrayDeque<Integer> samples,
      int maxSamples,
      double[] worstMeanCalls) {
    eventQueue.schedule(
        eventQueue.now() + SAMPLE_SECONDS,
        now -> {
          samples.add(store.inFlight());
          if (samples.size() > maxSamples) {
            samples.remove();
          }
          if (samples.size() == maxSamples) {
            worstMeanCalls[0] =
                Math.max(
                    worstMeanCalls[0], samples.stream().mapToInt(each -> each).average().orElse(0));
          }
          scheduleSample(eventQueue, store, samples, maxSamples, worstMeanCalls);
        });
  }
}
