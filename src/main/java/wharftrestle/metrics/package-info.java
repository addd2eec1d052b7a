/**
 * Counters of what the daemon reads, dispatches and answers, and the figures of stored results. Any
 * thread adds to them without waiting; the admin endpoint, the SNMP agent and the exit log show
 * them.
 */
package wharftrestle.metrics;
