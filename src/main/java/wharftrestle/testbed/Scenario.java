package wharftrestle.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import wharftrestle.testbed.FaultScript.Fault;
import wharftrestle.testbed.FaultScript.Step;

/**
 * Plays a script of failures with real processes: each box a daemon with its stand-ins, each path a
 * {@link FaultProxy}, callers that ask and check. It owns the time of the play. It must never start
 * anything before the whole script was read.
 */
public final class Scenario {
  private static final long READY_MS = 20_000;

  /** Milliseconds after a kill, cut or stop in which a connection may end without its answer. */
  private static final long EXCUSE_MS = 2000;

  private static final long KEY_MS = 9000;

  /** Milliseconds in which a process that was told to leave, or killed, has ended. */
  private static final long LEAVE_MS = 8000;

  private static final class Box {
    private final String name;
    private final HostTestbed floor;
    private volatile DaemonProcess serves;
    private volatile DaemonProcess comes;
    private volatile DaemonProcess ends;
    private CpuLimiter holder;
    private TestClients callers;
    private volatile long troubleAt = Long.MIN_VALUE / 2;
    private volatile boolean troubled;

    Box(String name, HostTestbed floor) {
      this.name = name;
      this.floor = floor;
    }

    synchronized List<DaemonProcess> processes() {
      return Stream.of(serves, comes, ends).filter(Objects::nonNull).toList();
    }

    void free() throws IOException {
      if (holder != null) {
        holder.close();
        holder = null;
      }
    }

    boolean excused() {
      return troubled || System.nanoTime() - troubleAt < TimeUnit.MILLISECONDS.toNanos(EXCUSE_MS);
    }
  }

  private final FaultScript script;
  private final PrintStream progress;
  private final PrintStream results;
  private final Path jar;

  /**
   * @param jar the build to play; null for this program's own classes
   * @param progress lines for people
   * @param results a JSON object a line
   */
  public Scenario(FaultScript script, Path jar, PrintStream progress, PrintStream results) {
    this.script = script;
    this.jar = jar;
    this.progress = progress;
    this.results = results;
  }

