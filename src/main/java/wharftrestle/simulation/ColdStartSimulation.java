package wharftrestle.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import wharftrestle.admission.AdmissionSettings;

/**
 * Boxes that share nothing but a store, all of them started cold at once, each with the shipped
 * policy: cold ones call more, and the store is slow. It owns the play and what the store holds; it
 * must never look into a policy.
 */
public final class ColdStartSimulation {

  /**
   * What came of a play.
   *
   * @param worst most calls in the store's hands, in the mean of the time that the settings name
   * @param bound what it survives: the shares of all boxes
   * @param calls that were made
   */
  public record Result(double worst, double bound, long calls) {
    public boolean holds() {
      return worst <= bound;
    }
  }

  private static final double RATE = 12;
  private static final double SECONDS = 25;
  private static final double LOOK = 0.05;

  /** Calls in the store's hands that each box is allowed: under what its load would hold there. */
  private static final double SHARE = 3;

  /** The store is so much slower than usual: a call takes 0.5 s in the mean. */
  private static final double SLOW = 25;

  private ColdStartSimulation() {}

  /**
   * Plays so many boxes.
   *
   * @param alone each of them is told the share of all, as if it were the only one: what must not
   *     hold
   */
  public static Result play(int boxes, boolean alone, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    EventQueue agenda = new EventQueue();
    SimulatedStore store = new SimulatedStore(agenda);
    store.slow(SLOW);
    SimulatedFleet.Site site = new SimulatedFleet.Site(boxes, 1, RATE, 0.85, 0, 0);
    AdmissionSettings settings = SimulatedFleet.settings(site, alone ? SHARE * boxes : SHARE, true);
    double unit = site.load() * settings.capacity().cores() / site.rate();
    List<SimulatedHost> all = new ArrayList<>();
    for (int i = 0; i < boxes; i++) {
      SimulatedHost box =
          new SimulatedHost(
              "b" + i,
              "z",
              agenda,
              settings,
              store,
              0.92 + 0.16 * random.nextDouble(),
              random.nextLong());
      box.start(SimulatedHost.Flaw.none(settings.classes().size()), false);
      all.add(box);
      ask(box, agenda, random.split(), settings.classes().size(), unit);
    }
    ArrayDeque<Integer> span = new ArrayDeque<>();
    double[] worst = {0};
    look(
        agenda, store, span, (int) Math.round(settings.calls().quotaWindowSeconds() / LOOK), worst);
    agenda.runTo(SECONDS);
    return new Result(
        worst[0], SHARE * boxes, all.stream().mapToLong(each -> each.tally().calls).sum());
  }

  /**
   * Its callers ask on, whatever it says: the half that heeds nobody. Each request calls once, as
   * cold ones call more.
   */
  private static void ask(
      SimulatedHost box, EventQueue agenda, SplittableRandom random, int classes, double unit) {
    agenda.at(
        agenda.now() - Math.log(1 - random.nextDouble()) / RATE,
        now -> {
          box.ask(
              random.nextInt(classes),
              unit * (0.4 + 1.2 * random.nextDouble()),
              0.5,
              (then, outcome, again) -> {});
          ask(box, agenda, random, classes, unit);
        });
  }

  private static void look(
      EventQueue agenda, SimulatedStore store, ArrayDeque<Integer> span, int most, double[] worst) {
    agenda.at(
        agenda.now() + LOOK,
        now -> {
          span.add(store.inHand());
          if (span.size() > most) {
            span.remove();
          }
          if (span.size() == most) {
            worst[0] = Math.max(worst[0], span.stream().mapToInt(each -> each).average().orElse(0));
          }
          look(agenda, store, span, most, worst);
        });
  }
}
