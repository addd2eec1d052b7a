/**
 * Idempotency keys: decides whether an attempt of a keyed request may execute, and stores the
 * outcome of the attempt that executed.
 *
 * <p>Start with {@link wharftrestle.idempotency.KeyState}, the table of transitions, then {@link
 * wharftrestle.idempotency.IdempotencyTable}, which decides. {@link
 * wharftrestle.idempotency.CompactIndex}, {@link wharftrestle.idempotency.BlockStore} and {@link
 * wharftrestle.idempotency.TimingWheel} are its data structures, {@link
 * wharftrestle.idempotency.KeyMemoryBudget} limits their memory.
 *
 * <p>The package uses no sockets, files, threads or clocks: time is passed in, and the caller's
 * lock guards all state.
 */
package wharftrestle.idempotency;
