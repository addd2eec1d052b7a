package wharftrestle.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns the requests in flight and where each of them stands: the queue, the executions on the cores
 * and those blocked on dependency calls. Every change of a {@link TrackedRequest.State} is made
 * here, together with its memory accounting.
 */
final class RequestTable {
  private final Map<Long, TrackedRequest> byId = new LinkedHashMap<>();
  private final List<TrackedRequest> queued = new ArrayList<>();
  private final ArrayDeque<TrackedRequest> blocked = new ArrayDeque<>();
  private final int cores;
  private final MemoryBudget memory;
  private int onCores;

  RequestTable(int cores, MemoryBudget memory) {
    this.cores = cores;
    this.memory = memory;
  }

  /** Returns the request in flight with this id; null where there is none. */
  TrackedRequest find(long id) {
    return byId.get(id);
  }

  /** Returns the requests in flight in the order of their arrival. */
  Collection<TrackedRequest> all() {
    return byId.values();
  }

  /** Returns the queued requests in the order of their arrival; not a copy. */
  List<TrackedRequest> queued() {
    return queued;
  }

  /** Returns those blocked on a dependency call, longest first; not a copy. */
  ArrayDeque<TrackedRequest> blocked() {
    return blocked;
  }

  /** Returns the number of executions on the cores. */
  int onCores() {
    return onCores;
  }

  /** Returns whether a core would be idle if so many more executions were dispatched. */
  boolean hasIdleCoreBeyond(int more) {
    return onCores + more < cores;
  }

  /** Returns whether as many executions are blocked as there are cores. */
  boolean hasAllCoresBlocked() {
    return blocked.size() >= cores;
  }

  void add(TrackedRequest request) {
    byId.put(request.id(), request);
    queued.add(request);
    memory.addQueued(request);
  }

  /** Moves a queued request onto the cores. */
  void dispatch(double now, TrackedRequest request) {
    queued.remove(request);
    memory.removeQueued(request);
    memory.addExecuting(request);
    request.state = TrackedRequest.State.EXECUTING;
    request.dispatchedAt = now;
    request.executed = true;
    onCores++;
  }

  /**
   * Takes a request out of the queue to wait for another's result; it still occupies its memory.
   *
   * @param prior the request it waits for; null where that is unknown here
   */
  void attach(TrackedRequest request, TrackedRequest prior) {
    queued.remove(request);
    request.state = TrackedRequest.State.ATTACHED;
    request.attachedTo = prior;
    if (prior != null) {
      prior.attachedCount++;
    }
  }

  /** Takes an execution off the cores, to wait for a dependency call. */
  void block(double now, TrackedRequest request) {
    onCores--;
    request.state = TrackedRequest.State.BLOCKED;
    request.blockedSince = now;
    request.callsReached++;
    blocked.add(request);
  }

  /** Puts a request whose dependency call failed behind the others that are blocked. */
  void blockAgain(TrackedRequest request) {
    request.state = TrackedRequest.State.BLOCKED;
    blocked.add(request);
  }

  /** Records that the dependency call of a blocked request is in flight. */
  void beginCall(TrackedRequest request) {
    blocked.remove(request);
    request.state = TrackedRequest.State.CALLING;
  }

  /** Puts an execution back onto the cores, with or without its dependency call. */
  void resume(double now, TrackedRequest request) {
    if (request.state == TrackedRequest.State.BLOCKED) {
      blocked.remove(request);
    }
    request.offCoresSeconds += now - request.blockedSince;
    request.state = TrackedRequest.State.EXECUTING;
    onCores++;
  }

  /** Removes a request, wherever it stands. */
  void remove(TrackedRequest request) {
    byId.remove(request.id());
    switch (request.state) {
      case QUEUED -> {
        queued.remove(request);
        memory.removeQueued(request);
      }
      case ATTACHED -> {
        memory.removeQueued(request);
        if (request.attachedTo != null) {
          request.attachedTo.attachedCount--;
        }
      }
      case EXECUTING, BLOCKED, CALLING -> {
        memory.removeExecuting(request);
        onCores -= request.state == TrackedRequest.State.EXECUTING ? 1 : 0;
        blocked.remove(request);
      }
      case DONE -> {}
    }
    request.state = TrackedRequest.State.DONE;
  }
}
