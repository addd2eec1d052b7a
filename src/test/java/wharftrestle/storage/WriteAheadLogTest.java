package wharftrestle.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import wharftrestle.config.DaemonConfig;
import wharftrestle.request.PendingIntent;
import wharftrestle.request.ResultStore;

/** The log alone: crashes at every byte and every operation, damage, bounds. */
class WriteAheadLogTest {
  private static final double WINDOW = 20;

  static DaemonConfig.Durable settings(long mb, String sync) {
    return new DaemonConfig.Durable(Path.of("unused"), mb << 20, 1000, 1 << 20, 0.3, sync);
  }

  private static ResultStore.KeyRecord keyed(String key) {
    return new ResultStore.KeyRecord(key, System.currentTimeMillis() + 20_000, WINDOW, 5);
  }

  /** Where a record came to lie; waits for the word. */
  private static final class WrittenLocation implements ResultStore.WriteListener {
    private final CountDownLatch notified = new CountDownLatch(1);
    private volatile long place;

    @Override
    public void onWritten(long at) {
      place = at;
      notified.countDown();
    }

    long await() throws InterruptedException {
      assertTrue(notified.await(10, TimeUnit.SECONDS), "no word from the disk");
      return place;
    }
  }

  private static byte[] result(int seed) {
    byte[] bytes = new byte[20 + seed % 200];
    new Random(seed).nextBytes(bytes);
    return bytes;
  }

  /**
   * Runs one key from intent to result; where the result lies, below 0 where any of it was not
   * written.
   */
  private static long run(WriteAheadLog log, String key, byte[] result)
      throws InterruptedException {
    WrittenLocation intent = new WrittenLocation();
    if (log.writeIntent(keyed(key), intent) == null || intent.await() < 0) {
      return -2;
    }
    WrittenLocation end = new WrittenLocation();
    log.writeResult(keyed(key), result, end);
    return end.await();
  }

  private static Map<String, ResultStore.RecoveredKey> byKey(ResultStore.RecoveredKeys recovered) {
    Map<String, ResultStore.RecoveredKey> all = new HashMap<>();
    recovered.keys().forEach(key -> all.put(key.key(), key));
    return all;
  }

  private static boolean unknownKeysFail(ResultStore.RecoveredKeys recovered) {
    return recovered.unknownKeysFailUntilSeconds() > System.nanoTime() / 1e9;
  }

