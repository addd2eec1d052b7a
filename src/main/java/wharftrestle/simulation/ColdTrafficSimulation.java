package wharftrestle.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import wharftrestle.admission.AdmissionSettings;

/**
 * Simulates hosts that start cold together, and client processes that share no state: the traffic
 * of a host is the sum of what all of them send. Measures two figures over the concurrency window:
 * the requests that reach a cold host, which the clients decide, and the executions on its cores,
 * which the host decides. The state of the admission controllers is not used.
 */
public final class ColdTrafficSimulation {

  /**
   * Result of a simulation; both figures relative to their bounds, so 1 is the bound.
   *
   * @param trafficRatio most requests that reached a cold host in a window, relative to N + 2
   *     sqrt(N) + 2, where N is what it can serve at its reduced speed in that window
   * @param contentionRatio largest mean number of executions on the cores of a cold host over a
   *     window, relative to what it survives
   */
  public record Result(double trafficRatio, double contentionRatio) {}

  /** How the hosts admit requests. */
  public enum Start {
    /** With the real admission controller. */
    COLD,
    /** Dispatches all requests at once, without admission control. */
    OPEN
  }

  /** How clients treat a cold host. */
  public enum Ramp {
    /** They send it as much as a warm one. */
    NONE,
    /** Each skips it with a probability equal to the missing part of its speed. */
    SHARE,
    /** Each sends as much as the host can serve, as if it were the only client. */
    EACH_ALONE
  }

  /**
   * The clients.
   *
   * @param processes number of client processes
   * @param ignoringShare part of requests from clients that follow no ramp
   */
  public record Clients(int processes, Ramp ramp, double ignoringShare) {}

  private static final double REQUESTS_PER_SECOND = 12;
  private static final double UTILIZATION = 0.85;
  private static final double SAMPLE_SECONDS = 0.05;

  /** Dependency call quota of a host that is large enough not to matter. */
  private static final double AMPLE_CALL_QUOTA = 64;

  /** One host and its samples over the last window. */
  private static final class MonitoredHost {
    private final SimulatedHost host;
    private final ArrayDeque<double[]> samples =
        new ArrayDeque<>(); // requests received so far, executions, allowed speed fraction
    private double trafficRatio;
    private double contentionRatio;

    MonitoredHost(SimulatedHost host) {
      this.host = host;
    }

    private long received() {
      long total = 0;
      for (long count : host.tally().received) {
        total += count;
      }
      return total;
    }

    void sample(AdmissionSettings settings, double allowedSpeedFraction, int maxSamples) {
      samples.add(new double[] {received(), host.running(), allowedSpeedFraction});
      if (samples.size() <= maxSamples) {
        return;
      }
      double arrivals = samples.peekLast()[0] - samples.poll()[0];
      double meanShare = samples.stream().mapToDouble(each -> each[2]).average().orElse(1);
      double budget =
          REQUESTS_PER_SECOND
              / UTILIZATION
              * settings.capacity().concurrencyWindowSeconds()
              * meanShare;
      trafficRatio = Math.max(trafficRatio, arrivals / (budget + 2 * Math.sqrt(budget) + 2));
      contentionRatio =
          Math.max(
              contentionRatio,
              samples.stream().mapToDouble(each -> each[1]).average().orElse(0)
                  / (settings.capacity().cores()
                      * (1
                          + (settings.capacity().survivableConcurrencyPerCore() - 1) * meanShare)));
    }
  }

  private ColdTrafficSimulation() {}

