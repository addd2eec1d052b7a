/**
 * The supervisor of one host: it starts the daemon, changes its release, watches the new one, and
 * rolls back by itself what does worse. {@link wharftrestle.supervisor.SupervisorStateMachine}
 * decides, without I/O or clock; {@link wharftrestle.supervisor.HostSupervisor} carries out and
 * keeps the journal; {@link wharftrestle.supervisor.ControllerEndpoint} answers rollout
 * controllers. No part of the daemon: a daemon outlives its supervisor. A release that is not whole
 * is never started.
 */
package wharftrestle.supervisor;
