package wharftrestle.simulation;

import java.util.PriorityQueue;

/**
 * What happens when, in virtual time. Of two things at one moment the one that was put down first
 * goes first.
 */
final class EventQueue {

  /** One thing that happens. */
  interface Happening {
    void at(double now);
  }

  private record Due(double at, long order, Happening what) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      int first = Double.compare(at, other.at);
      return first != 0 ? first : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Due> dues = new PriorityQueue<>();
  private long order;
  private double now;

  double now() {
    return now;
  }

  void at(double when, Happening what) {
    dues.add(new Due(Math.max(now, when), order++, what));
  }

  /** Goes on until that moment. */
  void runTo(double until) {
    while (!dues.isEmpty() && dues.peek().at <= until) {
      Due due = dues.poll();
      now = due.at;
      due.what.at(now);
    }
    now = until;
  }
}
