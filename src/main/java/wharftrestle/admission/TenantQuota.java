package wharftrestle.admission;

import java.util.List;

/**
 * Weighs requests by their tenant's quota: what exceeds it has a fraction of its weight. An
 * instance sees its part of the traffic, so that its part of the quota counts.
 */
final class TenantQuota {
  /** Seconds over which rates are averaged: some dozens of requests. */
  private static final double RATE_SPAN_SECONDS = 10;

  private static final double LEAST_RATE = 1e-9;

  private final List<Admission.Tenant> tenants;
  private final int hosts;
  private final double weightOverQuota;
  private final double[] rates;
  private final double[] lastArrivals;

  TenantQuota(AdmissionSettings settings) {
    tenants = settings.tenants();
    hosts = settings.fleet().hosts();
    weightOverQuota = settings.weighting().overQuota();
    rates = new double[Math.max(1, tenants.size())];
    lastArrivals = new double[rates.length];
  }

  /** Counts an arrival; retries are not counted, since they are no further work of the tenant. */
  void recordArrival(double now, Admission.Request request) {
    int tenant = request.tenantIndex();
    if (tenant < rates.length && !request.retry()) {
      rates[tenant] =
          rates[tenant] * Math.exp((lastArrivals[tenant] - now) / RATE_SPAN_SECONDS)
              + 1 / RATE_SPAN_SECONDS;
      lastArrivals[tenant] = now;
    }
  }

  /** Returns the factor by which a request's weight is reduced; 1 within the quota. */
  double weightFactor(Admission.Request request) {
    int tenant = request.tenantIndex();
    if (tenant >= tenants.size() || hosts <= 0) {
      return 1;
    }
    double allowed = tenants.get(tenant).quotaPerSecond() / hosts;
    double within = Math.min(1, allowed / Math.max(rates[tenant], LEAST_RATE));
    return within + (1 - within) * weightOverQuota;
  }
}
