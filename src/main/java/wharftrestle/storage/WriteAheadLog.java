package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLongArray;
import org.HdrHistogram.Histogram;
import org.tinylog.Logger;
import wharftrestle.config.DaemonConfig;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.request.PendingIntent;
import wharftrestle.request.PlatformThreads;
import wharftrestle.request.ResultStore;
import wharftrestle.time.SteadyWallClock;

/**
 * Carries intents and results to the disk: one thread takes all that waits, writes it as one batch,
 * syncs once, and tells how that went. It owns the folder while it is open, the thread, and the
 * figures. It must never decide what a key may do, make a caller wait, write over what is on disk,
 * or write on after a failure of the disk but into a fresh file.
 *
 * <pre>
 * state   means                                  next
 * SHUT    the folder is not held                 OPEN (open)
 * OPEN    what is told is written                FAILED (an error of the disk), SHUT (close)
 * FAILED  nothing is written, all is refused     OPEN (a fresh file could be made), SHUT (close)
 * </pre>
 */
public final class WriteAheadLog implements ResultStore, AutoCloseable {

  /** How far it has come. */
  public enum State {
    CLOSED,
    OPEN,
    FAILED
  }

  /** Makes the folder's lock and files; told apart so that tests put faults in. */
  interface Opener {
    SegmentStore open() throws IOException;
  }

  /**
   * Milliseconds between two looks at what is over, and after which a failed disk is tried anew.
   */
  private static final long LOOK_MS = 250;

  private static final long AGAIN_MS = 1000;

  /** Milliseconds for which an end waits for the disk. */
  private static final long END_MS = 2500;

  /** Seconds to come back after where nothing better is known. */
  private static final double SOON = 0.25;

  private static final int BUFFER = 256 * 1024;

  /** Microseconds of the longest sync that is told apart. */
  private static final long LONGEST_SYNC = 60_000_000;

  /** Bytes read at once where a result is looked up: PROTOCOL's longest one is in them. */
  private static final int LOOK = 5 * 1024;

  /** One record on its way. */
  private static final class Ticket implements PendingIntent {
    private final LogRecord record;
    private final int size;
    private final double until;
    private final ResultStore.WriteListener told;
    private long place = -1;

    Ticket(LogRecord record, double until, ResultStore.WriteListener told) {
      this.record = record;
      this.size = record.size();
      this.until = until;
      this.told = told;
    }
  }

