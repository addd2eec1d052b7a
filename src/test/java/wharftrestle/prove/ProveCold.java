package wharftrestle.prove;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import wharftrestle.simulation.ColdStartSimulation;
import wharftrestle.simulation.ColdTrafficSimulation;
import wharftrestle.simulation.ColdTrafficSimulation.Clients;
import wharftrestle.simulation.ColdTrafficSimulation.Ramp;
import wharftrestle.simulation.ColdTrafficSimulation.Start;

/**
 * Checks by simulation that hosts which start cold together overload neither the store nor
 * themselves: the calls in flight in the store stay within the sum of the quotas, and the
 * executions of each host within what it survives, for 1 to 30 hosts and any traffic. As a check of
 * the proof, hosts that each use the whole quota or admit all requests have to fail, and so do
 * several clients that each ramp up as if they were the only one. The traffic of the clients is not
 * controlled by the daemon; its excess is only reported. Prints a last line and exits with 0 or 1.
 */
public final class ProveCold {
  private static final List<Integer> HOST_COUNTS = List.of(1, 10, 20, 30);

  /** Part of requests from clients that follow no ramp. */
  private static final double IGNORING_SHARE = 0.3;

  private ProveCold() {}

  private static double worstCallRatio(
      int hosts, boolean eachTakesWholeQuota, int seeds, long seed) {
    return IntStream.range(0, seeds)
        .parallel()
        .mapToObj(i -> ColdStartSimulation.simulate(hosts, eachTakesWholeQuota, seed + i))
        .mapToDouble(result -> result.worstMeanCalls() / result.allowedCalls())
        .max()
        .orElse(Double.POSITIVE_INFINITY);
  }

  /** The worst result of all seeds, with as many clients as hosts. */
  private static ColdTrafficSimulation.Result worstTraffic(
      int hosts, Ramp ramp, double ignoringShare, Start start, int seeds, long seed) {
    return IntStream.range(0, seeds)
        .parallel()
        .mapToObj(
            i ->
                ColdTrafficSimulation.simulate(
                    hosts, new Clients(hosts, ramp, ignoringShare), start, seed + i))
        .reduce(
            new ColdTrafficSimulation.Result(0, 0),
            (a, b) ->
                new ColdTrafficSimulation.Result(
                    Math.max(a.trafficRatio(), b.trafficRatio()),
                    Math.max(a.contentionRatio(), b.contentionRatio())));
  }

  private record TrafficCheck(boolean holds, String figures) {}

  /**
   * Checks the traffic of cold hosts from clients of each kind, and the executions on their cores.
   */
  private static TrafficCheck checkTraffic(int seeds, long seed) {
    boolean holds = true;
    StringBuilder figures =
        new StringBuilder(
            "; traffic over its bound from clients without a ramp, with a share, with a share that"
                + " 30% ignore, each as if alone; executions over their bound (without admission control)");
    for (int hosts : HOST_COUNTS) {
      List<ColdTrafficSimulation.Result> all =
          List.of(
              worstTraffic(hosts, Ramp.NONE, 0, Start.COLD, seeds, seed),
              worstTraffic(hosts, Ramp.SHARE, 0, Start.COLD, seeds, seed),
              worstTraffic(hosts, Ramp.SHARE, IGNORING_SHARE, Start.COLD, seeds, seed),
              worstTraffic(hosts, Ramp.EACH_ALONE, 0, Start.COLD, seeds, seed));
      double contention =
          all.stream()
              .mapToDouble(ColdTrafficSimulation.Result::contentionRatio)
              .max()
              .orElse(Double.POSITIVE_INFINITY);
      double uncontrolledContention =
          worstTraffic(hosts, Ramp.NONE, 0, Start.OPEN, seeds, seed).contentionRatio();
      holds &=
          contention <= 1
              && uncontrolledContention > 1
              && all.get(3).trafficRatio() > 1 == hosts > 1;
      figures.append(String.format(Locale.ROOT, "; %d", hosts));
      all.forEach(
          result -> figures.append(String.format(Locale.ROOT, " %.2f", result.trafficRatio())));
      figures.append(
          String.format(Locale.ROOT, ", %.2f (%.2f)", contention, uncontrolledContention));
    }
    return new TrafficCheck(holds, figures.toString());
  }

  /** Simulates all fleet sizes and prints one line with the result. */
  static boolean prove(int seeds, long seed, PrintStream out) {
    TrafficCheck traffic = checkTraffic(seeds, seed);
    boolean holds = traffic.holds();
    boolean caught = true;
    StringBuilder figures = new StringBuilder();
    for (int hosts : HOST_COUNTS) {
      double ownQuota = worstCallRatio(hosts, false, seeds, seed);
      double wholeQuota = worstCallRatio(hosts, true, seeds, seed);
      holds &= ownQuota <= 1;
      caught &= hosts == 1 || wholeQuota > 1;
      figures.append(
          String.format(
              Locale.ROOT,
              "; %d hosts %.2f (each with the whole quota %.2f)",
              hosts,
              ownQuota,
              wholeQuota));
    }
    out.printf(
        Locale.ROOT,
        "prove-cold: %s, %d seeds, calls in flight in the store over the sum of quotas%s%s%n",
        holds && caught ? "holds" : "falls short",
        seeds,
        figures,
        traffic.figures());
    return holds && caught;
  }

  public static void main(String[] args) {
    boolean brief = "1".equals(System.getenv("SHORT"));
    System.exit(
        prove(brief ? 3 : 24, args.length > 0 ? Long.parseLong(args[0]) : 29421, System.out)
            ? 0
            : 1);
  }
}
