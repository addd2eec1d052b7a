package wharftrestle.daemon;

import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;
import wharftrestle.config.DaemonConfig;
import wharftrestle.discovery.LoadReporter;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.metrics.Counters;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.upstream.StoreClient;
import wharftrestle.upstream.WorkerPoolClient;
import wharftrestle.version.BuildInfo;
import wharftrestle.version.Version;

/**
 * The parts of a daemon that serve requests, assembled from its configuration. The assembly opens
 * no resource and starts no thread.
 */
record DaemonParts(
    DaemonConfig config,
    ResourceLimits limits,
    Counters counters,
    RequestCoordinator requests,
    WorkerPoolClient workerPool,
    StoreClient store,
    LoadReporter loadReporter,
    Frontends frontends,
    StoredResults storedResults,
    Version version) {

  static DaemonParts assemble(
      DaemonConfig config, DaemonConfig.Appliance appliance, KeyMemoryBudget keyMemory) {
    ResourceLimits limits =
        ResourceLimits.of(config, appliance.uwsgi() != null, Runtime.getRuntime().maxMemory());
    Counters counters =
        new Counters(
            config.settings().classes().stream().map(Admission.RequestClass::name).toList());
    RequestCoordinator requests =
        new RequestCoordinator(
            config.settings(),
            config.seed(),
            limits.maxRequests(),
            keyMemory,
            AdmissionController::new,
            counters);
    return new DaemonParts(
        config,
        limits,
        counters,
        requests,
        new WorkerPoolClient(config.pool(), requests, counters),
        new StoreClient(config.db(), limits.descriptors().calls(), counters),
        new LoadReporter(config.name(), config.naming(), counters),
        new Frontends(config, appliance, limits, requests, counters),
        new StoredResults(appliance.durable(), requests, longestWindowSeconds(config)),
        BuildInfo.describe(config.canonical(appliance)));
  }

  /** Longest idempotency window of all classes, including the slack of the table. */
  double longestWindowSeconds() {
    return longestWindowSeconds(config);
  }

  private static double longestWindowSeconds(DaemonConfig config) {
    return IdempotencyTable.WINDOW_SLACK_SECONDS
        + config.settings().classes().stream()
            .mapToDouble(Admission.RequestClass::idempotencyWindowSeconds)
            .max()
            .orElse(0);
  }
}