  @Example
  void recordsAreRecoveredByteForByteAfterAKill() throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk)) {
      assertTrue(byKey(log.open(WINDOW)).isEmpty());
      assertTrue(run(log, "2/0/good", result(3)) >= 0);
      WrittenLocation intent = new WrittenLocation();
      assertNotNull(log.writeIntent(keyed("2/0/open"), intent));
      intent.await();
      WrittenLocation failed = new WrittenLocation();
      log.writeIntent(keyed("2/0/bad"), new WrittenLocation());
      log.writeResult(keyed("2/0/bad"), null, failed);
      failed.await();
      PendingIntent given = log.writeIntent(keyed("2/0/void"), intent);
      log.withdrawIntent(given, keyed("2/0/void"));
      assertTrue(run(log, "2/0/last", result(4)) >= 0);
    }
    try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> disk.afterKill())) {
      Map<String, ResultStore.RecoveredKey> known = byKey(next.open(WINDOW));
      assertEquals(Set.of("2/0/good", "2/0/open", "2/0/bad", "2/0/last"), known.keySet());
      assertArrayEquals(result(3), next.readResult("2/0/good", known.get("2/0/good").position()));
      assertEquals(-1, known.get("2/0/open").position());
      assertEquals(-1, known.get("2/0/bad").position());
      assertThrows(
          IOException.class, () -> next.readResult("2/0/other", known.get("2/0/good").position()));
      assertTrue(
          known.get("2/0/good").lastAttemptAtMillis() >= System.currentTimeMillis() + 15_000,
          "whatever the clock did");
    }
  }

  @Example
  void aForeignFormatAndANewerVersionAreRejectedInOneLine() throws Exception {
    MemorySegmentStore foreign = new MemorySegmentStore();
    foreign.replace(
        1,
        "PK: the packed papers of somebody else, in a file of this name and long enough"
            .getBytes(StandardCharsets.UTF_8));
    assertThrows(
        UnusableStorageException.class,
        () -> new WriteAheadLog(settings(4, "group"), () -> foreign).open(WINDOW));
    MemorySegmentStore newer = new MemorySegmentStore();
    newer.writeManifest("wharftrestle-results 2\nend 0\n".getBytes(StandardCharsets.UTF_8));
    byte[] list = Manifest.encode(List.of(1L));
    String text = new String(list, StandardCharsets.UTF_8).replace("results 1", "results 9");
    assertNull(
        Manifest.decode(text.getBytes(StandardCharsets.UTF_8)), "its check is of another text");
    ByteBuffer head = Segment.header(1, 1, 7, 1024);
    head.putInt(8, 9);
    java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
    crc.update(head.slice(0, 40));
    head.putInt(40, (int) crc.getValue());
    newer.create(1, head, 1024);
    UnusableStorageException e =
        assertThrows(
            UnusableStorageException.class,
            () -> new WriteAheadLog(settings(4, "group"), () -> newer).open(WINDOW));
    assertTrue(
        e.getMessage().contains("version 9") && e.getMessage().lines().count() == 1,
        e.getMessage());
  }

  /** A log of three batches, with the places where its records begin. */
  private static byte[] written(List<LogRecord> records, List<Integer> begins) {
    ByteBuffer file = ByteBuffer.allocate(4096);
    file.put(Segment.header(1, 3, 7, 4096));
    for (int i = 0; i < 9; i++) {
      LogRecord.Kind kind =
          i % 3 == 0
              ? LogRecord.Kind.INTENT
              : i % 3 == 1 ? LogRecord.Kind.RESULT : LogRecord.Kind.INTENT;
      LogRecord record =
          new LogRecord(
              kind,
              i % 3 == 2,
              1 + i / 3,
              1000,
              1000,
              9000,
              20_000,
              i,
              "2/0/k" + (i % 3 == 1 ? i - 1 : i),
              kind == LogRecord.Kind.RESULT ? result(i) : new byte[0]);
      begins.add(file.position());
      record.writeTo(file);
      records.add(record);
    }
    begins.add(file.position());
    return file.array();
  }

  @Example
  void aSegmentCutAtAnyByteNeverLosesAKeyUndetected() throws Exception {
    List<LogRecord> records = new ArrayList<>();
    List<Integer> begins = new ArrayList<>();
    byte[] whole = written(records, begins);
    for (int cut = 0; cut <= whole.length; cut++) {
      Set<String> known = new HashSet<>();
      Segment.ScanResult seen =
          Segment.scan(
              ByteBuffer.wrap(Arrays.copyOf(whole, cut)), (record, at) -> known.add(record.key()));
      int last = cut;
      long lost =
          records.stream().filter(record -> begins.get(records.indexOf(record) + 1) > last).count();
      assertTrue(
          lost == 0 || seen.damaged(), "cut at " + cut + ": records are gone and nobody says so");
      assertEquals(cut < whole.length, seen.damaged(), "cut at " + cut);
    }
  }

  @Example
  void zerosFromAnyByteOnAreATornWriteAndLoseNothingBefore() throws Exception {
    List<LogRecord> records = new ArrayList<>();
    List<Integer> begins = new ArrayList<>();
    byte[] whole = written(records, begins);
    for (int cut = begins.get(0); cut <= begins.get(9); cut++) {
      byte[] torn = whole.clone();
      Arrays.fill(torn, cut, torn.length, (byte) 0);
      List<LogRecord> known = new ArrayList<>();
      Segment.ScanResult seen =
          Segment.scan(ByteBuffer.wrap(torn), (record, at) -> known.add(record));
      assertFalse(seen.damaged(), "a write that was never synced is no damage: " + cut);
      for (int i = 0; i < records.size(); i++) {
        if (begins.get(i + 1) <= cut) {
          assertEquals(records.get(i).key(), known.get(i).key());
          assertArrayEquals(records.get(i).result(), known.get(i).result());
        }
      }
    }
  }

  @Example
  void aGarbledByteInWhatWasSyncedIsDamage() throws Exception {
    List<Integer> begins = new ArrayList<>();
    byte[] whole = written(new ArrayList<>(), begins);
    for (int at = Segment.HEADER_BYTES; at < begins.get(9); at++) {
      byte[] bad = whole.clone();
      bad[at] ^= 0x41;
      int[] seen = {0};
      Segment.ScanResult scan = Segment.scan(ByteBuffer.wrap(bad), (record, offset) -> seen[0]++);
      boolean padding = seen[0] == 9; // between two records nothing is notified
      boolean lastBatch = at >= begins.get(6);
      assertTrue(padding || seen[0] == 8, "one byte harms one record");
      assertTrue(padding || lastBatch || scan.damaged(), "byte " + at + " of a synced batch");
      assertTrue(padding || scan.torn() || scan.damaged(), "byte " + at);
    }
  }

  /**
   * Any log, cut at every byte: by zeros, as a crash tears it, and by its length, as a fault of the
   * disk cuts it. The model says of each key what its whole records before the cut mean; none that
   * ran may be free.
   */
  @Property(tries = 60, seed = "29421")
  void whereverALogIsCutNoKeyThatRanIsFree(@ForAll long seed) throws Exception {
    Random random = new Random(seed);
    ByteBuffer file = ByteBuffer.allocate(2048);
    file.put(Segment.header(1, 3, 7, 2048));
    List<LogRecord> records = new ArrayList<>();
    List<Integer> ends = new ArrayList<>();
    for (int batch = 1; file.remaining() > 400; batch++) {
      int size = 1 + random.nextInt(3);
      for (int i = 0; i < size && file.remaining() > 200; i++) {
        LogRecord.Kind kind = LogRecord.Kind.values()[random.nextInt(4)];
        LogRecord record =
            new LogRecord(
                kind,
                i == size - 1 || file.remaining() <= 400,
                batch,
                0,
                1000,
                9,
                20_000,
                5,
                "k" + random.nextInt(5),
                kind == LogRecord.Kind.RESULT ? result(random.nextInt(100)) : new byte[0]);
        int begin = file.position();
        record.writeTo(file);
        records.add(record);
        ends.add(
            begin + LogRecord.HEADER_BYTES + file.getInt(begin)); // the zeros behind it say nothing
      }
    }
    for (int cut = Segment.HEADER_BYTES; cut <= 2048; cut++) {
      byte[] torn = file.array().clone();
      Arrays.fill(torn, cut, torn.length, (byte) 0);
      Map<String, LogRecord> whole = new HashMap<>();
      Map<String, LogRecord> unharmed = new HashMap<>(); // also those of which only zeros were cut
      for (int i = 0; i < records.size(); i++) {
        if (ends.get(i) <= cut) {
          whole.put(records.get(i).key(), records.get(i));
        }
        if (Arrays.equals(torn, 0, ends.get(i), file.array(), 0, ends.get(i))) {
          unharmed.put(records.get(i).key(), records.get(i));
        }
      }
      recovers(torn, unharmed, false, cut);
      if (cut < 2048) {
        recovers(Arrays.copyOf(file.array(), cut), whole, true, cut);
      }
    }
  }

  private static void recovers(byte[] bytes, Map<String, LogRecord> model, boolean damaged, int cut)
      throws Exception {
    Recovery recovery = new Recovery(System.currentTimeMillis(), 1000);
    Segment.ScanResult seen =
        Segment.scan(ByteBuffer.wrap(bytes), (record, at) -> recovery.replay(record, at, true));
    assertEquals(
        damaged,
        seen.damaged(),
        "cut at " + cut + ": where keys may be lost none that is unknown runs");
    Map<String, Recovery.RecoveredKey> known = new HashMap<>();
    recovery.keys().forEach(key -> known.put(key.key(), key));
    for (LogRecord last : model.values()) {
      Recovery.RecoveredKey key = known.remove(last.key());
      if (last.kind() == LogRecord.Kind.VOID) {
        assertNull(key, "cut at " + cut);
        continue;
      }
      assertNotNull(key, "cut at " + cut + ": " + last.key() + " ran and is free");
      byte[] found =
          key.location() < 0
              ? new byte[0]
              : LogRecord.readAt(ByteBuffer.wrap(bytes), (int) key.location()).result();
      assertEquals(last.kind() == LogRecord.Kind.RESULT, key.location() >= 0);
      assertArrayEquals(last.result(), found);
    }
  }

  @Property(tries = 300, seed = "29421")
  void noBytesMakeAScanFail(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int changes)
      throws Exception {
    byte[] bytes = written(new ArrayList<>(), new ArrayList<>());
    Random random = new Random(seed);
    for (int i = 0; i < changes; i++) {
      int at = Segment.HEADER_BYTES + random.nextInt(bytes.length - Segment.HEADER_BYTES);
      bytes[at] = (byte) random.nextInt();
    }
    Segment.scan(ByteBuffer.wrap(bytes), (record, at) -> assertNotNull(record.key()));
  }

  @Example
  void aMissingSegmentOrManifestIsDamageAndUnknownKeysDoNotRun() throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk)) {
      log.open(WINDOW);
      run(log, "2/0/a", result(1));
    }
    MemorySegmentStore without = disk.afterKill();
    without.lose(without.numbers().get(0));
    MemorySegmentStore again = without;
    for (int i = 0; i < 2; i++) { // and also where the process that found it dies as well
      MemorySegmentStore found = again;
      try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> found)) {
        assertTrue(unknownKeysFail(next.open(WINDOW)));
      }
      again = found.afterKill();
    }
    MemorySegmentStore short1 = disk.afterKill();
    short1.replace(
        short1.numbers().get(0), Arrays.copyOf(short1.bytes(short1.numbers().get(0)), 100));
    try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> short1)) {
      assertTrue(unknownKeysFail(next.open(WINDOW)), "a file that was cut");
    }
    MemorySegmentStore unlisted = disk.afterKill();
    unlisted.writeManifest("rubbish".getBytes(StandardCharsets.UTF_8));
    try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> unlisted)) {
      assertTrue(unknownKeysFail(next.open(WINDOW)), "a list that says nothing");
    }
  }

  /**
   * The promise of the log: whatever was told to be on disk before the power went is known after
   * it, and a result is never another one. The power goes before each operation in turn.
   */
  @Example
  void afterAPowerLossAtAnyOperationConfirmedRecordsAreRecovered() throws Exception {
    int operations = Integer.MAX_VALUE;
    for (int dieAt = 1; dieAt < operations; dieAt++) {
      MemorySegmentStore disk = new MemorySegmentStore();
      Set<String> intended = new HashSet<>();
      Map<String, byte[]> ended = new HashMap<>();
      WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk);
      disk.die(dieAt);
      try {
        log.open(WINDOW);
      } catch (UnusableStorageException e) {
        continue; // nothing was told yet
      }
      for (int i = 0; i < 6; i++) {
        String key = "2/0/k" + i;
        WrittenLocation intent = new WrittenLocation();
        if (log.writeIntent(keyed(key), intent) == null || intent.await() < 0) {
          break;
        }
        intended.add(key);
        WrittenLocation end = new WrittenLocation();
        log.writeResult(keyed(key), result(i), end);
        if (end.await() >= 0) {
          ended.put(key, result(i));
        }
      }
      operations = disk.dead() ? operations : dieAt;
      MemorySegmentStore left = disk.afterPowerLoss(dieAt);
      log.close();
      try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> left)) {
        ResultStore.RecoveredKeys recovered = next.open(WINDOW);
        Map<String, ResultStore.RecoveredKey> known = byKey(recovered);
        assertTrue(
            known.keySet().containsAll(intended), "power lost at " + dieAt + ": " + known.keySet());
        assertFalse(unknownKeysFail(recovered), "power lost at " + dieAt);
        for (String key : ended.keySet()) {
          assertArrayEquals(ended.get(key), next.readResult(key, known.get(key).position()));
        }
      }
    }
    assertTrue(operations > 20 && operations < 100, operations + " operations were cut");
  }

  /** The next write goes well and its sync does not: that is told, and a fresh file goes on. */
  private static void goesOnAfter(Consumer<MemorySegmentStore> fault) throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk)) {
      log.open(WINDOW);
      run(log, "2/0/before", result(1));
      fault.accept(disk);
      WrittenLocation intent = new WrittenLocation();
      log.writeIntent(keyed("2/0/at"), intent);
      assertEquals(-1, intent.await());
      assertEquals(ResultStore.RejectionReason.DISK_FAILED, log.rejectionReason());
      assertNull(log.writeIntent(keyed("2/0/while"), intent), "nothing is recorded meanwhile");
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      while (log.rejectionReason() != null && System.nanoTime() < until) {
        Thread.onSpinWait();
      }
      assertTrue(run(log, "2/0/after", result(2)) >= 0);
      assertEquals(2, disk.numbers().size(), "in a fresh file");
    }
  }

  @Example
  void aDiskFaultIsReportedAndAFreshSegmentGoesOn() throws Exception {
    goesOnAfter(disk -> disk.fail(2, 1));
  }

  @Example
  void anErrorOfAnyKindIsReportedAndAFreshSegmentGoesOn() throws Exception {
    goesOnAfter(disk -> disk.failBadly(2, 1));
  }

  @Example
  void aFaultInAListenerDoesNotEndTheWriter() throws Exception {
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), MemorySegmentStore::new)) {
      log.open(WINDOW);
      log.writeIntent(
          keyed("2/0/bad"),
          place -> {
            throw new StackOverflowError("made up");
          });
      assertTrue(run(log, "2/0/good", result(1)) >= 0);
    }
  }

  @Example
  void aStalledDiskIsDetectedAndAQueuedIntentCanBeWithdrawn() throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk)) {
      log.open(WINDOW);
      disk.stall();
      WrittenLocation first = new WrittenLocation();
      PendingIntent given = log.writeIntent(keyed("2/0/a"), first);
      disk.awaitStalled();
      PendingIntent waits = log.writeIntent(keyed("2/0/b"), new WrittenLocation());
      while (log.rejectionReason() == null) {
        Thread.onSpinWait();
      }
      assertEquals(ResultStore.RejectionReason.DISK_STALLED, log.rejectionReason());
      log.withdrawIntent(waits, keyed("2/0/b")); // was never on its way
      log.withdrawIntent(given, keyed("2/0/a")); // is on disk without a run: a record says so
      disk.wake();
      first.await();
      run(log, "2/0/c", result(1));
    }
    try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> disk.afterKill())) {
      assertEquals(Set.of("2/0/c"), byKey(next.open(WINDOW)).keySet());
    }
  }

  @Example
  void aFullLogAcceptsNoIntentWhoseResultWouldNotFit() throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    DaemonConfig.Durable small = settings(4, "none");
    long lost = 0;
    try (WriteAheadLog log = new WriteAheadLog(small, () -> disk)) {
      log.open(WINDOW);
      int taken = 0;
      byte[] longest = new byte[4096];
      for (int i = 0; i < 5000; i++) {
        String key = "2/0/k" + i;
        WrittenLocation intent = new WrittenLocation();
        if (log.writeIntent(keyed(key), intent) == null) {
          assertEquals(ResultStore.RejectionReason.STORE_FULL, log.rejectionReason());
          break;
        }
        intent.await();
        taken++;
        WrittenLocation end = new WrittenLocation();
        log.writeResult(keyed(key), longest, end);
        lost += end.await() < 0 ? 1 : 0;
      }
      assertTrue(taken > 700 && taken < 5000, taken + " keys in 4 MB");
      assertEquals(0, lost, "every intent that was taken has its result on disk");
      assertTrue(
          disk.numbers().stream().mapToLong(n -> disk.bytes(n).length).sum() <= 4 << 20, "bounded");
      assertTrue(
          log.retryAfterSeconds(ResultStore.RejectionReason.STORE_FULL) > 1,
          "and says when it is worth while to come again");
    }
  }

  @Example
  void repeatedStartsDoNotFillTheFolder() throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    for (int start = 0; start < 40; start++) {
      MemorySegmentStore found = disk;
      try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> found)) {
        Map<String, ResultStore.RecoveredKey> known = byKey(log.open(WINDOW));
        assertEquals(start, known.size(), "start " + start);
        assertNull(log.rejectionReason(), "start " + start);
        for (int i = 0; i < start; i++) {
          ResultStore.RecoveredKey key = known.get("2/0/k" + i);
          if (i % 3 == 0) {
            assertEquals(-1, key.position());
          } else {
            assertArrayEquals(result(i), log.readResult(key.key(), key.position()));
          }
        }
        String key = "2/0/k" + start;
        if (start % 3 == 0) {
          WrittenLocation intent = new WrittenLocation();
          log.writeIntent(keyed(key), intent);
          assertTrue(intent.await() >= 0);
        } else {
          assertTrue(run(log, key, result(start)) >= 0);
        }
      }
      disk = disk.afterKill();
      assertTrue(disk.numbers().size() <= 10, disk.numbers() + " files");
    }
  }

  @Example
  void aCompactionThatDiesAtAnyOperationLosesNoKey() throws Exception {
    MemorySegmentStore full = new MemorySegmentStore();
    Map<String, byte[]> results = new HashMap<>();
    for (int start = 0; start < 5; start++) {
      MemorySegmentStore found = full;
      try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> found)) {
        log.open(WINDOW);
        results.put("2/0/k" + start, result(start));
        run(log, "2/0/k" + start, result(start));
      }
      full = full.afterKill();
    }
    boolean died = true;
    for (int dieAt = 1; died; dieAt++) {
      MemorySegmentStore disk = full.afterKill();
      disk.die(dieAt);
      try {
        assertTrue(Compaction.run(disk, 256 * 1024, 16));
        died = false;
      } catch (IOException power) {
        died = true;
      }
      MemorySegmentStore left = disk.afterPowerLoss(dieAt);
      try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> left)) {
        ResultStore.RecoveredKeys recovered = next.open(WINDOW);
        assertFalse(unknownKeysFail(recovered), "died at " + dieAt);
        Map<String, ResultStore.RecoveredKey> known = byKey(recovered);
        assertEquals(results.keySet(), known.keySet());
        for (String key : results.keySet()) {
          assertArrayEquals(results.get(key), next.readResult(key, known.get(key).position()));
        }
      }
      assertTrue(died || disk.numbers().size() == 1, "one file is left of five");
    }
  }

  @Example
  void expiredSegmentsFreeTheirSpace() {
    SpaceBudget space = new SpaceBudget(4 << 20);
    space.addSegment(1, Segment.HEADER_BYTES, 0);
    for (int i = 0; space.tryReserve(200); i++) {
      space.release(200);
      if (space.needsNewSegment(5000)) {
        space.addSegment(
            space.currentSegment() + 1, Segment.HEADER_BYTES, Double.NEGATIVE_INFINITY);
      }
      space.append(5000, 30 + i * 0.01);
    }
    assertEquals(16, space.segmentCount());
    assertEquals(-1, space.oldestExpiredSegment(29));
    assertEquals(1, space.oldestExpiredSegment(60));
    space.removeOldest();
    assertTrue(space.tryReserve(200), "whole files come back");
    assertEquals(2, space.oldestExpiredSegment(1000), "the one that is written stays");
  }

  @Example
  void recordsExpireByTheMonotonicClockUnlessOfAnEarlierBoot() {
    long now = 1_000_000;
    Recovery recovery = new Recovery(System.currentTimeMillis(), now);
    LogRecord old =
        new LogRecord(
            LogRecord.Kind.RESULT, true, 1, 0, now - 31_000, 1, 20_000, 5, "2/0/old", new byte[1]);
    LogRecord young =
        new LogRecord(
            LogRecord.Kind.RESULT,
            true,
            1,
            0,
            now - 29_000,
            1,
            20_000,
            5,
            "2/0/young",
            new byte[1]);
    LogRecord before =
        new LogRecord(
            LogRecord.Kind.RESULT, true, 1, 0, now - 31_000, 1, 20_000, 5, "2/0/boot", new byte[1]);
    recovery.replay(old, 1, true);
    recovery.replay(young, 2, true);
    recovery.replay(before, 3, false);
    Set<String> keys = new HashSet<>();
    recovery
        .keys()
        .forEach(
            known -> {
              keys.add(known.key());
              assertTrue(
                  known.coveredUntilMillis() >= System.currentTimeMillis() + 19_000,
                  "stamps are of a clock that may step");
            });
    assertEquals(Set.of("2/0/young", "2/0/boot"), keys);
  }
}
