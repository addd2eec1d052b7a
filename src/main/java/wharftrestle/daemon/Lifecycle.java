package wharftrestle.daemon;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.admin.AdminServer;
import wharftrestle.admin.RolloutStatus;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;
import wharftrestle.config.DaemonConfig;
import wharftrestle.discovery.LoadReporter;
import wharftrestle.frontend.RespFrontend;
import wharftrestle.frontend.UwsgiFrontend;
import wharftrestle.handover.Capabilities;
import wharftrestle.handover.CompatibilityCheck;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.request.PlatformThreads;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.snmp.SnmpAgent;
import wharftrestle.storage.WriteAheadLog;
import wharftrestle.transport.DescriptorBudget;
import wharftrestle.transport.Server;
import wharftrestle.upstream.StoreClient;
import wharftrestle.upstream.WorkerPoolClient;
import wharftrestle.version.BuildInfo;
import wharftrestle.version.Version;

/**
 * Owns the daemon from its start to its exit: it puts the parts together, and its named states say
 * how far it has come. Where two processes serve one box {@link HandoverCoordinator} says what it
 * does next. It must never go back a state but from ceded to serving, where the new process dies
 * early; never take part in a request, or leave before all that was read has its answer while there
 * is time.
 */
public final class Lifecycle implements AdminServer.Daemon, HandoverCoordinator.Box, AutoCloseable {

  /**
   * From start to exit, in this order; another process serves this box's clients from RELINQUISHED
   * on.
   */
  public enum State {
    STARTING(1, "starting"),
    SERVING(2, "serving"),
    RELINQUISHED(6, "ceded"),
    DRAINING(3, "leaving"),
    CLOSING(4, "closing"),
    STOPPED(5, "stopped");

    private final int publishedNumber;
    private final String publishedName;

    State(int publishedNumber, String publishedName) {
      this.publishedNumber = publishedNumber;
      this.publishedName = publishedName;
    }
  }

  /**
   * Connections for each core of its share. Whoever holds a process to its share by stopping it
   * wakes each of its threads every time, at its cost: 0.9 ms a second for a thread, idle or not.
   * With 490 of them at half a core that was 0.45 of the half, so that one that went over its share
   * for a second never came back under it.
   */
  private static final int CALLERS_PER_CORE = 320;

  /** MB that the program takes besides its heap and the threads of connections and requests. */
  private static final double BASE_MB = 28;

  /** MB that its heap takes at most: deploy/run.sh gives it less where memory is short. */
  private static final double HEAP_MB = 40;

  /** Part of its memory that stays free. */
  private static final double MARGIN = 0.08;

  /** MB of a thread: about 110 kB resident, whatever its stack, and its buffers. */
  private static final double THREAD_MB = 0.12;

  /** Threads for requests in hand, and the least for these and for connections. */
  private static final int MOST_IN_HAND = 192;

  private static final int LEAST = 16;

  /** Part of that which uwsgi gateways have, where they are let in. */
  private static final double UWSGI_PART = 0.25;

  /** Seconds before the process is stopped by which all answers are out, even on crowded cores. */
  private static final double SPARE = 0.5;

  /** Seconds before the stop at which peers that have not closed are no longer waited for. */
  private static final double LAST = 0.35;

  /** Seconds past the grace in which what crosses its end on the way is still taken. */
  private static final double CROSSING = 0.05;

  /** Milliseconds between two looks at whether the peers have closed. */
  private static final int CLOSE_LOOK_MS = 10;

  /**
   * Seconds after the notice in which a process that has ceded must be gone: its longest deadline,
   * or this.
   */
  private static final double CEDED_MOST = 3;

  /** Seconds beyond that. */
  private static final double CEDED_MORE = 0.7;

  /** Milliseconds between two tries for the folder of kept results. */
  private static final int LOCK_MS = 50;

  /** Milliseconds for which what waits for the disk holds up a hand-over. */
  private static final int HAND_MS = 1000;

  /** Milliseconds between two tries for an address that the ceding process still has. */
  private static final int AGAIN_MS = 200;

  /** Reads the configuration anew. */
  public interface ConfigSource {
    DaemonConfig read() throws DaemonConfig.BadConfigException;
  }

