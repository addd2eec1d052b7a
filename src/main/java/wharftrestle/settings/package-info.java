/**
 * The operators' settings: a script in a Starlark-like language, read once at startup and only if
 * the command line names one. {@link wharftrestle.settings.Schema} lists what can be set, {@link
 * wharftrestle.settings.Script} runs a script (no I/O, no recursion, a bounded number of steps),
 * and {@link wharftrestle.settings.Settings} holds the result. An error is a single line with file,
 * line and column.
 */
package wharftrestle.settings;
