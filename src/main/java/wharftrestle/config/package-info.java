/** The configuration that the platform gives the daemon: one file, checked when it is read. */
package wharftrestle.config;
