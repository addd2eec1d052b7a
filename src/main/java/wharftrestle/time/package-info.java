/**
 * Time of day: the only code that reads the wall clock, and the steady wall clock on which
 * timestamps of requests are compared, so that idempotency windows and deadlines do not shift when
 * the machine's clock steps. {@link wharftrestle.time.SteadyWallClock} is thread-safe; the package
 * starts no threads.
 */
package wharftrestle.time;
