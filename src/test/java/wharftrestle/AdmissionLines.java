package wharftrestle;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;
import wharftrestle.simulator.MalformedLineException;
import wharftrestle.simulator.SettingsReader;

/**
 * Drives one instance of the admission control by text lines, past the wire. The lines look like
 * those of the wire; there are two differences: the event 'shares' exists here only, and the
 * numbers of the actions are written in full instead of in microseconds.
 *
 * <p>This is the only place where the lines meet the names of the Java interface, so that the
 * recordings stay valid when methods or constants of it are renamed.
 */
final class AdmissionLines implements Admission.Actions {
  private final StringBuilder reply = new StringBuilder();
  private Admission.Events events;
  private double now;

  /** Takes the lines of one batch, 'commit' included, and returns the reply. */
  String answer(String batch) throws IOException {
    reply.setLength(0);
    for (String line : batch.split("\n")) {
      try {
        take(line);
      } catch (MalformedLineException e) {
        throw new IOException(e);
      }
    }
    return reply.append("ok\n").toString();
  }

  /** The name of a line under the empty key, and its fields. */
  static Map<String, String> fields(String line) {
    Map<String, String> fields = new HashMap<>();
    String[] parts = line.split("\t");
    fields.put("", parts[0]);
    for (int i = 1; i < parts.length; i++) {
      int equals = parts[i].indexOf('=');
      fields.put(parts[i].substring(0, equals), parts[i].substring(equals + 1));
    }
    return fields;
  }

  private void take(String line) throws IOException, MalformedLineException {
    Map<String, String> f = fields(line);
    switch (f.get("")) {
      case "clock" -> now = number(f, "now");
      case "at" -> {}
      case "spawn" ->
          events =
              new AdmissionController(
                  now,
                  id(f, "prng"),
                  SettingsReader.read(new ObjectMapper().readTree(f.get("facts"))),
                  this);
      case "down" -> events = null;
      case "arrival" ->
          events.arrived(
              now,
              new Admission.Request(
                  id(f, "opId"),
                  id(f, "isRetry") == 1,
                  number(f, "lay"),
                  (int) id(f, "service"),
                  (int) id(f, "clientGroup"),
                  number(f, "kb"),
                  (int) id(f, "src"),
                  number(f, "cost"),
                  f.get("pathKey"),
                  id(f, "forerunner"),
                  number(f, "timeBudget"),
                  number(f, "prio")));
      case "work_done" -> events.completed(now, id(f, "opId"), outcome(f), number(f, "costTime"));
      case "ready_to_call" -> events.blockedOnCall(now, id(f, "opId"));
      case "downstream" ->
          events.callCompleted(now, id(f, "opId"), outcome(f), number(f, "costTime"));
      case "cancelled_by_client" -> events.callerGone(now, id(f, "opId"));
      case "lame_duck" -> events.draining(now, number(f, "timeBudget"));
      case "shares" -> events.quotaChanged(now, number(f, "part"));
      case "timeout_fired" -> events.timerFired(now, id(f, "label"), row(f.get("usage")));
      case "commit" -> {
        if (events != null) {
          events.batchCompleted(now);
        }
      }
      default -> throw new IOException("unknown line: " + line);
    }
  }

  private static double number(Map<String, String> f, String field) {
    return Double.parseDouble(f.getOrDefault(field, "0"));
  }

  private static long id(Map<String, String> f, String field) {
    return Long.parseLong(f.getOrDefault(field, "0"));
  }

  private static double[] row(String text) {
    if (text == null) {
      return new double[0];
    }
    String[] parts = text.split(",");
    double[] row = new double[parts.length];
    for (int i = 0; i < parts.length; i++) {
      row[i] = Double.parseDouble(parts[i]);
    }
    return row;
  }

  private static Admission.Outcome outcome(Map<String, String> f) throws IOException {
    return switch (f.get("status")) {
      case "success" -> Admission.Outcome.SUCCESS;
      case "failure" -> Admission.Outcome.FAILURE;
      case "overloaded" -> Admission.Outcome.OVERLOADED;
      case "timed_out" -> Admission.Outcome.TIMED_OUT;
      case "unreachable" -> Admission.Outcome.UNREACHABLE;
      case "broken" -> Admission.Outcome.BROKEN;
      case "withdrawn" -> Admission.Outcome.WITHDRAWN;
      case "void" -> Admission.Outcome.VOID;
      default -> throw new IOException("unknown status " + f.get("status"));
    };
  }

  private void say(String name, Object... fields) {
    reply.append(name);
    for (int i = 0; i < fields.length; i += 2) {
      reply.append('\t').append(fields[i]).append('=').append(fields[i + 1]);
    }
    reply.append('\n');
  }

  @Override
  public void dispatch(long id) {
    say("admit", "opId", id);
  }

  @Override
  public void reject(long id, boolean nowhereElse, double retryAfter) {
    say("deny", "opId", id, "giveUp", nowhereElse ? 1 : 0, "coolDown", retryAfter);
  }

  @Override
  public void fail(long id) {
    say("report_failure", "opId", id);
  }

  @Override
  public void preempt(long id) {
    say("suspend", "opId", id);
  }

  @Override
  public void callDependency(long id, double notPast) {
    say("call", "opId", id, "notPast", notPast);
  }

  @Override
  public void skipCall(long id) {
    say("fall_back", "opId", id);
  }

  @Override
  public void retainKey(long id, double time) {
    say("memo", "opId", id, "ttl", time);
  }

  @Override
  public void releaseKey(long id) {
    say("release_key", "opId", id);
  }

  @Override
  public void attach(long id) {
    say("attach", "opId", id);
  }

  @Override
  public void reportHealth(boolean good, boolean fromStore) {
    say("set_health", "want", good ? 1 : 0, "cheap", fromStore ? 1 : 0);
  }

  @Override
  public void setIdleTimeout(double time) {
    say("idle_limit", "ttl", time);
  }

  @Override
  public void setTimer(long label, double in) {
    say("set_timer", "label", label, "sleepFor", in);
  }

  @Override
  public void log(String line) {
    say("log", "line", line);
  }
}
