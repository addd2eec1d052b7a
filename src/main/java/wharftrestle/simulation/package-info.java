/**
 * A fleet in virtual time: boxes that run the shipped policy, with cores, callers, a store and
 * troubles made up for it. Same seed, same play. It must never read a clock, and never decide
 * anything that the program decides itself.
 */
package wharftrestle.simulation;
