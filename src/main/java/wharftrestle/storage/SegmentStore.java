package wharftrestle.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The folder of a write-ahead log: numbered segments and one manifest. All file access of the
 * package goes through this interface, and tests implement it to inject faults. An open store holds
 * the folder's lock and its open files. Every call may block on the disk, so none is made while a
 * monitor of this package is held.
 */
interface SegmentStore extends AutoCloseable {
  /** More than the largest record, so that a window holds many records even beside a large one. */
  int SCAN_WINDOW_BYTES = 2 * SegmentScan.MIN_WINDOW_BYTES;

  /**
   * ID of the current boot of the machine, within which monotonic times can be compared; 0 if it is
   * unknown.
   */
  long bootId();

  /** Reads the manifest; null if there is none. */
  byte[] readManifest() throws IOException;

  /** Replaces the manifest atomically and durably. */
  void writeManifest(byte[] manifest) throws IOException;

  /** Reads the encoded {@link KeyNames}; null if there are none. */
  byte[] readNames() throws IOException;

  /** Replaces the encoded {@link KeyNames} atomically and durably. */
  void writeNames(byte[] names) throws IOException;

  /** The numbers of the existing segments, in ascending order. */
  long[] segmentNumbers() throws IOException;

  /** Creates a segment of the given size durably, filled with zeros after the header. */
  void create(long number, ByteBuffer header, int size) throws IOException;

  /** Size of a segment in bytes. */
  long size(long number) throws IOException;

  /** Fills a buffer from an offset of a segment; only in part if the segment ends before. */
  void read(long number, int offset, ByteBuffer target) throws IOException;

  /** Reads part of a segment; fewer bytes than the length if the segment ends before. */
  default ByteBuffer read(long number, int offset, int length) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(length);
    read(number, offset, bytes);
    return bytes.flip();
  }

  /** Reads the header of a segment; null if it is corrupt or truncated. */
  default Segment.Header readHeader(long number)
      throws IOException, Segment.ForeignFormatException {
    return Segment.readHeader(read(number, 0, Segment.HEADER_BYTES));
  }

  /**
   * Visits the intact records of a segment in the order of the file, and detects torn writes and
   * damage. Needs the memory of one window, whatever the size of the segment.
   */
  default Segment.ScanResult scan(long number, Segment.RecordVisitor visitor)
      throws IOException, Segment.ForeignFormatException {
    SegmentScan scan =
        new SegmentScan(readHeader(number), Segment.checkSize(size(number)), visitor);
    ByteBuffer window = ByteBuffer.allocate(SCAN_WINDOW_BYTES);
    while (!scan.isComplete()) {
      read(number, scan.position(), window.clear());
      if (window.position() == 0) {
        throw new EOFException("segment " + number + " ended at byte " + scan.position());
      }
      scan.accept(window.flip());
    }
    return scan.result();
  }

  /** Writes at an offset; durable only after {@link #sync}. */
  void write(long number, int offset, ByteBuffer bytes) throws IOException;

  /** Makes all writes to a segment durable. */
  void sync(long number) throws IOException;

  /** Deletes a segment. */
  void delete(long number) throws IOException;

  /** Closes the files and releases the folder's lock. */
  @Override
  void close();
}
