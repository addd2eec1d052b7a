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
 * Compares the compact index, which expires keys by a timing wheel, with a HashMap that is swept: a
 * lookup, and one second of operation, in which 1/30 of the keys are added and as many expire. Run
 * by {@code make bench-results}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class KeyStructures {
  private static final int WINDOW_SECONDS = 30;

  /** Entry of the plain map. */
  private record PlainEntry(long position, long lastSentAt, long checksum, double expiresAt) {}

  @Param({"1000", "100000", "1000000"})
  private int keys;

  private KeyDigest[] digests;
  private String[] names;
  private CompactIndex index;
  private Map<String, PlainEntry> map;
  private double now;
  private int nextKey;
  private int lookupPosition;

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
    for (nextKey = 0; nextKey < keys; nextKey++) {
      double expiresAt = WINDOW_SECONDS * (double) nextKey / keys;
      index.put(digests[nextKey], nextKey, nextKey, nextKey, expiresAt);
      map.put(names[nextKey], new PlainEntry(nextKey, nextKey, nextKey, expiresAt));
    }
  }

  @Benchmark
  @OutputTimeUnit(TimeUnit.NANOSECONDS)
  public Object lookIndex() {
    lookupPosition = (lookupPosition + 7919) % keys;
    return index.find(digests[lookupPosition]);
  }

  @Benchmark
  @OutputTimeUnit(TimeUnit.NANOSECONDS)
  public Object lookMap() {
    lookupPosition = (lookupPosition + 7919) % keys;
    return map.get(names[lookupPosition]);
  }

  @Benchmark
  @OutputTimeUnit(TimeUnit.MICROSECONDS)
  public int secondIndex() {
    now += 1;
    for (int i = 0; i < keys / WINDOW_SECONDS; i++) {
      nextKey = (nextKey + 1) % digests.length;
      index.put(digests[nextKey], nextKey, nextKey, nextKey, now + WINDOW_SECONDS);
    }
    index.expire(now);
    return index.size();
  }

  @Benchmark
  @OutputTimeUnit(TimeUnit.MICROSECONDS)
  public int secondMap() {
    now += 1;
    for (int i = 0; i < keys / WINDOW_SECONDS; i++) {
      nextKey = (nextKey + 1) % digests.length;
      map.put(names[nextKey], new PlainEntry(nextKey, nextKey, nextKey, now + WINDOW_SECONDS));
    }
    for (Iterator<PlainEntry> entries = map.values().iterator(); entries.hasNext(); ) {
      if (entries.next().expiresAt() < now) {
        entries.remove();
      }
    }
    return map.size();
  }

  /** Prints the heap bytes of a key in both structures, measured after a collection. */
  public static void main(String[] args) {
    for (int keys : new int[] {1000, 100_000, 1_000_000}) {
      long before = usedBytes();
      CompactIndex index = new CompactIndex(keys);
      for (int i = 0; i < keys; i++) {
        index.put(KeyDigest.of("2/0/" + i), i, i, i, 30);
      }
      long indexBytes = usedBytes() - before;
      before = usedBytes();
      Map<String, PlainEntry> map = new HashMap<>();
      for (int i = 0; i < keys; i++) {
        map.put(String.format("2/0/%032x", i * 0x9E3779B97F4A7C15L), new PlainEntry(i, i, i, 30));
      }
      long mapBytes = usedBytes() - before;
      System.out.printf(
          "%8d keys: index %d bytes a key (%d by its own count), map %d%n",
          keys, indexBytes / keys, index.bytes() / keys, mapBytes / keys);
      if (map.size() + index.size() != 2 * keys) {
        throw new IllegalStateException("an entry was lost");
      }
    }
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
