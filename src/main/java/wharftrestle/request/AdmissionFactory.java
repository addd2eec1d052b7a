package wharftrestle.request;

import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;

/** Creates the admission module once the worker pool has started. */
@FunctionalInterface
public interface AdmissionFactory {
  /**
   * Called once, under the coordinator's lock.
   *
   * @param now when the worker pool started, on the coordinator's clock
   */
  Admission.Events create(
      double now, long seed, AdmissionSettings settings, Admission.Actions actions);
}
