package wharftrestle.daemon;

import java.util.List;
import java.util.Map;
import org.tinylog.Logger;
import wharftrestle.admin.AdminServer;
import wharftrestle.admin.RolloutStatus;
import wharftrestle.admission.Admission;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.version.Version;

/** Gives the admin endpoint and the SNMP agent access to the daemon. Thread-safe. */
final class DaemonAdmin implements AdminServer.Daemon {
  private final DaemonParts parts;
  private final LifecycleState state;
  private final HandoverCoordinator handover;
  private final Runnable shutdownRequest;
  private volatile RolloutStatus rolloutStatus = RolloutStatus.NONE;

  /**
   * @param shutdownRequest requests a graceful shutdown of the daemon
   */
  DaemonAdmin(
      DaemonParts parts,
      LifecycleState state,
      HandoverCoordinator handover,
      Runnable shutdownRequest) {
    this.parts = parts;
    this.state = state;
    this.handover = handover;
    this.shutdownRequest = shutdownRequest;
  }

  @Override
  public String name() {
    return parts.config().name();
  }

  @Override
  public String phase() {
    return state.current().publishedName();
  }

  @Override
  public int phaseNumber() {
    return state.current().publishedNumber();
  }

  @Override
  public boolean ready() {
    return state.current() == Lifecycle.State.SERVING
        && parts.requests().isReady()
        && parts.frontends().isListening();
  }

  @Override
  public boolean linked() {
    return parts.workerPool().linked();
  }

  @Override
  public boolean healthy() {
    return parts.requests().isHealthy();
  }

  @Override
  public double upSeconds() {
    return state.uptimeSeconds();
  }

  @Override
  public Counters counters() {
    return parts.counters();
  }

  @Override
  public Map<ResultMetric, Long> results() {
    return parts.requests().resultMetrics();
  }

  @Override
  public Version version() {
    return parts.version();
  }

  @Override
  public String handover() {
    String reason = handover.refusalReason();
    return handover.state().publishedName() + (reason.isEmpty() ? "" : ": " + reason);
  }

  @Override
  public List<Admission.RequestClass> classes() {
    return parts.config().settings().classes();
  }

  @Override
  public RolloutStatus fleet() {
    return rolloutStatus;
  }

  @Override
  public void fleet(RolloutStatus status) {
    rolloutStatus = status;
  }

  @Override
  public boolean lameDuck(boolean isOn) {
    if (!isOn && state.isShuttingDown()) {
      return false;
    }
    parts.requests().setDraining(isOn);
    Logger.info(
        "{}: lame duck mode={} set at the admin endpoint; health checks and load reports show unhealthy"
            + " while it is on",
        name(),
        isOn ? "on" : "off");
    return true;
  }

  @Override
  public void leave() {
    shutdownRequest.run();
  }
}
