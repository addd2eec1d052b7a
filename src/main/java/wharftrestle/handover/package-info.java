/**
 * The handover between two processes of one host, as decisions without I/O, threads or clocks: what
 * a process states of itself ({@link wharftrestle.handover.Capabilities}), whether two of them can
 * hand over ({@link wharftrestle.handover.CompatibilityCheck}), the protocol of both sides ({@link
 * wharftrestle.handover.HandoverStateMachine}), and who decides on each key meanwhile ({@link
 * wharftrestle.handover.KeyOwnershipTransfer}).
 *
 * <p>The state machine is driven by {@code daemon.HandoverCoordinator} under its own lock, the key
 * ownership by {@code request.PeerCoordinator} under the lock of the requests. Messages are carried
 * by {@code transport.PeerLink}, which implements {@link wharftrestle.handover.PeerProcess}. Start
 * reading at {@link wharftrestle.handover.HandoverStateMachine}; {@code docs/design/change.md}
 * gives the reasons.
 */
package wharftrestle.handover;
