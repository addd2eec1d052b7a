/**
 * Simulations in virtual time of the real admission and rollout decisions: hosts with cores,
 * clients, a store and faults. Equal seeds give equal results; no class reads a clock or replaces a
 * decision of the daemon. Start with {@link wharftrestle.simulation.SimulatedHost}.
 */
package wharftrestle.simulation;
