/**
 * Test environment: real processes of any build of the daemon, fakes of their dependencies,
 * fault-injecting proxies, and checkers of the replies. The serving path does not depend on this
 * package, and it listens on loopback only. Start with {@link wharftrestle.testbed.HostTestbed},
 * then {@link wharftrestle.testbed.DaemonProcess} and {@link wharftrestle.testbed.FaultProxy}.
 */
package wharftrestle.testbed;
