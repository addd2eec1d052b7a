/**
 * Sockets: the listener with one thread per connection, the ends of connections ({@link
 * wharftrestle.transport.ConnectionState}), bounded reading, the descriptors of the process, and
 * the link between the two processes of a host ({@link wharftrestle.transport.PeerLink}, the codec
 * of its messages).
 */
package wharftrestle.transport;
