/**
 * The commands of the command line that belong to the daemon: each class is one command with its
 * options and delegates to the package that implements it. {@link wharftrestle.Main} registers them
 * and maps errors to exit codes. All run on the main thread.
 */
package wharftrestle.cli;
