package wharftrestle.request;

import wharftrestle.admission.Admission;

/** Makes the admission module once the worker pool has started. */
@FunctionalInterface
public interface AdmissionFactory {
  Admission.Events create(
      double now, long seed, Admission.Settings settings, Admission.Actions actions);
}
