package wharftrestle.storage;

import java.nio.ByteBuffer;

/** Scans segments that are in memory. */
final class SegmentBytes {
  private SegmentBytes() {}

  /** Scans a segment in one window. */
  static Segment.ScanResult scan(byte[] segment, Segment.RecordVisitor visitor)
      throws Segment.ForeignFormatException {
    return scan(segment, Integer.MAX_VALUE, visitor);
  }

  /** Scans a segment in windows of limited size. */
  static Segment.ScanResult scan(byte[] segment, int windowBytes, Segment.RecordVisitor visitor)
      throws Segment.ForeignFormatException {
    Segment.Header header = Segment.readHeader(ByteBuffer.wrap(segment));
    SegmentScan scan = new SegmentScan(header, segment.length, visitor);
    while (!scan.isComplete()) {
      int length = Math.min(windowBytes, segment.length - scan.position());
      scan.accept(ByteBuffer.wrap(segment, scan.position(), length).slice());
    }
    return scan.result();
  }
}
