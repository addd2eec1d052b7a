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

/**
 * Tests the write-ahead log alone: crashes at every byte and every operation, damage, disk faults,
 * and the space budget.
 */
class WriteAheadLogTest {
  private static final double WINDOW_SECONDS = 20;

  static DaemonConfig.Durable settings(long mb, String sync) {
    return new DaemonConfig.Durable(Path.of("unused"), mb << 20, 1000, 1 << 20, 0.3, sync);
  }

  private static ResultStore.KeyRecord keyRecord(String key) {
    return new ResultStore.KeyRecord(key, System.currentTimeMillis() + 20_000, WINDOW_SECONDS, 5);
  }

  /** A listener that waits for the location of a record. */
  private static final class WrittenLocation implements ResultStore.WriteListener {
    private final CountDownLatch notified = new CountDownLatch(1);
    private volatile long location;

    @Override
    public void onWritten(long at) {
      location = at;
      notified.countDown();
    }

    long await() throws InterruptedException {
      assertTrue(notified.await(10, TimeUnit.SECONDS), "listener was not notified within 10 s");
      return location;
    }
  }

  private static byte[] result(int seed) {
    byte[] bytes = new byte[20 + seed % 200];
    new Random(seed).nextBytes(bytes);
    return bytes;
  }

  /**
   * Writes the intent record and the result record of a key; returns the location of the result, or
   * a value below 0 if one of them was not written.
   */
  private static long writeKey(WriteAheadLog log, String key, byte[] result)
      throws InterruptedException {
    WrittenLocation intent = new WrittenLocation();
    if (log.writeIntent(keyRecord(key), intent) == null || intent.await() < 0) {
      return -2;
    }
    WrittenLocation resultLocation = new WrittenLocation();
    log.writeResult(keyRecord(key), result, resultLocation);
    return resultLocation.await();
  }

  private static Map<String, ResultStore.RecoveredKey> recoveredByKey(
      ResultStore.RecoveredKeys recovered) {
    Map<String, ResultStore.RecoveredKey> keys = new HashMap<>();
    recovered.keys().forEach(key -> keys.put(key.key(), key));
    return keys;
  }

  private static boolean unknownKeysFail(ResultStore.RecoveredKeys recovered) {
    return recovered.unknownKeysFailUntilSeconds() > System.nanoTime() / 1e9;
  }

