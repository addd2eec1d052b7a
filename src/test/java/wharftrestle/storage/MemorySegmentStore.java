package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;

/**
 * A segment store in memory that distinguishes synced from unsynced bytes and injects faults.
 * Faults are placed by operation number: the n-th operation fails, or the machine loses power
 * before it. After a power loss, a seeded random generator decides for each unsynced block of 512
 * bytes whether it reached the disk.
 */
final class MemorySegmentStore implements SegmentStore {
  private static final int BLOCK_BYTES = 512;

  /** The synced contents, and the contents that a process reads. */
  private static final class File {
    private byte[] synced;
    private byte[] visible;
  }

  private final Map<Long, File> files = new TreeMap<>();
  private byte[] manifest;
  private byte[] names;
  private int operations;
  private int failAt = -1;
  private int failures;
  private boolean failWithError;
  private int powerLossAt = -1;
  private boolean powerLost;
  private volatile CountDownLatch resumeLatch;
  private final CountDownLatch syncStalled = new CountDownLatch(1);
  long bootId = 7;

  /** Makes operations fail, beginning with the n-th from now. */
  synchronized void failOperations(int operationsFromNow, int count) {
    failAt = operations + operationsFromNow;
    failures = count;
  }

  /** Like {@link #failOperations}, with an OutOfMemoryError instead of an IOException. */
  synchronized void failOperationsWithError(int operationsFromNow, int count) {
    failOperations(operationsFromNow, count);
    failWithError = true;
  }

  /** Simulates a power loss before the n-th operation from now. */
  synchronized void losePowerAt(int operationsFromNow) {
    powerLossAt = operations + operationsFromNow;
  }

  synchronized int operations() {
    return operations;
  }

  synchronized boolean isPowerLost() {
    return powerLost;
  }

  /** Blocks every sync from now on until {@link #resumeSyncs}. */
  void stallSyncs() {
    resumeLatch = new CountDownLatch(1);
  }

  void awaitStalledSync() throws InterruptedException {
    syncStalled.await();
  }

  void resumeSyncs() {
    CountDownLatch latch = resumeLatch;
    resumeLatch = null;
    if (latch != null) {
      latch.countDown();
    }
  }

  /** The store that a process finds after a power loss and a reboot. */
  synchronized MemorySegmentStore afterPowerLoss(long seed) {
    Random random = new Random(seed);
    MemorySegmentStore next = new MemorySegmentStore();
    next.bootId = bootId + 1;
    next.manifest = manifest == null ? null : manifest.clone();
    next.names = names;
    files.forEach(
        (number, file) -> {
          File copy = new File();
          copy.synced = file.synced.clone();
          for (int at = 0; at < copy.synced.length; at += BLOCK_BYTES) {
            if (random.nextBoolean()) {
              System.arraycopy(
                  file.visible,
                  at,
                  copy.synced,
                  at,
                  Math.min(BLOCK_BYTES, copy.synced.length - at));
            }
          }
          copy.visible = copy.synced.clone();
          next.files.put(number, copy);
        });
    return next;
  }

  /** The store that the next process finds after this one was killed: all its writes are there. */
  synchronized MemorySegmentStore afterKill() {
    MemorySegmentStore next = new MemorySegmentStore();
    next.bootId = bootId;
    next.manifest = manifest == null ? null : manifest.clone();
    next.names = names;
    files.forEach(
        (number, file) -> {
          File copy = new File();
          copy.synced = file.visible.clone();
          copy.visible = file.visible.clone();
          next.files.put(number, copy);
        });
    return next;
  }

  synchronized byte[] bytes(long number) {
    return files.get(number).visible;
  }

  synchronized void replace(long number, byte[] bytes) {
    File file = new File();
    file.visible = bytes;
    file.synced = bytes.clone();
    files.put(number, file);
  }

  synchronized List<Long> numbers() {
    return new ArrayList<>(files.keySet());
  }

  synchronized void remove(long number) {
    files.remove(number);
  }

  private synchronized void countOperation() throws IOException {
    operations++;
    if (powerLost || operations == powerLossAt) {
      powerLost = true;
      throw new IOException("simulated power loss");
    }
    if (failAt >= 0 && operations >= failAt && operations < failAt + failures) {
      if (failWithError) {
        throw new OutOfMemoryError("injected error");
      }
      throw new IOException("injected fault at operation " + operations);
    }
  }

  @Override
  public long bootId() {
    return bootId;
  }

  @Override
  public synchronized byte[] readManifest() {
    return manifest;
  }

  @Override
  public synchronized void writeManifest(byte[] newManifest) throws IOException {
    countOperation();
    manifest = newManifest.clone();
  }

  @Override
  public synchronized byte[] readNames() {
    return names;
  }

  @Override
  public synchronized void writeNames(byte[] newNames) throws IOException {
    countOperation();
    names = newNames.clone();
  }

  @Override
  public synchronized long[] segmentNumbers() {
    return files.keySet().stream().mapToLong(Long::longValue).toArray();
  }

  @Override
  public synchronized void create(long number, ByteBuffer header, int size) throws IOException {
    countOperation();
    byte[] bytes = new byte[size];
    header.duplicate().get(bytes, 0, header.remaining());
    replace(number, bytes);
  }

  @Override
  public synchronized long size(long number) {
    return bytes(number).length;
  }

  @Override
  public synchronized void read(long number, int from, ByteBuffer target) throws IOException {
    File file = files.get(number);
    if (file == null) {
      throw new IOException("no segment " + number);
    }
    int end = (int) Math.min(file.visible.length, (long) from + target.remaining());
    if (from < end) {
      target.put(file.visible, from, end - from);
    }
  }

  @Override
  public synchronized void write(long number, int at, ByteBuffer bytes) throws IOException {
    countOperation();
    bytes.get(files.get(number).visible, at, bytes.remaining());
  }

  @Override
  public void sync(long number) throws IOException {
    CountDownLatch latch = resumeLatch;
    if (latch != null) {
      syncStalled.countDown();
      try {
        latch.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
    synchronized (this) {
      countOperation();
      File file = files.get(number);
      file.synced = file.visible.clone();
    }
  }

  @Override
  public synchronized void delete(long number) throws IOException {
    countOperation();
    files.remove(number);
  }

  @Override
  public void close() {
    resumeSyncs();
  }
}
