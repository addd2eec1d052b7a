package wharftrestle.simulator;

import wharftrestle.admission.Admission;

/** Writes the actions of one instance as wire lines. */
final class ActionWriter implements Admission.Actions {
  private final int instance;
  private final StringBuilder lines = new StringBuilder();

  ActionWriter(int instance) {
    this.instance = instance;
  }

  /** Moves what was written to the reply, or drops it where that is null. */
  void drainTo(StringBuilder reply) {
    if (reply != null && lines.length() > 0) {
      reply.append("source\tinstance=").append(instance).append('\n').append(lines);
    }
    lines.setLength(0);
  }

  /** Text without anything that would break a line of the wire. */
  static String plain(String text) {
    return text.replaceAll("\\p{Cntrl}", " ");
  }

  private StringBuilder act(String name, long id) {
    return lines.append(name).append("\topId=").append(id);
  }

  /** Microseconds are the finest the wire counts in. */
  private StringBuilder seconds(String field, double value) {
    long micros = Math.max(0, Math.round(value * 1e6));
    lines.append('\t').append(field).append('=').append(micros / 1_000_000).append('.');
    String rest = Long.toString(micros % 1_000_000);
    return lines.append("000000", 0, 6 - rest.length()).append(rest);
  }

  private void end() {
    lines.append('\n');
  }

  @Override
  public void dispatch(long id) {
    act("admit", id);
    end();
  }

  @Override
  public void reject(long id, boolean nowhereElse, double retryAfter) {
    act("deny", id);
    if (nowhereElse) {
      lines.append("\tgiveUp=1");
    }
    if (retryAfter > 0) {
      seconds("coolDown", retryAfter);
    }
    end();
  }

  @Override
  public void fail(long id) {
    act("report_failure", id);
    end();
  }

  @Override
  public void preempt(long id) {
    act("suspend", id);
    end();
  }

  @Override
  public void callDependency(long id, double notPast) {
    act("call", id);
    seconds("notPast", notPast);
    end();
  }

  @Override
  public void skipCall(long id) {
    act("fall_back", id);
    end();
  }

  @Override
  public void retainKey(long id, double time) {
    act("memo", id);
    seconds("ttl", time);
    end();
  }

  @Override
  public void releaseKey(long id) {
    act("release_key", id);
    end();
  }

  @Override
  public void attach(long id) {
    act("attach", id);
    end();
  }

  @Override
  public void reportHealth(boolean good, boolean fromStore) {
    lines
        .append("set_health\twant=")
        .append(good ? 1 : 0)
        .append("\tcheap=")
        .append(fromStore ? 1 : 0);
    end();
  }

  @Override
  public void setIdleTimeout(double time) {
    lines.append("idle_limit");
    seconds("ttl", time);
    end();
  }

  @Override
  public void setTimer(long label, double in) {
    lines.append("set_timer\tlabel=").append(label);
    seconds("sleepFor", in);
    end();
  }

  @Override
  public void log(String line) {
    lines.append("log\tline=").append(plain(line));
    end();
  }
}
