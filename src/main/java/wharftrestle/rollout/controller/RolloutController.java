package wharftrestle.rollout.controller;

import com.fasterxml.jackson.annotation.JsonProperty;
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
  public enum Outcome {
    COMPLETED,
    ROLLED_BACK,
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
  record JournalEntry(
      @JsonProperty("at") long timestampMs,
      @JsonProperty("what") String event,
      long epoch,
      @JsonProperty("driver") String controller,
      @JsonProperty("plan") String planDigest,
      @JsonProperty("roll") Rollout.Snapshot rollout,
      @JsonProperty("box") String host,
      @JsonProperty("to") String release,
      @JsonProperty("why") String reason) {}

  /** The change cannot begin, or the folder is another driver's. */
  public static final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    RefusedException(String message) {
      super(message);
    }
  }

  static final String JOURNAL_FILE = "roll.jsonl";
  static final String SOCKET_FILE = "roll.sock";

  /** Milliseconds between two calls of a keeper: several within a lease. */
  private static final long POLL_INTERVAL_MS = 500;

  private static final long TICK_INTERVAL_MS = 100;

  /** Seconds for which an order waits for its box to be reached. */
  private static final double ORDER_TIMEOUT_SECONDS = 2;

  /** Seconds since which a driver that asked last counts as alive. */
  private static final double CONTROLLER_ALIVE_SECONDS = 10;

  /** Keepers asked for a box that is silent here. */
  private static final int WITNESSES_PER_HOST = 2;

  private static final int MAX_REASON_CHARACTERS = 400;

  /** How a keeper begins where a release could not be tried at all. */
  private static final String UNTRIED_PREFIX = "it cannot take over";

  private static final ObjectMapper JSON = new ObjectMapper();

  private record PendingOrder(String release, boolean rollback, double queuedAt) {}

  private final PlanScript script;
  private final RolloutPlan plan;
  private final String digest;
  private final RolloutEventLog events;
  private final SupervisorClient supervisors = new SupervisorClient();
  private final DirectoryLock lock;
  private final JsonLineJournal<JournalEntry> journal;
  private final CommandSocket socket;
  private final ControllerLease lease;
  private final MembershipView membership;
  private final Map<String, HostView> views = new LinkedHashMap<>();
  private final Map<String, PendingOrder> orders = new HashMap<>();
  private Rollout rollout;
  private CanaryAnalysis analysis; // null until classes are known
  private final Set<String> ownControllers =
      new HashSet<>(); // drivers of this folder: whoever steered from here has ended
  private CanaryAnalysis.Verdict verdict =
      new CanaryAnalysis.Verdict(
          CanaryAnalysis.Outcome.INCONCLUSIVE, "nothing can be compared yet");
  private final boolean resuming; // a change that is under way
  private double observedFrom;
  private double windowStartedAt;
  private boolean stageStarted;
  private volatile boolean stopped;

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
    journal = new JsonLineJournal<>(folder.resolve(JOURNAL_FILE), JournalEntry.class);
    JournalEntry last = journal.last();
    resuming = last != null && !last.rollout().state().isFinal();
    if (resuming && !last.planDigest().equals(digest)) {
      close(null);
      throw new RefusedException(
          "another change is under way in "
              + folder
              + ": go on with its own copy, "
              + folder.resolve(copy(last.planDigest()))
              + ", or end it there by 'back' or 'abort' first");
    }
    Files.writeString(folder.resolve(copy(digest)), script.text());
    double now = now();
    long highest = journal.entries().stream().mapToLong(JournalEntry::epoch).max().orElse(0);
    journal.entries().forEach(line -> ownControllers.add(line.controller()));
    lease = new ControllerLease(name, plan.hosts().size(), highest);
    membership =
        new MembershipView(plan.hosts().stream().map(RolloutPlan.Host::name).toList(), now);
    plan.hosts().forEach(box -> views.put(box.name(), new HostView(box)));
    rollout = resuming ? new Rollout(plan, last.rollout(), now) : new Rollout(plan, now);
    socket = new CommandSocket(folder.resolve(SOCKET_FILE), this::obey);
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
    CountDownLatch asked = new CountDownLatch(plan.hosts().size());
    for (RolloutPlan.Host box : plan.hosts()) {
      thread(
          "check",
          () -> {
            try {
              JsonNode is = supervisors.hostStatus(box.supervisor());
              JsonNode can = supervisors.checkRelease(box.supervisor(), plan.targetRelease());
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
    if (!resuming && boxes.size() * 2 <= plan.hosts().size()) {
      against.add(
          boxes.size()
              + " of "
              + plan.hosts().size()
              + " keepers answer, which is not more than half");
    }
    String build = "";
    for (RolloutPlan.Host box : plan.hosts()) {
      JsonNode is = boxes.get(box.name());
      if (is == null) {
        continue;
      }
      synchronized (this) {
        lease.observeEpoch(is.path("epoch").asLong());
      }
      if (!is.path("name").asText().equals(box.name())) {
        against.add(
            "the keeper at "
                + box.supervisor()
                + " is of box '"
                + is.path("name").asText()
                + "', not "
                + box.name());
      }
      String driver = is.path("driver").asText();
      if (!takeOver
          && !driver.isEmpty()
          && !ownControllers.contains(driver)
          && is.path("askedAgo").asDouble() < CONTROLLER_ALIVE_SECONDS) {
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
      if (resuming) {
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
                + plan.targetRelease()
                + "' has another program than the first box's");
      }
      if (!can.path("back").asText().isEmpty()
          && plan.regressionPolicy() == RolloutPlan.RegressionPolicy.ROLL_BACK) {
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
  public Outcome run() throws IOException, InterruptedException {
    synchronized (this) {
      claim("the driver began");
      observedFrom = now();
      windowStartedAt = observedFrom;
    }
    for (RolloutPlan.Host box : plan.hosts()) {
      thread("poll " + box.name(), () -> poll(box));
    }
    thread("witnesses", this::askWitnesses);
    Outcome end = null;
    while (end == null) {
      TimeUnit.MILLISECONDS.sleep(TICK_INTERVAL_MS);
      synchronized (this) {
        end = look();
      }
    }
    stopped = true;
    return end;
  }

  /** The driver goes; the fleet stays as it is, and the next driver of the folder goes on. */
  public void stop() {
    stopped = true;
  }

  private void claim(String why) throws IOException {
    long epoch = lease.claim();
    write("claim", "", "", why);
    events.log(epoch, rollout.stage() + 1, "claims epoch " + epoch, "", why);
  }

  private void write(String what, String box, String to, String why) throws IOException {
    journal.add(
        new JournalEntry(
            SteadyWallClock.now(),
            what,
            lease.epoch(),
            lease.controller(),
            digest,
            rollout.snapshot(),
            box,
            to,
            why));
  }

  /** One look; how it ended, or null while it goes on. */
  private Outcome look() throws IOException {
    double now = now();
    if (stopped) {
      return Outcome.STOPPED;
    }
    if (lease.state() == ControllerLease.State.LOST) {
      events.log(
          lease.epoch(),
          rollout.stage() + 1,
          "is fenced",
          "",
          lease.supersededBy() + " steers now");
      return Outcome.FENCED;
    }
    for (MembershipView.Transition change : membership.tick(now)) {
      events.log(
          lease.epoch(),
          rollout.stage() + 1,
          "contact",
          change.host(),
          change.from().publishedName()
              + " to "
              + change.to().publishedName()
              + ", "
              + change.reason());
    }
    window(now);
    for (Map.Entry<String, PendingOrder> order : List.copyOf(orders.entrySet())) {
      if (now - order.getValue().queuedAt() > ORDER_TIMEOUT_SECONDS) {
        orders.remove(order.getKey());
        rollout.onOrderRefused(order.getKey()); // it never went out
      }
    }
    boolean watched = now - observedFrom >= script.observationSeconds();
    carryOut(rollout.tick(shows(), verdict, watched && lease.mayOrder(now), now));
    return switch (rollout.state()) {
      case COMPLETED -> Outcome.COMPLETED;
      case ROLLED_BACK -> Outcome.ROLLED_BACK;
      case ABORTED -> Outcome.ABORTED;
      default -> null;
    };
  }

  private Map<String, Rollout.ReportedState> shows() {
    Map<String, Rollout.ReportedState> all = new LinkedHashMap<>();
    views.forEach(
        (name, view) -> {
          if (!view.incarnation().isEmpty()) {
            all.put(name, view.reportedState(membership.isReachable(name), lease.epoch()));
          }
        });
    return all;
  }

  private void carryOut(List<Rollout.Action> acts) throws IOException {
    for (Rollout.Action act : acts) {
      if (act instanceof Rollout.Action.Order order) {
        write("order", order.host(), order.release(), order.reason());
        orders.put(
            order.host(),
            new PendingOrder(
                order.release(), rollout.state() == Rollout.State.ROLLING_BACK, now()));
        events.log(
            lease.epoch(),
            rollout.stage() + 1,
            "tells",
            order.host(),
            "go to " + order.release() + ", " + brief(order.reason()));
      } else if (act instanceof Rollout.Action.ClaimEpoch claim) {
        orders.clear();
        rollout.onEpochClaimed();
        claim(brief(claim.reason()));
      } else if (act instanceof Rollout.Action.BeginStage stage) {
        stageStarted = analysis != null;
        if (analysis != null) {
          analysis.beginStage();
        }
        verdict =
            new CanaryAnalysis.Verdict(
                CanaryAnalysis.Outcome.INCONCLUSIVE, "nothing can be compared yet");
        write("stage", "", "", "");
        events.log(lease.epoch(), stage.stage() + 1, "begins stage " + (stage.stage() + 1), "", "");
      } else if (act instanceof Rollout.Action.HostRolledBack undone) {
        events.log(
            lease.epoch(), rollout.stage() + 1, "is undone", undone.host(), brief(undone.reason()));
        if (analysis != null && !undone.reason().startsWith(UNTRIED_PREFIX)) {
          analysis.onHostRollback(undone.host(), brief(undone.reason()));
          verdict = analysis.verdict();
        }
      } else if (act instanceof Rollout.Action.EnterState enter) {
        write("enter", "", "", brief(enter.reason()));
        events.log(
            lease.epoch(),
            enter.stage() + 1,
            enter.state().publishedName(),
            "",
            brief(enter.reason()));
      }
    }
  }

  private static String brief(String why) {
    return why.length() > MAX_REASON_CHARACTERS ? why.substring(0, MAX_REASON_CHARACTERS) : why;
  }

  private void window(double now) {
    if (analysis == null) {
      List<String> classes =
          views.values().stream()
              .map(HostView::requestClasses)
              .filter(each -> !each.isEmpty())
              .findFirst()
              .orElse(List.of());
      if (classes.isEmpty() && !plan.limits().isEmpty()) {
        return;
      }
      analysis =
          new CanaryAnalysis(plan.limits(), classes, plan.stages().size(), plan.errorProbability());
      if (!stageStarted) {
        analysis.beginStage();
      }
    }
    if (now - windowStartedAt < script.windowSeconds()) {
      return;
    }
    windowStartedAt = now;
    analysis.addWindow(
        views.entrySet().stream()
            .map(
                each ->
                    each.getValue()
                        .sampleWindow(
                            membership.isReachable(each.getKey()),
                            plan.targetRelease(),
                            plan.warmUpSeconds(),
                            now))
            .filter(Objects::nonNull)
            .toList());
    CanaryAnalysis.Verdict next = analysis.verdict();
    if (next.outcome() != verdict.outcome()) {
      events.log(lease.epoch(), rollout.stage() + 1, "verdict " + word(next), "", next.reason());
    }
    verdict = next;
  }

  private static String word(CanaryAnalysis.Verdict of) {
    return of.outcome().publishedName();
  }

  // ---- Keepers ----

  private void poll(RolloutPlan.Host box) {
    while (!stopped) {
      double askedAt = now();
      try {
        SupervisorClient.Answer heard;
        long epoch;
        boolean claims;
        int stage;
        String said;
        synchronized (this) {
          epoch = lease.epoch();
          claims = lease.needsClaim(box.name());
          stage = rollout.stage() + 1;
          said = word(verdict);
        }
        heard =
            claims
                ? supervisors.claim(box.supervisor(), epoch, lease.controller())
                : supervisors.heartbeat(box.supervisor(), epoch, lease.controller(), stage, said);
        PendingOrder order;
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
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Takes a keeper's word in; an order that may go out to it now, or null. */
  private PendingOrder heard(
      RolloutPlan.Host box, long epoch, SupervisorClient.Answer heard, double askedAt) {
    double now = now();
    lease.onReply(box.name(), epoch, heard.reply(), askedAt, now);
    if (!heard.body().path("name").asText().equals(box.name())) {
      return null; // another box's keeper at this address
    }
    membership.onHeartbeat(box.name(), heard.body().path("incarnation").asText(), now);
    HostView view = views.get(box.name());
    for (String release : view.update(heard)) {
      events.log(
          lease.epoch(),
          rollout.stage() + 1,
          "death",
          box.name(),
          "a daemon of " + release + " died");
      if (analysis != null) {
        analysis.onDaemonDeath(box.name(), release.equals(plan.targetRelease()));
        verdict = analysis.verdict();
      }
    }
    PendingOrder order = orders.get(box.name());
    if (order == null || heard.reply().leaseToken() == 0 || !lease.mayOrder(now)) {
      return null;
    }
    orders.remove(box.name());
    return order;
  }

  private void give(RolloutPlan.Host box, PendingOrder order) {
    long epoch;
    long stamp;
    synchronized (this) {
      epoch = lease.epoch();
      stamp = lease.token(box.name());
      if (!lease.mayOrder(now()) || stamp == 0) {
        rollout.onOrderRefused(box.name());
        return;
      }
    }
    try {
      SupervisorClient.Answer heard =
          supervisors.order(
              box.supervisor(),
              epoch,
              lease.controller(),
              stamp,
              order.release(),
              order.rollback());
      synchronized (this) {
        if (heard.reply().answer() != EpochFence.Answer.ACCEPTED) {
          rollout.onOrderRefused(box.name());
          events.log(
              epoch,
              rollout.stage() + 1,
              "is not obeyed",
              box.name(),
              heard.reply().answer().publishedName().toLowerCase(Locale.ROOT));
        } else if (heard.orderResult().startsWith("no ")) {
          events.log(
              epoch,
              rollout.stage() + 1,
              "cannot go",
              box.name(),
              heard.orderResult().substring(3));
        }
      }
    } catch (IOException unknown) {
      Logger.debug("nobody knows whether {} heard its order: {}", box.name(), unknown.getMessage());
    }
  }

  /** Others are asked for boxes that are silent here. */
  private void askWitnesses() {
    while (!stopped) {
      List<String> silent;
      List<String> witnesses;
      synchronized (this) {
        silent = membership.silentHosts(now());
        witnesses = membership.witnesses(now());
      }
      for (String name : silent) {
        for (int i = 0; i < Math.min(WITNESSES_PER_HOST, witnesses.size()); i++) {
          // Fails for a name whose hash code is Integer.MIN_VALUE.
          @SuppressWarnings("MathAbsoluteNegative")
          String witness =
              witnesses.get((Math.abs(name.hashCode()) % witnesses.size() + i) % witnesses.size());
          try {
            JsonNode said =
                supervisors.indirectProbe(
                    plan.host(witness).supervisor(),
                    plan.host(name).supervisor(),
                    script.clientAddresses().getOrDefault(name, ""));
            synchronized (this) {
              membership.onIndirectProbe(
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
            if (words.length < 3 || plan.host(words[1]) == null || analysis == null) {
              return "no "
                  + (analysis == null
                      ? "nothing is watched yet"
                      : "name a box of the plan, and what it broke");
            }
            analysis.onViolation(words[1], brief(words[2]));
            verdict = analysis.verdict();
            events.log(
                lease.epoch(), rollout.stage() + 1, "is told of a broken rule", words[1], words[2]);
          }
          case "status" -> {
            return "ok " + JSON.writeValueAsString(status());
          }
          case "pause" -> carryOut(rollout.pause(now));
          case "go" -> carryOut(rollout.resume(shows(), now));
          case "back" -> carryOut(rollout.rollBack("an operator asked for it", now));
          case "abort" -> carryOut(rollout.abort(now));
          default -> {
            return "no such order: " + order;
          }
        }
        return "ok the change is "
            + rollout.state().publishedName()
            + (rollout.reason().isEmpty() ? "" : ": " + rollout.reason());
      } catch (IOException e) {
        return "no the journal cannot be written: " + e.getMessage();
      }
    }
  }

  /** How it is, for tables and scripts. */
  private Map<String, Object> status() {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("plan", digest.substring(0, 12));
    all.put("to", plan.targetRelease());
    all.put("state", rollout.state().publishedName());
    all.put("why", rollout.reason());
    all.put("stage", rollout.stage() + 1);
    all.put("stages", plan.stages().size());
    all.put("epoch", lease.epoch());
    all.put("driver", lease.controller());
    all.put("steering", lease.state().publishedName());
    all.put("verdict", word(verdict));
    all.put("verdictWhy", verdict.reason());
    List<Map<String, Object>> measures = new ArrayList<>();
    for (CanaryAnalysis.Reading line :
        analysis == null ? List.<CanaryAnalysis.Reading>of() : analysis.readings()) {
      Map<String, Object> one = new LinkedHashMap<>();
      one.put("measure", line.metric().publishedName());
      one.put("about", line.requestClass());
      one.put("loss", line.loss());
      one.put("least", Double.isInfinite(line.lowerBound()) ? null : line.lowerBound());
      one.put("most", Double.isInfinite(line.upperBound()) ? null : line.upperBound());
      one.put("limit", line.limit());
      one.put("windows", line.windows());
      measures.add(one);
    }
    all.put("measures", measures);
    List<Map<String, Object>> boxes = new ArrayList<>();
    double now = now();
    for (RolloutPlan.Host box : plan.hosts()) {
      MembershipView.HostStatus seen = membership.status(box.name());
      HostView view = views.get(box.name());
      Map<String, Object> one = new LinkedHashMap<>();
      one.put("box", box.name());
      one.put("zone", box.zone());
      one.put("acts", view.runningRelease());
      one.put("state", view.state());
      one.put("contact", seen.reachability().publishedName());
      one.put(
          "silent",
          Double.isInfinite(seen.lastHeartbeatAt()) ? null : now - seen.lastHeartbeatAt());
      one.put("witness", seen.witness());
      one.put("failed", view.failure());
      boxes.add(one);
    }
    all.put("boxes", boxes);
    return all;
  }

  private void close(CommandSocket open) throws IOException {
    stopped = true;
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
