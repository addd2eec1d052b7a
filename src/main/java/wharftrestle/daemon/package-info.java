/**
 * The daemon of one host as a whole: assembly of its parts, limits derived from its resources,
 * start, handover to a further process, reload of the configuration, and shutdown. It decides
 * nothing about a request.
 *
 * <p>Start reading at {@link wharftrestle.daemon.Lifecycle}. The handover runs under the lock of
 * {@link wharftrestle.daemon.HandoverCoordinator}, which is taken before the lock of the requests
 * and never while that one is held. Threads: the main thread waits in the shutdown; links, timers
 * and retries of a handover have short-lived threads of their own.
 */
package wharftrestle.daemon;
