/**
 * The daemon of one host as a whole: assembly of its parts, limits derived from its resources,
 * start, handover to another process, reload of the configuration, and shutdown. It takes no part
 * in decisions on requests.
 *
 * <p>Start reading at {@link wharftrestle.daemon.Lifecycle}. The handover runs under the lock of
 * {@link wharftrestle.daemon.HandoverCoordinator}, which is taken before the lock of the requests
 * and never while that one is held. The main thread waits for the shutdown request; links, timers
 * and retries of a handover run on short-lived threads.
 */
package wharftrestle.daemon;
