/**
 * The adapter between the simulator and the admission control: translates the lines of the
 * simulator protocol to events, and actions to lines. It maps the names of the protocol and makes
 * no decisions.
 */
package wharftrestle.simulator;
