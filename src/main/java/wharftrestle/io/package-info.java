/**
 * Reading and writing of files and sockets in transfers of bounded size, so that the direct memory
 * of the process is bounded by its number of threads. Start with {@link
 * wharftrestle.io.BoundedTransfers}.
 */
package wharftrestle.io;
