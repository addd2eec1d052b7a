package wharftrestle.rollout.controller;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wharftrestle.rollout.RolloutPlan;
import wharftrestle.settings.BadSettingsException;

/**
 * The plan of a rollout, read from a script in the language of the settings. {@link
 * PlanScriptReader} defines the functions of the script. Immutable.
 *
 * @param plan the plan that the script defines
 * @param clientAddresses address at which clients reach a host, by host name; absent for hosts
 *     without a client address in the script
 * @param windowSeconds over which hosts are compared
 * @param observationSeconds for which the fleet is observed before the first host is changed
 * @param text of the script
 */
public record PlanScript(
    RolloutPlan plan,
    Map<String, String> clientAddresses,
    double windowSeconds,
    double observationSeconds,
    String text) {
  private static final long MAX_FILE_BYTES = 256 * 1024;

  /**
   * Reads a plan.
   *
   * @throws BadSettingsException with a one-line message that has the position of the error
   */
  public static PlanScript read(Path file) throws BadSettingsException {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new BadSettingsException(file + ": longer than " + MAX_FILE_BYTES + " bytes");
      }
      return parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new BadSettingsException(
          file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
    }
  }

  /**
   * Reads a plan from its text.
   *
   * @param name of the text in error messages
   * @throws BadSettingsException with a one-line message that has the position of the error
   */
  public static PlanScript parse(String name, String text) throws BadSettingsException {
    return PlanScriptReader.read(name, text);
  }

  /**
   * Warnings for an operator about a valid plan.
   *
   * @param idempotencyWindowSeconds longest idempotency window of the settings
   */
  public List<String> warnings(double idempotencyWindowSeconds) {
    List<String> warnings = new ArrayList<>();
    for (int i = 0; i + 1 < plan.stages().size(); i++) {
      double holdSeconds = plan.stages().get(i).holdSeconds();
      if (holdSeconds < idempotencyWindowSeconds) {
        warnings.add(
            String.format(
                Locale.ROOT,
                "stage %d holds %.0f s, less than the longest idempotency window (%.0f s): a "
                    + "fault that appears only after that time is found in no stage",
                i + 1,
                holdSeconds,
                idempotencyWindowSeconds));
      }
    }
    long zones = plan.hosts().stream().map(RolloutPlan.Host::zone).distinct().count();
    if (zones > 1 && plan.stages().stream().noneMatch(RolloutPlan.Stage::spreadOverZones)) {
      warnings.add("no stage spreads over zones: all hosts of one zone may be changed first");
    }
    if (plan.criteria().limits().isEmpty()) {
      warnings.add("no metric is compared: only daemon deaths and broken rules stop the rollout");
    }
    return warnings;
  }
}
