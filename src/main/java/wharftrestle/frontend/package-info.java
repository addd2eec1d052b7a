/**
 * The protocols of the callers, RESP and uwsgi: they parse and write messages on the threads of
 * their connections and decide nothing about a request.
 */
package wharftrestle.frontend;
