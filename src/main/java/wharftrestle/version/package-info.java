/**
 * Versions of the program: its build, its effective settings, and the formats that it speaks.
 * {@link wharftrestle.version.BuildInfo} describes the running build as a {@link
 * wharftrestle.version.Version}, whose published names are the same wherever it is shown. All types
 * are immutable or stateless. A daemon's start reads no more than the short file beside the jar.
 */
package wharftrestle.version;
