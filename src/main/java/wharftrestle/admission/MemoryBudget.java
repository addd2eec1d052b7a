package wharftrestle.admission;

/**
 * Accounts for the memory of queued and executing requests and of retained keys, and checks whether
 * more fits. {@link RequestTable} and {@link DuplicateTracker} report every change.
 */
final class MemoryBudget {
  /**
   * Fraction of the memory up to which executions are dispatched and keys are retained. The
   * remainder is for requests that are read and then rejected.
   */
  private static final double EXECUTION_FRACTION = 0.85;

  /** Fraction of the memory above which queued requests are rejected. */
  private static final double TOTAL_FRACTION = 0.95;

  private final AdmissionSettings.Capacity capacity;
  private double queuedKb;
  private double executingKb;
  private int retainedKeys;
  private double quotaFraction = 1;

  MemoryBudget(AdmissionSettings.Capacity capacity) {
    this.capacity = capacity;
  }

  /** Sets the fraction of the host's memory that executions and keys of this process may use. */
  void setQuotaFraction(double fraction) {
    quotaFraction = fraction;
  }

  void addQueued(TrackedRequest request) {
    queuedKb += request.request.memoryKb();
  }

  void removeQueued(TrackedRequest request) {
    queuedKb -= request.request.memoryKb();
  }

  void addExecuting(TrackedRequest request) {
    executingKb += request.request.memoryKb() * capacity.executionMemoryFactor();
  }

  void removeExecuting(TrackedRequest request) {
    executingKb -= request.request.memoryKb() * capacity.executionMemoryFactor();
  }

  void addKey() {
    retainedKeys++;
  }

  void removeKey() {
    retainedKeys--;
  }

  /** Returns whether memory is short for dispatching this queued request. */
  boolean lacksExecutionMemory(TrackedRequest request) {
    double additionalKb = request.request.memoryKb() * (capacity.executionMemoryFactor() - 1);
    return queuedKb + executingKb + keysKb() + additionalKb
        > EXECUTION_FRACTION * quotaFraction * capacity.memoryKb();
  }

  /** Returns whether memory is short for retaining one more key. */
  boolean lacksKeyMemory() {
    return EXECUTION_FRACTION * quotaFraction * capacity.memoryKb()
            - executingKb
            - keysKb()
            - capacity.keyMemoryKb()
        < 0;
  }

  /**
   * Returns whether queued requests must be rejected to stay within the memory of the host. The
   * quota does not apply here.
   */
  boolean isExceeded() {
    return queuedKb + executingKb + keysKb() > TOTAL_FRACTION * capacity.memoryKb();
  }

  private double keysKb() {
    return retainedKeys * capacity.keyMemoryKb();
  }
}
