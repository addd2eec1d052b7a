/**
 * Load reports to the name service: one datagram many times within the lifetime of an entry. One
 * thread of its own.
 */
package wharftrestle.discovery;
