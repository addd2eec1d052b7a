package wharftrestle.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Faults that fail a new release whatever its metrics are: daemon deaths, rollbacks that hosts
 * start on their own, and broken rules. Counted over all stages. Not thread-safe.
 */
final class ReleaseFaults {
  /** Number of deaths or rollbacks at one host that are attributed to the release. */
  private static final int REPEAT_THRESHOLD = 2;

  /** Significance level at which additional deaths on the new release fail it. */
  private static final double SIGNIFICANCE_LEVEL = 0.001;

  /** Upper bound on the fraction of new hosts, so that the odds are finite without an old host. */
  private static final double MAX_NEW_FRACTION = 0.999;

  private final Map<String, Integer> deathsByHost = new HashMap<>(); // on the new release
  private final Map<String, Integer> rollbacksByHost = new HashMap<>();
  private int newDeaths;
  private int oldDeaths;
  private double newHostWindows;
  private double oldHostWindows;
  private String fault = "";

  /** Records one window with the number of hosts on each release. */
  void addWindow(long newHosts, long oldHosts) {
    newHostWindows += newHosts;
    oldHostWindows += oldHosts;
  }

  void onDaemonDeath(String host, boolean onNewRelease) {
    if (!onNewRelease) {
      oldDeaths++;
      return;
    }
    newDeaths++;
    int deaths = deathsByHost.merge(host, 1, Integer::sum);
    if (deaths >= REPEAT_THRESHOLD) {
      fault = "the new release died " + deaths + " times at " + host;
    } else if (newDeaths > REPEAT_THRESHOLD && newHostWindows > 0 && areNewDeathsSignificant()) {
      fault = "the new release died " + newDeaths + " times, the old one " + oldDeaths + " times";
    }
  }

  void onHostRollback(String host, String reason) {
    int rollbacks = rollbacksByHost.merge(host, 1, Integer::sum);
    if (rollbacks >= REPEAT_THRESHOLD) {
      fault = host + " rolled the release back on its own " + rollbacks + " times: " + reason;
    }
  }

  void onViolation(String host, String violated) {
    fault = violated + " at " + host;
  }

  /** The latest fault that fails the release; empty for none. */
  String fault() {
    return fault;
  }

  /**
   * Binomial test: the probability of at least this many of all deaths on the new release, given
   * its fraction of the host time.
   */
  private boolean areNewDeathsSignificant() {
    int totalDeaths = newDeaths + oldDeaths;
    double newFraction =
        Math.min(MAX_NEW_FRACTION, newHostWindows / (newHostWindows + oldHostWindows));
    double term = StrictMath.pow(newFraction, totalDeaths); // all deaths on the new release
    double tail = 0;
    for (int i = totalDeaths; i >= newDeaths; i--) {
      tail += term;
      term *= i / (totalDeaths - i + 1.0) * (1 - newFraction) / newFraction;
    }
    return tail < SIGNIFICANCE_LEVEL;
  }
}
