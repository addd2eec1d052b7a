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
 * A daemon from its start to its exit. It assembles the {@linkplain DaemonParts parts} and runs the
 * start sequence. While two processes serve one host, {@link HandoverCoordinator} decides on the
 * next steps; {@link GracefulShutdown} runs the shutdown. Thread-safe.
 */
public final class Lifecycle implements AutoCloseable {

  /**
   * The states from start to exit, in order. From RELINQUISHED on, another process serves the
   * clients of this host. The only step back is from RELINQUISHED to SERVING, if the successor ends
   * early.
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

    /** The name under which the SNMP agent and the admin endpoint show this state. */
    String publishedName() {
      return publishedName;
    }
  }

  /** Source of the configuration. */
  public interface ConfigSource {
    /**
     * Reads the current configuration.
     *
     * @throws DaemonConfig.BadConfigException if the configuration is invalid
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
  private volatile boolean hasFailed;

  /**
   * Assembles a daemon and binds its addresses. If another process of this host serves already, the
   * clients' addresses are bound when this process takes over, and the operators' addresses when
   * the other process has ended.
   *
   * @throws IOException if an address cannot be bound, or the stored results cannot be opened
   */
  public Lifecycle(DaemonConfig config, DaemonConfig.Appliance appliance) throws IOException {
    this(config, appliance, KeyMemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()));
  }

  /** Assembles a daemon whose memory budget of keys is not derived from the heap. */
  public Lifecycle(DaemonConfig config, DaemonConfig.Appliance appliance, KeyMemoryBudget keyMemory)
      throws IOException {
    this(config, appliance, keyMemory, CompatibilityCheck.DEFAULT);
  }

  /** Assembles a daemon with another compatibility check for handovers. */
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
    parts.workerPool().onMemoryExhausted(this::failForLackOfMemory);
    bind();
  }

  /** Ends a process that cannot serve, so that it can be started again. */
  private void failForLackOfMemory() {
    hasFailed = true;
    shutdown.request();
  }

  private void bind() throws IOException {
    boolean isStandby = handover.isStandby();
    if (!isStandby) {
      parts.storedResults().open();
      parts.frontends().listenAtStart();
    }
    if (!operators.open() && !isStandby) {
      close();
      throw new BindException("address of the admin endpoint or the SNMP agent is not available");
    }
  }

  private void openOperatorsWhenFree() {
    operators.openWhenFree();
  }

  /** Starts to serve, or to take over from the process that serves. */
  public void start() {
    Logger.info("{}: starting {}", parts.config().name(), parts.version().summaryLine());
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
   * Applies the addresses of a new configuration while serving; its other values need a restart. An
   * invalid configuration changes nothing.
   */
  public void reload(ConfigSource source) {
    configReload.apply(source);
  }

  /** Requests a graceful shutdown; only the first request has an effect. */
  public void leave() {
    shutdown.request();
  }

  /** Waits for a shutdown request, drains, and returns when the process may end. */
  public void serveUntilStopped() throws InterruptedException {
    shutdown.awaitRequestAndDrain();
  }

  /** True if the process ends because memory did not suffice to serve. */
  public boolean hasFailed() {
    return hasFailed;
  }

  /** Releases all addresses and closes open connections at once. */
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

  /** The counters of the daemon. */
  public Counters counters() {
    return parts.counters();
  }

  /** The state of the handover, as shown to operators. */
  public String handover() {
    return admin.handover();
  }

  /** True while the host reports itself as healthy. */
  public boolean healthy() {
    return admin.healthy();
  }

  /** The address at which the platform's front ends connect. */
  public InetSocketAddress respAddress() {
    return parts.frontends().platformAddress();
  }

  /** The address at which uwsgi gateways connect; null if they are off. */
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

  /** The address of the admin endpoint; null if it is off. */
  public InetSocketAddress adminAddress() {
    return operators.adminAddress();
  }

  /** The address of the SNMP agent; null if it does not run. */
  public InetSocketAddress snmpAddress() {
    return operators.snmpAddress();
  }
}
