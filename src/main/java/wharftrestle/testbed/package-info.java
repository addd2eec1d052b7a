/**
 * The rig: real processes of this program or any build of it, stand-ins for what they talk to,
 * links between them that can be made to fail, and checkers that watch from outside. No part of the
 * serving path may depend on it; it listens on loopback alone. Read {@link wharftrestle.lab.Floor}
 * first, then {@link wharftrestle.lab.Daemon}, then {@link wharftrestle.lab.Link}.
 */
package wharftrestle.testbed;
