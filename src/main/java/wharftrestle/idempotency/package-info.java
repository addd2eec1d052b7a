/**
 * Idempotency keys: whether an attempt of a keyed request may run, and what is known of the one
 * that ran.
 *
 * <p>Start with {@link wharftrestle.idempotency.KeyState}, the table of transitions, then {@link
 * wharftrestle.idempotency.IdempotencyTable}, which decides. {@link
 * wharftrestle.idempotency.CompactIndex}, {@link wharftrestle.idempotency.BlockStore} and {@link
 * wharftrestle.idempotency.TimingWheel} are its data structures, {@link
 * wharftrestle.idempotency.KeyMemoryBudget} its bound.
 *
 * <p>No sockets, files, threads or clocks: time is passed in, and the lock of the caller guards
 * all.
 */
package wharftrestle.idempotency;
