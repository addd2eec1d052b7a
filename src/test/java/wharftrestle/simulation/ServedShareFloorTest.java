package wharftrestle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wharftrestle.admission.Admission;

/**
 * Guards against starvation: on a simulated fleet with the real admission controller, each class
 * and each phase has a minimum share of what could be served. The reference is the capacity of all
 * cores assigned to the classes by weight; no admission policy serves more value. The minimum is
 * half of the reference for each class and a fifth in each phase; a class of which the reference
 * serves less than 0.3 is left out.
 */
class ServedShareFloorTest {
  private static final double PHASE_SECONDS = 20;
  private static final double MIN_PHASE_SHARE = 0.2;
  private static final double MIN_CLASS_SHARE = 0.5;
  private static final double MIN_POSSIBLE_SHARE = 0.3;
  private static final double[] SHARES = SimulatedFleet.SHARES;

  /** A fault in the second of three phases. */
  private interface Fault {
    /**
     * Starts the fault and returns the factor by which the needed part of the cores grows; 1 for a
     * fault that costs no capacity.
     */
    double startFault(SimulatedFleet fleet);

    void endFault(SimulatedFleet fleet);
  }

  /** More requests. */
  private record Burst(double factor) implements Fault {
    @Override
    public double startFault(SimulatedFleet fleet) {
      fleet.setLoadFactor(factor);
      return factor;
    }

    @Override
    public void endFault(SimulatedFleet fleet) {
      fleet.setLoadFactor(1);
    }
  }

  /** Every second host is slower. */
  private record Slow(double factor) implements Fault {
    private static void slowAlternateHosts(SimulatedFleet fleet, double factor) {
      IntStream.range(0, fleet.hosts.size())
          .filter(i -> i % 2 == 0)
          .forEach(i -> fleet.hosts.get(i).setSpeedFactor(factor));
    }

    @Override
    public double startFault(SimulatedFleet fleet) {
      slowAlternateHosts(fleet, factor);
      return 2 / (1 + factor);
    }

    @Override
    public void endFault(SimulatedFleet fleet) {
      slowAlternateHosts(fleet, 1);
    }
  }

  /** Three in ten hosts crash, lose all requests in flight, and restart cold at the end. */
  private record Crash() implements Fault {
    private static List<SimulatedHost> crashedHosts(SimulatedFleet fleet) {
      return fleet.hosts.subList(0, fleet.hosts.size() * 3 / 10);
    }

    @Override
    public double startFault(SimulatedFleet fleet) {
      crashedHosts(fleet).forEach(SimulatedHost::crash);
      return 1 / (1 - (double) crashedHosts(fleet).size() / fleet.hosts.size());
    }

    @Override
    public void endFault(SimulatedFleet fleet) {
      crashedHosts(fleet)
          .forEach(host -> host.start(SimulatedHost.Defects.none(SHARES.length), false));
    }
  }

  /** Requests served within their latency objective so far, by class. */
  private static double[] served(SimulatedFleet fleet) {
    return IntStream.range(0, SHARES.length)
        .mapToDouble(
            type ->
                fleet.hosts.stream()
                    .mapToLong(host -> host.tally().served[type] - host.tally().late[type])
                    .sum())
        .toArray();
  }

  /** Requests that could be served, by class: in the order of weight, until the cores are full. */
  private static double[] possiblyServed(
      SimulatedFleet fleet, double requests, double neededUtilization) {
    double[] possible = new double[SHARES.length];
    double remaining = requests / neededUtilization;
    for (int type :
        IntStream.range(0, SHARES.length)
            .boxed()
            .sorted(Comparator.comparing(i -> -fleet.settings.classes().get(i).weight()))
            .toList()) {
      possible[type] = Math.min(remaining, requests * SHARES[type]);
      remaining -= possible[type];
    }
    return possible;
  }

  /** Runs a simulation and describes the first violation; empty for none. */
  private static String findViolation(
      Fault fault, double load, long seed, double rejectProbability) {
    SimulatedFleet.Site site = new SimulatedFleet.Site(14, 3, 12, load, 0.5, 0);
    SimulatedFleet fleet = new SimulatedFleet(site, seed);
    if (rejectProbability > 0) {
      SimulatedHost.Defects defects =
          new SimulatedHost.Defects(0, new double[SHARES.length], rejectProbability, 0, 0, 0);
      fleet.hosts.forEach(host -> host.start(defects, true));
    }
    double[] weights =
        fleet.settings.classes().stream().mapToDouble(Admission.RequestClass::weight).toArray();
    double[] servedByClass = new double[SHARES.length];
    double[] possibleByClass = new double[SHARES.length];
    double totalRequests = 0;
    for (int phase = 1; phase <= 3; phase++) {
      double[] servedBefore = served(fleet);
      double factor = phase == 2 ? fault.startFault(fleet) : 1;
      double requests =
          PHASE_SECONDS
              * site.requestsPerSecond()
              * site.hosts()
              * (fault instanceof Burst ? factor : 1);
      fleet.eventQueue.runTo(phase * PHASE_SECONDS);
      if (phase == 2) {
        fault.endFault(fleet);
      }
      double[] servedNow = served(fleet);
      double[] possible = possiblyServed(fleet, requests, Math.max(1, load * factor));
      double servedValue = 0;
      double possibleValue = 0;
      for (int type = 0; type < SHARES.length; type++) {
        servedByClass[type] += servedNow[type] - servedBefore[type];
        possibleByClass[type] += possible[type];
        servedValue += (servedNow[type] - servedBefore[type]) * weights[type];
        possibleValue += possible[type] * weights[type];
      }
      totalRequests += requests;
      if (servedValue < MIN_PHASE_SHARE * possibleValue) {
        return fault + ", phase " + phase + ": value " + servedValue + " of " + possibleValue;
      }
    }
    for (int type = 0; type < SHARES.length; type++) {
      if (possibleByClass[type] >= MIN_POSSIBLE_SHARE * totalRequests * SHARES[type]
          && servedByClass[type] < MIN_CLASS_SHARE * possibleByClass[type]) {
        return fault
            + ", class "
            + type
            + ": "
            + Arrays.toString(servedByClass)
            + " of "
            + Arrays.toString(possibleByClass);
      }
    }
    return "";
  }

  private static List<Fault> faults() {
    return List.of(new Burst(1.5), new Burst(3), new Slow(0.3), new Crash());
  }

  @Test
  void everyClassAndEveryPhaseKeepsItsServedShareFloor() {
    for (long seed = 1; seed <= 4; seed++) {
      for (Fault fault : faults()) {
        assertEquals("", findViolation(fault, 0.85, seed, 0), "seed " + seed);
        assertEquals("", findViolation(fault, 0.6, seed, 0), "seed " + seed);
      }
    }
  }

  @Test
  void hostsThatRejectMostRequestsViolateTheFloor() {
    for (Fault fault : faults()) {
      assertNotEquals("", findViolation(fault, 0.6, 1, 0.8));
    }
  }
}
