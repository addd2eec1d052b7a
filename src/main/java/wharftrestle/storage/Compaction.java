package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharftrestle.time.SteadyWallClock;

/**
 * Writes what still matters of a closed log into as few files as hold it. It owns the order of
 * steps, after each of which a crash leaves a log that says the same: new files, then the list that
 * names them alone, then the old ones go. It must never touch a log with damage, as the damage
 * would then be forgotten.
 */
final class Compaction {
  private Compaction() {}

  /** True where a start finds so many files that a few more would leave no room. */
  static boolean isWorthwhile(SpaceBudget room) {
    return room.segmentCount() > room.maxSegments() / 2;
  }

  /** Where a record lies, and how it is to be written again. */
  private record Kept(long file, int offset, int size, boolean sameBoot) {}

  /**
   * Writes anew, in the fewest files that hold it, what still matters.
   *
   * @param segment bytes of a file
   * @param most files at most, the old ones and the new ones together
   * @return false where it would not fit; then nothing has changed
   */
  static boolean run(SegmentStore disk, int segment, int most) throws IOException {
    long steady = System.nanoTime() / 1_000_000;
    long boot = disk.bootId();
    long[] files = disk.segmentNumbers();
    Map<String, Kept> last = new LinkedHashMap<>();
    Recovery recovery = new Recovery(SteadyWallClock.steadyWallMillis(), steady);
    for (long file : files) {
      ByteBuffer bytes = disk.read(file);
      boolean same = sameBoot(bytes, boot);
      scan(
          bytes,
          (record, offset) -> {
            last.remove(record.key());
            if (recovery.replay(record, offset, same)) {
              last.put(record.key(), new Kept(file, offset, record.size(), same));
            }
          });
    }
    List<Map.Entry<String, Kept>> order = new ArrayList<>(last.entrySet());
    int needed = 1;
    int used = Segment.HEADER_BYTES;
    for (Map.Entry<String, Kept> each : order) {
      if (used + each.getValue().size() > segment) {
        needed++;
        used = Segment.HEADER_BYTES;
      }
      used += each.getValue().size();
    }
    if (order.isEmpty()) {
      needed = 0;
    }
    if (files.length + needed > most || needed >= files.length) {
      return false;
    }
    long number = files.length == 0 ? 0 : files[files.length - 1];
    List<Long> made = new ArrayList<>();
    ByteBuffer out = null;
    long wall = SteadyWallClock.wallMillis();
    for (int i = 0; i < order.size(); i++) {
      Kept kept = order.get(i).getValue();
      if (out == null || out.remaining() < kept.size()) {
        flush(disk, made, out);
        out = ByteBuffer.allocate(segment - Segment.HEADER_BYTES);
        number++;
        disk.create(number, Segment.header(1, number, boot, segment), segment);
        made.add(number);
      }
      LogRecord record = LogRecord.readAt(disk.read(kept.file(), kept.offset(), kept.size()), 0);
      if (record == null) {
        throw new IOException("a record is not where it was");
      }
      boolean ends =
          i == order.size() - 1
              || out.remaining() - kept.size() < order.get(i + 1).getValue().size();
      // A record of an earlier boot is aged from now on: its steady clock says nothing here.
      record
          .stamped(
              ends,
              1,
              kept.sameBoot() ? record.writtenAtMillis() : wall,
              kept.sameBoot() ? record.writtenAtSteadyMillis() : steady)
          .writeTo(out);
    }
    flush(disk, made, out);
    disk.writeManifest(Manifest.encode(made));
    for (long file : files) {
      disk.delete(file);
    }
    return true;
  }

  static boolean sameBoot(ByteBuffer bytes, long boot) throws IOException {
    try {
      return Segment.isSameBoot(bytes, boot);
    } catch (Segment.ForeignFormatException e) {
      throw new IOException(e.getMessage());
    }
  }

  static Segment.ScanResult scan(ByteBuffer bytes, Segment.RecordVisitor each) throws IOException {
    try {
      return Segment.scan(bytes, each);
    } catch (Segment.ForeignFormatException e) {
      throw new IOException(e.getMessage());
    }
  }

  private static void flush(SegmentStore disk, List<Long> made, ByteBuffer out) throws IOException {
    if (out != null) {
      long file = made.get(made.size() - 1);
      disk.write(file, Segment.HEADER_BYTES, out.flip());
      disk.sync(file);
    }
  }
}
