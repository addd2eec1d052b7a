/**
 * The keeper of one box: it starts the daemon, changes it to another release and back, and takes
 * back by itself what does worse. {@link wharftrestle.box.Keeper} decides, without I/O or clock;
 * {@link wharftrestle.box.BoxKeeper} carries out. Not on the platform; losing the keeper never ends
 * a daemon. It must never start a release that is not whole.
 */
package wharftrestle.supervisor;