  private final DaemonConfig config;
  private final Counters counters;
  private final RequestCoordinator requestCoordinator;
  private final WorkerPoolClient pool;
  private final Server resp;
  private final Server uwsgi;
  private final Server door;
  private final DaemonConfig.Appliance appliance;
  private volatile SnmpAgent snmp;
  private final StoreClient store;
  private final LoadReporter reporter;
  private final WriteAheadLog journal; // null where no results are kept
  private final CountDownLatch notice = new CountDownLatch(1);
  private volatile State state = State.STARTING;
  private volatile long noticedAt;
  private volatile double stopSeconds;
  private final int mostCallers;
  private final int mostRequests;
  private final int mostGateways;
  private final HandoverCoordinator succession;
  private final Version version;
  private volatile RolloutStatus fleet = RolloutStatus.NONE;
  private volatile boolean closed;
  private final long startedAt = System.nanoTime();

  /**
   * Takes every address at once, so that one that cannot be had ends the start; but where a process
   * of this box serves already, its clients' addresses come with the take-over, and others when
   * that one has ended.
   */
  public Lifecycle(DaemonConfig config, DaemonConfig.Appliance appliance) throws IOException {
    this(config, appliance, KeyMemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()));
  }

  /** The same with a room for keys that is not the heap's share. */
  public Lifecycle(DaemonConfig config, DaemonConfig.Appliance appliance, KeyMemoryBudget room)
      throws IOException {
    this(config, appliance, room, CompatibilityCheck.DEFAULT);
  }

  /** The same with another rule of who may take over from whom. */
  public Lifecycle(
      DaemonConfig config,
      DaemonConfig.Appliance appliance,
      KeyMemoryBudget room,
      CompatibilityCheck agreement)
      throws IOException {
    this.config = config;
    this.appliance = appliance;
    stopSeconds = config.stopSeconds();
    // Guards against being killed for memory: threads for requests come first, connections have the
    // rest.
    double heap = Math.min(HEAP_MB, Runtime.getRuntime().maxMemory() / 1048576.0);
    int threads = (int) (((1 - MARGIN) * config.memoryMb() - BASE_MB - heap) / THREAD_MB);
    mostRequests = Math.max(LEAST, Math.min(MOST_IN_HAND, threads / 2));
    DescriptorBudget descriptors = DescriptorBudget.of(config.sockets());
    int callers = (int) Math.min(descriptors.callers(), CALLERS_PER_CORE * config.cores());
    mostCallers = Math.max(LEAST, Math.min(callers, threads - mostRequests));
    mostGateways = appliance.uwsgi() == null ? 0 : (int) (UWSGI_PART * mostCallers);
    counters =
        new Counters(
            config.settings().classes().stream().map(Admission.RequestClass::name).toList());
    requestCoordinator =
        new RequestCoordinator(
            config.settings(),
            config.seed(),
            mostRequests,
            room,
            AdmissionController::new,
            counters);
    pool = new WorkerPoolClient(config.pool(), requestCoordinator, counters);
    store = new StoreClient(config.db(), descriptors.calls(), counters);
    reporter = new LoadReporter(config.name(), config.naming(), counters);
    resp =
        new Server(
            "resp",
            config.listen(),
            mostCallers - mostGateways,
            descriptors.leaving() - (mostGateways > 0 ? descriptors.gatewaysLeaving() : 0),
            new RespFrontend(requestCoordinator, counters),
            counters);
    uwsgi =
        appliance.uwsgi() == null
            ? null
            : new Server(
                "uwsgi",
                appliance.uwsgi(),
                mostGateways,
                descriptors.gatewaysLeaving(),
                new UwsgiFrontend(requestCoordinator, counters, config.seed(), appliance.heldKb()),
                counters);
    InetSocketAddress at = config.console() != null ? config.console() : appliance.control();
    door =
        at == null
            ? null
            : new Server(
                "door",
                at,
                descriptors.operators(),
                descriptors.operatorsLeaving(),
                new AdminServer(this),
                counters);
    journal = appliance.durable() == null ? null : new WriteAheadLog(appliance.durable());
    if (journal != null) {
      requestCoordinator.useResultStore(journal);
    }
    version = BuildInfo.describe(config.canonical(appliance));
    succession =
        new HandoverCoordinator(
            config.name(), config.meeting(), requestCoordinator.peer(), this, agreement);
    if (!succession.comes()) {
      if (journal != null) {
        requestCoordinator.restore(
            journal.open(longestWindow())); // before the first repeat can be read
      }
      resp.listen(config.meeting() != null, true);
      if (uwsgi != null) {
        uwsgi.listen(config.meeting() != null, true);
      }
    }
    if (!operatorsIn() && !succession.comes()) {
      close();
      throw new BindException("the operators' addresses are taken");
    }
  }

  /** Seconds in which a key of any class may come again, with the slack of the table. */
  private double longestWindow() {
    return IdempotencyTable.WINDOW_SLACK_SECONDS
        + config.settings().classes().stream()
            .mapToDouble(Admission.RequestClass::idempotencyWindowSeconds)
            .max()
            .orElse(0);
  }

  /** Lets operators in; false where an address of theirs cannot be had now. */
  private synchronized boolean operatorsIn() {
    try {
      if (door != null && !door.listening()) {
        door.listen(false, true);
        door.start();
      }
      if (appliance.snmp() != null && snmp == null) {
        snmp = new SnmpAgent(this, appliance.snmp(), appliance.community());
      }
      return true;
    } catch (IOException | RuntimeException taken) {
      Logger.debug("operators: {}", taken.getMessage());
      return false;
    }
  }

  public void start() {
    Logger.info("{} starts: {}", config.name(), version.summaryLine());
    requestCoordinator.start(pool, store, reporter);
    boolean comes = succession.comes();
    if (comes) {
      halve(true);
    }
    pool.start();
    reporter.pause(comes);
    reporter.start();
    if (!comes) {
      accept();
      serveOn();
    } else {
      succession.start();
      PlatformThreads.thread(
              "take-over",
              () -> {
                try {
                  requestCoordinator.awaitReady();
                  succession.poolUp();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              })
          .start();
    }
  }

  /**
   * Guards against the two processes of an upgrade having more threads and connections than one
   * may.
   */
  @Override
  public void halve(boolean half) {
    int part = half ? 2 : 1;
    requestCoordinator.setMaxInFlight(mostRequests / part);
    resp.limit((mostCallers - mostGateways) / part);
    if (uwsgi != null) {
      uwsgi.limit(mostGateways / part);
    }
    if (half) {
      // Guards against the connections of both being more than one process may have.
      resp.sendAway((mostCallers - mostGateways) / 2);
    }
  }

  // ---- What a hand-over does to this process ----

  @Override
  public Capabilities terms() {
    return new Capabilities(
        version.summaryLine(),
        version.handoverVersions(),
        version.logVersions(),
        appliance.durable() == null
            ? ""
            : appliance.durable().folder().toAbsolutePath().normalize().toString(),
        config.settings().classes().stream()
            .map(
                each -> {
                  boolean keyed = each.idempotency() == Admission.Idempotency.IDEMPOTENCY_KEY;
                  return new Capabilities.RequestClass(
                      each.name(),
                      keyed,
                      keyed ? Math.round(each.idempotencyWindowSeconds() * 1000) : 0);
                })
            .toList(),
        config.settings().tenants().stream().map(Admission.Tenant::name).toList(),
        new Capabilities.KeyCapacity(0, 0, 0, 0),
        0);
  }

  private Server[] fronts() {
    return uwsgi == null ? new Server[] {resp} : new Server[] {resp, uwsgi};
  }

  private boolean leaves() {
    return state.compareTo(State.RELINQUISHED) > 0;
  }

  @Override
  public boolean bind(boolean alone) {
    for (Server front : fronts()) {
      try {
        if (!leaves() && !front.listening()) {
          front.listen(config.meeting() != null, alone);
        }
      } catch (IOException e) {
        // Guards against one address that is taken ending the process that others rely on.
        Logger.error("cannot listen at {}: {}", front.address(), e.getMessage());
      }
      if (!resp.listening()) {
        break; // without the first there is no use in the other, which would take connections and
        // serve none
      }
    }
    return resp.listening();
  }

  @Override
  public void accept() {
    for (Server front : fronts()) {
      if (front.listening()) {
        front.start();
      }
    }
    requestCoordinator.setRelinquished(false);
    reporter.pause(leaves());
  }

  @Override
  public void cede() {
    reporter.pause(true);
    requestCoordinator.setRelinquished(true);
    stopFronts();
    if (state == State.SERVING) {
      enter(State.RELINQUISHED);
    }
  }

  @Override
  public boolean openRecords(int tries) {
    if (journal == null || journal.state() != WriteAheadLog.State.CLOSED) {
      return true;
    }
    for (int i = 0; i < tries; i++) {
      try {
        requestCoordinator.restore(journal.open(longestWindow()));
        return true;
      } catch (IOException e) {
        Logger.warn("kept results: {}", e.getMessage());
        LockSupport.parkNanos(LOCK_MS * 1_000_000L);
      }
    }
    return false;
  }

  @Override
  public boolean keepsRecords() {
    return journal != null;
  }

  @Override
  public void closeRecords() {
    if (journal != null) {
      journal.close(HAND_MS);
    }
  }

  /**
   * This process serves from now on. Guards against a successor that is started on the word 'ready'
   * and then meets the process before this one: it can be met before it says so.
   */
  @Override
  public void serveOn() {
    if (leaves()) {
      succession.leavesAsLast();
      return;
    }
    succession.awaitNext();
    enter(State.SERVING);
  }

  @Override
  public void refused(String reason) {
    Logger.error(
        "{} cannot take over from the process that serves: {}; it starts once that one has ended",
        config.name(),
        reason);
  }

  @Override
  public void unknownFail() {
    Logger.warn(
        "{}: keys of the process that has ended are not known here: unknown ones fail for {} s",
        config.name(),
        Math.round(longestWindow()));
    requestCoordinator.peer().failUnknownKeysFor(longestWindow());
  }

  @Override
  public void otherEnded() {
    PlatformThreads.thread("operators", this::awaitOperators).start();
  }

  private void awaitOperators() {
    while (!operatorsIn() && !closed) {
      LockSupport.parkNanos(AGAIN_MS * 1_000_000L);
    }
  }

  private void stopFronts() {
    resp.stopListening();
    resp.goAway();
    if (uwsgi != null) {
      uwsgi.stopListening();
    }
  }

  public State state() {
    return state;
  }

  public RequestCoordinator requestCoordinator() {
    return requestCoordinator;
  }

  @Override
  public Version version() {
    return version;
  }

  @Override
  public String handover() {
    String why = succession.refusal();
    return succession.state().publishedName() + (why.isEmpty() ? "" : ": " + why);
  }

  @Override
  public List<Admission.RequestClass> classes() {
    return config.settings().classes();
  }

  @Override
  public RolloutStatus fleet() {
    return fleet;
  }

  @Override
  public void fleet(RolloutStatus said) {
    fleet = said;
  }

  @Override
  public Counters counters() {
    return counters;
  }

  @Override
  public Map<ResultMetric, Long> results() {
    return requestCoordinator.resultMetrics();
  }

  /** Where the platform's front listens. */
  public InetSocketAddress respAddress() {
    return resp.address();
  }

  /** Where the uwsgi front listens; null where it is off. */
  public InetSocketAddress uwsgiAddress() {
    return uwsgi == null ? null : uwsgi.address();
  }

  /** Connections that front ends hold now. */
  public int connections() {
    return resp.connections().size();
  }

  /** Connections that gateways hold now. */
  public int gatewayConnections() {
    return uwsgi == null ? 0 : uwsgi.connections().size();
  }

  /** Where operators call; null where they cannot. */
  public InetSocketAddress adminAddress() {
    return door == null ? null : door.address();
  }

  /** Where the SNMP agent answers; null where it is off. */
  public InetSocketAddress snmpAddress() {
    SnmpAgent agent = snmp;
    return agent == null ? null : agent.address();
  }

  @Override
  public String name() {
    return config.name();
  }

  @Override
  public boolean linked() {
    return pool.linked();
  }

  @Override
  public boolean healthy() {
    return requestCoordinator.isHealthy();
  }

  @Override
  public boolean ready() {
    return state == State.SERVING && requestCoordinator.isReady() && resp.listening();
  }

  @Override
  public boolean lameDuck(boolean on) {
    if (!on && state.compareTo(State.RELINQUISHED) > 0) {
      return false; // it leaves for good
    }
    requestCoordinator.setDraining(on);
    Logger.info("{}: lame duck {}", config.name(), on ? "on" : "off");
    return true;
  }

  @Override
  public double upSeconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  @Override
  public String phase() {
    return state.publishedName;
  }

  @Override
  public int phaseNumber() {
    return state.publishedNumber;
  }

  /**
   * Takes over the addresses of a new configuration while serving; all else in it needs a new
   * start. Guards against ending, or going on with half of a file, where the new one cannot be
   * used: then the old one holds.
   */
  public synchronized void reload(ConfigSource source) {
    DaemonConfig next;
    try {
      next = source.read();
    } catch (DaemonConfig.BadConfigException | RuntimeException e) {
      Logger.warn("the new configuration cannot be used, the old one holds: {}", e.getMessage());
      return;
    }
    if (next.db() == null && config.settings().calls().dependency() != Admission.Dependency.NONE) {
      // Guards against a file of another site leaving runs that call below without their store.
      Logger.warn("the new configuration cannot be used, the old one holds: it names no store");
      return;
    }
    pool.moveTo(next.pool());
    store.moveTo(next.db());
    reporter.moveTo(next.naming());
    counters.add(Counters.Count.RELOADS);
    Logger.info(
        "{} has a new configuration: pool {}, store {}, name service {}",
        config.name(),
        next.pool(),
        next.db() == null ? "none" : next.db(),
        next.naming());
  }

  /** The notice to leave; only the first counts. */
  @Override
  public void leave() {
    if (notice.getCount() > 0) {
      noticedAt = System.nanoTime();
      notice.countDown();
    }
  }

  /** Waits for the notice, answers all that was read, and returns when the process may end. */
  public void serveUntilStopped() throws InterruptedException {
    notice.await();
    boolean alone;
    synchronized (succession) {
      alone = state != State.RELINQUISHED;
      enter(State.DRAINING);
    }
    if (alone) {
      requestCoordinator.beginShutdown(Math.max(0, left() - SPARE));
      double grace =
          Math.min(
                  config.settings().timing().drainGraceSeconds()
                      - AdmissionController.DRAIN_MARGIN_SECONDS,
                  config.stopSeconds() - 2 * SPARE)
              + CROSSING;
      double open = grace - (config.stopSeconds() - left());
      if (open > 0) {
        Thread.sleep((long) (open * 1000));
      }
    } else {
      // No notice to the box: another process serves it. What is in hand ends here, in the time
      // there is.
      stopSeconds =
          CEDED_MORE
              + Math.min(
                  CEDED_MOST,
                  config.settings().classes().stream()
                      .mapToDouble(Admission.RequestClass::deadlineSeconds)
                      .max()
                      .orElse(CEDED_MOST));
      requestCoordinator.beginShutdown(Math.max(0, left() - SPARE));
    }
    enter(State.CLOSING);
    // From here on nothing that comes may run: callers are better served by a refused connection.
    stopFronts();
    do {
      requestCoordinator.awaitDrained(Math.max(0, left() - LAST));
      Thread.sleep(CLOSE_LOOK_MS);
      // Who is the last to know the keys of this box stays while it may: a further process can
      // still be told.
    } while (left() > LAST
        && (succession.lastHolder() || connections() + gatewayConnections() > 0));
    // Guards against peers that rest until they are ended: what they send now is not read, and so
    // is not lost.
    for (Server front : fronts()) {
      front.finish();
    }
    while (left() > LAST / 2 && connections() + gatewayConnections() > 0) {
      Thread.sleep(CLOSE_LOOK_MS);
    }
    if (journal != null) {
      journal.close(Math.max(0, (long) (left() * 1000))); // the last result is on disk
    }
    enter(State.STOPPED);
  }

  /** Gives all addresses back; what is open is cut. */
  @Override
  public void close() {
    closed = true;
    succession.close();
    synchronized (this) {
      closeAll();
    }
  }

  private void closeAll() {
    resp.close();
    if (uwsgi != null) {
      uwsgi.close();
    }
    if (door != null) {
      door.close();
    }
    if (journal != null) {
      journal.close();
    }
    if (snmp != null) {
      snmp.close();
    }
  }

  private double left() {
    return stopSeconds - (System.nanoTime() - noticedAt) / 1e9;
  }

  private void enter(State next) {
    state = next;
    Logger.info("{} is {}", config.name(), phase());
  }
}
