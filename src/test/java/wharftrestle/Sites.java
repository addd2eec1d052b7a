package wharftrestle;

import java.util.List;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;

/** Settings made up for tests; two cores, so that the running limit starts at two. */
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

  /** The same classes, the first two of them in the other order. */
  static Builder swapped() {
    Builder site = new Builder();
    site.swapped = true;
    return site;
  }

  /** What a test may have otherwise before it builds. */
  public static final class Builder {
    private boolean swapped;
    double memory = 10_000;
    double keyMemory = 10;
    double shareFor;
    Admission.Preemption preemption = Admission.Preemption.DROP;
    boolean calls;
    double callShare = 10;
    boolean justStarted;
    int cores = 2;
    List<Admission.Tenant> tenants = List.of();
    double overShareWorth = 1;
    boolean marksRetry = true;
    boolean worthByWork;
    double skipWorth; // of an answer without its call
    double window = 12; // in which a key may come again, in seconds
    double share = 1; // of a core that the daemon itself may use
    double haste = 1; // times by which all clients wait less

    private Admission.RequestClass type(
        String name,
        double aim,
        double deadline,
        double worth,
        double late,
        Admission.Idempotency repeat) {
      return new Admission.RequestClass(
          name, aim / haste, 0, deadline / haste, worth, late, repeat, window, calls, skipWorth);
    }

    public AdmissionSettings build() {
      return new AdmissionSettings(
          List.of(
              type(
                  swapped ? "save" : "read",
                  2,
                  6,
                  swapped ? 3 : 1,
                  0,
                  Admission.Idempotency.IDEMPOTENT),
              type(
                  swapped ? "read" : "save",
                  2,
                  6,
                  swapped ? 1 : 3,
                  0,
                  Admission.Idempotency.IDEMPOTENT),
              type("keyed", 2, 6, 3, 0, Admission.Idempotency.IDEMPOTENCY_KEY),
              type("unsafe", 2, 6, 3, 0, Admission.Idempotency.NON_IDEMPOTENT),
              type("long", 8, 20, 1, 0.2, Admission.Idempotency.IDEMPOTENT)),
          tenants,
          new AdmissionSettings.Fleet(1, 3, true, false, true),
          new AdmissionSettings.Capacity(cores, memory, 4, keyMemory, preemption, 6, 2),
          new AdmissionSettings.WarmUp(justStarted, 0.25, 10),
          new AdmissionSettings.DependencyCalls(
              calls ? Admission.Dependency.SHARED : Admission.Dependency.NONE,
              calls ? callShare : 0,
              5,
              0.2),
          new AdmissionSettings.Timing(0.004, 0.08, 2, shareFor),
          new AdmissionSettings.Retries(1, marksRetry),
          new AdmissionSettings.Weighting(worthByWork, overShareWorth),
          List.of("cpu_busy", "runnable"));
    }
  }
}
