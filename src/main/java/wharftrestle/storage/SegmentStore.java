package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * What the journal needs of a folder: files with numbers, and one list of them. The one place
 * behind which files are; tests put faults here. Every call may wait for the disk, and none is made
 * under a lock.
 */
interface SegmentStore extends AutoCloseable {

  /**
   * What this boot of the machine is called: its steady clock goes on over restarts of a process.
   */
  long bootId();

  /** The list as last written; null where there is none. */
  byte[] readManifest() throws IOException;

  /** Replaces the list in one step; on disk when it returns. */
  void writeManifest(byte[] list) throws IOException;

  /** The numbers of the files that are there. */
  long[] segmentNumbers() throws IOException;

  /** Makes a file of that size, zeros behind this head; on disk when it returns. */
  void create(long number, ByteBuffer head, int size) throws IOException;

  /** All of a file. */
  ByteBuffer read(long number) throws IOException;

  /** A part of a file; shorter where the file ends. */
  ByteBuffer read(long number, int from, int length) throws IOException;

  void write(long number, int at, ByteBuffer bytes) throws IOException;

  /** Returns once all that was written to this file is on disk. */
  void sync(long number) throws IOException;

  void delete(long number) throws IOException;

  /** Gives the folder back to other processes. */
  @Override
  void close();
}
