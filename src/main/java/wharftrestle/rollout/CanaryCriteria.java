package wharftrestle.rollout;

import java.util.Map;

/**
 * The criteria by which a new release is compared with the old one.
 *
 * @param limits loss at which a rollout must not continue, by metric; metrics without a limit are
 *     not compared
 * @param errorProbability of stopping a release that is no worse, over all stages and metrics
 * @param warmUpSeconds after a daemon's start that are not compared
 */
public record CanaryCriteria(
    Map<CanaryMetric, Double> limits, double errorProbability, double warmUpSeconds) {}