  /** Plays it; true where no rule was broken at any box. */
  public boolean play() throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("lab");
    List<Box> boxes = new ArrayList<>();
    try {
      progress.println("seed " + script.play().seed());
      for (int i = 1; i <= script.play().boxes(); i++) {
        Path own = Files.createDirectory(folder.resolve("b" + i));
        boxes.add(
            new Box(
                "b" + i,
                new HostTestbed(
                    own, "", script.play().seed() + i, HostTestbed.Play.of(192), true)));
      }
      for (Box box : boxes) {
        box.serves = begin(box);
      }
      for (Box box : boxes) {
        if (!box.serves.awaitReady(READY_MS)) {
          throw new IOException(box.name + " did not start:\n" + box.serves.log());
        }
        box.callers =
            new TestClients(
                box.floor,
                TestClients.Habit.of(script.play().callers(), KEY_MS),
                script.play().seed() + box.name.hashCode(),
                box::excused);
        box.callers.start();
      }
      return run(boxes);
    } finally {
      for (Box box : boxes) {
        box.free();
        box.floor.close();
      }
      HostTestbed.delete(folder);
    }
  }

  private DaemonProcess begin(Box box) throws IOException {
    String kept =
        script.play().kept()
            ? "durable(dir = \"" + box.floor.folder().resolve("results") + "\", max_mb = 16)\n"
            : "";
    return box.floor.begin(
        new HostTestbed.Version(jar, "wharftrestle.Main", box.floor.settings(), kept));
  }

  private boolean run(List<Box> boxes) throws IOException, InterruptedException {
    long began = System.nanoTime();
    long ends = began + (long) (script.play().seconds() * 1e9);
    int next = 0;
    while (System.nanoTime() < ends) {
      double now = (System.nanoTime() - began) / 1e9;
      while (next < script.steps().size() && script.steps().get(next).at() <= now) {
        Step step = script.steps().get(next++);
        progress.println(String.format(Locale.ROOT, "%6.2f s  %s", now, step.fault()));
        say(Map.of("t", now, "fault", step.fault()));
        carryOut(boxes.get(Integer.parseInt(step.fault().box().substring(1)) - 1), step.fault());
      }
      for (Box box : boxes) {
        look(box);
      }
      LockSupport.parkNanos(10_000_000);
    }
    boolean holds = true;
    for (Box box : boxes) {
      box.callers.stop();
      TestClients.Tally tally = box.callers.tally();
      holds &= tally.holds();
      Map<String, Object> line = new LinkedHashMap<>();
      line.put("box", box.name);
      line.put("holds", tally.holds());
      line.put("tally", tally);
      say(line);
      progress.println(box.name + ": " + tally);
    }
    say(Map.of("holds", holds, "seed", script.play().seed()));
    return holds;
  }

  private void say(Map<String, Object> line) throws IOException {
    results.println(new ObjectMapper().writeValueAsString(line));
  }

  /**
   * A second process that serves ends the first; one that was waited for is the box's own from then
   * on.
   */
  private static void look(Box box) {
    if (box.comes != null && box.comes.ready()) {
      box.serves.term();
      synchronized (box) {
        box.ends = box.serves;
        box.serves = box.comes;
        box.comes = null;
      }
    }
  }

  private void carryOut(Box box, Fault fault) throws IOException, InterruptedException {
    FaultProxy link = fault.path().isEmpty() ? null : box.floor.link(fault.path());
    boolean there = !fault.way().equals("back");
    boolean back = !fault.way().equals("there");
    if (fault.kind() != FaultScript.Kind.HOLD && fault.kind() != FaultScript.Kind.CLOCK) {
      box.troubleAt = System.nanoTime();
    }
    switch (fault.kind()) {
      case CUT -> {
        box.troubled = fault.path().equals("front");
        link.cut();
      }
      case REFUSE -> {
        box.troubled |= fault.path().equals("front");
        link.refuse();
      }
      case HALF_CLOSE -> link.halfClose();
      case HEAL -> {
        box.troubled = false;
        link.heal();
      }
      case HOLE, DELAY, RATE, DROP, DOUBLE, REORDER -> {
        box.troubled |= fault.path().equals("front");
        link.trouble(
            FaultRule.Trouble.valueOf(fault.kind().name()),
            fault.value(),
            fault.more(),
            there,
            back);
      }
      case STOP, GO -> {
        box.troubled = fault.kind() == FaultScript.Kind.STOP;
        box.serves.stopped(box.troubled);
      }
      case KILL -> {
        boolean alone = box.comes == null || !box.comes.alive();
        box.troubled = alone;
        box.serves.kill();
        if (alone && !script.play().kept()) {
          box.callers.forgotten(System.nanoTime());
        }
      }
      case LEAVE -> {
        // Nobody follows: its connections end with it, and what it knew ends as well.
        box.troubled = true;
        box.callers.noticed(System.nanoTime());
        box.serves.term();
      }
      case START -> {
        if (box.serves.awaitEnd(LEAVE_MS) < 0) {
          throw new IOException(box.name + " did not leave:\n" + box.serves.log());
        }
        box.callers.begins(System.nanoTime());
        if (!script.play().kept()) {
          box.callers.forgotten(System.nanoTime());
        }
        box.serves = begin(box);
        if (!box.serves.awaitReady(READY_MS)) {
          throw new IOException(box.name + " did not start again:\n" + box.serves.log());
        }
        box.troubled = false;
        box.troubleAt = System.nanoTime();
      }
      case CHANGE -> box.comes = begin(box);
      case HOLD -> {
        box.free();
        box.holder = new CpuLimiter(box::processes, fault.value());
      }
      case FREE -> box.free();
      case CLOCK -> box.floor.clockOff(Math.round(fault.value()));
      default -> throw new IllegalStateException("nothing does " + fault);
    }
  }
}
