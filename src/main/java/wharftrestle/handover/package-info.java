/**
 * How two processes of one box hand over: what each says of itself, whether they can, the steps of
 * both sides, and what becomes of each key meanwhile. It must never read or write anything, know a
 * clock, or be called but in the order in which its caller heard of things. Read {@link
 * wharftrestle.handover.HandOver} first, then {@link wharftrestle.handover.Agreement}, then {@link
 * wharftrestle.handover.Between}; {@code docs/design/change.md} says why.
 */
package wharftrestle.handover;
