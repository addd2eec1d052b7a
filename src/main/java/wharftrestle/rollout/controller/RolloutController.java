package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import wharftrestle.rollout.CanaryAnalysis;
import wharftrestle.rollout.ControllerLease;
import wharftrestle.rollout.EpochFence;
import wharftrestle.rollout.MembershipView;
import wharftrestle.rollout.Rollout;
import wharftrestle.rollout.RolloutPlan;
import wharftrestle.supervisor.CommandSocket;
import wharftrestle.supervisor.DirectoryLock;
import wharftrestle.supervisor.JsonLineJournal;
import wharftrestle.time.SteadyWallClock;

/**
 * Drives one rolling change: it asks every keeper how its box is, several times within a lease,
 * tells {@link Rollout} what it sees, and carries out what that says. It owns its folder: the
 * journal, the copy of the plan, the socket for operators' words. A driver that ends leaves the
 * fleet as it is; the next one of the folder goes on from the journal. It must never give an order
 * that is not in the journal, nor one that {@link ControllerLease} does not let out at that moment.
 */
public final class RolloutController implements Closeable {

  /** How it ended. */
  public enum End {
    DONE,
    UNDONE,
    ABORTED,
    FENCED,
    STOPPED
  }

  /**
   * A line of the journal: what was about to be done, and the roll as it is then.
   *
   * @param at Unix ms, for people
   * @param what "claim", "order", "enter", "stage"
   * @param plan SHA-256 of the plan's text
   */
  record Line(
      long at,
      String what,
      long epoch,
      String driver,
      String plan,
      Rollout.Kept roll,
      String box,
      String to,
      String why) {}

