/**
 * Decides how a fleet of boxes is changed in stages: what is planned, which box goes next, who may
 * steer, who is in contact, whether a stage does worse, and what becomes of the change. Free of
 * I/O, threads and clocks; time is passed in, in seconds. It must never tell a box two things in
 * one epoch, have more boxes away than planned, or take silence for death.
 *
 * <p>Read {@link wharftrestle.fleet.Plan}, then {@link wharftrestle.fleet.Roll}, which is the
 * change itself; beside it {@link wharftrestle.fleet.Fence} (a keeper's side) and {@link
 * wharftrestle.fleet.Steering} (a driver's side) of who may steer, {@link
 * wharftrestle.fleet.Members}, and {@link wharftrestle.fleet.Judge} over {@link
 * wharftrestle.fleet.Drift}.
 */
package wharftrestle.rollout;
