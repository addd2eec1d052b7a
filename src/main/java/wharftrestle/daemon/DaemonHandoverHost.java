package wharftrestle.daemon;

import org.tinylog.Logger;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;
import wharftrestle.handover.Capabilities;

/** Applies the effects of a handover to the parts of the daemon. */
final class DaemonHandoverHost implements HandoverHost {
  private static final Capabilities.KeyCapacity CAPACITY_NOT_STATED =
      new Capabilities.KeyCapacity(0, 0, 0, 0);

  private static final long CLOCK_BASE_NOT_STATED = 0;

  private final DaemonParts parts;
  private final LifecycleState state;
  private final Runnable peerExitListener;

  DaemonHandoverHost(DaemonParts parts, LifecycleState state, Runnable peerExitListener) {
    this.parts = parts;
    this.state = state;
    this.peerExitListener = peerExitListener;
  }

  @Override
  public Capabilities capabilities() {
    AdmissionSettings settings = parts.config().settings();
    return new Capabilities(
        parts.version().summaryLine(),
        parts.version().handoverVersions(),
        parts.version().logVersions(),
        parts.storedResults().directory(),
        settings.classes().stream().map(DaemonHandoverHost::requestClass).toList(),
        settings.tenants().stream().map(Admission.Tenant::name).toList(),
        CAPACITY_NOT_STATED,
        CLOCK_BASE_NOT_STATED);
  }

  private static Capabilities.RequestClass requestClass(Admission.RequestClass settings) {
    boolean isKeyed = settings.idempotency() == Admission.Idempotency.IDEMPOTENCY_KEY;
    return new Capabilities.RequestClass(
        settings.name(),
        isKeyed,
        isKeyed ? Math.round(settings.idempotencyWindowSeconds() * 1000) : 0);
  }

  @Override
  public boolean listen(boolean isAlone) {
    return state.isShuttingDown()
        ? parts.frontends().isListening()
        : parts.frontends().listen(isAlone);
  }

  @Override
  public void acceptClients() {
    parts.frontends().accept();
    parts.requests().setRelinquished(false);
    parts.loadReporter().pause(state.isShuttingDown());
  }

  @Override
  public void relinquishClients() {
    parts.loadReporter().pause(true);
    parts.requests().setRelinquished(true);
    parts.frontends().stopListening();
    if (state.current() == Lifecycle.State.SERVING) {
      state.enter(Lifecycle.State.RELINQUISHED);
    }
  }

  @Override
  public void shareResources(boolean isShared) {
    parts.requests().setMaxInFlight(parts.limits().maxRequests() / (isShared ? 2 : 1));
    parts.frontends().shareConnections(isShared);
  }

  @Override
  public boolean openStorage(int attempts) {
    return parts.storedResults().open(attempts);
  }

  @Override
  public boolean storesResults() {
    return parts.storedResults().isEnabled();
  }

  @Override
  public void closeStorage() {
    parts.storedResults().closeForHandover();
  }

  @Override
  public boolean isShuttingDown() {
    return state.isShuttingDown();
  }

  @Override
  public void enterServing() {
    state.enter(Lifecycle.State.SERVING);
  }

  @Override
  public void reportRefusal(String reason) {
    Logger.error(
        "{}: cannot take over, waiting until the predecessor has ended reason={}",
        parts.config().name(),
        reason);
  }

  @Override
  public void failUnknownKeys() {
    double seconds = parts.longestWindowSeconds();
    Logger.warn(
        "{}: keys of the ended peer process are not known here; failing unknown keys seconds={}",
        parts.config().name(),
        Math.round(seconds));
    parts.requests().peer().failUnknownKeysFor(seconds);
  }

  @Override
  public void onPeerExit() {
    peerExitListener.run();
  }
}
