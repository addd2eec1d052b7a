/**
 * The write-ahead log of intent records and result records. While it is open, it has exclusive use
 * of its folder, which holds the segments and the manifest that lists them, and it enforces the
 * budget for their size on disk.
 *
 * <p>Start with {@link wharftrestle.storage.WriteAheadLog}, the entry point for callers. {@link
 * wharftrestle.storage.LogRecord} and {@link wharftrestle.storage.Segment} define the layout on
 * disk, {@link wharftrestle.storage.LogReader} and {@link wharftrestle.storage.Recovery} read what
 * an earlier process wrote, and {@link wharftrestle.storage.LogWriter} and {@link
 * wharftrestle.storage.SegmentWriter} append new records. All file access goes through {@link
 * wharftrestle.storage.SegmentStore}.
 *
 * <p>Threads: callers add records to the {@link wharftrestle.storage.GroupCommitQueue} and never
 * wait for the disk; one writer thread writes them in batches and notifies listeners. Locking: the
 * monitor of the {@link wharftrestle.storage.SpaceBudget} protects the budget and the reservations;
 * no method of the segment store is called while it is held.
 */
package wharftrestle.storage;
