package wharftrestle.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import wharftrestle.admission.AdmissionSettings;

/**
 * Boxes that start cold together, and callers that share nothing: what reaches a box is the sum of
 * what all of them send. It owns the play and looks at two things over the time that the settings
 * name: what reaches a cold box, which is the callers', and what that box lets onto its cores,
 * which is its own. It must never look into a policy.
 */
public final class ColdTrafficSimulation {

  /**
   * What came of a play, each against its bound: 1 is the bound.
   *
   * @param reached most requests that reached a cold box, against N + 2 root of N + 2, N being what
   *     its share of speed does in that time
   * @param crowd most requests on the cores of a cold box, in the mean of that time, against what
   *     it survives
   */
  public record Result(double reached, double crowd) {}

  /** How the boxes take what comes. */
  public enum Start {
    /** With the shipped policy. */
    COLD,
    /** All that comes is run at once, as by one that never meets a crowd. */
    OPEN
  }

  /** What callers do about a cold box. */
  public enum Ramp {
    /** They send it what they send a warm one. */
    NONE,
    /** Each passes it by, by chance, for the part of its speed that it lacks. */
    SHARE,
    /** Each sends as much as the box can do, as if it were the only one. */
    EACH_ALONE
  }

  /**
   * Who calls.
   *
   * @param many processes of theirs
   * @param deaf part of requests of callers that follow no ramp
   */
  public record Callers(int many, Ramp ramp, double deaf) {}

  private static final double RATE = 12;
  private static final double LOAD = 0.85;
  private static final double LOOK = 0.05;

  /** Calls in the store's hands that a box may have: the store is not what is played. */
  private static final double ROOM_FOR_CALLS = 64;

  /** One box, and what was seen of it over the last span. */
  private static final class Watched {
    private final SimulatedHost box;
    private final ArrayDeque<double[]> span =
        new ArrayDeque<>(); // asked so far, on the cores, share of its speed
    private double reached;
    private double crowd;

    Watched(SimulatedHost box) {
      this.box = box;
    }

    private long asked() {
      long all = 0;
      for (long each : box.tally().asked) {
        all += each;
      }
      return all;
    }

    void look(AdmissionSettings settings, double share, int most) {
      span.add(new double[] {asked(), box.running(), share});
      if (span.size() <= most) {
        return;
      }
      double came = span.peekLast()[0] - span.poll()[0];
      double shares = span.stream().mapToDouble(each -> each[2]).average().orElse(1);
      double budget = RATE / LOAD * settings.capacity().concurrencyWindowSeconds() * shares;
      reached = Math.max(reached, came / (budget + 2 * Math.sqrt(budget) + 2));
      crowd =
          Math.max(
              crowd,
              span.stream().mapToDouble(each -> each[1]).average().orElse(0)
                  / (settings.capacity().cores()
                      * (1 + (settings.capacity().survivableConcurrencyPerCore() - 1) * shares)));
    }
  }

  private ColdTrafficSimulation() {}

  /**
   * Plays so many boxes that start cold at once, each with a stream of requests from all callers.
   */
  public static Result play(int boxes, Callers callers, Start start, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    EventQueue agenda = new EventQueue();
    SimulatedStore store = new SimulatedStore(agenda);
    SimulatedFleet.Site site = new SimulatedFleet.Site(boxes, 1, RATE, LOAD, 0, 0);
    AdmissionSettings settings = SimulatedFleet.settings(site, ROOM_FOR_CALLS, true);
    double unit = LOAD * settings.capacity().cores() / RATE;
    List<Watched> all = new ArrayList<>();
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
      box.open(start == Start.OPEN);
      all.add(new Watched(box));
      arrive(box, new Sent(callers), agenda, settings, random.split(), unit);
    }
    look(all, agenda, settings);
    agenda.runTo(settings.warmUp().seconds() + settings.capacity().concurrencyWindowSeconds());
    return new Result(
        all.stream().mapToDouble(each -> each.reached).max().orElse(0),
        all.stream().mapToDouble(each -> each.crowd).max().orElse(0));
  }

  /** What the settings allow a box now, as a part of its speed. */
  private static double share(AdmissionSettings settings, double now) {
    return Math.min(
        1,
        settings.warmUp().coldSpeedFraction()
            + (1 - settings.warmUp().coldSpeedFraction()) * now / settings.warmUp().seconds());
  }

  /** What each caller has sent one box of late. */
  private static final class Sent {
    private final Callers callers;
    private final List<ArrayDeque<Double>> times = new ArrayList<>();

    Sent(Callers callers) {
      this.callers = callers;
      for (int i = 0; i < callers.many(); i++) {
        times.add(new ArrayDeque<>());
      }
    }

    /** True where a caller that has a request for this box sends it there. */
    boolean sends(double now, AdmissionSettings settings, SplittableRandom random) {
      ArrayDeque<Double> mine = times.get(random.nextInt(callers.many()));
      if (callers.ramp() == Ramp.NONE || random.nextDouble() < callers.deaf()) {
        return true;
      }
      if (callers.ramp() == Ramp.SHARE) {
        return random.nextDouble() < share(settings, now);
      }
      while (!mine.isEmpty()
          && mine.peek() < now - settings.capacity().concurrencyWindowSeconds()) {
        mine.remove();
      }
      boolean fits =
          mine.size()
              < share(settings, now) * settings.capacity().concurrencyWindowSeconds() * RATE / LOAD;
      if (fits) {
        mine.add(now);
      }
      return fits;
    }
  }

  private static void arrive(
      SimulatedHost box,
      Sent sent,
      EventQueue agenda,
      AdmissionSettings settings,
      SplittableRandom random,
      double unit) {
    agenda.at(
        agenda.now() - Math.log(1 - random.nextDouble()) / RATE,
        now -> {
          if (sent.sends(now, settings, random)) {
            box.ask(
                random.nextInt(settings.classes().size()),
                unit * (0.4 + 1.2 * random.nextDouble()),
                0,
                (then, outcome, again) -> {});
          }
          arrive(box, sent, agenda, settings, random, unit);
        });
  }

  private static void look(List<Watched> all, EventQueue agenda, AdmissionSettings settings) {
    agenda.at(
        agenda.now() + LOOK,
        now -> {
          all.forEach(
              each ->
                  each.look(
                      settings,
                      share(settings, now),
                      (int) Math.round(settings.capacity().concurrencyWindowSeconds() / LOOK)));
          look(all, agenda, settings);
        });
  }
}
