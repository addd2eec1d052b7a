/**
 * The time of day. It owns the one place where the program reads it, and the scale on which stamps
 * of requests are compared. It must never be stepped by the machine's clock while a process lives:
 * windows of keys and due times hang on it.
 */
package wharftrestle.time;
