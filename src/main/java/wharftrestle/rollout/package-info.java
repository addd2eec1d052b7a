/**
 * Decides how a fleet of hosts is changed in stages: the plan, which host goes next, who may send
 * orders, which hosts are reachable, whether a stage does worse, and what becomes of the change. It
 * owns no thread, no file, no socket and no clock; time is passed in, in seconds. Its classes are
 * not thread-safe: a supervisor and a controller each call theirs under a lock of their own.
 *
 * <p>Start with {@link wharftrestle.rollout.RolloutPlan} and {@link wharftrestle.rollout.Rollout},
 * the state machine of a change. Beside it are {@link wharftrestle.rollout.EpochFence} (a
 * supervisor's side) and {@link wharftrestle.rollout.ControllerLease} (a controller's side) of who
 * may send orders, {@link wharftrestle.rollout.MembershipView}, and {@link
 * wharftrestle.rollout.CanaryAnalysis} over {@link wharftrestle.rollout.ConfidenceSequence}.
 */
package wharftrestle.rollout;