  /** Simulates hosts that start cold at once, each with a stream of requests from all clients. */
  public static Result simulate(int hosts, Clients clients, Start start, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    EventQueue eventQueue = new EventQueue();
    SimulatedStore store = new SimulatedStore(eventQueue);
    SimulatedFleet.Site site =
        new SimulatedFleet.Site(hosts, 1, REQUESTS_PER_SECOND, UTILIZATION, 0, 0);
    AdmissionSettings settings = SimulatedFleet.settings(site, AMPLE_CALL_QUOTA, true);
    double meanWorkSeconds = UTILIZATION * settings.capacity().cores() / REQUESTS_PER_SECOND;
    List<MonitoredHost> monitoredHosts = new ArrayList<>();
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
      host.setUncontrolled(start == Start.OPEN);
      monitoredHosts.add(new MonitoredHost(host));
      scheduleArrival(
          host, new ClientHistory(clients), eventQueue, settings, random.split(), meanWorkSeconds);
    }
    scheduleSample(monitoredHosts, eventQueue, settings);
    eventQueue.runTo(settings.warmUp().seconds() + settings.capacity().concurrencyWindowSeconds());
    return new Result(
        monitoredHosts.stream().mapToDouble(each -> each.trafficRatio).max().orElse(0),
        monitoredHosts.stream().mapToDouble(each -> each.contentionRatio).max().orElse(0));
  }

  /** Part of the full speed that the warm-up settings allow a host now. */
  private static double allowedSpeedFraction(AdmissionSettings settings, double now) {
    return Math.min(
        1,
        settings.warmUp().coldSpeedFraction()
            + (1 - settings.warmUp().coldSpeedFraction()) * now / settings.warmUp().seconds());
  }

  /** Times of the requests that each client recently sent to one host. */
  private static final class ClientHistory {
    private final Clients clients;
    private final List<ArrayDeque<Double>> times = new ArrayList<>();

    ClientHistory(Clients clients) {
      this.clients = clients;
      for (int i = 0; i < clients.processes(); i++) {
        times.add(new ArrayDeque<>());
      }
    }

    /** Whether a client with a request for this host sends it there. */
    boolean shouldSend(double now, AdmissionSettings settings, SplittableRandom random) {
      ArrayDeque<Double> recent = times.get(random.nextInt(clients.processes()));
      if (clients.ramp() == Ramp.NONE || random.nextDouble() < clients.ignoringShare()) {
        return true;
      }
      if (clients.ramp() == Ramp.SHARE) {
        return random.nextDouble() < allowedSpeedFraction(settings, now);
      }
      while (!recent.isEmpty()
          && recent.peek() < now - settings.capacity().concurrencyWindowSeconds()) {
        recent.remove();
      }
      boolean fits =
          recent.size()
              < allowedSpeedFraction(settings, now)
                  * settings.capacity().concurrencyWindowSeconds()
                  * REQUESTS_PER_SECOND
                  / UTILIZATION;
      if (fits) {
        recent.add(now);
      }
      return fits;
    }
  }

  private static void scheduleArrival(
      SimulatedHost host,
      ClientHistory history,
      EventQueue eventQueue,
      AdmissionSettings settings,
      SplittableRandom random,
      double meanWorkSeconds) {
    eventQueue.schedule(
        eventQueue.now() - StrictMath.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND,
        now -> {
          if (history.shouldSend(now, settings, random)) {
            host.send(
                random.nextInt(settings.classes().size()),
                meanWorkSeconds * (0.4 + 1.2 * random.nextDouble()),
                0,
                (replyTime, outcome, retryAfter) -> {});
          }
          scheduleArrival(host, history, eventQueue, settings, random, meanWorkSeconds);
        });
  }

  private static void scheduleSample(
      List<MonitoredHost> monitoredHosts, EventQueue eventQueue, AdmissionSettings settings) {
    eventQueue.schedule(
        eventQueue.now() + SAMPLE_SECONDS,
        now -> {
          monitoredHosts.forEach(
              each ->
                  each.sample(
                      settings,
                      allowedSpeedFraction(settings, now),
                      (int)
                          Math.round(
                              settings.capacity().concurrencyWindowSeconds() / SAMPLE_SECONDS)));
          scheduleSample(monitoredHosts, eventQueue, settings);
        });
  }
}
