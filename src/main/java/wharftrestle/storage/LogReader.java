package wharftrestle.storage;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import wharftrestle.time.SteadyWallClock;

/**
 * Reads all segments of a folder when the log is opened: replays their records, enters the segments
 * into the space budget, and detects whether synced records are lost. Used by the thread that opens
 * the log, before the writer starts.
 */
final class LogReader {
  private final SegmentStore store;
  private final SpaceBudget space;
  private final double nowSeconds;
  private final Recovery recovery;
  private final TreeSet<Long> missingSegments = new TreeSet<>();
  private int batch;
  private boolean damaged;

  /**
   * The result of reading a folder.
   *
   * @param missingSegments numbers that the manifest lists and that have no file
   * @param batch batch number after which the writer continues; higher than any batch number read
   * @param damaged true if keys may be lost, so that unknown keys must not run for one window
   */
  record Contents(Recovery recovery, TreeSet<Long> missingSegments, int batch, boolean damaged) {}

  private LogReader(
      SegmentStore store, SpaceBudget space, double nowSeconds, int batch, int maxKeys) {
    this.store = store;
    this.space = space;
    this.nowSeconds = nowSeconds;
    this.batch = batch;
    recovery =
        new Recovery(SteadyWallClock.steadyWallMillis(), LogClock.monotonicMillis(), maxKeys);
  }

  /**
   * Reads the folder and replaces the contents of the space budget with the segments found.
   *
   * @param nowSeconds current System.nanoTime in seconds
   * @param batch lower limit of the batch number in the result
   * @param maxKeys maximum number of keys to recover
   */
  static Contents read(
      SegmentStore store, SpaceBudget space, double nowSeconds, int batch, int maxKeys)
      throws IOException, Segment.ForeignFormatException {
    return new LogReader(store, space, nowSeconds, batch, maxKeys).read();
  }

  private Contents read() throws IOException, Segment.ForeignFormatException {
    long bootId = store.bootId();
    synchronized (space) {
      space.clear();
    }
    long[] segments = store.segmentNumbers();
    compareWithManifest(segments);
    for (int i = 0; i < segments.length; i++) {
      readSegment(segments[i], bootId, i == segments.length - 1);
    }
    return new Contents(recovery, missingSegments, batch, damaged);
  }

  private void compareWithManifest(long[] segments)
      throws IOException, Segment.ForeignFormatException {
    byte[] manifest = store.readManifest();
    List<Long> listed = manifest == null ? null : Manifest.decode(manifest);
    if (listed == null) {
      damaged = manifest != null || segments.length > 0;
      return;
    }
    for (long number : listed) {
      if (Arrays.binarySearch(segments, number) < 0) {
        missingSegments.add(number);
        damaged = true;
      }
    }
  }

  private void readSegment(long number, long bootId, boolean isLast)
      throws IOException, Segment.ForeignFormatException {
    Segment.Header header = store.readHeader(number);
    boolean sameBoot = header != null && header.isOfBoot(bootId);
    double[] expiresAtSeconds = {Double.NEGATIVE_INFINITY};
    Segment.ScanResult scan =
        store.scan(
            number,
            (record, offset) -> {
              if (recovery.replay(record, RecordLocation.pack(number, offset), sameBoot)) {
                expiresAtSeconds[0] =
                    Math.max(
                        expiresAtSeconds[0],
                        nowSeconds + record.windowMillis() / 1000.0 + Recovery.LINGER_SECONDS);
              }
            });
    damaged |= scan.damaged() || (scan.torn() && !isLast);
    batch = Math.max(batch, scan.lastBatch() + 1);
    synchronized (space) {
      space.addSegment(number, Math.max(Segment.HEADER_BYTES, scan.end()), expiresAtSeconds[0]);
    }
  }
}
