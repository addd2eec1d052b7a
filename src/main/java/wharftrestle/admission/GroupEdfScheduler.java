package wharftrestle.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * Orders the queue by group earliest deadline first (Gr-EDF): the queued requests whose scheduling
 * deadlines are close to the earliest form a group, and within a group the shortest request is
 * first.
 */
final class GroupEdfScheduler {
  /** Scheduling deadline of a request, as a multiple of its run time (D multiplier). */
  private static final double DEADLINE_MULTIPLE = 10;

  /**
   * Maximum by which the remaining time of a group member exceeds the earliest one, as a fraction
   * of the earliest (Gr).
   */
  private static final double GROUP_RANGE = 0.4;

  private final RunTimeEstimator estimator;

  GroupEdfScheduler(RunTimeEstimator estimator) {
    this.estimator = estimator;
  }

  /** Returns the queued requests in the order in which they would be dispatched. */
  List<TrackedRequest> order(double now, List<TrackedRequest> queued) {
    List<TrackedRequest> waiting = new ArrayList<>(queued);
    waiting.sort((a, b) -> Double.compare(remainingSeconds(now, a), remainingSeconds(now, b)));
    List<TrackedRequest> order = new ArrayList<>(waiting.size());
    while (!waiting.isEmpty()) {
      order.add(waiting.remove(shortestOfFirstGroup(now, waiting)));
    }
    return order;
  }

  private int shortestOfFirstGroup(double now, List<TrackedRequest> waiting) {
    double earliest = remainingSeconds(now, waiting.get(0));
    // A negative remaining time would invert the range, so all overdue requests form one group.
    double last = earliest > 0 ? earliest * (1 + GROUP_RANGE) : 0;
    int shortest = 0;
    for (int i = 1; i < waiting.size() && remainingSeconds(now, waiting.get(i)) <= last; i++) {
      if (estimator.runSeconds(waiting.get(i)) < estimator.runSeconds(waiting.get(shortest))) {
        shortest = i;
      }
    }
    return shortest;
  }

  private double remainingSeconds(double now, TrackedRequest request) {
    return request.reachedHostAt + DEADLINE_MULTIPLE * estimator.runSeconds(request) - now;
  }
}
