/**
 * Sockets: the server with one thread for each connection, the life cycle of connections ({@link
 * wharftrestle.transport.ConnectionState}), bounded reading, the descriptor budget, and the link
 * between the two processes of a host ({@link wharftrestle.transport.PeerLink}, the codec of its
 * messages).
 */
package wharftrestle.transport;
