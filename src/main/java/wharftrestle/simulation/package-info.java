/**
 * The shipped decisions in simulated time: hosts with cores, callers, a store and faults made up
 * for them. Equal seeds give equal runs; no class reads a clock or decides what the program decides
 * itself. Start with {@link wharftrestle.simulation.SimulatedHost}.
 */
package wharftrestle.simulation;
