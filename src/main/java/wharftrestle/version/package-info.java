/**
 * What a version of the program is: its build, its effective settings, the formats that it speaks.
 * One record, under the same names wherever it is shown. It must never do work at a daemon's start
 * beyond reading some hundred bytes.
 */
package wharftrestle.version;
