/**
 * Time of day. Owns the one place where the program reads the wall clock, and the steady wall clock
 * on which timestamps of requests are compared: idempotency windows and deadlines must not move
 * when the machine's clock steps. No threads; {@link wharftrestle.time.SteadyWallClock} may be read
 * by any.
 */
package wharftrestle.time;
