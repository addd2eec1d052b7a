package wharftrestle.idempotency;

import java.util.ArrayList;
import java.util.List;
import wharftrestle.idempotency.KeyState.Step;

/**
 * One idempotency key and what is known of it. Callers keep it as a handle and read it; only {@link
 * IdempotencyTable} changes it, under the lock of the table's caller.
 *
 * @param <T> an attempt, as the table's caller knows it
 */
public final class KeyEntry<T> {
  /** The wheel row of an entry that no table keeps: a view of a settled key. */
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

  /** The key's text, with its class and tenant. */
  public String key() {
    return key;
  }

  /** The body that came with the key, or its checksum once the key is settled. */
  public RequestBody body() {
    return body;
  }

  /** Where the key stands now. */
  public KeyState state() {
    return state;
  }

  /**
   * The attempt of this process that waits, runs or ran; null where the peer process has it, or the
   * key is settled.
   */
  public T attempt() {
    return attempt;
  }

  /** True where the result lies on disk, and only there. */
  public boolean isOnDisk() {
    return state == KeyState.SUCCEEDED && location >= 0;
  }

  /**
   * Where the result lies: 0 or more on disk, {@link CompactIndex#NO_RESULT} nowhere, below that in
   * memory.
   */
  public long location() {
    return location;
  }

  /** No attempt with a timestamp up to here may run, where one ran; Unix ms. */
  public long coveredUntilMillis() {
    return coveredUntilMillis;
  }

  /** When the key is forgotten, in seconds on the caller's clock. */
  public double expiresAtSeconds() {
    return expiresAtSeconds;
  }

  /** True where an attempt is known to have run, or may have. */
  public boolean mayHaveRun() {
    return state.mayHaveRun();
  }

  /** True where the outcome is known, or known to be unknown. */
  public boolean isFinal() {
    return state.isFinal();
  }

  /** True where an attempt with this timestamp lies in the key's idempotency window. */
  public boolean covers(long timestampMillis) {
    return !state.mayHaveRun() || timestampMillis <= coveredUntilMillis;
  }

  int wheelRow() {
    return wheelRow;
  }

  void transition(Step step) {
    state = state.after(step);
  }

  void setAttempt(T attempt) {
    this.attempt = attempt;
  }

  /** The result while it is not settled yet; null where there is none, or it lies elsewhere. */
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

  /** From now on only the body's checksum is kept. */
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

  /** All waiters; none is left. */
  List<T> drainWaiters() {
    List<T> all = waiters;
    waiters = List.of();
    return all;
  }
}
