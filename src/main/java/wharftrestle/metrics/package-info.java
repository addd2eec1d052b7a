/**
 * Counters of requests, executions and answers of the daemon, and the metrics of stored results.
 * Any thread may add to the counters without blocking; the admin endpoint, the SNMP agent and the
 * log at exit show them.
 */
package wharftrestle.metrics;
