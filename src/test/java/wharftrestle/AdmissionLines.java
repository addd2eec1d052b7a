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
 * Drives one admission control instance by text lines, without the simulator adapter. The lines are
 * those of the simulator protocol, with two differences: the event 'shares' exists only here, and
 * numbers in actions are written with full precision instead of in microseconds.
 *
 * <p>This is the only class that maps these lines to names of the Java interface, so that the
 * recordings remain valid when its methods or constants are renamed.
 */
final class AdmissionLines implements Admission.Actions {
  private final StringBuilder reply = new StringBuilder();
  private Admission.Events events;
  private double now;

  /** Processes the lines of one batch, 'commit' included, and returns the reply. */
  String process(String batch) throws IOException {
    reply.setLength(0);
    for (String line : batch.split("\n")) {
      try {
        processLine(line);
      } catch (MalformedLineException e) {
        throw new IOException(e);
      }
    }
    return reply.append("ok\n").toString();
  }

  /** Returns the fields of a line, and its name under the empty key. */
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

  private void processLine(String line) throws IOException, MalformedLineException {
    Map<String, String> values = fields(line);
    switch (values.get("")) {
      case "clock" -> now = number(values, "now");
      case "at" -> {}
      case "spawn" ->
          events =
              new AdmissionController(
                  now,
                  id(values, "prng"),
                  SettingsReader.read(new ObjectMapper().readTree(values.get("facts"))),
                  this);
      case "down" -> events = null;
      case "arrival" ->
          events.arrived(
              now,
              new Admission.Request(
                  id(values, "opId"),
                  id(values, "isRetry") == 1,
                  number(values, "lay"),
                  (int) id(values, "service"),
                  (int) id(values, "clientGroup"),
                  number(values, "kb"),
                  (int) id(values, "src"),
                  number(values, "cost"),
                  values.get("pathKey"),
                  id(values, "forerunner"),
                  number(values, "timeBudget"),
                  number(values, "prio")));
      case "work_done" ->
          events.completed(now, id(values, "opId"), outcome(values), number(values, "costTime"));
      case "ready_to_call" -> events.blockedOnCall(now, id(values, "opId"));
      case "downstream" ->
          events.callCompleted(
              now, id(values, "opId"), outcome(values), number(values, "costTime"));
      case "cancelled_by_client" -> events.callerGone(now, id(values, "opId"));
      case "lame_duck" -> events.draining(now, number(values, "timeBudget"));
      case "shares" -> events.quotaChanged(now, number(values, "part"));
      case "timeout_fired" ->
          events.timerFired(now, id(values, "label"), numbers(values.get("usage")));
      case "commit" -> {
        if (events != null) {
          events.batchCompleted(now);
        }
      }
      default -> throw new IOException("unknown line: " + line);
    }
  }

  private static double number(Map<String, String> values, String field) {
    return Double.parseDouble(values.getOrDefault(field, "0"));
  }

  private static long id(Map<String, String> values, String field) {
    return Long.parseLong(values.getOrDefault(field, "0"));
  }

  private static double[] numbers(String text) {
    if (text == null) {
      return new double[0];
    }
    String[] parts = text.split(",");
    double[] numbers = new double[parts.length];
    for (int i = 0; i < parts.length; i++) {
      numbers[i] = Double.parseDouble(parts[i]);
    }
    return numbers;
  }

  private static Admission.Outcome outcome(Map<String, String> values) throws IOException {
    return switch (values.get("status")) {
      case "success" -> Admission.Outcome.SUCCESS;
      case "failure" -> Admission.Outcome.FAILURE;
      case "overloaded" -> Admission.Outcome.OVERLOADED;
      case "timed_out" -> Admission.Outcome.TIMED_OUT;
      case "unreachable" -> Admission.Outcome.UNREACHABLE;
      case "broken" -> Admission.Outcome.BROKEN;
      case "withdrawn" -> Admission.Outcome.WITHDRAWN;
      case "void" -> Admission.Outcome.VOID;
      default -> throw new IOException("unknown status " + values.get("status"));
    };
  }

  private void writeAction(String name, Object... fields) {
    reply.append(name);
    for (int i = 0; i < fields.length; i += 2) {
      reply.append('\t').append(fields[i]).append('=').append(fields[i + 1]);
    }
    reply.append('\n');
  }

  @Override
  public void dispatch(long id) {
    writeAction("admit", "opId", id);
  }

  @Override
  public void reject(long id, boolean everywhere, double retryAfterSeconds) {
    writeAction("deny", "opId", id, "giveUp", everywhere ? 1 : 0, "coolDown", retryAfterSeconds);
  }

  @Override
  public void fail(long id) {
    writeAction("report_failure", "opId", id);
  }

  @Override
  public void preempt(long id) {
    writeAction("suspend", "opId", id);
  }

  @Override
  public void callDependency(long id, double timeoutAt) {
    writeAction("call", "opId", id, "notPast", timeoutAt);
  }

  @Override
  public void skipCall(long id) {
    writeAction("fall_back", "opId", id);
  }

  @Override
  public void retainKey(long id, double seconds) {
    writeAction("memo", "opId", id, "ttl", seconds);
  }

  @Override
  public void releaseKey(long id) {
    writeAction("release_key", "opId", id);
  }

  @Override
  public void attach(long id) {
    writeAction("attach", "opId", id);
  }

  @Override
  public void reportHealth(boolean healthy, boolean cached) {
    writeAction("set_health", "want", healthy ? 1 : 0, "cheap", cached ? 1 : 0);
  }

  @Override
  public void setIdleTimeout(double seconds) {
    writeAction("idle_limit", "ttl", seconds);
  }

  @Override
  public void setTimer(long label, double delaySeconds) {
    writeAction("set_timer", "label", label, "sleepFor", delaySeconds);
  }

  @Override
  public void log(String line) {
    writeAction("log", "line", line);
  }
}
