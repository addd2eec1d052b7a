package wharftrestle.admission;

import java.util.List;

/** Rejects queued requests, lowest value first, until the memory budget is no longer exceeded. */
final class MemoryShedder {
  private final RequestTable requests;
  private final RequestValue value;
  private final MemoryBudget memory;
  private final FinalAnswers answers;

  MemoryShedder(
      RequestTable requests, RequestValue value, MemoryBudget memory, FinalAnswers answers) {
    this.requests = requests;
    this.value = value;
    this.memory = memory;
    this.answers = answers;
  }

  void shed(double now) {
    List<TrackedRequest> queued = requests.queued();
    while (!queued.isEmpty() && memory.isExceeded()) {
      answers.rejectAndEnd(now, lowestValue(now, queued));
    }
  }

  private TrackedRequest lowestValue(double now, List<TrackedRequest> queued) {
    TrackedRequest lowest = queued.get(0);
    for (TrackedRequest request : queued) {
      if (value.compute(now, request, false) < value.compute(now, lowest, false)) {
        lowest = request;
      }
    }
    return lowest;
  }
}
