package wharftrestle.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;

/**
 * Connects admission control instances to the simulator: translates batches of protocol lines to
 * events, and the actions of the instances to reply lines. Not thread-safe.
 */
public final class SimulatorAdapter {

  /** Creates the admission control of one instance. */
  public interface Factory {
    Admission.Events create(
        double now, long seed, AdmissionSettings settings, Admission.Actions actions);
  }

  private static final class Instance {
    final ActionWriter actions;
    Admission.Events events;
    boolean inBatch;

    Instance(int number) {
      actions = new ActionWriter(number);
    }
  }

  private final Factory factory;
  private final Map<Integer, Instance> instances = new HashMap<>();

  /** The instances named in the present batch, in the order of their first mention. */
  private final List<Instance> batchInstances = new ArrayList<>();

  private final StringBuilder reply = new StringBuilder();
  private double now;
  private Instance current;

  public SimulatorAdapter(Factory factory) {
    this.factory = factory;
  }

  /**
   * Processes batches until the input ends. A batch ends with the line {@code commit}, on which its
   * reply is written. After an error the remaining lines of the batch are skipped, and the reply
   * contains a line {@code crash} with the error instead of actions.
   */
  public void serve(InputStream in, OutputStream out) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    String error = null;
    for (String line; (line = lines.readLine()) != null; ) {
      if (line.equals("commit")) {
        if (error == null) {
          error = completeBatch();
        }
        writeReply(out, error);
        error = null;
      } else if (error == null) {
        error = process(line);
      }
    }
  }

  /** Processes one line; returns an error message, or null. */
  private String process(String line) {
    try {
      handleEvent(new ProtocolLine(line));
      return null;
    } catch (MalformedLineException e) {
      return "malformed line: " + e.getMessage() + " in: " + truncate(line);
    } catch (RuntimeException e) {
      return "exception " + e + location(e) + " at: " + truncate(line);
    }
  }

  /** Completes the batch at all instances named in it; returns an error message, or null. */
  private String completeBatch() {
    try {
      for (Instance instance : batchInstances) {
        if (instance.events != null) {
          instance.events.batchCompleted(now);
        }
      }
      return null;
    } catch (RuntimeException e) {
      return "exception " + e + location(e) + " at: commit";
    }
  }

  private void handleEvent(ProtocolLine line) throws MalformedLineException {
    switch (line.name()) {
      case "clock" -> {
        now = line.number("now");
        current = null;
      }
      case "at" -> {
        current = instances.computeIfAbsent(line.integer("instance"), Instance::new);
        if (!current.inBatch) {
          current.inBatch = true;
          batchInstances.add(current);
        }
      }
      case "spawn" -> {
        Instance instance = currentInstance();
        instance.events =
            factory.create(
                now, line.id("prng"), SettingsReader.read(line.text("facts")), instance.actions);
      }
      case "down" -> {
        currentInstance().events = null;
        current.actions.drainTo(null);
      }
      case "arrival" ->
          startedInstance()
              .arrived(
                  now,
                  new Admission.Request(
                      line.id("opId"),
                      line.bool("isRetry"),
                      line.number("lay", 0),
                      line.integer("service"),
                      line.integer("clientGroup", 0),
                      line.number("kb"),
                      line.integer("src", 0),
                      line.number("cost", 0),
                      line.text("pathKey", null),
                      line.id("forerunner", 0),
                      line.number("timeBudget", 0),
                      line.number("prio", 0)));
      case "work_done" ->
          startedInstance()
              .completed(now, line.id("opId"), outcome(line), line.number("costTime", 0));
      case "ready_to_call" -> startedInstance().blockedOnCall(now, line.id("opId"));
      case "downstream" ->
          startedInstance()
              .callCompleted(now, line.id("opId"), outcome(line), line.number("costTime", 0));
      case "cancelled_by_client" -> startedInstance().callerGone(now, line.id("opId"));
      case "lame_duck" -> startedInstance().draining(now, line.number("timeBudget"));
      case "timeout_fired" ->
          startedInstance().timerFired(now, line.id("label"), line.numbers("usage"));
      default -> {}
    }
  }

  private static Admission.Outcome outcome(ProtocolLine line) throws MalformedLineException {
    String status = line.text("status");
    return switch (status) {
      case "success" -> Admission.Outcome.SUCCESS;
      case "failure" -> Admission.Outcome.FAILURE;
      case "overloaded" -> Admission.Outcome.OVERLOADED;
      case "timed_out" -> Admission.Outcome.TIMED_OUT;
      case "unreachable" -> Admission.Outcome.UNREACHABLE;
      case "broken" -> Admission.Outcome.BROKEN;
      case "withdrawn" -> Admission.Outcome.WITHDRAWN;
      case "void" -> Admission.Outcome.VOID;
      default -> throw new MalformedLineException("unknown status '" + status + "'");
    };
  }

  private Instance currentInstance() throws MalformedLineException {
    if (current == null) {
      throw new MalformedLineException("no instance selected by an 'at' line");
    }
    return current;
  }

  private Admission.Events startedInstance() throws MalformedLineException {
    Instance instance = currentInstance();
    if (instance.events == null) {
      throw new MalformedLineException("the instance has not been started by a 'spawn' line");
    }
    return instance.events;
  }

  private void writeReply(OutputStream out, String error) throws IOException {
    for (Instance instance : batchInstances) {
      instance.actions.drainTo(error == null ? reply : null);
      instance.inBatch = false;
    }
    batchInstances.clear();
    if (error != null) {
      reply
          .append("crash\tline=")
          .append(ActionWriter.replaceControlCharacters(error))
          .append('\n');
    }
    reply.append("ok\n");
    out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
    reply.setLength(0);
  }

  private static String location(RuntimeException e) {
    return e.getStackTrace().length == 0 ? "" : " (" + e.getStackTrace()[0] + ")";
  }

  private static String truncate(String line) {
    return line.length() <= 200 ? line : line.substring(0, 200) + "...";
  }
}
