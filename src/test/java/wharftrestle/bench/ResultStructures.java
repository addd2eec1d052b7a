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
 * Compares results in blocks with a map of arrays under the load of a host: results are added, kept
 * for a window and removed, with garbage of requests between them. Each structure runs in a process
 * with the heap of a daemon. Prints the time of a result, the number and duration of collections,
 * and whether the heap holds the window. Run by {@code make bench-memory}.
 */
public final class ResultStructures {
  private static final int ROUNDS = 200_000;

  /** Garbage of a request in addition to its result; a lower bound. */
  private static final int GARBAGE_BYTES = 8192;

  private static final int MAX_RESULT_BYTES = 4096;

  private ResultStructures() {}

  /** Stores results by number. */
  private interface ResultStore {
    boolean put(int number, byte[] result);

    void remove(int number);
  }

  private static ResultStore blocks(int maxBytes) {
    BlockStore blocks = new BlockStore(maxBytes);
    Map<Integer, Integer> firstBlocks = new HashMap<>();
    return new ResultStore() {
      @Override
      public boolean put(int number, byte[] result) {
        int first = blocks.put(result);
        firstBlocks.put(number, first);
        return first >= 0;
      }

      @Override
      public void remove(int number) {
        blocks.free(firstBlocks.remove(number));
      }
    };
  }

  private static ResultStore arrays() {
    @SuppressWarnings("ModifiedButNotUsed") // the content only fills the heap
    Map<Integer, byte[]> results = new HashMap<>();
    return new ResultStore() {
      @Override
      public boolean put(int number, byte[] result) {
        results.put(number, result);
        return true;
      }

      @Override
      public void remove(int number) {
        results.remove(number);
      }
    };
  }

  public static void main(String[] args) throws Exception {
    if (args.length == 0) {
      for (int window : new int[] {1000, 2000, 3000, 4000, 5000}) {
        for (String structure : new String[] {"arrays", "blocks"}) {
          Process process =
              new ProcessBuilder(
                      System.getProperty("java.home") + "/bin/java",
                      "-XX:+UseSerialGC",
                      "-XX:TieredStopAtLevel=1",
                      "-Xms11m",
                      "-Xmx19m",
                      "-cp",
                      System.getProperty("java.class.path"),
                      ResultStructures.class.getName(),
                      structure,
                      Integer.toString(window))
                  .redirectErrorStream(true)
                  .start();
          String output =
              new String(process.getInputStream().readAllBytes(), Charset.defaultCharset());
          System.out.print(
              process.waitFor() == 0
                  ? output
                  : structure
                      + ", "
                      + window
                      + " results: "
                      + output.lines().findFirst().orElse("ended")
                      + "\n");
        }
      }
      return;
    }
    int window = Integer.parseInt(args[1]);
    ResultStore store = args[0].equals("blocks") ? blocks(1 << 20) : arrays();
    Random random = new Random(29421);
    ArrayDeque<byte[]> garbage = new ArrayDeque<>();
    long storeNanos = 0;
    for (int i = 0; i < ROUNDS; i++) {
      byte[] result = new byte[random.nextInt(MAX_RESULT_BYTES)];
      garbage.add(new byte[GARBAGE_BYTES]);
      if (garbage.size() > 40) {
        garbage.poll(); // requests in flight
      }
      long startedAt = System.nanoTime();
      store.put(i, result);
      if (i >= window) {
        store.remove(i - window);
      }
      storeNanos += System.nanoTime() - startedAt;
    }
    long collections = 0;
    long fullCollections = 0;
    long collectionMs = 0;
    for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
      collections += collector.getCollectionCount();
      collectionMs += collector.getCollectionTime();
      fullCollections +=
          collector.getName().contains("MarkSweep") ? collector.getCollectionCount() : 0;
    }
    System.out.printf(
        Locale.ROOT,
        "%s, %d results: put and remove %.2f us with pauses, %d collections, %d of them "
            + "full, %d ms in all%n",
        args[0],
        window,
        storeNanos / 1e3 / ROUNDS,
        collections,
        fullCollections,
        collectionMs);
  }
}
