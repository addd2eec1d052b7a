package wharftrestle.simulation;

import java.util.PriorityQueue;

/**
 * Event queue of a simulation in virtual time. Events of the same time run in the order in which
 * they were scheduled. Not thread-safe.
 */
final class EventQueue {

  /** An action at a time. */
  interface Event {
    void run(double now);
  }

  private record ScheduledEvent(double time, long sequence, Event event)
      implements Comparable<ScheduledEvent> {
    @Override
    public int compareTo(ScheduledEvent other) {
      int byTime = Double.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
  private long nextSequence;
  private double now;

  double now() {
    return now;
  }

  void schedule(double time, Event event) {
    events.add(new ScheduledEvent(Math.max(now, time), nextSequence++, event));
  }

  /** Runs all events up to that time, inclusive. */
  void runTo(double endTime) {
    while (!events.isEmpty() && events.peek().time <= endTime) {
      ScheduledEvent next = events.poll();
      now = next.time;
      next.event.run(now);
    }
    now = endTime;
  }
}
