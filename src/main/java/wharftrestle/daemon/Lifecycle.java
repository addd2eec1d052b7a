package wharftrestle.daemon;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import org.tinylog.Logger;
import wharftrestle.config.DaemonConfig;
import wharftrestle.handover.CompatibilityCheck;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.metrics.Counters;
import wharftrestle.request.PlatformThreads;
import wharftrestle.request.RequestCoordinator;

/**
 * A daemon from its start to its exit: it assembles the {@linkplain DaemonParts parts}, and runs
 * the start sequence. Where two processes serve one host, {@link HandoverCoordinator} decides what
 * follows; {@link GracefulShutdown} runs the end. Thread-safe.
 */
public final class Lifecycle implements AutoCloseable {

  /**
   * From start to exit, in this order; from RELINQUISHED on another process serves the clients of
   * this host. The only way back is from RELINQUISHED to SERVING, where the successor dies early.
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

    /** The number under which the SNMP agent and the admin endpoint show this state. */
    int publishedNumber() {
      return publishedNumber;
    }

    /** The name under which they show it. */
    String publishedName() {
      return publishedName;
    }
  }

  /** Reads the configuration anew. */
  public interface ConfigSource {
    /**
     * The configuration as it is now.
     *
     * @throws DaemonConfig.BadConfigException where it cannot be used
     */
    DaemonConfig read() throws DaemonConfig.BadConfigException;
  }

  private final DaemonParts parts;
  private final LifecycleState state;
  private final HandoverCoordinator handover;
  private final DaemonHandoverHost handoverHost;
  private final DaemonAdmin admin;
  private final OperatorEndpoints operators;
  private final GracefulShutdown shutdown;
  private final ConfigReload configReload;

  /**
   * Assembles a daemon and binds its addresses. Where a process of this host serves already, the
   * clients' addresses are bound when this one takes over, and the operators' when that one has
   * ended.
   *
   * @throws IOException where an address cannot be bound, or the stored results cannot be opened
   */
  public Lifecycle(DaemonConfig config, DaemonConfig.Appliance appliance) throws IOException {
    this(config, appliance, KeyMemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()));
  }

  /** The same with a memory budget of keys that is not derived from the heap. */
  public Lifecycle(DaemonConfig config, DaemonConfig.Appliance appliance, KeyMemoryBudget keyMemory)
      throws IOException {
    this(config, appliance, keyMemory, CompatibilityCheck.DEFAULT);
  }

  /** The same with another rule of which process may take over from which. */
  public Lifecycle(
      DaemonConfig config,
      DaemonConfig.Appliance appliance,
      KeyMemoryBudget keyMemory,
      CompatibilityCheck compatibilityCheck)
      throws IOException {
    parts = DaemonParts.assemble(config, appliance, keyMemory);
    state = new LifecycleState(config.name());
    handoverHost = new DaemonHandoverHost(parts, state, this::openOperatorsWhenFree);
    handover =
        new HandoverCoordinator(
            config.name(),
            config.meeting(),
            parts.requests().peer(),
            handoverHost,
            compatibilityCheck);
    admin = new DaemonAdmin(parts, state, handover, this::leave);
    operators = new OperatorEndpoints(parts, appliance, admin);
    shutdown = new GracefulShutdown(parts, state, handover);
    configReload = new ConfigReload(parts);
    bind();
  }

  private void bind() throws IOException {
    boolean isStandby = handover.isStandby();
    if (!isStandby) {
      parts.storedResults().open();
      parts.frontends().listenAtStart();
    }
    if (!operators.open() && !isStandby) {
      close();
      throw new BindException("the operators' addresses are taken");
    }
  }

  private void openOperatorsWhenFree() {
    operators.openWhenFree();
  }

  /** Starts to serve, or to take over from the process that serves. */
  public void start() {
    Logger.info("{} starts: {}", parts.config().name(), parts.version().summaryLine());
    parts.requests().start(parts.workerPool(), parts.store(), parts.loadReporter());
    boolean isStandby = handover.isStandby();
    if (isStandby) {
      handoverHost.shareResources(true);
    }
    parts.workerPool().start();
    parts.loadReporter().pause(isStandby);
    parts.loadReporter().start();
    if (isStandby) {
      handover.start();
      PlatformThreads.thread("handover-worker-pool", this::requestTakeoverOnceWorkerPoolIsReady)
          .start();
    } else {
      handoverHost.acceptClients();
      handover.startServing();
    }
  }

  private void requestTakeoverOnceWorkerPoolIsReady() {
    try {
      parts.requests().awaitReady();
      handover.onWorkerPoolReady();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Applies the addresses of a new configuration while serving; all else in it needs a new start.
   * One that cannot be used changes nothing.
   */
  public void reload(ConfigSource source) {
    configReload.apply(source);
  }

  /** Gives the notice to leave; only the first one counts. */
  public void leave() {
    shutdown.request();
  }

  /** Waits for the notice, answers all that was read, and returns when the process may end. */
  public void serveUntilStopped() throws InterruptedException {
    shutdown.awaitRequestAndDrain();
  }

  /** Gives all addresses back; what is open is cut. */
  @Override
  public void close() {
    handover.close();
    parts.frontends().close();
    operators.close();
    parts.storedResults().close();
  }

  /** The state between start and exit. */
  public State state() {
    return state.current();
  }

  /** The requests in flight. */
  public RequestCoordinator requestCoordinator() {
    return parts.requests();
  }

  /** What the daemon counts. */
  public Counters counters() {
    return parts.counters();
  }

  /** How far a handover is, as operators are shown it. */
  public String handover() {
    return admin.handover();
  }

  /** True while the host reports itself as healthy. */
  public boolean healthy() {
    return admin.healthy();
  }

  /** Where the platform's front ends connect. */
  public InetSocketAddress respAddress() {
    return parts.frontends().platformAddress();
  }

  /** Where uwsgi gateways connect; null where they are off. */
  public InetSocketAddress uwsgiAddress() {
    return parts.frontends().gatewayAddress();
  }

  /** Open connections of the platform's front ends. */
  public int connections() {
    return parts.frontends().platformConnections();
  }

  /** Open connections of uwsgi gateways. */
  public int gatewayConnections() {
    return parts.frontends().gatewayConnections();
  }

  /** Where the admin endpoint listens; null where it is off. */
  public InetSocketAddress adminAddress() {
    return operators.adminAddress();
  }

  /** Where the SNMP agent answers; null where it does not. */
  public InetSocketAddress snmpAddress() {
    return operators.snmpAddress();
  }
}
