/**
 * The handover between two processes of one host, as decisions without I/O, threads or clocks: the
 * properties that a process declares ({@link wharftrestle.handover.Capabilities}), whether one
 * process can take over from another ({@link wharftrestle.handover.CompatibilityCheck}), the
 * protocol of both sides ({@link wharftrestle.handover.HandoverStateMachine}), and which process
 * decides on each key during the handover ({@link wharftrestle.handover.KeyOwnershipTransfer}).
 *
 * <p>The state machine is driven by {@code daemon.HandoverCoordinator} under its own lock, the key
 * ownership by {@code request.PeerCoordinator} under the lock of the requests. Messages are carried
 * by {@code transport.PeerLink}, which implements {@link wharftrestle.handover.PeerProcess}. Start
 * reading at {@link wharftrestle.handover.HandoverStateMachine}; {@code docs/design/change.md}
 * gives the reasons.
 */
package wharftrestle.handover;
