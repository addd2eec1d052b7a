package wharftrestle.bench;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.Charset;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import wharftrestle.idempotency.BlockStore;

/**
 * Results in blocks against a map of arrays, both at the life of a box: results come, stay for a
 * window and go, with the garbage of requests between them. Each is played in a process with a
 * daemon's heap; what is told is bytes a result, how often and how long the collector stopped all,
 * and the most results that a heap holds. Run by 'make bench-memory'.
 */
public final class ResultStructures {
  private static final int ROUNDS = 200_000;

  /** Bytes of garbage that a request makes beside its result: a guess at the least. */
  private static final int GARBAGE = 8192;

  private static final int LONGEST = 4096;

  private ResultStructures() {}

  /** Keeps results by number. */
  private interface Kept {
    boolean put(int number, byte[] result);

    void drop(int number);
  }

  private static Kept blocks(int most) {
    BlockStore blocks = new BlockStore(most);
    Map<Integer, Integer> at = new HashMap<>();
    return new Kept() {
      @Override
      public boolean put(int number, byte[] result) {
        int first = blocks.put(result);
        at.put(number, first);
        return first >= 0;
      }

      @Override
      public void drop(int number) {
        blocks.free(at.remove(number));
      }
    };
  }

  private static Kept arrays() {
    @SuppressWarnings("ModifiedButNotUsed") // what it holds is to fill the heap, not to be read
    Map<Integer, byte[]> at = new HashMap<>();
    return new Kept() {
      @Override
      public boolean put(int number, byte[] result) {
        at.put(number, result);
        return true;
      }

      @Override
      public void drop(int number) {
        at.remove(number);
      }
    };
  }

  public static void main(String[] args) throws Exception {
    if (args.length == 0) {
      for (int window : new int[] {1000, 2000, 3000, 4000, 5000}) {
        for (String form : new String[] {"arrays", "blocks"}) {
          Process one =
              new ProcessBuilder(
                      System.getProperty("java.home") + "/bin/java",
                      "-XX:+UseSerialGC",
                      "-XX:TieredStopAtLevel=1",
                      "-Xms11m",
                      "-Xmx19m",
                      "-cp",
                      System.getProperty("java.class.path"),
                      ResultStructures.class.getName(),
                      form,
                      Integer.toString(window))
                  .redirectErrorStream(true)
                  .start();
          String said = new String(one.getInputStream().readAllBytes(), Charset.defaultCharset());
          System.out.print(
              one.waitFor() == 0
                  ? said
                  : form
                      + ", "
                      + window
                      + " results: "
                      + said.lines().findFirst().orElse("ended")
                      + "\n");
        }
      }
      return;
    }
    int window = Integer.parseInt(args[1]);
    Kept kept = args[0].equals("blocks") ? blocks(1 << 20) : arrays();
    Random random = new Random(29421);
    ArrayDeque<byte[]> garbage = new ArrayDeque<>();
    long took = 0;
    for (int i = 0; i < ROUNDS; i++) {
      byte[] result = new byte[random.nextInt(LONGEST)];
      garbage.add(new byte[GARBAGE]);
      if (garbage.size() > 40) {
        garbage.poll(); // requests in hand
      }
      long at = System.nanoTime();
      kept.put(i, result);
      if (i >= window) {
        kept.drop(i - window);
      }
      took += System.nanoTime() - at;
    }
    long stops = 0;
    long full = 0;
    long millis = 0;
    for (GarbageCollectorMXBean each : ManagementFactory.getGarbageCollectorMXBeans()) {
      stops += each.getCollectionCount();
      millis += each.getCollectionTime();
      full += each.getName().contains("MarkSweep") ? each.getCollectionCount() : 0;
    }
    System.out.printf(
        Locale.ROOT,
        "%s, %d results: put and drop %.2f us with their pauses, %d collections, %d of them "
            + "full, %d ms in all%n",
        args[0],
        window,
        took / 1e3 / ROUNDS,
        stops,
        full,
        millis);
  }
}
