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
 * build whose files are to stay readable; running it again records whatever the present build
 * writes, so a difference in an existing file is a change of the format on disk.
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

  /** Of no machine: records of another boot are never left out for their age. */
  static final long BOOT = 0x0102030405060708L;

  /** The year 2100, so that recovery's lower bound, which depends on the present, never shows. */
  static final long LAST_DOOR = 4_102_444_800_000L;

  static final double LONGEST_WINDOW_SECONDS = 20;
  private static final double WINDOW_SECONDS = 12.5;
  private static final long CHECK = 0x1122334455667788L;

  /** Bytes of the record that a crash cut, of those that reached the disk. */
  private static final int TORN_BYTES = 40;

  private StoredFormatFixtures() {}

  /** Run from the project's folder; needs the classes of the tests and of the program. */
  public static void main(String[] arguments) throws Exception {
    Files.createDirectories(STORE);
    try (var files = Files.list(STORE)) {
      if (files.findAny().isPresent()) {
        throw new IllegalStateException(STORE + " has files: delete them to record anew");
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

  /** Whoever opens a folder writes to it, so what is recorded is only ever opened as a copy. */
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

  /** Three starts, each of which begins a segment; one record a batch, and one batch of two. */
  static void writeSequence(Path folder) throws Exception {
    try (WriteAheadLog journal = open(folder)) {
      writeIntent(journal, key("2/0/first", 1));
      writeEnd(journal, key("2/0/first", 1), new byte[] {'s', 'a', 'v', 'e', 'd', 0, (byte) 200});
      writeIntent(journal, key("2/0/second", 2));
    }
    try (WriteAheadLog journal = open(folder)) {
      writeEnd(journal, key("2/0/second", 2), new byte[0]);
      writeIntent(journal, key("2/1/r\u00fcck/\u20ac", 3));
      writeEnd(journal, key("2/1/r\u00fcck/\u20ac", 3), null);
      writeIntent(journal, key("3/0/never begun", 4));
      journal.discardIntent(key("3/0/never begun", 4));
    }
    FixedBootDisk disk = new FixedBootDisk(folder, BOOT);
    try (WriteAheadLog journal = open(folder, disk)) {
      disk.holdSyncs();
      CountDownLatch three = new CountDownLatch(3);
      journal.writeIntent(key("3/0/alone", 7), place -> three.countDown());
      disk.awaitHeldSync();
      journal.writeResult(key("3/0/alone", 7), new byte[] {1}, place -> three.countDown());
      journal.writeIntent(key("3/0/same batch", 8), place -> three.countDown());
      disk.releaseSyncs();
      await(three);
      writeIntent(journal, key("3/0/unknown end", 5));
      writeIntent(journal, key("3/0/long result", 6));
      byte[] result = new byte[300];
      for (int i = 0; i < result.length; i++) {
        result[i] = (byte) (i * 7);
      }
      writeEnd(journal, key("3/0/long result", 6), result);
    }
  }

  private static WriteAheadLog open(Path folder) throws IOException {
    return open(folder, new FixedBootDisk(folder, BOOT));
  }

  private static WriteAheadLog open(Path folder, SegmentStore disk) throws IOException {
    WriteAheadLog journal = new WriteAheadLog(settings(folder), () -> disk);
    journal.open(LONGEST_WINDOW_SECONDS);
    return journal;
  }

  private static ResultStore.KeyRecord key(String key, int number) {
    return new ResultStore.KeyRecord(
        key, LAST_DOOR + number, WINDOW_SECONDS + number, CHECK + number);
  }

  private static void writeIntent(WriteAheadLog journal, ResultStore.KeyRecord keyed)
      throws Exception {
    CountDownLatch written = new CountDownLatch(1);
    if (journal.writeIntent(keyed, place -> written.countDown()) == null) {
      throw new IllegalStateException("no intent could be written");
    }
    await(written);
  }

  private static void writeEnd(WriteAheadLog journal, ResultStore.KeyRecord keyed, byte[] result)
      throws Exception {
    CountDownLatch written = new CountDownLatch(1);
    journal.writeResult(keyed, result, place -> written.countDown());
    await(written);
  }

  private static void await(CountDownLatch written) throws InterruptedException {
    if (!written.await(10, TimeUnit.SECONDS)) {
      throw new IllegalStateException("a record was not written in time");
    }
  }

  /** What a crash leaves of a write: the first bytes of one further record, and zeros. */
  private static void tearTail(Path segment) throws Exception {
    byte[] bytes = Files.readAllBytes(segment);
    Segment.ScanResult seen = Segment.scan(ByteBuffer.wrap(bytes), (record, offset) -> {});
    LogRecord cut =
        new LogRecord(
            LogRecord.Kind.INTENT,
            true,
            seen.lastBatch() + 1,
            LAST_DOOR,
            1,
            LAST_DOOR,
            12_500,
            CHECK,
            "3/0/torn",
            new byte[0]);
    ByteBuffer whole = ByteBuffer.allocate(cut.size());
    cut.writeTo(whole);
    System.arraycopy(whole.array(), 0, bytes, seen.end(), TORN_BYTES);
    Files.write(segment, bytes);
  }

  /** A line a segment, a record, and a run of bytes that is no record; all fields by name. */
  static String describeRecords(Path folder) throws Exception {
    StringBuilder text = new StringBuilder();
    byte[] manifest = Files.readAllBytes(folder.resolve(MANIFEST));
    text.append("manifest numbers=").append(Manifest.decode(manifest)).append('\n');
    for (String name : SEGMENTS) {
      byte[] bytes = Files.readAllBytes(folder.resolve(name));
      StringBuilder records = new StringBuilder();
      Segment.ScanResult seen =
          Segment.scan(
              ByteBuffer.wrap(bytes),
              (record, offset) -> records.append(describe(record, offset)).append('\n'));
      Segment.Header head = seen.header();
      text.append(
          String.format(
              "segment file=%s bytes=%d version=%d firstBatch=%d number=%d boot=%016x capacity=%d"
                  + " records=%d lastBatch=%d end=%d torn=%b damaged=%b%n",
              name,
              bytes.length,
              head.version(),
              head.firstBatch(),
              head.number(),
              head.boot(),
              head.capacity(),
              seen.recordCount(),
              seen.lastBatch(),
              seen.end(),
              seen.torn(),
              seen.damaged()));
      text.append(records);
      byte[] tail = tail(bytes, seen.end());
      if (tail.length > 0) {
        text.append("tail offset=").append(seen.end());
        text.append(" bytes=").append(HexFormat.of().formatHex(tail)).append('\n');
      }
    }
    return text.toString();
  }

  @SuppressWarnings("EnumOrdinal") // stored: the format counts kinds in the order of declaration
  private static String describe(LogRecord record, int offset) {
    return String.format(
        "record offset=%d kind=%d ends=%b batch=%d wall=%d steady=%d lastDoor=%d window=%d"
            + " check=%016x result=%s key=%s",
        offset,
        record.kind().ordinal() + 1, // as on disk: its name there is this number
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

  /** What a daemon that starts on the folder knows: a line a key, results as it reads them. */
  static String describeRecovered(Path folder) throws IOException {
    StringJoiner lines = new StringJoiner("\n", "", "\n");
    WriteAheadLog journal =
        new WriteAheadLog(settings(folder), () -> new FixedBootDisk(folder, BOOT + 1));
    try {
      ResultStore.RecoveredKeys recovered = journal.open(LONGEST_WINDOW_SECONDS);
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
                    : HexFormat.of().formatHex(journal.readResult(key.key(), key.position())),
                key.key()));
      }
    } finally {
      journal.close();
    }
    return lines.toString();
  }

  /** Real files under a fixed boot; a sync can be held up, so that records gather behind it. */
  private static final class FixedBootDisk implements SegmentStore {
    private final FileSegmentStore files;
    private final long boot;
    private final Semaphore syncs = new Semaphore(Integer.MAX_VALUE);

    FixedBootDisk(Path folder, long boot) throws IOException {
      files = new FileSegmentStore(folder);
      this.boot = boot;
    }

    void holdSyncs() {
      syncs.drainPermits();
    }

    void awaitHeldSync() throws InterruptedException {
      while (!syncs.hasQueuedThreads()) {
        Thread.sleep(1);
      }
    }

    void releaseSyncs() {
      syncs.release(Integer.MAX_VALUE / 2);
    }

    @Override
    public long bootId() {
      return boot;
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
    public long[] segmentNumbers() throws IOException {
      return files.segmentNumbers();
    }

    @Override
    public void create(long number, ByteBuffer head, int size) throws IOException {
      files.create(number, head, size);
    }

    @Override
    public ByteBuffer read(long number) throws IOException {
      return files.read(number);
    }

    @Override
    public ByteBuffer read(long number, int from, int length) throws IOException {
      return files.read(number, from, length);
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
