package wharftrestle;

import java.util.List;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;
import wharftrestle.admission.AdmissionSettings;

/** The example in the README, compiled as a test so that it remains valid. */
final class EmbeddingExample {
  private EmbeddingExample() {}

  // README-BEGIN
  static Admission.Events embed(Admission.Actions server, double now, long seed) {
    var lookup =
        new Admission.RequestClass(
            "lookup", 0.5, 0, 2.0, 1, 0, Admission.Idempotency.IDEMPOTENT, 0, false, 0);
    var settings =
        new AdmissionSettings(
            List.of(lookup),
            List.of(),
            new AdmissionSettings.Fleet(10, 3, true, false, true),
            new AdmissionSettings.Capacity(8, 65_536, 4, 1, Admission.Preemption.NONE, 4, 2),
            new AdmissionSettings.WarmUp(false, 1, 0),
            new AdmissionSettings.DependencyCalls(Admission.Dependency.NONE, 0, 0, 0),
            new AdmissionSettings.Timing(0.001, 0.05, 1, 0),
            new AdmissionSettings.Retries(1, false),
            new AdmissionSettings.Weighting(false, 1),
            List.of("cpu_busy", "runnable"));
    return new AdmissionController(now, seed, settings, server);
  }

  static void onRequest(Admission.Events control, double now, long id, double waitsFor) {
    control.arrived(now, new Admission.Request(id, false, 0, 0, 0, 16, 0, 0, null, 0, waitsFor, 0));
    control.batchCompleted(now); // calls server.start(id), server.refuse(id, ...) or leaves it held
  }

  static void onDone(Admission.Events control, double now, long id, double ranFor) {
    control.completed(now, id, Admission.Outcome.SUCCESS, ranFor);
    control.batchCompleted(now);
  }
  // README-END
}
