package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The folder of a write-ahead log: numbered segments and one manifest. All file access of the
 * package goes through this interface, and tests implement it to inject faults. An open store holds
 * the folder's lock and its open files. Every call may block on the disk, so none is made while a
 * monitor of this package is held.
 */
interface SegmentStore extends AutoCloseable {

  /**
   * ID of the current boot of the machine, within which monotonic times can be compared; 0 if it is
   * unknown.
   */
  long bootId();

  /** Reads the manifest; null if there is none. */
  byte[] readManifest() throws IOException;

  /** Replaces the manifest atomically and durably. */
  void writeManifest(byte[] manifest) throws IOException;

  /** The numbers of the existing segments, in ascending order. */
  long[] segmentNumbers() throws IOException;

  /** Creates a segment of the given size durably, filled with zeros after the header. */
  void create(long number, ByteBuffer header, int size) throws IOException;

  /** Reads a whole segment. */
  ByteBuffer read(long number) throws IOException;

  /** Reads part of a segment; fewer bytes than the length if the segment ends before. */
  ByteBuffer read(long number, int offset, int length) throws IOException;

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
