/**
 * Versions of the program: its build, its effective settings, and the formats that it supports.
 * {@link wharftrestle.version.BuildInfo} describes the running build as a {@link
 * wharftrestle.version.Version}, whose published names are the same wherever it is shown. All types
 * are immutable or stateless. At its start, a daemon reads only the short digest file beside the
 * jar.
 */
package wharftrestle.version;
