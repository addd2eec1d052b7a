/**
 * The adapter to the simulator: its lines in, admission events; admission actions, lines out. It
 * maps the names of the wire and decides nothing.
 */
package wharftrestle.simulator;
