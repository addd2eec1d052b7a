/**
 * Carries out a rollout over a fleet: the plan's script, the controller with its directory and its
 * calls to supervisors, and the commands of operators. The decisions are made by {@link
 * wharftrestle.rollout}. The package is not part of the daemon and is not used on the platform.
 *
 * <p>Start with {@link wharftrestle.rollout.controller.RolloutController}. A controller has one
 * lock, that of {@link wharftrestle.rollout.controller.RolloutExecution}; no call to a supervisor
 * is made while it is held. Its threads are one poller for each supervisor, one for indirect
 * probes, one for each command of an operator, and the one that calls {@code
 * RolloutController.run}.
 */
package wharftrestle.rollout.controller;
