package wharftrestle.simulator;

import wharftrestle.admission.Admission;

/** Writes the actions of one instance as lines of the simulator protocol. */
final class ActionWriter implements Admission.Actions {
  private final int instance;
  private final StringBuilder lines = new StringBuilder();

  ActionWriter(int instance) {
    this.instance = instance;
  }

  /** Appends the written lines to the reply and clears them; a null reply discards them. */
  void drainTo(StringBuilder reply) {
    if (reply != null && lines.length() > 0) {
      reply.append("source\tinstance=").append(instance).append('\n').append(lines);
    }
    lines.setLength(0);
  }

  /** Replaces control characters, which would break a protocol line, by spaces. */
  static String replaceControlCharacters(String text) {
    return text.replaceAll("\\p{Cntrl}", " ");
  }

  private StringBuilder beginAction(String name, long id) {
    return lines.append(name).append("\topId=").append(id);
  }

  /** Appends a field in seconds; the protocol has a resolution of microseconds. */
  private StringBuilder appendSeconds(String field, double value) {
    long micros = Math.max(0, Math.round(value * 1e6));
    lines.append('\t').append(field).append('=').append(micros / 1_000_000).append('.');
    String fraction = Long.toString(micros % 1_000_000);
    return lines.append("000000", 0, 6 - fraction.length()).append(fraction);
  }

  private void endLine() {
    lines.append('\n');
  }

  @Override
  public void dispatch(long id) {
    beginAction("admit", id);
    endLine();
  }

  @Override
  public void reject(long id, boolean everywhere, double retryAfterSeconds) {
    beginAction("deny", id);
    if (everywhere) {
      lines.append("\tgiveUp=1");
    }
    if (retryAfterSeconds > 0) {
      appendSeconds("coolDown", retryAfterSeconds);
    }
    endLine();
  }

  @Override
  public void fail(long id) {
    beginAction("report_failure", id);
    endLine();
  }

  @Override
  public void preempt(long id) {
    beginAction("suspend", id);
    endLine();
  }

  @Override
  public void callDependency(long id, double timeoutAt) {
    beginAction("call", id);
    appendSeconds("notPast", timeoutAt);
    endLine();
  }

  @Override
  public void skipCall(long id) {
    beginAction("fall_back", id);
    endLine();
  }

  @Override
  public void retainKey(long id, double retentionSeconds) {
    beginAction("memo", id);
    appendSeconds("ttl", retentionSeconds);
    endLine();
  }

  @Override
  public void releaseKey(long id) {
    beginAction("release_key", id);
    endLine();
  }

  @Override
  public void attach(long id) {
    beginAction("attach", id);
    endLine();
  }

  @Override
  public void reportHealth(boolean healthy, boolean cached) {
    lines
        .append("set_health\twant=")
        .append(healthy ? 1 : 0)
        .append("\tcheap=")
        .append(cached ? 1 : 0);
    endLine();
  }

  @Override
  public void setIdleTimeout(double timeoutSeconds) {
    lines.append("idle_limit");
    appendSeconds("ttl", timeoutSeconds);
    endLine();
  }

  @Override
  public void setTimer(long label, double delaySeconds) {
    lines.append("set_timer\tlabel=").append(label);
    appendSeconds("sleepFor", delaySeconds);
    endLine();
  }

  @Override
  public void log(String line) {
    lines.append("log\tline=").append(replaceControlCharacters(line));
    endLine();
  }
}
