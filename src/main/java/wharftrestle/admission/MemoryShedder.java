package wharftrestle.admission;

import java.util.List;

/** Rejects the queued requests of least value until all that is here fits into memory. */
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
      answers.rejectAndEnd(now, leastValue(now, queued));
    }
  }

  private TrackedRequest leastValue(double now, List<TrackedRequest> queued) {
    TrackedRequest least = queued.get(0);
    for (TrackedRequest request : queued) {
      if (value.of(now, request, false) < value.of(now, least, false)) {
        least = request;
      }
    }
    return least;
  }
}
