/**
 * The supervisor of one host: it starts the daemon, changes its release, watches the new release
 * during a probation, and rolls it back if it is worse than the former one. {@link
 * wharftrestle.supervisor.SupervisorStateMachine} decides, without I/O or clock; {@link
 * wharftrestle.supervisor.HostSupervisor} carries out its decisions and keeps the journal; {@link
 * wharftrestle.supervisor.ControllerEndpoint} answers rollout controllers. The supervisor is not
 * part of the daemon: a daemon outlives its supervisor. A release whose files are incomplete or
 * altered is never started.
 */
package wharftrestle.supervisor;
