package wharftrestle.request;

import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;

/**
 * Computes when the answer of a request is forced, whatever the admission module does, the latency
 * objective of a request, and the idempotency window of a class. Guarded by the coordinator's lock.
 */
final class RequestDeadlines {

  /** How long after the deadline an answer is forced; callers allow for longer. */
  private static final double BACKSTOP_DELAY_SECONDS = 0.02;

  private final AdmissionSettings settings;
  private double shutdownAtSeconds = Double.POSITIVE_INFINITY;

  RequestDeadlines(AdmissionSettings settings) {
    this.settings = settings;
  }

  double backstopAtSeconds(IncomingRequest incoming, double now) {
    double deadline = settings.classes().get(incoming.classIndex()).deadlineSeconds();
    return Math.min(
        now - incoming.queueingDelaySeconds() + deadline + BACKSTOP_DELAY_SECONDS,
        shutdownAtSeconds);
  }

  /** Seconds from the arrival of a request within which its answer has its full weight. */
  double latencyObjectiveSeconds(IncomingRequest incoming) {
    Admission.RequestClass requestClass = settings.classes().get(incoming.classIndex());
    return requestClass.latencyObjectiveSeconds()
        + requestClass.latencyObjectiveStretch() * incoming.expectedWorkSeconds();
  }

  /** Limits the backstops of later requests to this time. */
  void shutDownAt(double seconds) {
    shutdownAtSeconds = seconds;
  }

  boolean isShuttingDown() {
    return shutdownAtSeconds < Double.POSITIVE_INFINITY;
  }

  /** Limits the backstop of a request in flight to the end of the shutdown. */
  void limitToShutdown(InFlightRequest request) {
    request.backstopAtSeconds = Math.min(request.backstopAtSeconds, shutdownAtSeconds);
  }

  /** The window in seconds; the longest of all for a class that only the peer process has. */
  double idempotencyWindowSeconds(int classIndex) {
    return classIndex < settings.classes().size()
        ? settings.classes().get(classIndex).idempotencyWindowSeconds()
        : settings.classes().stream()
            .mapToDouble(Admission.RequestClass::idempotencyWindowSeconds)
            .max()
            .orElse(0);
  }
}
