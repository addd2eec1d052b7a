package wharftrestle.admission;

/** What was learned of one request class; written by {@link RunTimeEstimator}. */
final class ClassEstimate {
  /** Moving average of the run time without dependency calls. */
  double ownSeconds;

  /** Moving average of the number of dependency calls in an execution. */
  double calls;

  /** Moving average of the cost hint; 0 before any. */
  double costHintSeconds;

  /** Least own run time seen, per unit of cost where hinted; it ages slowly. 0 before any. */
  double leastOwn;

  /** Executions that ended successfully. */
  int executions;
}
