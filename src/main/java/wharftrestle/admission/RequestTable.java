package wharftrestle.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests in flight by id and by state: the queue, the number of executions on the cores, and
 * the executions blocked on dependency calls. All changes of {@link TrackedRequest#state} and their
 * memory accounting are made here.
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

  /** Returns the request in flight with this id, or null. */
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

  /** Returns the blocked requests in the order in which they last blocked; not a copy. */
  ArrayDeque<TrackedRequest> blocked() {
    return blocked;
  }

  /** Returns the number of executions on the cores. */
  int onCores() {
    return onCores;
  }

  /** Returns whether a core would remain idle if this many more executions were dispatched. */
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

  /** Changes a queued request to executing. */
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
   * Removes a request from the queue to wait for the result of another one; it still occupies its
   * memory.
   *
   * @param prior the request whose result it waits for; null if that request is not in flight in
   *     this process
   */
  void attach(TrackedRequest request, TrackedRequest prior) {
    queued.remove(request);
    request.state = TrackedRequest.State.ATTACHED;
    request.attachedTo = prior;
    if (prior != null) {
      prior.attachedCount++;
    }
  }

  /** Changes an execution to blocked on a dependency call; it then occupies no core. */
  void block(double now, TrackedRequest request) {
    onCores--;
    request.state = TrackedRequest.State.BLOCKED;
    request.blockedSince = now;
    request.callsReached++;
    blocked.add(request);
  }

  /** Appends a request whose dependency call failed to the blocked requests. */
  void reblock(TrackedRequest request) {
    request.state = TrackedRequest.State.BLOCKED;
    blocked.add(request);
  }

  /** Records that the dependency call of a blocked request is in flight. */
  void beginCall(TrackedRequest request) {
    blocked.remove(request);
    request.state = TrackedRequest.State.CALLING;
  }

  /** Changes a blocked or calling request back to executing, whether or not its call was sent. */
  void resume(double now, TrackedRequest request) {
    if (request.state == TrackedRequest.State.BLOCKED) {
      blocked.remove(request);
    }
    request.blockedSeconds += now - request.blockedSince;
    request.state = TrackedRequest.State.EXECUTING;
    onCores++;
  }

  /** Removes a request in any state. */
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
