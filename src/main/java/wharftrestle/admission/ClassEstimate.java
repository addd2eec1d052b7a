package wharftrestle.admission;

/** Run time statistics of one request class; written by {@link RunTimeEstimator}. */
final class ClassEstimate {
  /** Moving average of the run time without dependency calls. */
  double ownSeconds;

  /** Moving average of the number of dependency calls in an execution. */
  double calls;

  /** Moving average of the cost hint; 0 before the first. */
  double costHintSeconds;

  /**
   * Slowly aging minimum of {@link #ownSeconds}, divided by the mean cost hint if there are hints;
   * 0 before the first.
   */
  double minimumOwn;

  /** Successful executions. */
  int executions;
}
