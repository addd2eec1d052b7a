/**
 * Keys: what a try of a keyed request is, whether it may run, and what it is told. Read {@link
 * wharftrestle.keys.KeyState} first, then {@link wharftrestle.keys.KeyTable}; {@link
 * wharftrestle.keys.CompactIndex} and {@link wharftrestle.keys.TimingWheel} are its structures. It
 * must never touch a socket, a file, a thread or a clock: time is passed in, and whoever calls
 * guards it by a lock of his own.
 */
package wharftrestle.idempotency;
