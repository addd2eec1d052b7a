package wharftrestle;

import java.util.List;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;

/**
 * Admission settings for tests; two cores by default, so that the concurrency limit starts at 2.
 */
public final class Sites {
  static final int READ = 0;
  static final int SAVE = 1;
  static final int KEYED = 2;
  static final int UNSAFE = 3;
  static final int LONG = 4;

  private Sites() {}

  public static Builder site() {
    return new Builder();
  }

  /** Returns a builder with the same classes, the first two of them in the other order. */
  static Builder swapped() {
    Builder site = new Builder();
    site.swapped = true;
    return site;
  }

  /** Builds settings; a test may change the fields first. */
  public static final class Builder {
    private boolean swapped;
    double memory = 10_000;
    double keyMemory = 10;
    double resultSharing;
    Admission.Preemption preemption = Admission.Preemption.DROP;
    boolean calls;
    double callQuota = 10;
    boolean coldStart;
    int cores = 2;
    List<Admission.Tenant> tenants = List.of();
    double weightOverQuota = 1;
    boolean marksRetries = true;
    boolean weightPerWork;
    double weightWithoutCall; // fraction of the weight of an answer without its call
    double window = 12; // idempotency window in seconds
    double share = 1; // fraction of a core that the daemon itself may use
    double haste = 1; // divisor of all latency objectives and deadlines

    private Admission.RequestClass requestClass(
        String name,
        double latencyObjective,
        double deadline,
        double weight,
        double weightAfterObjective,
        Admission.Idempotency idempotency) {
      return new Admission.RequestClass(
          name,
          latencyObjective / haste,
          0,
          deadline / haste,
          weight,
          weightAfterObjective,
          idempotency,
          window,
          calls,
          weightWithoutCall);
    }

    public AdmissionSettings build() {
      return new AdmissionSettings(
          List.of(
              requestClass(
                  swapped ? "save" : "read",
                  2,
                  6,
                  swapped ? 3 : 1,
                  0,
                  Admission.Idempotency.IDEMPOTENT),
              requestClass(
                  swapped ? "read" : "save",
                  2,
                  6,
                  swapped ? 1 : 3,
                  0,
                  Admission.Idempotency.IDEMPOTENT),
              requestClass("keyed", 2, 6, 3, 0, Admission.Idempotency.IDEMPOTENCY_KEY),
              requestClass("unsafe", 2, 6, 3, 0, Admission.Idempotency.NON_IDEMPOTENT),
              requestClass("long", 8, 20, 1, 0.2, Admission.Idempotency.IDEMPOTENT)),
          tenants,
          new AdmissionSettings.Fleet(1, 3, true, false, true),
          new AdmissionSettings.Capacity(cores, memory, 4, keyMemory, preemption, 6, 2),
          new AdmissionSettings.WarmUp(coldStart, 0.25, 10),
          new AdmissionSettings.DependencyCalls(
              calls ? Admission.Dependency.SHARED : Admission.Dependency.NONE,
              calls ? callQuota : 0,
              5,
              0.2),
          new AdmissionSettings.Timing(0.004, 0.08, 2, resultSharing),
          new AdmissionSettings.Retries(1, marksRetries),
          new AdmissionSettings.Weighting(weightPerWork, weightOverQuota),
          List.of("cpu_busy", "runnable"));
    }
  }
}
