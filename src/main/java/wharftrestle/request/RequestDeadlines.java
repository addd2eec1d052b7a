package wharftrestle.request;

import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;

/**
 * When an answer is due at the latest, whatever the admission module does, and how long a key may
 * come again. Guarded by the coordinator's lock.
 */
final class RequestDeadlines {

  /** Seconds past the deadline at which an answer is forced; within what the callers allow. */
  private static final double BACKSTOP_SECONDS = 0.02;

  private final AdmissionSettings settings;
  private double shutdownAtSeconds = Double.POSITIVE_INFINITY;

  RequestDeadlines(AdmissionSettings settings) {
    this.settings = settings;
  }

  double backstopSeconds(IncomingRequest incoming, double now) {
    double deadline = settings.classes().get(incoming.classIndex()).deadlineSeconds();
    return Math.min(
        now - incoming.queueingDelaySeconds() + deadline + BACKSTOP_SECONDS, shutdownAtSeconds);
  }

  /** All answers are out by this time. */
  void shutDownAt(double seconds) {
    shutdownAtSeconds = seconds;
  }

  boolean isShuttingDown() {
    return shutdownAtSeconds < Double.POSITIVE_INFINITY;
  }

  /** Shortens the backstop of a request to the end of this process. */
  void limitToShutdown(InFlightRequest request) {
    request.backstopSeconds = Math.min(request.backstopSeconds, shutdownAtSeconds);
  }

  /** Seconds; for a class that only the peer process knows, the longest of all. */
  double idempotencyWindowSeconds(int classIndex) {
    return classIndex < settings.classes().size()
        ? settings.classes().get(classIndex).idempotencyWindowSeconds()
        : settings.classes().stream()
            .mapToDouble(Admission.RequestClass::idempotencyWindowSeconds)
            .max()
            .orElse(0);
  }
}
