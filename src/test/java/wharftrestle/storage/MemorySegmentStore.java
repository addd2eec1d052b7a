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
 * A disk in memory that knows what was synced. Faults are put in by counting its operations: the
 * n-th fails, stalls, or is where the machine loses power; then each unsynced block of 512 bytes is
 * there or not, as a seed says.
 */
final class MemorySegmentStore implements SegmentStore {
  private static final int BLOCK = 512;

  /** What is on the platter, and what a process sees. */
  private static final class File {
    private byte[] synced;
    private byte[] seen;
  }

  private final Map<Long, File> files = new TreeMap<>();
  private byte[] list;
  private int operations;
  private int failAt = -1;
  private int failures;
  private boolean bug;
  private int dieAt = -1;
  private boolean dead;
  private volatile CountDownLatch stall;
  private final CountDownLatch stalled = new CountDownLatch(1);
  long boot = 7;

  /** The n-th operation from now and so many after it throw. */
  synchronized void fail(int in, int times) {
    failAt = operations + in;
    failures = times;
  }

  /** The same by an error that no caller of a disk reckons with. */
  synchronized void failBadly(int in, int times) {
    fail(in, times);
    bug = true;
  }

  /** Power is lost before the n-th operation from now. */
  synchronized void die(int in) {
    dieAt = operations + in;
  }

  synchronized int operations() {
    return operations;
  }

  synchronized boolean dead() {
    return dead;
  }

  /** From now on every sync waits until {@link #wake}. */
  void stall() {
    stall = new CountDownLatch(1);
  }

  void awaitStalled() throws InterruptedException {
    stalled.await();
  }

  void wake() {
    CountDownLatch now = stall;
    stall = null;
    if (now != null) {
      now.countDown();
    }
  }

  /** What a process finds after the power came back. */
  synchronized MemorySegmentStore afterPowerLoss(long seed) {
    Random random = new Random(seed);
    MemorySegmentStore next = new MemorySegmentStore();
    next.boot = boot + 1;
    next.list = list == null ? null : list.clone();
    files.forEach(
        (number, file) -> {
          File made = new File();
          made.synced = file.synced.clone();
          for (int at = 0; at < made.synced.length; at += BLOCK) {
            if (random.nextBoolean()) {
              System.arraycopy(
                  file.seen, at, made.synced, at, Math.min(BLOCK, made.synced.length - at));
            }
          }
          made.seen = made.synced.clone();
          next.files.put(number, made);
        });
    return next;
  }

  /** What the next process finds after this one was killed: all that it wrote. */
  synchronized MemorySegmentStore afterKill() {
    MemorySegmentStore next = new MemorySegmentStore();
    next.boot = boot;
    next.list = list == null ? null : list.clone();
    files.forEach(
        (number, file) -> {
          File made = new File();
          made.synced = file.seen.clone();
          made.seen = file.seen.clone();
          next.files.put(number, made);
        });
    return next;
  }

  synchronized byte[] bytes(long number) {
    return files.get(number).seen;
  }

  synchronized void replace(long number, byte[] bytes) {
    File file = new File();
    file.seen = bytes;
    file.synced = bytes.clone();
    files.put(number, file);
  }

  synchronized List<Long> numbers() {
    return new ArrayList<>(files.keySet());
  }

  synchronized void lose(long number) {
    files.remove(number);
  }

  private synchronized void operation() throws IOException {
    operations++;
    if (dead || operations == dieAt) {
      dead = true;
      throw new IOException("no power");
    }
    if (failAt >= 0 && operations >= failAt && operations < failAt + failures) {
      if (bug) {
        throw new OutOfMemoryError("made up");
      }
      throw new IOException("a fault put in at operation " + operations);
    }
  }

  @Override
  public long bootId() {
    return boot;
  }

  @Override
  public synchronized byte[] readManifest() {
    return list;
  }

  @Override
  public synchronized void writeManifest(byte[] fresh) throws IOException {
    operation();
    list = fresh.clone();
  }

  @Override
  public synchronized long[] segmentNumbers() {
    return files.keySet().stream().mapToLong(Long::longValue).toArray();
  }

  @Override
  public synchronized void create(long number, ByteBuffer head, int size) throws IOException {
    operation();
    byte[] bytes = new byte[size];
    head.duplicate().get(bytes, 0, head.remaining());
    replace(number, bytes);
  }

  @Override
  public synchronized ByteBuffer read(long number) {
    return ByteBuffer.wrap(bytes(number).clone());
  }

  @Override
  public synchronized ByteBuffer read(long number, int from, int length) throws IOException {
    File file = files.get(number);
    if (file == null) {
      throw new IOException("no file " + number);
    }
    byte[] part = new byte[Math.max(0, Math.min(length, file.seen.length - from))];
    System.arraycopy(file.seen, from, part, 0, part.length);
    return ByteBuffer.wrap(part);
  }

  @Override
  public synchronized void write(long number, int at, ByteBuffer bytes) throws IOException {
    operation();
    bytes.get(files.get(number).seen, at, bytes.remaining());
  }

  @Override
  public void sync(long number) throws IOException {
    CountDownLatch wait = stall;
    if (wait != null) {
      stalled.countDown();
      try {
        wait.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
    synchronized (this) {
      operation();
      File file = files.get(number);
      file.synced = file.seen.clone();
    }
  }

  @Override
  public synchronized void delete(long number) throws IOException {
    operation();
    files.remove(number);
  }

  @Override
  public void close() {
    wake();
  }
}
