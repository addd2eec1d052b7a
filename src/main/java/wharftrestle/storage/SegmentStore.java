package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The folder of a write-ahead log: numbered segments and one manifest. All file access of the
 * package is behind it, and tests inject faults here. It owns the open files. Every call may wait
 * for the disk, so none is made under a lock.
 */
interface SegmentStore extends AutoCloseable {

  /**
   * Identifies this boot of the machine, over which the monotonic clock goes on; 0 where unknown.
   */
  long bootId();

  /** The manifest as last written; null where there is none. */
  byte[] readManifest() throws IOException;

  /** Replaces the manifest atomically; on disk when it returns. */
  void writeManifest(byte[] manifest) throws IOException;

  /** The numbers of the segments that are there, ascending. */
  long[] segmentNumbers() throws IOException;

  /** Creates a segment of that size, zeros behind the header; on disk when it returns. */
  void create(long number, ByteBuffer header, int size) throws IOException;

  /** A whole segment. */
  ByteBuffer read(long number) throws IOException;

  /** A part of a segment; shorter where the segment ends. */
  ByteBuffer read(long number, int offset, int length) throws IOException;

  /** Writes at an offset; on disk only after {@link #sync}. */
  void write(long number, int offset, ByteBuffer bytes) throws IOException;

  /** Returns once all that was written to this segment is on disk. */
  void sync(long number) throws IOException;

  /** Deletes a segment. */
  void delete(long number) throws IOException;

  /** Gives the folder back to other processes. */
  @Override
  void close();
}
