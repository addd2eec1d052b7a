/**
 * Load reports to the name service: one datagram several times within the lifetime of an entry,
 * sent by a thread of its own.
 */
package wharftrestle.discovery;
