package wharftrestle.rollout;

import java.util.Map;

/**
 * By what a new release is compared with the old one.
 *
 * @param limits loss at which a release must not go on, by metric; absent metrics are not compared
 * @param errorProbability that a release that does no worse is stopped, over all stages and metrics
 * @param warmUpSeconds of a daemon's life that do not count
 */
public record CanaryCriteria(
    Map<CanaryMetric, Double> limits, double errorProbability, double warmUpSeconds) {}