  /** The change cannot begin, or the folder is another driver's. */
  public static final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    RefusedException(String message) {
      super(message);
    }
  }

  static final String JOURNAL = "roll.jsonl";
  static final String SOCKET = "roll.sock";

  /** Milliseconds between two calls of a keeper: several within a lease. */
  private static final long POLL_MS = 500;

  private static final long LOOK_MS = 100;

  /** Seconds for which an order waits for its box to be reached. */
  private static final double ORDER_PATIENCE = 2;

  /** Seconds since which a driver that asked last counts as alive. */
  private static final double ALIVE = 10;

  /** Keepers asked for a box that is silent here. */
  private static final int WITNESSES = 2;

  private static final int LONGEST_WHY = 400;

  /** How a keeper begins where a release could not be tried at all. */
  private static final String CANNOT = "it cannot take over";

  private static final ObjectMapper JSON = new ObjectMapper();

  private record Pending(String to, boolean back, double since) {}

  private final PlanScript script;
  private final RolloutPlan plan;
  private final String digest;
  private final RolloutEventLog events;
  private final SupervisorClient calls = new SupervisorClient();
  private final DirectoryLock lock;
  private final JsonLineJournal<Line> journal;
  private final CommandSocket socket;
  private final ControllerLease steering;
  private final MembershipView members;
  private final Map<String, HostView> views = new LinkedHashMap<>();
  private final Map<String, Pending> orders = new HashMap<>();
  private Rollout roll;
  private CanaryAnalysis judge; // null until classes are known
  private final Set<String> ours =
      new HashSet<>(); // drivers of this folder: whoever steered from here has ended
  private CanaryAnalysis.Verdict verdict =
      new CanaryAnalysis.Verdict(CanaryAnalysis.Word.CANNOT_TELL, "nothing can be compared yet");
  private final boolean goesOn; // a change that is under way
  private double watchedFrom;
  private double edgeAt;
  private boolean stageBegun;
  private volatile boolean over;

  /**
   * Takes the folder, and what its journal says of an unfinished change of this plan.
   *
   * @param name that no other driver has
   * @throws RefusedException where another driver has the folder, or another change is under way in
   *     it
   */
  public RolloutController(Path folder, PlanScript script, String name, RolloutEventLog events)
      throws IOException, RefusedException {
    this.script = script;
    this.events = events;
    plan = script.plan();
    digest = sha256(script.text());
    Files.createDirectories(folder);
    lock = DirectoryLock.take(folder.resolve("roll.lock"));
    if (lock == null) {
      throw new RefusedException("another driver has " + folder);
    }
    journal = new JsonLineJournal<>(folder.resolve(JOURNAL), Line.class);
    Line last = journal.last();
    goesOn = last != null && !last.roll().state().over();
    if (goesOn && !last.plan().equals(digest)) {
      close(null);
      throw new RefusedException(
          "another change is under way in "
              + folder
              + ": go on with its own copy, "
              + folder.resolve(copy(last.plan()))
              + ", or end it there by 'back' or 'abort' first");
    }
    Files.writeString(folder.resolve(copy(digest)), script.text());
    double now = now();
    long highest = journal.entries().stream().mapToLong(Line::epoch).max().orElse(0);
    journal.entries().forEach(line -> ours.add(line.driver()));
    steering = new ControllerLease(name, plan.boxes().size(), highest);
    members = new MembershipView(plan.boxes().stream().map(RolloutPlan.Box::name).toList(), now);
    plan.boxes().forEach(box -> views.put(box.name(), new HostView(box)));
    roll = goesOn ? new Rollout(plan, last.roll(), now) : new Rollout(plan, now);
    socket = new CommandSocket(folder.resolve(SOCKET), this::obey);
  }

  private static String copy(String digest) {
    return "plan-" + digest.substring(0, 12) + ".star";
  }

  static String sha256(String text) {
    try {
      return HexFormat.of()
          .formatHex(
              MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private static double now() {
    return System.nanoTime() / 1e9;
  }

  private static Thread thread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  // ---- Before anything starts ----

  /**
   * Asks every keeper who steers, and whether its box can go to the release and back; a change that
   * is under way is gone on with as it is.
   *
   * @param takeOver go on in place of a driver that is alive
   * @throws RefusedException with every reason, before anything has moved
   */
  public void check(boolean takeOver) throws RefusedException, InterruptedException {
    Map<String, JsonNode> releases = new LinkedHashMap<>();
    Map<String, JsonNode> boxes = new LinkedHashMap<>();
    CountDownLatch asked = new CountDownLatch(plan.boxes().size());
    for (RolloutPlan.Box box : plan.boxes()) {
      thread(
          "check",
          () -> {
            try {
              JsonNode is = calls.box(box.keeper());
              JsonNode can = calls.release(box.keeper(), plan.to());
              synchronized (boxes) {
                boxes.put(box.name(), is);
                releases.put(box.name(), can);
              }
            } catch (IOException silent) {
              Logger.debug("{} does not answer: {}", box.name(), silent.getMessage());
            } finally {
              asked.countDown();
            }
          });
    }
    asked.await();
    List<String> against = new ArrayList<>();
    if (!goesOn && boxes.size() * 2 <= plan.boxes().size()) {
      against.add(
          boxes.size()
              + " of "
              + plan.boxes().size()
              + " keepers answer, which is not more than half");
    }
    String build = "";
    for (RolloutPlan.Box box : plan.boxes()) {
      JsonNode is = boxes.get(box.name());
      if (is == null) {
        continue;
      }
      synchronized (this) {
        steering.knows(is.path("epoch").asLong());
      }
      if (!is.path("name").asText().equals(box.name())) {
        against.add(
            "the keeper at "
                + box.keeper()
                + " is of box '"
                + is.path("name").asText()
                + "', not "
                + box.name());
      }
      String driver = is.path("driver").asText();
      if (!takeOver
          && !driver.isEmpty()
          && !ours.contains(driver)
          && is.path("askedAgo").asDouble() < ALIVE) {
        against.add(
            String.format(
                Locale.ROOT,
                "%s steers in epoch %d (it asked %s %.1f s ago); --take-over goes on in "
                    + "its place",
                driver,
                is.path("epoch").asLong(),
                box.name(),
                is.path("askedAgo").asDouble()));
      }
      JsonNode can = releases.get(box.name());
      if (goesOn) {
        continue; // where a box could go was asked before it began
      }
      if (!can.path("against").asText().isEmpty()) {
        against.add(box.name() + ": " + can.path("against").asText());
      } else if (build.isEmpty()) {
        build = can.path("build").asText();
      } else if (!build.equals(can.path("build").asText())) {
        against.add(
            box.name()
                + ": its release '"
                + plan.to()
                + "' has another program than the first box's");
      }
      if (!can.path("back").asText().isEmpty() && plan.whenWorse() == RolloutPlan.WhenWorse.BACK) {
        against.add(box.name() + " could not be taken back: " + can.path("back").asText());
      }
    }
    if (!against.isEmpty()) {
      throw new RefusedException(
          String.join("; ", against.subList(0, Math.min(5, against.size())))
              + (against.size() > 5 ? "; and " + (against.size() - 5) + " more" : ""));
    }
  }

  // ---- The change ----

  /** Drives the change to its end, or until {@link #stop}. */
  public End run() throws IOException, InterruptedException {
    synchronized (this) {
      claim("the driver began");
      watchedFrom = now();
      edgeAt = watchedFrom;
    }
    for (RolloutPlan.Box box : plan.boxes()) {
      thread("poll " + box.name(), () -> poll(box));
    }
    thread("witnesses", this::askWitnesses);
    End end = null;
    while (end == null) {
      TimeUnit.MILLISECONDS.sleep(LOOK_MS);
      synchronized (this) {
        end = look();
      }
    }
    over = true;
    return end;
  }

  /** The driver goes; the fleet stays as it is, and the next driver of the folder goes on. */
  public void stop() {
    over = true;
  }

  private void claim(String why) throws IOException {
    long epoch = steering.claim();
    write("claim", "", "", why);
    events.tell(epoch, roll.stage() + 1, "claims epoch " + epoch, "", why);
  }

  private void write(String what, String box, String to, String why) throws IOException {
    journal.add(
        new Line(
            SteadyWallClock.wallMillis(),
            what,
            steering.epoch(),
            steering.driver(),
            digest,
            roll.kept(),
            box,
            to,
            why));
  }

  /** One look; how it ended, or null while it goes on. */
  private End look() throws IOException {
    double now = now();
    if (over) {
      return End.STOPPED;
    }
    if (steering.state() == ControllerLease.State.LOST) {
      events.tell(
          steering.epoch(), roll.stage() + 1, "is fenced", "", steering.lostTo() + " steers now");
      return End.FENCED;
    }
    for (MembershipView.Change change : members.look(now)) {
      events.tell(
          steering.epoch(),
          roll.stage() + 1,
          "contact",
          change.box(),
          change.from().name().toLowerCase(Locale.ROOT)
              + " to "
              + change.to().name().toLowerCase(Locale.ROOT)
              + ", "
              + change.why());
    }
    window(now);
    for (Map.Entry<String, Pending> order : List.copyOf(orders.entrySet())) {
      if (now - order.getValue().since() > ORDER_PATIENCE) {
        orders.remove(order.getKey());
        roll.notObeyed(order.getKey()); // it never went out
      }
    }
    boolean watched = now - watchedFrom >= script.watch();
    carryOut(roll.look(shows(), verdict, watched && steering.maySteer(now), now));
    return switch (roll.state()) {
      case DONE -> End.DONE;
      case UNDONE -> End.UNDONE;
      case ABORTED -> End.ABORTED;
      default -> null;
    };
  }

  private Map<String, Rollout.Shows> shows() {
    Map<String, Rollout.Shows> all = new LinkedHashMap<>();
    views.forEach(
        (name, view) -> {
          if (!view.incarnation().isEmpty()) {
            all.put(name, view.shows(members.inContact(name), steering.epoch()));
          }
        });
    return all;
  }

  private void carryOut(List<Rollout.Act> acts) throws IOException {
    for (Rollout.Act act : acts) {
      if (act instanceof Rollout.Act.Order order) {
        write("order", order.box(), order.to(), order.why());
        orders.put(
            order.box(), new Pending(order.to(), roll.state() == Rollout.State.RETURNING, now()));
        events.tell(
            steering.epoch(),
            roll.stage() + 1,
            "tells",
            order.box(),
            "go to " + order.to() + ", " + brief(order.why()));
      } else if (act instanceof Rollout.Act.Claim claim) {
        orders.clear();
        roll.claimed();
        claim(brief(claim.why()));
      } else if (act instanceof Rollout.Act.Stage stage) {
        stageBegun = judge != null;
        if (judge != null) {
          judge.stage();
        }
        verdict =
            new CanaryAnalysis.Verdict(
                CanaryAnalysis.Word.CANNOT_TELL, "nothing can be compared yet");
        write("stage", "", "", "");
        events.tell(
            steering.epoch(), stage.stage() + 1, "begins stage " + (stage.stage() + 1), "", "");
      } else if (act instanceof Rollout.Act.Undone undone) {
        events.tell(
            steering.epoch(), roll.stage() + 1, "is undone", undone.box(), brief(undone.why()));
        if (judge != null && !undone.why().startsWith(CANNOT)) {
          judge.takenBack(undone.box(), brief(undone.why()));
          verdict = judge.verdict();
        }
      } else if (act instanceof Rollout.Act.Enter enter) {
        write("enter", "", "", brief(enter.why()));
        events.tell(
            steering.epoch(),
            enter.stage() + 1,
            enter.state().name().toLowerCase(Locale.ROOT),
            "",
            brief(enter.why()));
      }
    }
  }

  private static String brief(String why) {
    return why.length() > LONGEST_WHY ? why.substring(0, LONGEST_WHY) : why;
  }

  private void window(double now) {
    if (judge == null) {
      List<String> classes =
          views.values().stream()
              .map(HostView::classes)
              .filter(each -> !each.isEmpty())
              .findFirst()
              .orElse(List.of());
      if (classes.isEmpty() && !plan.limits().isEmpty()) {
        return;
      }
      judge = new CanaryAnalysis(plan.limits(), classes, plan.stages().size(), plan.errors());
      if (!stageBegun) {
        judge.stage();
      }
    }
    if (now - edgeAt < script.window()) {
      return;
    }
    edgeAt = now;
    judge.window(
        views.entrySet().stream()
            .map(
                each ->
                    each.getValue()
                        .window(members.inContact(each.getKey()), plan.to(), plan.warm(), now))
            .filter(Objects::nonNull)
            .toList());
    CanaryAnalysis.Verdict next = judge.verdict();
    if (next.word() != verdict.word()) {
      events.tell(steering.epoch(), roll.stage() + 1, "verdict " + word(next), "", next.why());
    }
    verdict = next;
  }

  private static String word(CanaryAnalysis.Verdict of) {
    return of.word().name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  // ---- Keepers ----

  private void poll(RolloutPlan.Box box) {
    while (!over) {
      double askedAt = now();
      try {
        SupervisorClient.Heard heard;
        long epoch;
        boolean claims;
        int stage;
        String said;
        synchronized (this) {
          epoch = steering.epoch();
          claims = steering.asks(box.name());
          stage = roll.stage() + 1;
          said = word(verdict);
        }
        heard =
            claims
                ? calls.claim(box.keeper(), epoch, steering.driver())
                : calls.ask(box.keeper(), epoch, steering.driver(), stage, said);
        Pending order;
        synchronized (this) {
          order = heard(box, epoch, heard, askedAt);
        }
        if (order != null) {
          give(box, order);
        }
      } catch (IOException silent) {
        Logger.debug("{} does not answer: {}", box.name(), silent.getMessage());
      } catch (RuntimeException fault) {
        Logger.error(fault, "poll of {}", box.name());
      }
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Takes a keeper's word in; an order that may go out to it now, or null. */
  private Pending heard(
      RolloutPlan.Box box, long epoch, SupervisorClient.Heard heard, double askedAt) {
    double now = now();
    steering.heard(box.name(), epoch, heard.said(), askedAt, now);
    if (!heard.whole().path("name").asText().equals(box.name())) {
      return null; // another box's keeper at this address
    }
    members.heard(box.name(), heard.whole().path("incarnation").asText(), now);
    HostView view = views.get(box.name());
    for (String release : view.take(heard)) {
      events.tell(
          steering.epoch(),
          roll.stage() + 1,
          "death",
          box.name(),
          "a daemon of " + release + " died");
      if (judge != null) {
        judge.died(box.name(), release.equals(plan.to()));
        verdict = judge.verdict();
      }
    }
    Pending order = orders.get(box.name());
    if (order == null || heard.said().stamp() == 0 || !steering.maySteer(now)) {
      return null;
    }
    orders.remove(box.name());
    return order;
  }

  private void give(RolloutPlan.Box box, Pending order) {
    long epoch;
    long stamp;
    synchronized (this) {
      epoch = steering.epoch();
      stamp = steering.stamp(box.name());
      if (!steering.maySteer(now()) || stamp == 0) {
        roll.notObeyed(box.name());
        return;
      }
    }
    try {
      SupervisorClient.Heard heard =
          calls.order(box.keeper(), epoch, steering.driver(), stamp, order.to(), order.back());
      synchronized (this) {
        if (heard.said().answer() != EpochFence.Answer.OBEYED) {
          roll.notObeyed(box.name());
          events.tell(
              epoch,
              roll.stage() + 1,
              "is not obeyed",
              box.name(),
              heard.said().answer().name().toLowerCase(Locale.ROOT));
        } else if (heard.obeyed().startsWith("no ")) {
          events.tell(
              epoch, roll.stage() + 1, "cannot go", box.name(), heard.obeyed().substring(3));
        }
      }
    } catch (IOException unknown) {
      Logger.debug("nobody knows whether {} heard its order: {}", box.name(), unknown.getMessage());
    }
  }

  /** Others are asked for boxes that are silent here. */
  private void askWitnesses() {
    while (!over) {
      List<String> silent;
      List<String> witnesses;
      synchronized (this) {
        silent = members.silent(now());
        witnesses = members.witnesses(now());
      }
      for (String name : silent) {
        for (int i = 0; i < Math.min(WITNESSES, witnesses.size()); i++) {
          // Fails for a name whose hash code is Integer.MIN_VALUE.
          @SuppressWarnings("MathAbsoluteNegative")
          String witness =
              witnesses.get((Math.abs(name.hashCode()) % witnesses.size() + i) % witnesses.size());
          try {
            JsonNode said =
                calls.look(
                    plan.box(witness).keeper(),
                    plan.box(name).keeper(),
                    script.fronts().getOrDefault(name, ""));
            synchronized (this) {
              members.heardBy(
                  name,
                  witness,
                  said.path("heard").asBoolean(),
                  said.path("callers").asBoolean(),
                  now());
            }
          } catch (IOException silentToo) {
            Logger.debug("{} says nothing of {}", witness, name);
          }
        }
      }
      try {
        TimeUnit.SECONDS.sleep(1);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  // ---- Operators ----

  private String obey(String order) {
    synchronized (this) {
      try {
        double now = now();
        String[] words = order.split(" ", 3);
        switch (words[0]) {
          case "broken" -> {
            if (words.length < 3 || plan.box(words[1]) == null || judge == null) {
              return "no "
                  + (judge == null
                      ? "nothing is watched yet"
                      : "name a box of the plan, and what it broke");
            }
            judge.broke(words[1], brief(words[2]));
            verdict = judge.verdict();
            events.tell(
                steering.epoch(), roll.stage() + 1, "is told of a broken rule", words[1], words[2]);
          }
          case "status" -> {
            return "ok " + JSON.writeValueAsString(status());
          }
          case "pause" -> carryOut(roll.pause(now));
          case "go" -> carryOut(roll.go(shows(), now));
          case "back" -> carryOut(roll.back("an operator asked for it", now));
          case "abort" -> carryOut(roll.abort(now));
          default -> {
            return "no such order: " + order;
          }
        }
        return "ok the change is "
            + roll.state().name().toLowerCase(Locale.ROOT)
            + (roll.why().isEmpty() ? "" : ": " + roll.why());
      } catch (IOException e) {
        return "no the journal cannot be written: " + e.getMessage();
      }
    }
  }

  /** How it is, for tables and scripts. */
  private Map<String, Object> status() {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("plan", digest.substring(0, 12));
    all.put("to", plan.to());
    all.put("state", roll.state().name().toLowerCase(Locale.ROOT));
    all.put("why", roll.why());
    all.put("stage", roll.stage() + 1);
    all.put("stages", plan.stages().size());
    all.put("epoch", steering.epoch());
    all.put("driver", steering.driver());
    all.put("steering", steering.state().name().toLowerCase(Locale.ROOT));
    all.put("verdict", word(verdict));
    all.put("verdictWhy", verdict.why());
    List<Map<String, Object>> measures = new ArrayList<>();
    for (CanaryAnalysis.Line line :
        judge == null ? List.<CanaryAnalysis.Line>of() : judge.lines()) {
      Map<String, Object> one = new LinkedHashMap<>();
      one.put("measure", line.measure().word());
      one.put("about", line.about());
      one.put("loss", line.loss());
      one.put("least", Double.isInfinite(line.least()) ? null : line.least());
      one.put("most", Double.isInfinite(line.most()) ? null : line.most());
      one.put("limit", line.limit());
      one.put("windows", line.seen());
      measures.add(one);
    }
    all.put("measures", measures);
    List<Map<String, Object>> boxes = new ArrayList<>();
    double now = now();
    for (RolloutPlan.Box box : plan.boxes()) {
      MembershipView.Seen seen = members.seen(box.name());
      HostView view = views.get(box.name());
      Map<String, Object> one = new LinkedHashMap<>();
      one.put("box", box.name());
      one.put("zone", box.zone());
      one.put("acts", view.acts());
      one.put("state", view.state());
      one.put("contact", seen.contact().name().toLowerCase(Locale.ROOT));
      one.put("silent", Double.isInfinite(seen.heardAt()) ? null : now - seen.heardAt());
      one.put("witness", seen.witness());
      one.put("failed", view.failed());
      boxes.add(one);
    }
    all.put("boxes", boxes);
    return all;
  }

  private void close(CommandSocket open) throws IOException {
    over = true;
    if (open != null) {
      open.close();
    }
    journal.close();
    lock.close();
  }

  @Override
  public void close() throws IOException {
    close(socket);
  }
}
