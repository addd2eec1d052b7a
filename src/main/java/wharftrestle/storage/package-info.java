/**
 * Results kept over restarts: a log of intents and results on a disk that lasts. Read in this
 * order: {@link wharftrestle.durable.Record} (the bytes), {@link wharftrestle.durable.Segment} (a
 * file of them, and what a scan makes of damage), {@link wharftrestle.durable.Recovery} (what a
 * dead process's records mean), {@link wharftrestle.durable.Room} (what fits), {@link
 * wharftrestle.durable.Gather} (who waits for the disk) and {@link wharftrestle.durable.Journal},
 * which alone does I/O, through {@link wharftrestle.durable.Disk}. It must never let a caller wait
 * for the disk under a lock, decide who may run, or grow past its bounds.
 */
package wharftrestle.storage;
