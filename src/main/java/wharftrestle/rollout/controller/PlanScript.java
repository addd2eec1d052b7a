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
 * The plan of a rolling change, as a script in the settings' language. {@link PlanScriptReader} has
 * its words. Immutable.
 *
 * @param plan by which is decided
 * @param clientAddresses where clients reach each host, by its name; absent if the script says none
 * @param windowSeconds over which hosts are compared
 * @param observationSeconds for which the fleet is observed before the first host goes
 * @param text as it was read
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
   * @throws BadSettingsException in one line, with the place of what is wrong
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
   * @param name of the text in errors
   * @throws BadSettingsException in one line, with the place of what is wrong
   */
  public static PlanScript parse(String name, String text) throws BadSettingsException {
    return PlanScriptReader.read(name, text);
  }

  /**
   * What an operator should still look at in a plan that can be carried out.
   *
   * @param idempotencyWindowSeconds the longest of the settings
   */
  public List<String> warnings(double idempotencyWindowSeconds) {
    List<String> warnings = new ArrayList<>();
    for (int i = 0; i + 1 < plan.stages().size(); i++) {
      double holdSeconds = plan.stages().get(i).holdSeconds();
      if (holdSeconds < idempotencyWindowSeconds) {
        warnings.add(
            String.format(
                Locale.ROOT,
                "stage %d holds %.0f s, less than the longest window of keys (%.0f s): what "
                    + "shows only after it shows in no stage",
                i + 1,
                holdSeconds,
                idempotencyWindowSeconds));
      }
    }
    long zones = plan.hosts().stream().map(RolloutPlan.Host::zone).distinct().count();
    if (zones > 1 && plan.stages().stream().noneMatch(RolloutPlan.Stage::spreadOverZones)) {
      warnings.add("no stage spreads over zones: a whole zone may go first");
    }
    if (plan.criteria().limits().isEmpty()) {
      warnings.add("nothing is compared: only deaths and broken rules stop the change");
    }
    return warnings;
  }
}
