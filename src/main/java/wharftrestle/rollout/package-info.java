/**
 * The decisions of a staged rollout over a fleet of hosts: the plan, which host is changed next,
 * which controller may send orders, which hosts are reachable, and whether the new release performs
 * worse than the old one. The package has no threads, files, sockets or clocks; callers pass the
 * time in seconds. Its classes are not thread-safe: a supervisor and a controller each guard their
 * instances with their own lock.
 *
 * <p>Start with {@link wharftrestle.rollout.RolloutPlan} and {@link wharftrestle.rollout.Rollout},
 * the state machine of a rollout. {@link wharftrestle.rollout.ControllerLease} (in a controller)
 * and {@link wharftrestle.rollout.EpochFence} (in a supervisor) ensure that only one controller at
 * a time sends orders. {@link wharftrestle.rollout.MembershipView} tracks reachability, and {@link
 * wharftrestle.rollout.CanaryAnalysis} compares releases by {@link
 * wharftrestle.rollout.ConfidenceSequence}s.
 */
package wharftrestle.rollout;
