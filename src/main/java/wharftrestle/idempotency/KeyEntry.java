package wharftrestle.idempotency;

import java.util.ArrayList;
import java.util.List;
import wharftrestle.idempotency.KeyState.Step;

/**
 * The state of one idempotency key. Callers keep it as a handle and read it; only {@link
 * IdempotencyTable} changes it, under the lock of the table's caller.
 *
 * @param <T> the caller's type of an attempt
 */
public final class KeyEntry<T> {
  /** The wheel row of an entry that is not in a table, but a read-only copy of a settled key. */
  static final int NO_ROW = -1;

  private final String key;
  private final int wheelRow;
  private RequestBody body;
  private KeyState state = KeyState.ABSENT;
  private T attempt;
  private byte[] result;
  private long location = CompactIndex.NO_RESULT;
  private long coveredUntilMillis;
  private double expiresAtSeconds = Double.POSITIVE_INFINITY;
  private List<T> waiters = List.of();

  KeyEntry(String key, RequestBody body, int wheelRow) {
    this.key = key;
    this.body = body;
    this.wheelRow = wheelRow;
  }

  /** The text of the key, with its class and tenant. */
  public String key() {
    return key;
  }

  /** The body of the first attempt, or its checksum once the key is settled. */
  public RequestBody body() {
    return body;
  }

  /** The current state of the key. */
  public KeyState state() {
    return state;
  }

  /**
   * The attempt of this process that is queued, executes or has executed; null if the peer process
   * has it, or the key is settled.
   */
  public T attempt() {
    return attempt;
  }

  /** True if the result is on disk only. */
  public boolean isOnDisk() {
    return state == KeyState.SUCCEEDED && location >= 0;
  }

  /**
   * The location of the result: 0 or more on disk, {@link CompactIndex#NO_RESULT} for no result,
   * below that in memory.
   */
  public long location() {
    return location;
  }

  /** Once an attempt has executed, none with a timestamp up to here may execute; Unix ms. */
  public long coveredUntilMillis() {
    return coveredUntilMillis;
  }

  /** When the key expires, in seconds on the caller's clock. */
  public double expiresAtSeconds() {
    return expiresAtSeconds;
  }

  /** True if an attempt has executed or may have executed. */
  public boolean mayHaveRun() {
    return state.mayHaveRun();
  }

  /** True if the outcome will not change: a success, or unknown. */
  public boolean isFinal() {
    return state.isFinal();
  }

  /** True if an attempt with this timestamp is within the key's idempotency window. */
  public boolean covers(long timestampMillis) {
    return !state.mayHaveRun() || timestampMillis <= coveredUntilMillis;
  }

  int wheelRow() {
    return wheelRow;
  }

  void transition(Step step) {
    state = state.stateAfter(step);
  }

  void setAttempt(T attempt) {
    this.attempt = attempt;
  }

  /** The result until the key is settled; null if there is none or it is stored already. */
  byte[] unsettledResult() {
    return result;
  }

  void setUnsettledResult(byte[] result) {
    this.result = result;
  }

  void setLocation(long location) {
    this.location = location;
  }

  void setCoveredUntilMillis(long coveredUntilMillis) {
    this.coveredUntilMillis = coveredUntilMillis;
  }

  void setExpiresAtSeconds(double expiresAtSeconds) {
    this.expiresAtSeconds = expiresAtSeconds;
  }

  /** Replaces the body by its checksum. */
  void dropBody() {
    body = new RequestBody(null, body.checksum());
  }

  void addWaiter(T waiter) {
    if (waiters.isEmpty()) {
      waiters = new ArrayList<>(2);
    }
    waiters.add(waiter);
  }

  void removeWaiter(T waiter) {
    if (!waiters.isEmpty()) {
      waiters.remove(waiter);
    }
  }

  /** Removes and returns all waiters. */
  List<T> drainWaiters() {
    List<T> all = waiters;
    waiters = List.of();
    return all;
  }
}
