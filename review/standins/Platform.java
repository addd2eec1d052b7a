package review;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The requests that were written to the daemon, by id: what the platform knows of each. */
final class Platform {

  /** One try of a request. */
  static final class Request {
    final String id;
    final String className;
    final String key; // null unless its class is keyed
    final String body;
    final long writtenNanos = System.nanoTime();
    volatile String answer; // the word of the final answer, or null
    volatile String result; // its body
    volatile boolean givenUp;
    volatile int runs;
    volatile String produced; // the result that the run made

    Request(String id, String className, String key, String body) {
      this.id = id;
      this.className = className;
      this.key = key;
      this.body = body;
    }

    /** Answered, or given up by its front end. */
    boolean isOver() {
      return answer != null || givenUp;
    }
  }

  private final Map<String, Request> requests = new ConcurrentHashMap<>();

  void add(Request request) {
    requests.put(request.id, request);
  }

  Request find(String id) {
    return requests.get(id);
  }

  Iterable<Request> all() {
    return requests.values();
  }

  int size() {
    return requests.size();
  }
}
