/**
 * The write-ahead log of intents and results. Owns the folder of segments while it is open, the
 * manifest that lists them, and the space they may take.
 *
 * <p>Start with {@link wharftrestle.storage.WriteAheadLog}, which callers see. {@link
 * wharftrestle.storage.LogRecord} and {@link wharftrestle.storage.Segment} hold the layout on disk,
 * {@link wharftrestle.storage.LogReader} and {@link wharftrestle.storage.Recovery} what an earlier
 * process left, {@link wharftrestle.storage.LogWriter} and {@link
 * wharftrestle.storage.SegmentWriter} what this one writes. All files are behind {@link
 * wharftrestle.storage.SegmentStore}.
 *
 * <p>Threads: callers add records to the {@link wharftrestle.storage.GroupCommitQueue} and never
 * wait for the disk; one writer thread takes them as batches and notifies listeners. Lock: the
 * {@link wharftrestle.storage.SpaceBudget} guards itself and the reservations; no call of the store
 * is made under it.
 */
package wharftrestle.storage;
