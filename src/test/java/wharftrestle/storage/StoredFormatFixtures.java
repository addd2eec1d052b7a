package wharftrestle.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.StringJoiner;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import wharftrestle.config.DaemonConfig;
import wharftrestle.request.ResultStore;

/**
 * Writes the stored results folder that {@link StoredFormatTest} reads. It was run once, with the
 * build whose files must stay readable. Running it again records what the current build writes, so
 * a difference in an existing file is a change of the format on disk.
 */
final class StoredFormatFixtures {
  static final Path FOLDER = Path.of("src/test/resources/fixtures/durable");
  static final Path STORE = FOLDER.resolve("results");
  static final Path RECORDS = FOLDER.resolve("records.txt");
  static final Path RECOVERED = FOLDER.resolve("recovered.txt");
  static final Path EXPORT = FOLDER.resolve("export.jsonl");
  static final List<String> SEGMENTS =
      List.of("results-00000000.log", "results-00000001.log", "results-00000002.log");
  static final String MANIFEST = "list";

  /** A boot ID that no machine has: recovery never skips records of another boot as expired. */
  static final long BOOT_ID = 0x0102030405060708L;

  /**
   * In the year 2100, so that the lower bound that recovery derives from the current time never
   * takes effect.
   */
  static final long COVERED_UNTIL_MILLIS = 4_102_444_800_000L;

  static final double LONGEST_WINDOW_SECONDS = 20;
  private static final double WINDOW_SECONDS = 12.5;
  private static final long BODY_CHECKSUM = 0x1122334455667788L;

  /** Bytes of the torn record that reached the disk. */
  private static final int TORN_BYTES = 40;

  private StoredFormatFixtures() {}

  /** Run from the project's root folder, with the test and main classes on the class path. */
  public static void main(String[] arguments) throws Exception {
    Files.createDirectories(STORE);
    try (var files = Files.list(STORE)) {
      if (files.findAny().isPresent()) {
        throw new IllegalStateException(
            STORE + " is not empty: delete its files before recording them again");
      }
    }
    writeSequence(STORE);
    tearTail(STORE.resolve(SEGMENTS.get(SEGMENTS.size() - 1)));
    Files.delete(STORE.resolve("lock"));
    Files.writeString(RECORDS, describeRecords(STORE));
    Files.writeString(RECOVERED, describeRecovered(copyOfStore()));
    Files.writeString(EXPORT, export(copyOfStore()));
  }

  private static Path copyOfStore() throws IOException {
    Path copy = Files.createTempDirectory("stored-format");
    copyStore(copy);
    return copy;
  }

  /** Copies the stored folder: opening a log writes to its folder, so tests open only a copy. */
  static void copyStore(Path to) throws IOException {
    for (String name : SEGMENTS) {
      Files.copy(STORE.resolve(name), to.resolve(name));
    }
    Files.copy(STORE.resolve(MANIFEST), to.resolve(MANIFEST));
  }

