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
 * Translates wire batches to events of the instances and their actions to replies. It decides
 * nothing.
 */
public final class SimulatorAdapter {

  /** Makes the control of one instance. */
  public interface Factory {
    Admission.Events create(
        double now, long seed, AdmissionSettings settings, Admission.Actions actions);
  }

  private static final class Instance {
    final ActionWriter actions;
    Admission.Events events;
    boolean touched;

    Instance(int number) {
      actions = new ActionWriter(number);
    }
  }

  private final Factory factory;
  private final Map<Integer, Instance> instances = new HashMap<>();
  private final List<Instance> touched = new ArrayList<>();
  private final StringBuilder reply = new StringBuilder();
  private double now;
  private Instance current;

  public SimulatorAdapter(Factory factory) {
    this.factory = factory;
  }

  /** Answers batches until the input ends. */
  public void serve(InputStream in, OutputStream out) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    String crash = null;
    for (String line; (line = lines.readLine()) != null; ) {
      if (line.equals("commit")) {
        if (crash == null) {
          crash = settle();
        }
        write(out, crash);
        crash = null;
      } else if (crash == null) {
        crash = take(line);
      }
    }
  }

  private String take(String line) {
    try {
      event(new ProtocolLine(line));
      return null;
    } catch (MalformedLineException e) {
      return "malformed line: " + e.getMessage() + " in: " + clip(line);
    } catch (RuntimeException e) {
      return "exception " + e + place(e) + " at: " + clip(line);
    }
  }

  private String settle() {
    try {
      for (Instance instance : touched) {
        if (instance.events != null) {
          instance.events.batchCompleted(now);
        }
      }
      return null;
    } catch (RuntimeException e) {
      return "exception " + e + place(e) + " at: commit";
    }
  }

  private void event(ProtocolLine line) throws MalformedLineException {
    switch (line.name()) {
      case "clock" -> {
        now = line.number("now");
        current = null;
      }
      case "at" -> {
        current = instances.computeIfAbsent(line.integer("instance"), Instance::new);
        if (!current.touched) {
          current.touched = true;
          touched.add(current);
        }
      }
      case "spawn" -> {
        Instance instance = addressed();
        instance.events =
            factory.create(
                now, line.id("prng"), SettingsReader.read(line.text("facts")), instance.actions);
      }
      case "down" -> {
        addressed().events = null;
        current.actions.drainTo(null);
      }
      case "arrival" ->
          living()
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
          living().completed(now, line.id("opId"), outcome(line), line.number("costTime", 0));
      case "ready_to_call" -> living().blockedOnCall(now, line.id("opId"));
      case "downstream" ->
          living().callCompleted(now, line.id("opId"), outcome(line), line.number("costTime", 0));
      case "cancelled_by_client" -> living().callerGone(now, line.id("opId"));
      case "lame_duck" -> living().draining(now, line.number("timeBudget"));
      case "timeout_fired" -> living().timerFired(now, line.id("label"), line.row("usage"));
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

  private Instance addressed() throws MalformedLineException {
    if (current == null) {
      throw new MalformedLineException("no instance named by 'at'");
    }
    return current;
  }

  private Admission.Events living() throws MalformedLineException {
    Instance instance = addressed();
    if (instance.events == null) {
      throw new MalformedLineException("the instance has not been started by 'spawn'");
    }
    return instance.events;
  }

  private void write(OutputStream out, String crash) throws IOException {
    for (Instance instance : touched) {
      instance.actions.drainTo(crash == null ? reply : null);
      instance.touched = false;
    }
    touched.clear();
    if (crash != null) {
      reply.append("crash\tline=").append(ActionWriter.plain(crash)).append('\n');
    }
    reply.append("ok\n");
    out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
    reply.setLength(0);
  }

  private static String place(RuntimeException e) {
    return e.getStackTrace().length == 0 ? "" : " (" + e.getStackTrace()[0] + ")";
  }

  private static String clip(String line) {
    return line.length() <= 200 ? line : line.substring(0, 200) + "...";
  }
}
