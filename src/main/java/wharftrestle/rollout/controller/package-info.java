/**
 * Carries out a rolling change of a fleet: the plan's script, the controller with its directory and
 * its calls to supervisors, and the commands of operators. What is decided is decided in {@link
 * wharftrestle.rollout}. No part of the daemon, and off on the platform.
 *
 * <p>A controller has one lock, that of {@link wharftrestle.rollout.controller.RolloutExecution};
 * no call to a supervisor is made under it. Its threads are one poller for each supervisor, one for
 * indirect probes, one for each command of an operator, and the one that runs {@link
 * wharftrestle.rollout.controller.RolloutController}, where to start reading.
 */
package wharftrestle.rollout.controller;
