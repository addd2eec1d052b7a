package wharftrestle.admission;

import java.util.List;

/**
 * Reduces the weight of requests of tenants over their quota. An instance sees its share of the
 * traffic, so the rate of a tenant is compared with the quota divided by the number of hosts.
 */
final class TenantQuota {
  /** Seconds over which request rates are averaged: a few dozen requests. */
  private static final double RATE_SPAN_SECONDS = 10;

  private static final double MIN_RATE = 1e-9;

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

  /** Records an arrival. Retries are not counted, since they are no additional work. */
  void recordArrival(double now, Admission.Request request) {
    int tenant = request.tenantIndex();
    if (tenant < rates.length && !request.retry()) {
      rates[tenant] =
          rates[tenant] * StrictMath.exp((lastArrivals[tenant] - now) / RATE_SPAN_SECONDS)
              + 1 / RATE_SPAN_SECONDS;
      lastArrivals[tenant] = now;
    }
  }

  /** Returns the factor of a request's weight; 1 within the quota. */
  double weightFactor(Admission.Request request) {
    int tenant = request.tenantIndex();
    if (tenant >= tenants.size() || hosts <= 0) {
      return 1;
    }
    double allowed = tenants.get(tenant).quotaPerSecond() / hosts;
    double within = Math.min(1, allowed / Math.max(rates[tenant], MIN_RATE));
    return within + (1 - within) * weightOverQuota;
  }
}
