package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wharftrestle.admission.Admission;

/**
 * Fixed-seed sequences of events in any legal order; the host holds every action against the four
 * rules.
 */
class RandomSequencesTest {

  private static RecordingHost play(long seed) {
    Random random = new Random(seed);
    Sites.Builder site = Sites.site();
    site.calls = seed % 2 == 0;
    site.callShare = 1 + random.nextInt(8);
    site.shareFor = seed % 3 == 0 ? 1 : 0;
    site.memory = 600 + random.nextInt(4000);
    site.preemption = Admission.Preemption.values()[(int) (seed % 3)];
    site.justStarted = random.nextBoolean();
    RecordingHost host = new RecordingHost(site.build(), seed);
    Map<String, Long> lastTry = new LinkedHashMap<>();
    double leave = host.now + 12 + random.nextInt(10);
    boolean left = false;
    for (int step = 0; step < 6000; step++) {
      double stop = left ? host.leftAt + 5 : Double.POSITIVE_INFINITY;
      if (host.now > stop) {
        break;
      }
      if (!left && host.now > leave) {
        left = true;
        host.leave(5);
      }
      host.gauges = new double[] {random.nextDouble(), random.nextInt(6)};
      int arrivals = random.nextInt(50) == 0 ? random.nextInt(60) : random.nextInt(20) == 0 ? 1 : 0;
      for (int i = 0; i < arrivals; i++) {
        arrive(host, random, lastTry);
      }
      host.settle();
      happen(host, random);
      host.pass(random.nextInt(100) == 0 ? random.nextDouble() * 0.05 : random.nextDouble() * 0.01);
    }
    if (left) {
      host.pass(Math.max(0, host.leftAt + 5 - host.now));
    } else {
      host.pass(25);
    }
    host.known.values().forEach(k -> assertTrue(k.answered, "lost " + k.request.id()));
    return host;
  }

  private static void arrive(RecordingHost host, Random random, Map<String, Long> lastTry) {
    int type = random.nextInt(5);
    RecordingHost.Requests r =
        host.request(type)
            .memory(1 + random.nextInt(12))
            .lay(random.nextInt(4) == 0 ? random.nextDouble() : 0.002)
            .cost(random.nextBoolean() ? 0 : 0.01 + random.nextDouble());
    if (random.nextInt(3) == 0) {
      r.patience(0.05 + random.nextDouble() * 3);
    }
    boolean keyed = type == Sites.KEYED;
    boolean shared = host.settings.timing().resultSharingSeconds() > 0 && type == Sites.READ;
    if (keyed || shared) {
      String key = (keyed ? "k" : "r") + random.nextInt(8);
      r.subject(key);
      Long prior = lastTry.get(key);
      if (prior != null) {
        RecordingHost.Known k = host.known.get(prior);
        boolean entry =
            k.keyUntil >= host.now
                || (host.keyRanArrival.containsKey(key)
                    && host.now - 1.1 <= host.keyRanArrival.get(key) + 12
                    && keyed);
        if (entry) {
          r.repeatOf(prior).further();
        }
      }
      Admission.Request request = r.build();
      host.arrive(request);
      if (host.log.contains("keep " + request.id())) {
        lastTry.put(key, request.id());
      }
      return;
    }
    host.arrive(r.build());
  }

  private static void happen(RecordingHost host, Random random) {
    for (RecordingHost.Known k : List.copyOf(host.known.values())) {
      long id = k.request.id();
      switch (k.phase) {
        case HELD -> {
          if (random.nextInt(400) == 0) {
            host.gone(id);
          }
        }
        case PAUSED -> {
          if (random.nextInt(400) == 0) {
            host.gone(id);
          }
        }
        case RUNNING -> {
          if (k.stopAsked && random.nextBoolean()) {
            host.stopped(id);
            continue;
          }
          if (k.answered || random.nextInt(40) == 0) {
            boolean calls = host.settings.classes().get(k.request.classIndex()).callsDependency();
            if (k.answered) {
              host.end(id, Admission.Outcome.WITHDRAWN);
            } else if (calls && random.nextBoolean()) {
              host.needCall(id);
            } else {
              host.end(
                  id,
                  random.nextInt(8) == 0 ? Admission.Outcome.FAILURE : Admission.Outcome.SUCCESS);
            }
          }
        }
        case AT_CALL, CALLING -> {
          if (k.answered) {
            host.end(id, Admission.Outcome.WITHDRAWN);
          } else if (k.phase == RecordingHost.Phase.CALLING
              && (host.now >= k.notPast || random.nextInt(30) == 0)) {
            Admission.Outcome[] outcomes = {
              Admission.Outcome.SUCCESS,
              Admission.Outcome.FAILURE,
              Admission.Outcome.OVERLOADED,
              Admission.Outcome.UNREACHABLE,
              Admission.Outcome.BROKEN
            };
            host.endCall(
                id,
                host.now >= k.notPast
                    ? Admission.Outcome.TIMED_OUT
                    : outcomes[random.nextInt(outcomes.length)]);
          }
        }
        case ATTACHED -> {
          RecordingHost.Known prior = host.known.get(k.request.duplicateOf());
          if (prior == null || prior.phase == RecordingHost.Phase.OVER) {
            host.end(
                id,
                prior != null && prior.ran ? Admission.Outcome.SUCCESS : Admission.Outcome.FAILURE);
          }
        }
        case OVER -> {}
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18})
  void theFourRulesHold(long seed) {
    assertTrue(play(seed).log.size() > 300);
  }

  @Test
  void identicalEventsGiveIdenticalActions() {
    List<String> first = new ArrayList<>(play(6).log);
    play(5);
    assertEquals(first, play(6).log);
  }
}
