import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** What the platform knows of all tries: which were sent, run and answered. Thread-safe. */
final class Requests {
  /** One try of a request. */
  static final class Try {
    final String txn;
    final String type;
    final String key; // null in classes without keys
    final String body;
    final long doorMillis; // when its last byte was written
    final List<Long> runs = new CopyOnWriteArrayList<>(); // start of each run, Unix ms
    volatile String word; // the answer's word, null while there is none
    volatile String result; // the answer's body
    volatile long answeredMillis;
    volatile boolean abandoned; // the caller has taken it back

    Try(String txn, String type, String key, String body, long doorMillis) {
      this.txn = txn;
      this.type = type;
      this.key = key;
      this.body = body;
      this.doorMillis = doorMillis;
    }

    /** True once it is answered or taken back: nothing of it is to be run any more. */
    boolean isOver() {
      return word != null || abandoned;
    }
  }

  private final Map<String, Try> tries = new ConcurrentHashMap<>();
  private final Map<String, Try> names = new ConcurrentHashMap<>();

  void add(Try each) {
    tries.put(each.txn, each);
  }

  Try find(String txn) {
    Try named = names.get(txn);
    return named != null ? named : tries.get(txn);
  }

  /** The try with this body, which must be the only one; null if there is none. */
  Try findByBody(String body) {
    return tries.values().stream().filter(each -> each.body.equals(body)).findFirst().orElse(null);
  }

  /** Lets a try be found under another name as well; no effect without one. */
  void name(String txn, Try each) {
    if (each != null) {
      names.put(txn, each);
    }
  }

  Collection<Try> all() {
    return tries.values();
  }
}
