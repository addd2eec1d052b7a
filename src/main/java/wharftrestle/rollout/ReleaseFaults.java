package wharftrestle.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Faults of a new release that stop it whatever the metrics say: deaths of daemons, rollbacks by
 * hosts themselves, broken rules. Counted over all stages.
 */
final class ReleaseFaults {
  /** Deaths or rollbacks at one host that are the release's fault and not the host's. */
  private static final int LOOP_COUNT = 2;

  /** Probability below which more deaths on the new release are no coincidence. */
  private static final double COINCIDENCE_PROBABILITY = 0.001;

  /** Keeps the odds finite when no old host is left. */
  private static final double MAX_NEW_FRACTION = 0.999;

  private final Map<String, Integer> deathsByHost = new HashMap<>(); // on the new release
  private final Map<String, Integer> rollbacksByHost = new HashMap<>();
  private int newDeaths;
  private int oldDeaths;
  private double newHostWindows;
  private double oldHostWindows;
  private String fault = "";

  /** One window, with so many hosts on either release. */
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
    if (deaths >= LOOP_COUNT) {
      fault = "the new release died " + deaths + " times at " + host;
    } else if (newDeaths > LOOP_COUNT && newHostWindows > 0 && isNoCoincidence()) {
      fault = "the new release died " + newDeaths + " times, the old one " + oldDeaths + " times";
    }
  }

  void onHostRollback(String host, String reason) {
    int rollbacks = rollbacksByHost.merge(host, 1, Integer::sum);
    if (rollbacks >= LOOP_COUNT) {
      fault = host + " rolled it back by itself " + rollbacks + " times: " + reason;
    }
  }

  void onViolation(String host, String violated) {
    fault = violated + " at " + host;
  }

  /** The latest fault that stops the release; empty for none. */
  String fault() {
    return fault;
  }

  /** Binomial tail: so many of all deaths on the new release, by its share of the time. */
  private boolean isNoCoincidence() {
    int all = newDeaths + oldDeaths;
    double newFraction =
        Math.min(MAX_NEW_FRACTION, newHostWindows / (newHostWindows + oldHostWindows));
    double term = Math.pow(newFraction, all); // all of them on the new release
    double tail = 0;
    for (int i = all; i >= newDeaths; i--) {
      tail += term;
      term *= i / (all - i + 1.0) * (1 - newFraction) / newFraction;
    }
    return tail < COINCIDENCE_PROBABILITY;
  }
}