  @Example
  void open_afterKill_recoversRecordsByteForByte() throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk)) {
      assertTrue(recoveredByKey(log.open(WINDOW_SECONDS)).isEmpty());
      assertTrue(writeKey(log, "2/0/good", result(3)) >= 0);
      WrittenLocation intent = new WrittenLocation();
      assertNotNull(log.writeIntent(keyRecord("2/0/open"), intent));
      intent.await();
      WrittenLocation failed = new WrittenLocation();
      log.writeIntent(keyRecord("2/0/bad"), new WrittenLocation());
      log.writeResult(keyRecord("2/0/bad"), null, failed);
      failed.await();
      PendingIntent withdrawn = log.writeIntent(keyRecord("2/0/void"), intent);
      log.withdrawIntent(withdrawn, keyRecord("2/0/void"));
      assertTrue(writeKey(log, "2/0/last", result(4)) >= 0);
    }
    try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> disk.afterKill())) {
      Map<String, ResultStore.RecoveredKey> recoveredKeys =
          recoveredByKey(next.open(WINDOW_SECONDS));
      assertEquals(Set.of("2/0/good", "2/0/open", "2/0/bad", "2/0/last"), recoveredKeys.keySet());
      assertArrayEquals(
          result(3), next.readResult("2/0/good", recoveredKeys.get("2/0/good").position()));
      assertEquals(-1, recoveredKeys.get("2/0/open").position());
      assertEquals(-1, recoveredKeys.get("2/0/bad").position());
      assertThrows(
          IOException.class,
          () -> next.readResult("2/0/other", recoveredKeys.get("2/0/good").position()));
      assertTrue(
          recoveredKeys.get("2/0/good").lastAttemptAtMillis()
              >= System.currentTimeMillis() + 15_000,
          "the recovered key covers attempts of the next window, even if the clock stepped");
    }
  }

  @Example
  void open_withForeignFormatOrNewerVersion_failsWithOneLineMessage() throws Exception {
    MemorySegmentStore foreign = new MemorySegmentStore();
    foreign.replace(
        1,
        "PK: the packed papers of somebody else, in a file of this name and long enough"
            .getBytes(StandardCharsets.UTF_8));
    assertThrows(
        UnusableStorageException.class,
        () -> new WriteAheadLog(settings(4, "group"), () -> foreign).open(WINDOW_SECONDS));
    MemorySegmentStore newer = new MemorySegmentStore();
    newer.writeManifest("wharftrestle-results 2\nend 0\n".getBytes(StandardCharsets.UTF_8));
    byte[] list = Manifest.encode(List.of(1L));
    String text = new String(list, StandardCharsets.UTF_8).replace("results 1", "results 9");
    assertNull(
        Manifest.decode(text.getBytes(StandardCharsets.UTF_8)),
        "the checksum does not match the changed text");
    ByteBuffer header = Segment.header(1, 1, 7, 1024);
    header.putInt(8, 9);
    java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
    crc.update(header.slice(0, 40));
    header.putInt(40, (int) crc.getValue());
    newer.create(1, header, 1024);
    UnusableStorageException e =
        assertThrows(
            UnusableStorageException.class,
            () -> new WriteAheadLog(settings(4, "group"), () -> newer).open(WINDOW_SECONDS));
    assertTrue(
        e.getMessage().contains("version 9") && e.getMessage().lines().count() == 1,
        e.getMessage());
  }

  /**
   * A segment with three batches of three records.
   *
   * @param records filled with the records
   * @param offsets filled with the offset of each record, and the offset behind the last one
   */
  private static byte[] segmentOfThreeBatches(List<LogRecord> records, List<Integer> offsets) {
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
      offsets.add(file.position());
      record.writeTo(file);
      records.add(record);
    }
    offsets.add(file.position());
    return file.array();
  }

  @Example
  void scan_ofSegmentTruncatedAtAnyByte_reportsDamage() throws Exception {
    List<LogRecord> records = new ArrayList<>();
    List<Integer> offsets = new ArrayList<>();
    byte[] complete = segmentOfThreeBatches(records, offsets);
    for (int cut = 0; cut <= complete.length; cut++) {
      Set<String> foundKeys = new HashSet<>();
      Segment.ScanResult scan =
          SegmentBytes.scan(
              Arrays.copyOf(complete, cut), (record, at) -> foundKeys.add(record.key()));
      int last = cut;
      long lost =
          records.stream()
              .filter(record -> offsets.get(records.indexOf(record) + 1) > last)
              .count();
      assertTrue(
          lost == 0 || scan.damaged(),
          "cut at " + cut + ": records are lost but no damage is reported");
      assertEquals(cut < complete.length, scan.damaged(), "cut at " + cut);
    }
  }

  @Example
  void scan_ofSegmentZeroedFromAnyByte_keepsEarlierRecordsWithoutDamage() throws Exception {
    List<LogRecord> records = new ArrayList<>();
    List<Integer> offsets = new ArrayList<>();
    byte[] complete = segmentOfThreeBatches(records, offsets);
    for (int cut = offsets.get(0); cut <= offsets.get(9); cut++) {
      byte[] torn = complete.clone();
      Arrays.fill(torn, cut, torn.length, (byte) 0);
      List<LogRecord> foundRecords = new ArrayList<>();
      Segment.ScanResult scan = SegmentBytes.scan(torn, (record, at) -> foundRecords.add(record));
      assertFalse(
          scan.damaged(), "a write that was never synced must not count as damage, cut at " + cut);
      for (int i = 0; i < records.size(); i++) {
        if (offsets.get(i + 1) <= cut) {
          assertEquals(records.get(i).key(), foundRecords.get(i).key());
          assertArrayEquals(records.get(i).result(), foundRecords.get(i).result());
        }
      }
    }
  }

  @Example
  void scan_withCorruptByteInSyncedBatch_reportsDamage() throws Exception {
    List<Integer> offsets = new ArrayList<>();
    byte[] complete = segmentOfThreeBatches(new ArrayList<>(), offsets);
    for (int at = Segment.HEADER_BYTES; at < offsets.get(9); at++) {
      byte[] bad = complete.clone();
      bad[at] ^= 0x41;
      int[] intactRecords = {0};
      Segment.ScanResult scan = SegmentBytes.scan(bad, (record, offset) -> intactRecords[0]++);
      boolean padding = intactRecords[0] == 9; // a corrupt padding byte is not detected
      boolean lastBatch = at >= offsets.get(6);
      assertTrue(padding || intactRecords[0] == 8, "one corrupt byte invalidates one record");
      assertTrue(padding || lastBatch || scan.damaged(), "byte " + at + " of a synced batch");
      assertTrue(padding || scan.torn() || scan.damaged(), "byte " + at);
    }
  }

  /**
   * Cuts random segments at every byte, either by zeros, as in a torn write, or by truncating the
   * file, as in a disk fault. The model holds for each key the last of its records that are
   * complete before the cut. A key that may have run must not be lost, as it could then run again.
   */
  @Property(tries = 60, seed = "29421")
  void recovery_ofSegmentCutAtAnyByte_keepsEveryKeyThatMayHaveRun(@ForAll long seed)
      throws Exception {
    Random random = new Random(seed);
    ByteBuffer file = ByteBuffer.allocate(2048);
    file.put(Segment.header(1, 3, 7, 2048));
    List<LogRecord> records = new ArrayList<>();
    List<Integer> endOffsets = new ArrayList<>();
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
        int startOffset = file.position();
        record.writeTo(file);
        records.add(record);
        endOffsets.add(
            startOffset + LogRecord.HEADER_BYTES + file.getInt(startOffset)); // without padding
      }
    }
    for (int cut = Segment.HEADER_BYTES; cut <= 2048; cut++) {
      byte[] torn = file.array().clone();
      Arrays.fill(torn, cut, torn.length, (byte) 0);
      Map<String, LogRecord> complete = new HashMap<>();
      Map<String, LogRecord> intact =
          new HashMap<>(); // also records of which only zero bytes were cut
      for (int i = 0; i < records.size(); i++) {
        if (endOffsets.get(i) <= cut) {
          complete.put(records.get(i).key(), records.get(i));
        }
        if (Arrays.equals(torn, 0, endOffsets.get(i), file.array(), 0, endOffsets.get(i))) {
          intact.put(records.get(i).key(), records.get(i));
        }
      }
      assertRecovers(torn, intact, false, cut);
      if (cut < 2048) {
        assertRecovers(Arrays.copyOf(file.array(), cut), complete, true, cut);
      }
    }
  }

  private static void assertRecovers(
      byte[] bytes, Map<String, LogRecord> model, boolean damaged, int cut) throws Exception {
    Recovery recovery = new Recovery(System.currentTimeMillis(), 1000, Integer.MAX_VALUE);
    Segment.ScanResult scan =
        SegmentBytes.scan(bytes, (record, at) -> recovery.replay(record, at, true));
    assertEquals(
        damaged,
        scan.damaged(),
        "cut at " + cut + ": damage must be reported if and only if keys may be lost");
    Map<String, Recovery.RecoveredKey> recoveredKeys = new HashMap<>();
    recovery.keys().forEach(key -> recoveredKeys.put(key.key(), key));
    for (LogRecord last : model.values()) {
      Recovery.RecoveredKey key = recoveredKeys.remove(last.key());
      if (last.kind() == LogRecord.Kind.VOID) {
        assertNull(key, "cut at " + cut);
        continue;
      }
      assertNotNull(
          key, "cut at " + cut + ": " + last.key() + " may have run but was not recovered");
      byte[] recoveredResult =
          key.location() < 0
              ? new byte[0]
              : LogRecord.readAt(ByteBuffer.wrap(bytes), (int) key.location()).result();
      assertEquals(last.kind() == LogRecord.Kind.RESULT, key.location() >= 0);
      assertArrayEquals(last.result(), recoveredResult);
    }
  }

  @Property(tries = 300, seed = "29421")
  void scan_ofRandomlyChangedBytes_neverThrows(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int changes) throws Exception {
    byte[] bytes = segmentOfThreeBatches(new ArrayList<>(), new ArrayList<>());
    Random random = new Random(seed);
    for (int i = 0; i < changes; i++) {
      int at = Segment.HEADER_BYTES + random.nextInt(bytes.length - Segment.HEADER_BYTES);
      bytes[at] = (byte) random.nextInt();
    }
    SegmentBytes.scan(bytes, (record, at) -> assertNotNull(record.key()));
  }

  private static final KeyNames NAMES =
      new KeyNames(List.of("read", "save"), List.of("first tenant", "second/tenant"));

  private static MemorySegmentStore diskOfOneKey(KeyNames names) throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk)) {
      log.open(WINDOW_SECONDS, 10, names);
      assertTrue(writeKey(log, "1/0/key", result(1)) >= 0);
    }
    return disk.afterKill();
  }

  private static ResultStore.RecoveredKeys reopened(MemorySegmentStore disk, KeyNames names)
      throws Exception {
    try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> disk)) {
      return next.open(WINDOW_SECONDS, 10, names);
    }
  }

  /** Guards against a key that is read as the key of another class or tenant, and so runs twice. */
  @Example
  void open_withOtherNamesAtAPosition_dropsKeysAndFailsUnknownOnes() throws Exception {
    List<KeyNames> others =
        List.of(
            new KeyNames(List.of("save", "read"), NAMES.tenants()),
            new KeyNames(List.of("new", "read", "save"), NAMES.tenants()),
            new KeyNames(NAMES.classes(), List.of("new tenant", "first tenant", "second/tenant")),
            new KeyNames(NAMES.classes(), List.of()));
    for (KeyNames other : others) {
      MemorySegmentStore disk = diskOfOneKey(NAMES);

      ResultStore.RecoveredKeys recovered = reopened(disk, other);

      assertEquals(Map.of(), recoveredByKey(recovered), other.toString());
      assertTrue(unknownKeysFail(recovered), other.toString());
      assertTrue(unknownKeysFail(reopened(disk.afterKill(), other)), "a further start: " + other);
    }
  }

  /** Guards against keys that run twice where the machine stops while keys are dropped. */
  @Example
  void open_withOtherNamesAndPowerLossAtAnyOperation_runsNoKeyAgain() throws Exception {
    KeyNames other = new KeyNames(List.of("save", "read"), NAMES.tenants());
    boolean powerLost = true;
    for (int powerLossAt = 1; powerLost; powerLossAt++) {
      MemorySegmentStore disk = diskOfOneKey(NAMES);
      disk.losePowerAt(powerLossAt);
      try {
        reopened(disk, other);
        powerLost = disk.isPowerLost();
      } catch (IOException e) {
        powerLost = true;
      }

      ResultStore.RecoveredKeys recovered = reopened(disk.afterPowerLoss(powerLossAt), other);

      assertEquals(Map.of(), recoveredByKey(recovered), "power lost at " + powerLossAt);
      assertTrue(unknownKeysFail(recovered), "power lost at " + powerLossAt);
    }
  }

  @Example
  void open_withNamesAddedOrRemovedAtTheEnd_recoversKeys() throws Exception {
    KeyNames longer =
        new KeyNames(
            List.of("read", "save", "more"), List.of("first tenant", "second/tenant", "third"));
    MemorySegmentStore disk = diskOfOneKey(NAMES);
    for (KeyNames names : List.of(longer, NAMES, longer)) {
      disk = disk.afterKill();

      ResultStore.RecoveredKeys recovered = reopened(disk, names);

      assertEquals(Set.of("1/0/key"), recoveredByKey(recovered).keySet(), names.toString());
      assertFalse(unknownKeysFail(recovered), names.toString());
    }
    KeyNames otherThird =
        new KeyNames(
            List.of("read", "save", "other"), List.of("first tenant", "second/tenant", "third"));
    assertTrue(
        unknownKeysFail(reopened(disk.afterKill(), otherThird)),
        "a class that was removed keeps its position");
  }

  @Example
  void open_ofAFolderWithoutNames_recoversKeys() throws Exception {
    ResultStore.RecoveredKeys recovered = reopened(diskOfOneKey(null), NAMES);

    assertEquals(Set.of("1/0/key"), recoveredByKey(recovered).keySet());
    assertFalse(unknownKeysFail(recovered));
  }

  /** Guards against a start that needs more memory than there is, and against a forgotten key. */
  @Example
  void open_withMoreKeysThanMemoryAllows_keepsTheNewestAndFailsUnknownKeys() throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk)) {
      log.open(WINDOW_SECONDS);
      for (int i = 0; i < 5; i++) {
        assertTrue(writeKey(log, "2/0/k" + i, result(i)) >= 0);
      }
    }

    try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), disk::afterKill)) {
      ResultStore.RecoveredKeys recovered = next.open(WINDOW_SECONDS, 3, null);

      assertEquals(Set.of("2/0/k2", "2/0/k3", "2/0/k4"), recoveredByKey(recovered).keySet());
      assertTrue(unknownKeysFail(recovered));
    }
    try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), disk::afterKill)) {
      ResultStore.RecoveredKeys recovered = next.open(WINDOW_SECONDS, 5, null);

      assertEquals(5, recoveredByKey(recovered).size());
      assertFalse(unknownKeysFail(recovered));
    }
  }

  /** Guards against a scan whose result depends on where its windows end. */
  @Property(tries = 60, seed = "29421")
  void scan_inWindowsOfAnySize_equalsScanInOnePiece(
      @ForAll long seed,
      @ForAll @IntRange(min = 0, max = 40) int changes,
      @ForAll @IntRange(min = 0, max = 20_000) int extraWindowBytes)
      throws Exception {
    byte[] bytes = segmentOfLargeRecords(new Random(seed), changes);
    List<String> expected = new ArrayList<>();
    List<String> found = new ArrayList<>();

    Segment.ScanResult whole =
        SegmentBytes.scan(bytes, (record, offset) -> expected.add(offset + " " + record.batch()));
    Segment.ScanResult inWindows =
        SegmentBytes.scan(
            bytes,
            SegmentScan.MIN_WINDOW_BYTES + extraWindowBytes,
            (record, offset) -> found.add(offset + " " + record.batch()));

    assertEquals(expected, found);
    assertEquals(whole, inWindows);
  }

  /** A segment longer than several windows, with records up to the largest, cut and changed. */
  private static byte[] segmentOfLargeRecords(Random random, int changes) {
    int segmentBytes = 600 * 1024;
    ByteBuffer file = ByteBuffer.allocate(segmentBytes);
    file.put(Segment.header(1, 3, 7, segmentBytes));
    for (int batch = 1;
        file.remaining() > LogRecord.size(20, LogRecord.MAX_RESULT_BYTES);
        batch++) {
      int maxBytes = random.nextBoolean() ? LogRecord.MAX_RESULT_BYTES : 2000;
      byte[] result = new byte[random.nextInt(maxBytes + 1)];
      random.nextBytes(result);
      new LogRecord(
              LogRecord.Kind.RESULT,
              random.nextBoolean(),
              batch,
              1000,
              1000,
              9000,
              20_000,
              batch,
              "2/0/key" + batch,
              result)
          .writeTo(file);
    }
    byte[] bytes = file.array();
    for (int i = 0; i < changes; i++) {
      bytes[Segment.HEADER_BYTES + random.nextInt(segmentBytes - Segment.HEADER_BYTES)] =
          (byte) random.nextInt();
    }
    return Arrays.copyOf(bytes, segmentBytes - (random.nextBoolean() ? random.nextInt(1000) : 0));
  }

  @Example
  void open_withMissingSegmentOrCorruptManifest_failsUnknownKeys() throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk)) {
      log.open(WINDOW_SECONDS);
      writeKey(log, "2/0/a", result(1));
    }
    MemorySegmentStore withoutSegment = disk.afterKill();
    withoutSegment.remove(withoutSegment.numbers().get(0));
    MemorySegmentStore reopened = withoutSegment;
    for (int i = 0; i < 2; i++) { // the next start must detect the damage as well
      MemorySegmentStore currentDisk = reopened;
      try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> currentDisk)) {
        assertTrue(unknownKeysFail(next.open(WINDOW_SECONDS)));
      }
      reopened = currentDisk.afterKill();
    }
    MemorySegmentStore truncated = disk.afterKill();
    truncated.replace(
        truncated.numbers().get(0),
        Arrays.copyOf(truncated.bytes(truncated.numbers().get(0)), 100));
    try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> truncated)) {
      assertTrue(unknownKeysFail(next.open(WINDOW_SECONDS)), "a truncated segment");
    }
    MemorySegmentStore corruptManifest = disk.afterKill();
    corruptManifest.writeManifest("rubbish".getBytes(StandardCharsets.UTF_8));
    try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> corruptManifest)) {
      assertTrue(unknownKeysFail(next.open(WINDOW_SECONDS)), "a corrupt manifest");
    }
  }

  /**
   * Simulates a power loss before each operation in turn. Every record whose listener was notified
   * before the power loss must be recovered, with the same result.
   */
  @Example
  void open_afterPowerLossAtAnyOperation_recoversConfirmedRecords() throws Exception {
    int operations = Integer.MAX_VALUE;
    for (int powerLossAt = 1; powerLossAt < operations; powerLossAt++) {
      MemorySegmentStore disk = new MemorySegmentStore();
      Set<String> confirmedIntents = new HashSet<>();
      Map<String, byte[]> confirmedResults = new HashMap<>();
      WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk);
      disk.losePowerAt(powerLossAt);
      try {
        log.open(WINDOW_SECONDS);
      } catch (UnusableStorageException e) {
        continue; // no record was confirmed yet
      }
      for (int i = 0; i < 6; i++) {
        String key = "2/0/k" + i;
        WrittenLocation intent = new WrittenLocation();
        if (log.writeIntent(keyRecord(key), intent) == null || intent.await() < 0) {
          break;
        }
        confirmedIntents.add(key);
        WrittenLocation resultLocation = new WrittenLocation();
        log.writeResult(keyRecord(key), result(i), resultLocation);
        if (resultLocation.await() >= 0) {
          confirmedResults.put(key, result(i));
        }
      }
      operations = disk.isPowerLost() ? operations : powerLossAt;
      MemorySegmentStore remaining = disk.afterPowerLoss(powerLossAt);
      log.close();
      try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> remaining)) {
        ResultStore.RecoveredKeys recovered = next.open(WINDOW_SECONDS);
        Map<String, ResultStore.RecoveredKey> recoveredKeys = recoveredByKey(recovered);
        assertTrue(
            recoveredKeys.keySet().containsAll(confirmedIntents),
            "power lost at " + powerLossAt + ": " + recoveredKeys.keySet());
        assertFalse(unknownKeysFail(recovered), "power lost at " + powerLossAt);
        for (String key : confirmedResults.keySet()) {
          assertArrayEquals(
              confirmedResults.get(key), next.readResult(key, recoveredKeys.get(key).position()));
        }
      }
    }
    assertTrue(
        operations > 20 && operations < 100,
        operations + " operations, expected between 20 and 100");
  }

  /**
   * Lets the sync of the next batch fail: its listener must get -1, and writing must continue in a
   * new segment.
   */
  private static void assertContinuesAfter(Consumer<MemorySegmentStore> fault) throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk)) {
      log.open(WINDOW_SECONDS);
      writeKey(log, "2/0/before", result(1));
      fault.accept(disk);
      WrittenLocation intent = new WrittenLocation();
      log.writeIntent(keyRecord("2/0/at"), intent);
      assertEquals(-1, intent.await());
      assertEquals(ResultStore.RejectionReason.DISK_FAILED, log.rejectionReason());
      assertNull(
          log.writeIntent(keyRecord("2/0/while"), intent),
          "no intent is accepted after the failure");
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      while (log.rejectionReason() != null && System.nanoTime() < until) {
        Thread.onSpinWait();
      }
      assertTrue(writeKey(log, "2/0/after", result(2)) >= 0);
      assertEquals(2, disk.numbers().size(), "writing continues in a new segment");
    }
  }

  @Example
  void syncThrowsIoException_writingContinuesInNewSegment() throws Exception {
    assertContinuesAfter(disk -> disk.failOperations(2, 1));
  }

  @Example
  void syncThrowsError_writingContinuesInNewSegment() throws Exception {
    assertContinuesAfter(disk -> disk.failOperationsWithError(2, 1));
  }

  @Example
  void listenerThrowsError_writerContinues() throws Exception {
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), MemorySegmentStore::new)) {
      log.open(WINDOW_SECONDS);
      log.writeIntent(
          keyRecord("2/0/bad"),
          location -> {
            throw new StackOverflowError("injected error");
          });
      assertTrue(writeKey(log, "2/0/good", result(1)) >= 0);
    }
  }

  @Example
  void stalledDisk_isDetectedAndIntentsCanBeWithdrawn() throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> disk)) {
      log.open(WINDOW_SECONDS);
      disk.stallSyncs();
      WrittenLocation first = new WrittenLocation();
      PendingIntent intentBeingWritten = log.writeIntent(keyRecord("2/0/a"), first);
      disk.awaitStalledSync();
      PendingIntent queuedIntent = log.writeIntent(keyRecord("2/0/b"), new WrittenLocation());
      while (log.rejectionReason() == null) {
        Thread.onSpinWait();
      }
      assertEquals(ResultStore.RejectionReason.DISK_STALLED, log.rejectionReason());
      log.withdrawIntent(queuedIntent, keyRecord("2/0/b")); // still queued: removed from the queue
      log.withdrawIntent(
          intentBeingWritten, keyRecord("2/0/a")); // being written: a VOID record must follow
      disk.resumeSyncs();
      first.await();
      writeKey(log, "2/0/c", result(1));
    }
    try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> disk.afterKill())) {
      assertEquals(Set.of("2/0/c"), recoveredByKey(next.open(WINDOW_SECONDS)).keySet());
    }
  }

  @Example
  void fullLog_acceptsNoIntentWhoseResultWouldNotFit() throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    DaemonConfig.Durable small = settings(4, "none");
    long lost = 0;
    try (WriteAheadLog log = new WriteAheadLog(small, () -> disk)) {
      log.open(WINDOW_SECONDS);
      int acceptedKeys = 0;
      byte[] longest = new byte[4096];
      for (int i = 0; i < 5000; i++) {
        String key = "2/0/k" + i;
        WrittenLocation intent = new WrittenLocation();
        if (log.writeIntent(keyRecord(key), intent) == null) {
          assertEquals(ResultStore.RejectionReason.STORE_FULL, log.rejectionReason());
          break;
        }
        intent.await();
        acceptedKeys++;
        WrittenLocation resultLocation = new WrittenLocation();
        log.writeResult(keyRecord(key), longest, resultLocation);
        lost += resultLocation.await() < 0 ? 1 : 0;
      }
      assertTrue(acceptedKeys > 700 && acceptedKeys < 5000, acceptedKeys + " keys in 4 MB");
      assertEquals(0, lost, "every accepted intent must have its result on disk");
      assertTrue(
          disk.numbers().stream().mapToLong(n -> disk.bytes(n).length).sum() <= 4 << 20,
          "size on disk within the budget of 4 MB");
      assertTrue(
          log.retryAfterSeconds(ResultStore.RejectionReason.STORE_FULL) > 1,
          "Retry-After must be the time until a segment expires");
    }
  }

  @Example
  void open_repeatedly_keepsNumberOfSegmentsBounded() throws Exception {
    MemorySegmentStore disk = new MemorySegmentStore();
    for (int start = 0; start < 40; start++) {
      MemorySegmentStore currentDisk = disk;
      try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> currentDisk)) {
        Map<String, ResultStore.RecoveredKey> recoveredKeys =
            recoveredByKey(log.open(WINDOW_SECONDS));
        assertEquals(start, recoveredKeys.size(), "start " + start);
        assertNull(log.rejectionReason(), "start " + start);
        for (int i = 0; i < start; i++) {
          ResultStore.RecoveredKey key = recoveredKeys.get("2/0/k" + i);
          if (i % 3 == 0) {
            assertEquals(-1, key.position());
          } else {
            assertArrayEquals(result(i), log.readResult(key.key(), key.position()));
          }
        }
        String key = "2/0/k" + start;
        if (start % 3 == 0) {
          WrittenLocation intent = new WrittenLocation();
          log.writeIntent(keyRecord(key), intent);
          assertTrue(intent.await() >= 0);
        } else {
          assertTrue(writeKey(log, key, result(start)) >= 0);
        }
      }
      disk = disk.afterKill();
      assertTrue(disk.numbers().size() <= 10, disk.numbers() + ": expected at most 10 segments");
    }
  }

  @Example
  void compaction_withPowerLossAtAnyOperation_losesNoKey() throws Exception {
    MemorySegmentStore full = new MemorySegmentStore();
    Map<String, byte[]> results = new HashMap<>();
    for (int start = 0; start < 5; start++) {
      MemorySegmentStore currentDisk = full;
      try (WriteAheadLog log = new WriteAheadLog(settings(4, "group"), () -> currentDisk)) {
        log.open(WINDOW_SECONDS);
        results.put("2/0/k" + start, result(start));
        writeKey(log, "2/0/k" + start, result(start));
      }
      full = full.afterKill();
    }
    boolean powerLost = true;
    for (int powerLossAt = 1; powerLost; powerLossAt++) {
      MemorySegmentStore disk = full.afterKill();
      disk.losePowerAt(powerLossAt);
      try {
        assertTrue(Compaction.run(disk, 256 * 1024, 16));
        powerLost = false;
      } catch (IOException e) {
        powerLost = true;
      }
      MemorySegmentStore remaining = disk.afterPowerLoss(powerLossAt);
      try (WriteAheadLog next = new WriteAheadLog(settings(4, "group"), () -> remaining)) {
        ResultStore.RecoveredKeys recovered = next.open(WINDOW_SECONDS);
        assertFalse(unknownKeysFail(recovered), "power lost at " + powerLossAt);
        Map<String, ResultStore.RecoveredKey> recoveredKeys = recoveredByKey(recovered);
        assertEquals(results.keySet(), recoveredKeys.keySet());
        for (String key : results.keySet()) {
          assertArrayEquals(
              results.get(key), next.readResult(key, recoveredKeys.get(key).position()));
        }
      }
      assertTrue(
          powerLost || disk.numbers().size() == 1,
          "a completed compaction leaves one segment of five");
    }
  }

  @Example
  void removingExpiredSegment_freesItsSpace() {
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
    assertTrue(space.tryReserve(200), "removing a segment frees its space");
    assertEquals(2, space.oldestExpiredSegment(1000), "the current segment is never removed");
  }

  @Example
  void recovery_skipsRecordsExpiredByMonotonicClockUnlessOfEarlierBoot() {
    long now = 1_000_000;
    Recovery recovery = new Recovery(System.currentTimeMillis(), now, Integer.MAX_VALUE);
    LogRecord expired =
        new LogRecord(
            LogRecord.Kind.RESULT, true, 1, 0, now - 31_000, 1, 20_000, 5, "2/0/old", new byte[1]);
    LogRecord live =
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
    LogRecord earlierBoot =
        new LogRecord(
            LogRecord.Kind.RESULT, true, 1, 0, now - 31_000, 1, 20_000, 5, "2/0/boot", new byte[1]);
    recovery.replay(expired, 1, true);
    recovery.replay(live, 2, true);
    recovery.replay(earlierBoot, 3, false);
    Set<String> keys = new HashSet<>();
    recovery
        .keys()
        .forEach(
            recoveredKey -> {
              keys.add(recoveredKey.key());
              assertTrue(
                  recoveredKey.coveredUntilMillis() >= System.currentTimeMillis() + 19_000,
                  "the clock that stamps attempts may step");
            });
    assertEquals(Set.of("2/0/young", "2/0/boot"), keys);
  }
}
