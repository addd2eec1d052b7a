package wharftrestle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Plays connections against the limiter in virtual time. */
class InputRateLimiterTest {
  private static final long SECOND = 1_000_000_000;
  private static final double CAPACITY_PER_CORE = 4000;
  private static final long HANDLING_NANOS = 20_000;

  /** A peer whose messages arrive at a rate, and which are handled one after the other. */
  private static final class Peer {
    private final InputRateLimiter limiter;
    private final InputRateLimiter.Account account;
    private final double arrivalsPerSecond; // infinite: the next one has always arrived
    private final int maxUnread;
    private long nextArrivalAt;
    private long readsAt;
    private int handled;
    private long longestWait;
    private boolean isInExcess;

    Peer(InputRateLimiter limiter, double arrivalsPerSecond, int maxUnread, long now) {
      this.limiter = limiter;
      this.arrivalsPerSecond = arrivalsPerSecond;
      this.maxUnread = maxUnread;
      account = limiter.open(now);
      nextArrivalAt = now;
      readsAt = now;
    }

    /** Handles the next message; the time is that of {@link #readsAt}. */
    void handleNext() {
      long intervalNanos = (long) (SECOND / arrivalsPerSecond);
      if (maxUnread < Integer.MAX_VALUE) {
        // The peer sends no further request while so many are open.
        nextArrivalAt = Math.max(nextArrivalAt, readsAt - maxUnread * intervalNanos);
      }
      long arrivedAt = nextArrivalAt;
      nextArrivalAt += intervalNanos;
      long now = Math.max(readsAt, arrivedAt);
      long delay = 0;
      if (limiter.exceedsShare(account, now)) {
        delay = limiter.delayNanos(account);
        boolean isFlood = maxUnread == Integer.MAX_VALUE && nextArrivalAt <= now;
        isInExcess = limiter.isInExcess(account, isFlood, now);
      }
      handled++;
      longestWait = Math.max(longestWait, now + delay - arrivedAt);
      readsAt = Math.max(now + delay + HANDLING_NANOS, nextArrivalAt);
    }
  }

  private static Peer greedy(InputRateLimiter limiter) {
    return new Peer(limiter, Double.POSITIVE_INFINITY, Integer.MAX_VALUE, 0);
  }

  private static void play(List<Peer> peers, long until) {
    for (; ; ) {
      Peer next = peers.get(0);
      for (Peer each : peers) {
        next = each.readsAt < next.readsAt ? each : next;
      }
      if (next.readsAt >= until) {
        return;
      }
      next.handleNext();
    }
  }

  @Property(tries = 50)
  void noMessageIsDelayed_whileAllFitTheCapacity(
      @ForAll @IntRange(min = 1, max = 40) int peerCount,
      @ForAll @DoubleRange(min = 0.1, max = 8) double cores) {
    InputRateLimiter limiter = new InputRateLimiter(cores, 1, 0);
    List<Peer> peers = new ArrayList<>();
    for (int i = 0; i < peerCount; i++) {
      double rate = 0.9 * cores * CAPACITY_PER_CORE / peerCount;
      peers.add(new Peer(limiter, Math.min(rate, 40_000), Integer.MAX_VALUE, i * 1_000L));
    }
    play(peers, SECOND / 2);
    for (Peer each : peers) {
      assertEquals(0, each.longestWait);
    }
  }

  @Property(tries = 30)
  void slowPeersAreNotDelayed_besideGreedyOnes(
      @ForAll @IntRange(min = 1, max = 20) int greedyCount) {
    InputRateLimiter limiter = new InputRateLimiter(0.5, 1, 0);
    List<Peer> peers = new ArrayList<>();
    for (int i = 0; i < greedyCount; i++) {
      peers.add(greedy(limiter));
    }
    Peer slow = new Peer(limiter, 60, Integer.MAX_VALUE, 0);
    peers.add(slow);
    play(peers, 2 * SECOND);
    assertEquals(0, slow.longestWait);
  }

  /** Whatever others send: all that a peer may have open is read within half of the time. */
  @Property(tries = 60)
  void openRequestsAreReadInTime(
      @ForAll @IntRange(min = 0, max = 200) int greedyCount,
      @ForAll @DoubleRange(min = 0.1, max = 2) double cores,
      @ForAll @DoubleRange(min = 0.3, max = 30) double answerSeconds) {
    InputRateLimiter limiter = new InputRateLimiter(cores, answerSeconds, 0);
    List<Peer> peers = new ArrayList<>();
    for (int i = 0; i < greedyCount; i++) {
      peers.add(greedy(limiter));
    }
    Peer frontEnd = new Peer(limiter, 1_000_000, InputRateLimiter.MAX_OPEN_REQUESTS, 0);
    peers.add(frontEnd);
    play(peers, SECOND);
    double handlingSeconds = 2.0 * InputRateLimiter.MAX_OPEN_REQUESTS * HANDLING_NANOS / SECOND;
    assertTrue(
        frontEnd.longestWait < (answerSeconds / 2 + handlingSeconds) * SECOND,
        "waited " + frontEnd.longestWait / 1e6 + " ms");
  }

  @Test
  void greedyPeersGetTheCapacity_andNoMore() {
    InputRateLimiter limiter = new InputRateLimiter(0.5, 5, 0);
    List<Peer> peers = List.of(greedy(limiter), greedy(limiter), greedy(limiter));
    play(peers, 2 * SECOND);
    int before = peers.stream().mapToInt(each -> each.handled).sum();
    play(peers, 4 * SECOND);
    double rate = (peers.stream().mapToInt(each -> each.handled).sum() - before) / 2.0;
    assertTrue(
        rate > 0.7 * 0.5 * CAPACITY_PER_CORE && rate < 1.2 * 0.5 * CAPACITY_PER_CORE,
        rate + " messages a second");
  }

  @Test
  void limitIsLifted_onceTheExcessHasEnded() {
    InputRateLimiter limiter = new InputRateLimiter(0.5, 5, 0);
    play(List.of(greedy(limiter)), SECOND);
    Peer busy = new Peer(limiter, 0.8 * 0.5 * CAPACITY_PER_CORE, Integer.MAX_VALUE, SECOND);
    play(List.of(busy), 4 * SECOND);
    busy.longestWait = 0;
    play(List.of(busy), 5 * SECOND);
    assertEquals(0, busy.longestWait);
  }

  @Test
  void onlyPeersWithoutEnd_areInExcess() {
    InputRateLimiter limiter = new InputRateLimiter(0.5, 1, 0);
    Peer flood = greedy(limiter);
    Peer frontEnd = new Peer(limiter, 100, InputRateLimiter.MAX_OPEN_REQUESTS, 0);
    play(List.of(flood, frontEnd), 3 * SECOND);
    assertTrue(flood.isInExcess);
    assertFalse(frontEnd.isInExcess);
  }
}
