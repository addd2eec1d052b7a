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
 * Each class and each third of a day has its floor, with the shipped policy on a fleet in virtual
 * time. The yardstick is what the cores of all boxes can do, given to classes by worth: no policy
 * serves more worth. Floors are as the standing test has them: half of it for each class, a fifth
 * in each third; a class of which it serves under 0.3 is left out.
 */
class ServedShareFloorTest {
  private static final double THIRD = 20;
  private static final double A_THIRD = 0.2;
  private static final double A_CLASS = 0.5;
  private static final double LEAST = 0.3;
  private static final double[] SHARES = SimulatedFleet.SHARES;

  /** What goes wrong in the second third. */
  private interface Trouble {
    /**
     * By how much the part of the cores that is needed is greater then; 1 for a trouble that costs
     * none.
     */
    double strike(SimulatedFleet fleet);

    void over(SimulatedFleet fleet);
  }

  /** Half as much again, or a flood. */
  private record Burst(double factor) implements Trouble {
    @Override
    public double strike(SimulatedFleet fleet) {
      fleet.burst(factor);
      return factor;
    }

    @Override
    public void over(SimulatedFleet fleet) {
      fleet.burst(1);
    }
  }

  /** Each other box is slower. */
  private record Slow(double factor) implements Trouble {
    private static void all(SimulatedFleet fleet, double factor) {
      IntStream.range(0, fleet.boxes.size())
          .filter(i -> i % 2 == 0)
          .forEach(i -> fleet.boxes.get(i).slow(factor));
    }

    @Override
    public double strike(SimulatedFleet fleet) {
      all(fleet, factor);
      return 2 / (1 + factor);
    }

    @Override
    public void over(SimulatedFleet fleet) {
      all(fleet, 1);
    }
  }

  /** Three in ten boxes lose all that is in hand and come back cold at its end. */
  private record Die() implements Trouble {
    private static List<SimulatedHost> some(SimulatedFleet fleet) {
      return fleet.boxes.subList(0, fleet.boxes.size() * 3 / 10);
    }

    @Override
    public double strike(SimulatedFleet fleet) {
      some(fleet).forEach(SimulatedHost::die);
      return 1 / (1 - (double) some(fleet).size() / fleet.boxes.size());
    }

    @Override
    public void over(SimulatedFleet fleet) {
      some(fleet).forEach(each -> each.start(SimulatedHost.Flaw.none(SHARES.length), false));
    }
  }

  /** Served in time so far, by class. */
  private static double[] served(SimulatedFleet fleet) {
    return IntStream.range(0, SHARES.length)
        .mapToDouble(
            type ->
                fleet.boxes.stream()
                    .mapToLong(each -> each.tally().served[type] - each.tally().late[type])
                    .sum())
        .toArray();
  }

  /** What could be served of so many requests a class: by worth, until the cores are full. */
  private static double[] yardstick(SimulatedFleet fleet, double asked, double needed) {
    double[] most = new double[SHARES.length];
    double left = asked / needed;
    for (int type :
        IntStream.range(0, SHARES.length)
            .boxed()
            .sorted(Comparator.comparing(i -> -fleet.settings.classes().get(i).weight()))
            .toList()) {
      most[type] = Math.min(left, asked * SHARES[type]);
      left -= most[type];
    }
    return most;
  }

  /** What fell under its floor; empty for nothing. */
  private static String play(Trouble trouble, double load, long seed, double refuses) {
    SimulatedFleet.Site site = new SimulatedFleet.Site(14, 3, 12, load, 0.5, 0);
    SimulatedFleet fleet = new SimulatedFleet(site, seed);
    if (refuses > 0) {
      SimulatedHost.Flaw flaw =
          new SimulatedHost.Flaw(0, new double[SHARES.length], refuses, 0, 0, 0);
      fleet.boxes.forEach(each -> each.start(flaw, true));
    }
    double[] worths =
        fleet.settings.classes().stream().mapToDouble(Admission.RequestClass::weight).toArray();
    double[] whole = new double[SHARES.length];
    double[] best = new double[SHARES.length];
    double all = 0;
    for (int third = 1; third <= 3; third++) {
      double[] before = served(fleet);
      double factor = third == 2 ? trouble.strike(fleet) : 1;
      double asked = THIRD * site.rate() * site.boxes() * (trouble instanceof Burst ? factor : 1);
      fleet.agenda.runTo(third * THIRD);
      if (third == 2) {
        trouble.over(fleet);
      }
      double[] now = served(fleet);
      double[] most = yardstick(fleet, asked, Math.max(1, load * factor));
      double worth = 0;
      double could = 0;
      for (int type = 0; type < SHARES.length; type++) {
        whole[type] += now[type] - before[type];
        best[type] += most[type];
        worth += (now[type] - before[type]) * worths[type];
        could += most[type] * worths[type];
      }
      all += asked;
      if (worth < A_THIRD * could) {
        return trouble + ", third " + third + ": worth " + worth + " of " + could;
      }
    }
    for (int type = 0; type < SHARES.length; type++) {
      if (best[type] >= LEAST * all * SHARES[type] && whole[type] < A_CLASS * best[type]) {
        return trouble
            + ", class "
            + type
            + ": "
            + Arrays.toString(whole)
            + " of "
            + Arrays.toString(best);
      }
    }
    return "";
  }

  private static List<Trouble> troubles() {
    return List.of(new Burst(1.5), new Burst(3), new Slow(0.3), new Die());
  }

  @Test
  void noClassAndNoThirdOfADayGoesUnderItsFloor() {
    for (long seed = 1; seed <= 4; seed++) {
      for (Trouble trouble : troubles()) {
        assertEquals("", play(trouble, 0.85, seed, 0), "seed " + seed);
        assertEquals("", play(trouble, 0.6, seed, 0), "seed " + seed);
      }
    }
  }

  @Test
  void boxesThatTurnMostAwayAreFoundToDoSo() {
    for (Trouble trouble : troubles()) {
      assertNotEquals("", play(trouble, 0.6, 1, 0.8));
    }
  }
}