  static String export(Path folder) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (ResultLogTool results = new ResultLogTool(folder)) {
      results.export(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  static DaemonConfig.Durable settings(Path folder) {
    return new DaemonConfig.Durable(folder, 4 << 20, 100, 1 << 20, 5, "group");
  }

  /**
   * Starts the log three times, which creates three segments. Every batch has one record, except
   * one batch of two.
   */
  static void writeSequence(Path folder) throws Exception {
    try (WriteAheadLog log = open(folder)) {
      writeIntent(log, key("2/0/first", 1));
      writeEnd(log, key("2/0/first", 1), new byte[] {'s', 'a', 'v', 'e', 'd', 0, (byte) 200});
      writeIntent(log, key("2/0/second", 2));
    }
    try (WriteAheadLog log = open(folder)) {
      writeEnd(log, key("2/0/second", 2), new byte[0]);
      writeIntent(log, key("2/1/r\u00fcck/\u20ac", 3));
      writeEnd(log, key("2/1/r\u00fcck/\u20ac", 3), null);
      writeIntent(log, key("3/0/never begun", 4));
      log.discardIntent(key("3/0/never begun", 4));
    }
    FixedBootStore store = new FixedBootStore(folder, BOOT_ID);
    try (WriteAheadLog log = open(folder, store)) {
      store.blockSyncs();
      CountDownLatch allWritten = new CountDownLatch(3);
      log.writeIntent(key("3/0/alone", 7), location -> allWritten.countDown());
      store.awaitBlockedSync();
      log.writeResult(key("3/0/alone", 7), new byte[] {1}, location -> allWritten.countDown());
      log.writeIntent(key("3/0/same batch", 8), location -> allWritten.countDown());
      store.unblockSyncs();
      await(allWritten);
      writeIntent(log, key("3/0/unknown end", 5));
      writeIntent(log, key("3/0/long result", 6));
      byte[] result = new byte[300];
      for (int i = 0; i < result.length; i++) {
        result[i] = (byte) (i * 7);
      }
      writeEnd(log, key("3/0/long result", 6), result);
    }
  }

  private static WriteAheadLog open(Path folder) throws IOException {
    return open(folder, new FixedBootStore(folder, BOOT_ID));
  }

  private static WriteAheadLog open(Path folder, SegmentStore store) throws IOException {
    WriteAheadLog log = new WriteAheadLog(settings(folder), () -> store);
    log.open(LONGEST_WINDOW_SECONDS);
    return log;
  }

  private static ResultStore.KeyRecord key(String key, int number) {
    return new ResultStore.KeyRecord(
        key, COVERED_UNTIL_MILLIS + number, WINDOW_SECONDS + number, BODY_CHECKSUM + number);
  }

  private static void writeIntent(WriteAheadLog log, ResultStore.KeyRecord keyRecord)
      throws Exception {
    CountDownLatch written = new CountDownLatch(1);
    if (log.writeIntent(keyRecord, location -> written.countDown()) == null) {
      throw new IllegalStateException("no intent could be written");
    }
    await(written);
  }

  private static void writeEnd(WriteAheadLog log, ResultStore.KeyRecord keyRecord, byte[] result)
      throws Exception {
    CountDownLatch written = new CountDownLatch(1);
    log.writeResult(keyRecord, result, location -> written.countDown());
    await(written);
  }

  private static void await(CountDownLatch written) throws InterruptedException {
    if (!written.await(10, TimeUnit.SECONDS)) {
      throw new IllegalStateException("a record was not written in time");
    }
  }

  /** Simulates a torn write: appends the first bytes of another record, followed by zeros. */
  private static void tearTail(Path segment) throws Exception {
    byte[] bytes = Files.readAllBytes(segment);
    Segment.ScanResult scan = SegmentBytes.scan(bytes, (record, offset) -> {});
    LogRecord torn =
        new LogRecord(
            LogRecord.Kind.INTENT,
            true,
            scan.lastBatch() + 1,
            COVERED_UNTIL_MILLIS,
            1,
            COVERED_UNTIL_MILLIS,
            12_500,
            BODY_CHECKSUM,
            "3/0/torn",
            new byte[0]);
    ByteBuffer tornBytes = ByteBuffer.allocate(torn.size());
    torn.writeTo(tornBytes);
    System.arraycopy(tornBytes.array(), 0, bytes, scan.end(), TORN_BYTES);
    Files.write(segment, bytes);
  }

  /** One line per segment, record and torn tail, with all fields by name. */
  static String describeRecords(Path folder) throws Exception {
    StringBuilder text = new StringBuilder();
    byte[] manifest = Files.readAllBytes(folder.resolve(MANIFEST));
    text.append("manifest numbers=").append(Manifest.decode(manifest)).append('\n');
    for (String name : SEGMENTS) {
      byte[] bytes = Files.readAllBytes(folder.resolve(name));
      StringBuilder records = new StringBuilder();
      Segment.ScanResult scan =
          SegmentBytes.scan(
              bytes, (record, offset) -> records.append(describe(record, offset)).append('\n'));
      Segment.Header header = scan.header();
      text.append(
          String.format(
              "segment file=%s bytes=%d version=%d firstBatch=%d number=%d boot=%016x capacity=%d"
                  + " records=%d lastBatch=%d end=%d torn=%b damaged=%b%n",
              name,
              bytes.length,
              header.version(),
              header.firstBatch(),
              header.number(),
              header.bootId(),
              header.capacity(),
              scan.recordCount(),
              scan.lastBatch(),
              scan.end(),
              scan.torn(),
              scan.damaged()));
      text.append(records);
      byte[] tail = tail(bytes, scan.end());
      if (tail.length > 0) {
        text.append("tail offset=").append(scan.end());
        text.append(" bytes=").append(HexFormat.of().formatHex(tail)).append('\n');
      }
    }
    return text.toString();
  }

  @SuppressWarnings("EnumOrdinal") // the format numbers kinds in the order of declaration
  private static String describe(LogRecord record, int offset) {
    return String.format(
        "record offset=%d kind=%d ends=%b batch=%d wall=%d steady=%d lastDoor=%d window=%d"
            + " check=%016x result=%s key=%s",
        offset,
        record.kind().ordinal() + 1, // the number stored on disk
        record.lastOfBatch(),
        record.batch(),
        record.writtenAtMillis(),
        record.writtenAtMonotonicMillis(),
        record.coveredUntilMillis(),
        record.windowMillis(),
        record.bodyChecksum(),
        HexFormat.of().formatHex(record.result()),
        record.key());
  }

  private static byte[] tail(byte[] bytes, int from) {
    int to = bytes.length;
    while (to > from && bytes[to - 1] == 0) {
      to--;
    }
    return Arrays.copyOfRange(bytes, from, to);
  }

  /**
   * The keys that a daemon recovers from the folder, one line per key, with results as it reads
   * them.
   */
  static String describeRecovered(Path folder) throws IOException {
    StringJoiner lines = new StringJoiner("\n", "", "\n");
    WriteAheadLog log =
        new WriteAheadLog(settings(folder), () -> new FixedBootStore(folder, BOOT_ID + 1));
    try {
      ResultStore.RecoveredKeys recovered = log.open(LONGEST_WINDOW_SECONDS);
      lines.add("blind=" + (recovered.unknownKeysFailUntilSeconds() > Double.NEGATIVE_INFINITY));
      for (ResultStore.RecoveredKey key : recovered.keys()) {
        lines.add(
            String.format(
                "key place=%d lastDoor=%d check=%016x result=%s key=%s",
                key.position(),
                key.lastAttemptAtMillis(),
                key.bodyChecksum(),
                key.position() < 0
                    ? "unknown"
                    : HexFormat.of().formatHex(log.readResult(key.key(), key.position())),
                key.key()));
      }
    } finally {
      log.close();
    }
    return lines.toString();
  }

  /**
   * Real files with a fixed boot ID; syncs can be blocked, so that records queue into one batch.
   */
  private static final class FixedBootStore implements SegmentStore {
    private final FileSegmentStore files;
    private final long bootId;
    private final Semaphore syncs = new Semaphore(Integer.MAX_VALUE);

    FixedBootStore(Path folder, long bootId) throws IOException {
      files = new FileSegmentStore(folder);
      this.bootId = bootId;
    }

    void blockSyncs() {
      syncs.drainPermits();
    }

    void awaitBlockedSync() throws InterruptedException {
      while (!syncs.hasQueuedThreads()) {
        Thread.sleep(1);
      }
    }

    void unblockSyncs() {
      syncs.release(Integer.MAX_VALUE / 2);
    }

    @Override
    public long bootId() {
      return bootId;
    }

    @Override
    public byte[] readManifest() throws IOException {
      return files.readManifest();
    }

    @Override
    public void writeManifest(byte[] list) throws IOException {
      files.writeManifest(list);
    }

    @Override
    public byte[] readNames() throws IOException {
      return files.readNames();
    }

    @Override
    public void writeNames(byte[] names) throws IOException {
      files.writeNames(names);
    }

    @Override
    public long[] segmentNumbers() throws IOException {
      return files.segmentNumbers();
    }

    @Override
    public void create(long number, ByteBuffer header, int size) throws IOException {
      files.create(number, header, size);
    }

    @Override
    public long size(long number) throws IOException {
      return files.size(number);
    }

    @Override
    public void read(long number, int from, ByteBuffer target) throws IOException {
      files.read(number, from, target);
    }

    @Override
    public void write(long number, int at, ByteBuffer bytes) throws IOException {
      files.write(number, at, bytes);
    }

    @Override
    public void sync(long number) throws IOException {
      syncs.acquireUninterruptibly();
      files.sync(number);
    }

    @Override
    public void delete(long number) throws IOException {
      files.delete(number);
    }

    @Override
    public void close() {
      files.close();
    }
  }
}