  private final DaemonConfig.Durable settings;
  private final Opener opener;
  private final SpaceBudget room; // also the lock of what stands below it
  private final Map<String, Integer> promises = new HashMap<>();
  private volatile GroupCommitQueue<Ticket> gather;
  private volatile State state = State.CLOSED;
  private volatile SegmentStore disk;
  private Thread writer;
  private int batch;
  private volatile long batchBegan; // System.nanoTime; 0 while nothing is written
  private long failedAt;
  private final TreeSet<Long> ghosts = new TreeSet<>();
  private double ghostsUntil;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER);

  private final Histogram syncs = new Histogram(LONGEST_SYNC, 2);
  private final AtomicLongArray refused =
      new AtomicLongArray(ResultStore.RejectionReason.values().length);
  private volatile long records;
  private volatile long unsaved;
  private volatile long errors;
  private volatile int recoveredKnown;
  private volatile int recoveredUnknown;
  private volatile boolean damaged;
  private volatile double recoveryMs;

  public WriteAheadLog(DaemonConfig.Durable settings) {
    this(settings, () -> new FileSegmentStore(settings.folder()));
  }

  WriteAheadLog(DaemonConfig.Durable settings, Opener opener) {
    this.settings = settings;
    this.opener = opener;
    room = new SpaceBudget(settings.most());
  }

  // ---- Opening: what a dead process left ----

  /**
   * Takes the folder and reads what is in it.
   *
   * @param longest seconds of the longest window, for which a damaged log makes unknown keys fail
   * @return what is known of keys, in the order of their last records
   * @throws UnusableException in one line, where it is another's, of a newer version, or cannot be
   *     written
   */
  public synchronized ResultStore.RecoveredKeys open(double longest) throws IOException {
    if (state != State.CLOSED) {
      throw new IllegalStateException("kept results are " + state);
    }
    long began = System.nanoTime();
    SegmentStore opened = opener.open();
    try {
      ResultStore.RecoveredKeys recovered = recover(opened, longest);
      if (!damaged
          && Compaction.isWorthwhile(room)
          && Compaction.run(opened, room.segmentBytes(), room.maxSegments())) {
        recovered =
            recover(opened, longest); // so that starts one after another do not fill the folder
      }
      disk = opened;
      gather = new GroupCommitQueue<>(settings.queue());
      if (mayGrow()) {
        begin();
        state = State.OPEN;
      } else {
        // Guards against a start that ends for want of room: old files go soon, then one is begun.
        failedAt = System.nanoTime();
        state = State.FAILED;
        Logger.warn("kept results: no room in {}, keyed requests are refused", settings.folder());
      }
      writer = PlatformThreads.thread("results", this::write);
      writer.start();
      recoveryMs = (System.nanoTime() - began) / 1e6;
      return recovered;
    } catch (UnusableStorageException e) {
      opened.close();
      throw e;
    } catch (IOException | RuntimeException e) {
      opened.close();
      throw new UnusableStorageException(settings.folder() + " cannot be used (" + e + ")");
    }
  }

  private ResultStore.RecoveredKeys recover(SegmentStore opened, double longest)
      throws IOException {
    Recovery recovery = new Recovery(SteadyWallClock.steadyWallMillis(), steady());
    long boot = opened.bootId();
    double now = seconds();
    boolean hurt = false;
    synchronized (room) {
      promises.clear();
      room.clear();
    }
    try {
      long[] files = opened.segmentNumbers();
      byte[] list = opened.readManifest();
      List<Long> listed = list == null ? null : Manifest.decode(list);
      hurt = (files.length > 0 && listed == null) || (list != null && listed == null);
      ghosts.clear();
      for (long number : listed == null ? List.<Long>of() : listed) {
        if (Arrays.binarySearch(files, number) < 0) {
          ghosts.add(
              number); // stays on the list while it may matter, should this process die as well
          hurt = true;
        }
      }
      ghostsUntil = now + longest + Recovery.LINGER_SECONDS;
      for (int i = 0; i < files.length; i++) {
        long number = files[i];
        ByteBuffer bytes = opened.read(number);
        boolean same = Segment.isSameBoot(bytes, boot);
        double[] until = {Double.NEGATIVE_INFINITY};
        Segment.ScanResult seen =
            Segment.scan(
                bytes,
                (record, offset) -> {
                  if (recovery.replay(record, place(number, offset), same)) {
                    until[0] =
                        Math.max(
                            until[0],
                            now + record.windowMillis() / 1000.0 + Recovery.LINGER_SECONDS);
                  }
                });
        hurt |= seen.damaged() || (seen.torn() && i < files.length - 1);
        batch = Math.max(batch, seen.lastBatch() + 1);
        synchronized (room) {
          room.addSegment(number, Math.max(Segment.HEADER_BYTES, seen.end()), until[0]);
        }
      }
    } catch (Segment.ForeignFormatException e) {
      throw new UnusableStorageException(settings.folder() + " " + e.getMessage());
    }
    damaged = hurt;
    recoveredKnown = recovery.knownCount();
    recoveredUnknown = recovery.unknownCount();
    if (hurt) {
      Logger.error(
          "kept results in {} are damaged: for {} s keys that are not known fail and do not run",
          settings.folder(),
          (long) Math.ceil(longest));
    }
    Logger.info(
        "kept results: {} known, {} of unknown end, {} records over",
        recoveredKnown,
        recoveredUnknown,
        recovery.expiredCount());
    List<ResultStore.RecoveredKey> all = new ArrayList<>();
    for (Recovery.RecoveredKey known : recovery.keys()) {
      all.add(
          new ResultStore.RecoveredKey(
              known.key(),
              known.location(),
              known.coveredUntilMillis(),
              Recovery.expiresAtSeconds(known, now),
              known.bodyChecksum()));
    }
    return new ResultStore.RecoveredKeys(all, hurt ? now + longest : Double.NEGATIVE_INFINITY);
  }

  /** Begins a further file: made and listed before anything in it counts. */
  private void begin() throws IOException {
    if (!mayGrow()) {
      throw new IOException("no room for a further file");
    }
    long number;
    synchronized (room) {
      number = room.currentSegment() + 1;
    }
    number = Math.max(number, ghosts.isEmpty() ? 0 : ghosts.last() + 1);
    disk.create(
        number,
        Segment.header(batch + 1, number, disk.bootId(), room.segmentBytes()),
        room.segmentBytes());
    synchronized (room) {
      room.addSegment(number, Segment.HEADER_BYTES, Double.NEGATIVE_INFINITY);
    }
    list();
  }

  private boolean mayGrow() {
    synchronized (room) {
      return room.hasCapacityForSegment();
    }
  }

  private void list() throws IOException {
    TreeSet<Long> all = new TreeSet<>(ghosts);
    synchronized (room) {
      all.addAll(room.segmentNumbers());
    }
    disk.writeManifest(Manifest.encode(all));
  }

  // ---- What the core tells; none of it waits ----

  @Override
  public double intentTimeoutSeconds() {
    return settings.patience();
  }

  @Override
  public int maxKeys() {
    return settings.keys();
  }

  @Override
  public ResultStore.RejectionReason rejectionReason() {
    if (state != State.OPEN) {
      return ResultStore.RejectionReason.DISK_FAILED;
    }
    long began = batchBegan;
    if (began != 0 && System.nanoTime() - began > settings.patience() * 1e9) {
      return ResultStore.RejectionReason.DISK_STALLED;
    }
    if (gather.queuedBytes() > settings.queue()) {
      return ResultStore.RejectionReason.DISK_BUSY;
    }
    synchronized (room) {
      return room.hasCapacityFor(SpaceBudget.RESERVED_BYTES_PER_INTENT)
          ? null
          : ResultStore.RejectionReason.STORE_FULL;
    }
  }

  @SuppressWarnings("EnumOrdinal") // a place in refused, never stored or sent
  private static int index(ResultStore.RejectionReason why) {
    return why.ordinal();
  }

  @Override
  public double retryAfterSeconds(ResultStore.RejectionReason why) {
    refused.incrementAndGet(index(why));
    synchronized (room) {
      return why == ResultStore.RejectionReason.STORE_FULL
          ? room.secondsUntilCapacity(seconds())
          : SOON;
    }
  }

  @Override
  public PendingIntent writeIntent(ResultStore.KeyRecord keyed, ResultStore.WriteListener told) {
    Ticket ticket = ticket(LogRecord.Kind.INTENT, keyed, null, told);
    synchronized (room) {
      if (state != State.OPEN
          || promises.containsKey(keyed.key())
          || !room.tryReserve(ticket.size)) {
        return null;
      }
      promises.put(keyed.key(), ticket.size);
    }
    if (!gather.add(ticket, ticket.size, false)) {
      settle(keyed.key());
      return null;
    }
    return ticket;
  }

  @Override
  public void withdrawIntent(PendingIntent intent, ResultStore.KeyRecord keyed) {
    Ticket ticket = (Ticket) intent;
    if (gather.withdraw(ticket, ticket.size)) {
      settle(keyed.key());
    } else {
      discardIntent(keyed);
    }
  }

  @Override
  public void discardIntent(ResultStore.KeyRecord keyed) {
    settle(keyed.key());
    end(LogRecord.Kind.VOID, keyed, null, place -> {});
  }

  @Override
  public void writeResult(
      ResultStore.KeyRecord keyed, byte[] result, ResultStore.WriteListener told) {
    end(result == null ? LogRecord.Kind.FAILED : LogRecord.Kind.RESULT, keyed, result, told);
  }

  // The writer counts unsaved as well: of two at once one is lost; nothing is decided by the
  // figure.
  @SuppressWarnings("NonAtomicVolatileUpdate")
  private void end(
      LogRecord.Kind kind,
      ResultStore.KeyRecord keyed,
      byte[] result,
      ResultStore.WriteListener told) {
    Ticket ticket = ticket(kind, keyed, result, told);
    if ((result != null && result.length > LogRecord.MAX_RESULT_BYTES)
        || state == State.CLOSED
        || !gather.add(ticket, ticket.size, true)) {
      settle(keyed.key());
      unsaved += kind == LogRecord.Kind.VOID ? 0 : 1;
      told.onWritten(-1);
    }
  }

  private static Ticket ticket(
      LogRecord.Kind kind,
      ResultStore.KeyRecord keyed,
      byte[] result,
      ResultStore.WriteListener told) {
    int window = (int) Math.ceil(keyed.retentionSeconds() * 1000);
    return new Ticket(
        new LogRecord(
            kind,
            false,
            0,
            0,
            0,
            keyed.lastAttemptAtMillis(),
            window,
            keyed.bodyChecksum(),
            keyed.key(),
            result == null ? new byte[0] : result),
        seconds() + keyed.retentionSeconds() + Recovery.LINGER_SECONDS,
        told);
  }

  private void settle(String key) {
    synchronized (room) {
      Integer promised = promises.remove(key);
      if (promised != null) {
        room.release(promised);
      }
    }
  }

  /** A result of a settled key, from disk; not under any lock. */
  @Override
  public byte[] readResult(String key, long place) throws IOException {
    SegmentStore from = disk;
    if (from == null) {
      throw new IOException("kept results are shut");
    }
    long number = place >>> 32;
    int at = (int) place;
    ByteBuffer bytes = from.read(number, at, LOOK);
    if (bytes.limit() >= 4
        && bytes.getInt(0) > LOOK - LogRecord.HEADER_BYTES
        && bytes.getInt(0) <= LogRecord.MAX_PAYLOAD_BYTES) {
      bytes = from.read(number, at, bytes.getInt(0) + LogRecord.HEADER_BYTES);
    }
    LogRecord record = LogRecord.readAt(bytes, 0);
    if (record == null || record.kind() != LogRecord.Kind.RESULT || !record.key().equals(key)) {
      throw new IOException("the result of a key is not where it was written");
    }
    return record.result();
  }

  private static long place(long number, int offset) {
    return number << 32 | offset;
  }

  // ---- The writer ----

  private void write() {
    try {
      for (; ; ) {
        List<Ticket> all = gather.awaitBatch(LOOK_MS);
        if (!all.isEmpty()) {
          commit(all);
        } else if (gather.isClosed()) {
          return;
        }
        tidy();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error fault) {
      Logger.error(fault, "kept results");
      state = State.FAILED;
    } finally {
      // Guards against results that wait for a writer that has ended: what comes now is told at
      // once.
      gather.close();
      gather.drain().forEach(ticket -> tell(ticket));
    }
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // unsaved: see end
  private void commit(List<Ticket> all) {
    if (state == State.OPEN) {
      batchBegan = System.nanoTime();
      try {
        if (settings.sync().equals("each")) {
          for (Ticket ticket : all) {
            put(List.of(ticket));
          }
        } else {
          put(all);
        }
      } catch (IOException | RuntimeException | Error e) {
        // Guards against a batch that is told nothing, and a writer that ends, as memory was short
        // for a moment.
        fail(e);
      } finally {
        batchBegan = 0;
      }
    }
    for (Ticket ticket : all) {
      boolean end =
          ticket.record.kind() == LogRecord.Kind.RESULT
              || ticket.record.kind() == LogRecord.Kind.FAILED;
      if (end || (ticket.record.kind() == LogRecord.Kind.INTENT && ticket.place < 0)) {
        settle(ticket.record.key());
      }
      unsaved += end && ticket.place < 0 ? 1 : 0;
      tell(ticket);
    }
  }

  /** Guards against a fault in one request's next step ending the writer of all. */
  private static void tell(Ticket ticket) {
    try {
      ticket.told.onWritten(ticket.place);
    } catch (RuntimeException | Error fault) {
      Logger.error(fault, "word of a record");
    }
  }

  /** Writes one batch and syncs it; a ticket has its place only when it is on disk. */
  @SuppressWarnings("NonAtomicVolatileUpdate") // records: the writer alone counts them
  private void put(List<Ticket> all) throws IOException {
    batch++;
    long wall = SteadyWallClock.wallMillis();
    long steady = steady();
    long[] places = new long[all.size()];
    int from = -1;
    buffer.clear();
    for (int i = 0; i < places.length; i++) {
      Ticket ticket = all.get(i);
      boolean full;
      synchronized (room) {
        full = room.needsNewSegment(ticket.size);
      }
      if (full) {
        flush(from);
        from = -1;
        sync();
        if (!mayGrow()) {
          places[i] = -1; // longer than was promised, and no room: it stays in memory alone
          continue;
        }
        begin();
      }
      if (buffer.remaining() < ticket.size) {
        flush(from);
        from = -1;
      }
      int at;
      long number;
      synchronized (room) {
        at = room.append(ticket.size, ticket.until);
        number = room.currentSegment();
      }
      from = from < 0 ? at : from;
      places[i] = place(number, at);
      ticket.record.stamped(i == places.length - 1, batch, wall, steady).writeTo(buffer);
    }
    flush(from);
    sync();
    records += places.length;
    for (int i = 0; i < places.length; i++) {
      all.get(i).place = places[i];
    }
  }

  private void flush(int at) throws IOException {
    if (at >= 0) {
      buffer.flip();
      disk.write(room.currentSegment(), at, buffer);
    }
    buffer.clear();
  }

  private void sync() throws IOException {
    if (!settings.sync().equals("none")) {
      long began = System.nanoTime();
      disk.sync(room.currentSegment());
      long took = Math.min(LONGEST_SYNC, (System.nanoTime() - began) / 1000);
      synchronized (syncs) {
        syncs.recordValue(took);
      }
    }
  }

  /**
   * Guards against trusting a file after its sync failed: the kernel may have thrown its pages
   * away.
   */
  @SuppressWarnings("NonAtomicVolatileUpdate") // errors: the writer alone counts them
  private void fail(Throwable e) {
    errors++;
    failedAt = System.nanoTime();
    state = State.FAILED;
    Logger.error(
        "kept results: {}; keyed requests are refused until the disk takes a fresh file",
        e.toString());
  }

  private void tidy() {
    try {
      if (!ghosts.isEmpty() && seconds() > ghostsUntil) {
        ghosts.clear();
        list();
      }
      for (long over = over(); over >= 0; over = over()) {
        synchronized (room) {
          room.removeOldest();
        }
        list();
        disk.delete(over);
      }
      if (state == State.FAILED && System.nanoTime() - failedAt > AGAIN_MS * 1_000_000) {
        batch += 2;
        begin();
        state = State.OPEN;
        Logger.info("kept results: the disk takes records again");
      }
    } catch (IOException | RuntimeException | Error e) {
      if (state == State.OPEN || System.nanoTime() - failedAt > AGAIN_MS * 1_000_000) {
        fail(e);
      }
    }
  }

  private long over() {
    synchronized (room) {
      return room.oldestExpiredSegment(seconds());
    }
  }

  @Override
  public void close() {
    close(END_MS);
  }

  /** Waits until what was told is on disk, at most so many ms, and gives the folder back. */
  public synchronized void close(long millis) {
    if (state == State.CLOSED) {
      return;
    }
    gather.close();
    try {
      writer.join(Math.max(1, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    state = State.CLOSED;
    disk.close();
  }

  // ---- Figures ----

  public State state() {
    return state;
  }

  @Override
  public Map<ResultMetric, Long> metrics() {
    Map<ResultMetric, Long> all = new EnumMap<>(ResultMetric.class);
    @SuppressWarnings("EnumOrdinal") // the MIB counts states in the order of declaration
    long number = state.ordinal() + 1L;
    all.put(ResultMetric.STATE, number);
    all.put(ResultMetric.RECORDS, records);
    synchronized (room) {
      all.put(ResultMetric.SIZE_KB, room.allocatedBytes() >> 10);
      all.put(ResultMetric.USED_KB, room.usedBytes() >> 10);
      all.put(ResultMetric.RESERVED_KB, room.reservedBytes() >> 10);
      all.put(ResultMetric.SEGMENTS, (long) room.segmentCount());
    }
    GroupCommitQueue<Ticket> waiting = gather;
    all.put(ResultMetric.QUEUED_BYTES, waiting == null ? 0 : waiting.queuedBytes());
    synchronized (syncs) {
      all.put(ResultMetric.SYNCS, syncs.getTotalCount());
      all.put(ResultMetric.SYNC_P50_US, syncs.getValueAtPercentile(50));
      all.put(ResultMetric.SYNC_P99_US, syncs.getValueAtPercentile(99));
      all.put(ResultMetric.SYNC_MAX_US, syncs.getMaxValue());
    }
    all.put(ResultMetric.RECOVERED_WITH_RESULT, (long) recoveredKnown);
    all.put(ResultMetric.RECOVERED_UNKNOWN, (long) recoveredUnknown);
    all.put(ResultMetric.RECOVERY_US, (long) (recoveryMs * 1000));
    all.put(ResultMetric.DAMAGED, damaged ? 1L : 0L);
    all.put(ResultMetric.DISK_ERRORS, errors);
    all.put(ResultMetric.UNSAVED_RESULTS, unsaved);
    for (ResultStore.RejectionReason why : ResultStore.RejectionReason.values()) {
      all.put(why.metric(), refused.get(index(why)));
    }
    return all;
  }

  private static double seconds() {
    return System.nanoTime() / 1e9;
  }

  private static long steady() {
    return System.nanoTime() / 1_000_000;
  }
}
