package wharftrestle.admission;

import java.util.List;

/** Dispatches queued requests while the concurrency limit, memory and dependency calls permit. */
final class Dispatcher {
  private final Admission.Actions actions;
  private final RequestTable requests;
  private final ConcurrencyLimit limit;
  private final MemoryBudget memory;
  private final CallCongestion congestion;
  private final OutlierDetector outliers;

  Dispatcher(
      Admission.Actions actions,
      RequestTable requests,
      ConcurrencyLimit limit,
      MemoryBudget memory,
      CallCongestion congestion,
      OutlierDetector outliers) {
    this.actions = actions;
    this.requests = requests;
    this.limit = limit;
    this.memory = memory;
    this.congestion = congestion;
    this.outliers = outliers;
  }

  /**
   * Dispatches queued requests.
   *
   * @param order the queue in the order of dispatch
   */
  void dispatch(double now, List<TrackedRequest> order) {
    for (TrackedRequest request : order) {
      if (requests.onCores() >= (outliers.isFailing() ? 1 : limit.executions())) {
        return;
      }
      if (isDispatchable(request)) {
        actions.dispatch(request.id());
        requests.dispatch(now, request);
      }
    }
  }

  private boolean isDispatchable(TrackedRequest request) {
    if (request.state != TrackedRequest.State.QUEUED || memory.lacksExecutionMemory(request)) {
      return false;
    }
    // The concurrency limit does not count blocked executions. Without this bound, requests would
    // be dispatched whose calls are made too late. Requests that may skip their call are
    // dispatched anyway.
    return !request.requestClass.callsDependency()
        || request.maySkipCall()
        || !congestion.isCongestedFor(request);
  }
}
