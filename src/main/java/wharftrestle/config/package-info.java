/** The daemon's configuration from the platform: one file, validated when it is read. */
package wharftrestle.config;
