package wharftrestle.bench;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import wharftrestle.idempotency.CompactIndex;
import wharftrestle.idempotency.KeyDigest;

/**
 * The compact index on its timing wheel against a plain HashMap that is swept: a look-up, and one
 * second of life (1/30 of the keys come, as many go, and what is over is found). Run by 'make
 * bench-results'.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class KeyStructures {
  private static final int WINDOW = 30;

  /** What the plain map holds of a key. */
  private record Plain(long place, long lastDoor, long check, double until) {}

  @Param({"1000", "100000", "1000000"})
  private int keys;

  private KeyDigest[] digests;
  private String[] names;
  private CompactIndex index;
  private Map<String, Plain> map;
  private double now;
  private int next;
  private int look;

  @Setup
  public void fill() {
    digests = new KeyDigest[2 * keys];
    names = new String[2 * keys];
    for (int i = 0; i < digests.length; i++) {
      names[i] = String.format("2/0/%032x", i * 0x9E3779B97F4A7C15L);
      digests[i] = KeyDigest.of(names[i]);
    }
    index = new CompactIndex(2 * keys);
    map = new HashMap<>();
    now = 0;
    for (next = 0; next < keys; next++) {
      double until = WINDOW * (double) next / keys;
      index.put(digests[next], next, next, next, until);
      map.put(names[next], new Plain(next, next, next, until));
    }
  }

  @Benchmark
  @OutputTimeUnit(TimeUnit.NANOSECONDS)
  public Object lookIndex() {
    look = (look + 7919) % keys;
    return index.find(digests[look]);
  }

  @Benchmark
  @OutputTimeUnit(TimeUnit.NANOSECONDS)
  public Object lookMap() {
    look = (look + 7919) % keys;
    return map.get(names[look]);
  }

  @Benchmark
  @OutputTimeUnit(TimeUnit.MICROSECONDS)
  public int secondIndex() {
    now += 1;
    for (int i = 0; i < keys / WINDOW; i++) {
      next = (next + 1) % digests.length;
      index.put(digests[next], next, next, next, now + WINDOW);
    }
    index.expire(now);
    return index.size();
  }

  @Benchmark
  @OutputTimeUnit(TimeUnit.MICROSECONDS)
  public int secondMap() {
    now += 1;
    for (int i = 0; i < keys / WINDOW; i++) {
      next = (next + 1) % digests.length;
      map.put(names[next], new Plain(next, next, next, now + WINDOW));
    }
    for (Iterator<Plain> all = map.values().iterator(); all.hasNext(); ) {
      if (all.next().until() < now) {
        all.remove();
      }
    }
    return map.size();
  }

  /** Bytes a key in both, by what the heap holds after a collection: 'KeyStructures bytes'. */
  public static void main(String[] args) {
    for (int keys : new int[] {1000, 100_000, 1_000_000}) {
      long before = used();
      CompactIndex index = new CompactIndex(keys);
      for (int i = 0; i < keys; i++) {
        index.put(KeyDigest.of("2/0/" + i), i, i, i, 30);
      }
      long flat = used() - before;
      before = used();
      Map<String, Plain> map = new HashMap<>();
      for (int i = 0; i < keys; i++) {
        map.put(String.format("2/0/%032x", i * 0x9E3779B97F4A7C15L), new Plain(i, i, i, 30));
      }
      long plain = used() - before;
      System.out.printf(
          "%8d keys: index %d bytes a key (%d by its own account), map %d%n",
          keys, flat / keys, index.bytes() / keys, plain / keys);
      if (map.size() + index.size() != 2 * keys) {
        throw new IllegalStateException("keys were lost");
      }
    }
  }

  private static long used() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
