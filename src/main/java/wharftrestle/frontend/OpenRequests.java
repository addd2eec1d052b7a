package wharftrestle.frontend;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import wharftrestle.request.Acceptance;
import wharftrestle.request.ConnectionUsage;

/** The requests of one connection by tag, until they are answered or withdrawn. Thread-safe. */
final class OpenRequests {
  private final Map<String, Acceptance.InFlight> byTag = new ConcurrentHashMap<>();
  private final ConnectionUsage usage = new ConnectionUsage();

  /** What the coordinator counts for this connection. */
  ConnectionUsage usage() {
    return usage;
  }

  boolean contains(String tag) {
    return byTag.containsKey(tag);
  }

  int size() {
    return byTag.size();
  }

  void add(String tag, Acceptance.InFlight request) {
    byTag.put(tag, request);
  }

  /** Removes a request; null if none with this tag is open. */
  Acceptance.InFlight remove(String tag) {
    return byTag.remove(tag);
  }

  Collection<Acceptance.InFlight> all() {
    return byTag.values();
  }
}
