/**
 * Real processes of this program or of any build of it, stand-ins for what they talk to, proxies
 * that inject faults, and checkers that watch from outside. The serving path does not depend on it;
 * it listens on loopback alone. Start with {@link wharftrestle.testbed.HostTestbed}, then {@link
 * wharftrestle.testbed.DaemonProcess} and {@link wharftrestle.testbed.FaultProxy}.
 */
package wharftrestle.testbed;
