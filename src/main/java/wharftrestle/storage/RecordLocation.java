package wharftrestle.storage;

/**
 * The position of a record on disk. Outside this package it is represented by a packed long, which
 * the idempotency table keeps for each result on disk.
 *
 * @param segment number of the segment
 * @param offset in bytes from the start of the segment
 */
record RecordLocation(long segment, int offset) {
  /** Packed value for a record that is not on disk. */
  static final long NOT_WRITTEN = -1;

  private static final int OFFSET_BITS = 32;

  static long pack(long segment, int offset) {
    return segment << OFFSET_BITS | offset;
  }

  static RecordLocation unpack(long packed) {
    return new RecordLocation(packed >>> OFFSET_BITS, (int) packed);
  }
}
