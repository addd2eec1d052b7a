/**
 * The protocols of the callers, RESP and uwsgi: parses and writes messages on the threads of their
 * connections, and leaves every decision about a request to the coordinator.
 */
package wharftrestle.frontend;
