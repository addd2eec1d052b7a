/**
 * The admin endpoint and its console: HTTP/1.1, one call per connection. It shows what the daemon
 * counts and passes on what operators ask for; it never touches a request.
 */
package wharftrestle.admin;
