/**
 * The operators' settings: a script in a Starlark-like language, read once at the start. Read
 * {@link wharftrestle.settings.Schema} for what can be set, {@link wharftrestle.settings.Script}
 * for how a script is run (no I/O, no recursion, a bound on steps), {@link
 * wharftrestle.settings.Settings} for what comes of it. It must never be loaded where the command
 * line names no script, and never guess: what is wrong is one line with file, line and column.
 */
package wharftrestle.settings;
