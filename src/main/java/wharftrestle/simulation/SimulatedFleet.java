package wharftrestle.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;

/**
 * Boxes, their callers and what troubles them, in virtual time. Requests come as a Poisson stream;
 * whoever is turned away tries a few other boxes. It owns who asks whom; it must never look into a
 * policy.
 */
final class SimulatedFleet {

  /**
   * What is played.
   *
   * @param boxes in so many zones
   * @param rate requests a second for each box
   * @param load part of the cores that they need
   * @param retry part of refused requests that are tried at another box
   * @param shift by how much more callers prefer boxes that refused nothing of late; 0 for not at
   *     all
   */
  record Site(int boxes, int zones, double rate, double load, double retry, double shift) {
    /** 14 boxes, as the first site has at least, near what their cores can do. */
    static Site usual() {
      return new Site(14, 3, 12, 0.85, 0.5, 0);
    }
  }

  private static final int CORES = 4;

  /** Of the requests, by class. */
  static final double[] SHARES = {0.35, 0.3, 0.2, 0.15};

  private static final int MOST_TRIES = 3;
  private static final double CALLING_PART = 0.5;

  /** Calls in the store's hands that a box may have, where the store is not what is played. */
  private static final double ROOM_FOR_CALLS = 64;

  final EventQueue agenda = new EventQueue();
  final AdmissionSettings settings;
  final SimulatedStore store = new SimulatedStore(agenda);
  final List<SimulatedHost> boxes = new ArrayList<>();
  private final Site site;
  private final SplittableRandom random;
  private final double meanWork;
  private double burst = 1;
  private String lost = ""; // a zone whose boxes nobody reaches
  private int turn;

  SimulatedFleet(Site site, long seed) {
    this.site = site;
    random = new SplittableRandom(seed);
    settings = settings(site, ROOM_FOR_CALLS, false);
    meanWork = site.load() * CORES / site.rate();
    for (int i = 0; i < site.boxes(); i++) {
      SimulatedHost box =
          new SimulatedHost(
              "b" + (i + 1),
              "z" + (i % site.zones() + 1),
              agenda,
              settings,
              store,
              0.92 + 0.16 * random.nextDouble(),
              random.nextLong());
      box.start(SimulatedHost.Flaw.none(SHARES.length), true);
      boxes.add(box);
    }
    agenda.at(0, this::arrive);
  }

  static AdmissionSettings settings(Site site, double callShare, boolean cold) {
    double unit = site.load() * CORES / site.rate(); // mean work, seconds
    List<Admission.RequestClass> classes =
        List.of(
            type("next-step", unit, 1, Admission.Idempotency.IDEMPOTENT),
                type("prefill", unit, 2, Admission.Idempotency.IDEMPOTENT),
            type("history", unit, 2, Admission.Idempotency.IDEMPOTENT),
                type("outcome", unit, 5, Admission.Idempotency.NON_IDEMPOTENT));
    return new AdmissionSettings(
        classes,
        List.of(),
        new AdmissionSettings.Fleet(site.boxes(), 8, true, false, true),
        new AdmissionSettings.Capacity(CORES, 720_000, 4, 1, Admission.Preemption.NONE, 8, 3),
        new AdmissionSettings.WarmUp(cold, 0.3, 15),
        new AdmissionSettings.DependencyCalls(Admission.Dependency.SHARED, callShare, 5, 0.2),
        new AdmissionSettings.Timing(0.004, 0.06, 2, 0),
        new AdmissionSettings.Retries(1, false),
        new AdmissionSettings.Weighting(false, 1),
        List.of("cpu_busy", "runnable"));
  }

  private static Admission.RequestClass type(
      String name, double unit, double worth, Admission.Idempotency repeat) {
    return new Admission.RequestClass(name, 6 * unit, 0, 16 * unit, worth, 0.2, repeat, 0, true, 0);
  }

  /** So many times the usual requests from now on. */
  void burst(double factor) {
    burst = factor;
  }

  /** Nobody reaches the boxes of this zone from now on; empty for none. */
  void lose(String zone) {
    lost = zone;
  }

  boolean reached(SimulatedHost box) {
    return !box.zone.equals(lost);
  }

  private void arrive(double now) {
    agenda.at(
        now - Math.log(1 - random.nextDouble()) / (site.rate() * site.boxes() * burst),
        this::arrive);
    double draw = random.nextDouble();
    int type = 0;
    while (type < SHARES.length - 1 && draw >= SHARES[type]) {
      draw -= SHARES[type++];
    }
    double work = meanWork * (0.4 + 1.2 * random.nextDouble());
    ask(type, work, random.nextDouble() < CALLING_PART ? 0.5 : 0, 1, null);
  }

  private void ask(int type, double work, double call, int tries, SimulatedHost not) {
    SimulatedHost to = choose(not);
    if (to == null) {
      return;
    }
    to.ask(
        type,
        work,
        call,
        (then, outcome, retryAfter) -> {
          if (outcome == SimulatedHost.Outcome.REFUSED
              && tries < MOST_TRIES
              && random.nextDouble() < site.retry()) {
            agenda.at(then + 0.01, later -> ask(type, work, call, tries + 1, to));
          }
        });
  }

  /**
   * In turn, of those that are reached and healthy; with a shift, the one with more room of two.
   */
  private SimulatedHost choose(SimulatedHost not) {
    SimulatedHost first = next(not);
    if (first == null || random.nextDouble() >= site.shift()) {
      return first;
    }
    SimulatedHost second = next(not);
    return second != null && second.inHand() < first.inHand() ? second : first;
  }

  private SimulatedHost next(SimulatedHost not) {
    for (int i = 0; i < boxes.size(); i++) {
      SimulatedHost box = boxes.get(turn++ % boxes.size());
      if (box != not && box.healthy() && reached(box)) {
        return box;
      }
    }
    return null;
  }
}
