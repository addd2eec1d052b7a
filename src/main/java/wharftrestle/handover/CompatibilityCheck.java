package wharftrestle.handover;

import java.util.List;
import java.util.Objects;

/**
 * Whether one process can hand over to another, told from what both say of themselves. Both sides
 * ask it, so that a later build can know of a reason that an earlier one does not. It must never
 * let through what would be lost: what cannot be carried is a reason here.
 */
public interface CompatibilityCheck {

  /**
   * Why it cannot be; null where it can.
   *
   * @param serves the process that serves
   * @param next the one that would take over
   */
  String incompatibility(Capabilities serves, Capabilities next);

  /** One key in so many may come on top of what is known now until all is handed over. */
  int GROWTH = 10;

  /** What holds. */
  CompatibilityCheck DEFAULT = CompatibilityCheck::standing;

  private static String standing(Capabilities serves, Capabilities next) {
    if (serves.handoverVersions().newestCommon(next.handoverVersions()) < 2) {
      return "the hand-over's words have no version in common: "
          + serves.handoverVersions()
          + " here, "
          + next.handoverVersions()
          + " there";
    }
    String folders = folders(serves, next);
    if (folders != null) {
      return folders;
    }
    for (int i = 0;
        i < Math.min(serves.requestClasses().size(), next.requestClasses().size());
        i++) {
      Capabilities.RequestClass here = serves.requestClasses().get(i);
      Capabilities.RequestClass there = next.requestClasses().get(i);
      if (!here.name().equals(there.name())) {
        return "class "
            + (i + 1)
            + " is '"
            + here.name()
            + "' here and '"
            + there.name()
            + "' there: keys are known by their class's place";
      }
      if (here.isKeyed() != there.isKeyed()) {
        return "class '"
            + here.name()
            + "' has keys "
            + (here.isKeyed() ? "here" : "there")
            + " only";
      }
    }
    String tenants = tenants(serves.tenants(), next.tenants());
    if (tenants != null) {
      return tenants;
    }
    return room(serves, next);
  }

  /**
   * Keys must fit; where their results do not, those are let go, the key stays and its tries fail.
   * Where there is as much room there as here, all that can come to be known goes along.
   */
  private static String room(Capabilities serves, Capabilities next) {
    Capabilities.KeyCapacity here = serves.keyCapacity();
    Capabilities.KeyCapacity there = next.keyCapacity();
    if (there.maxKeys() < here.maxKeys() && here.keys() + here.keys() / GROWTH > there.maxKeys()) {
      return here.keys()
          + " keys are known here, and there is room for "
          + there.maxKeys()
          + " there";
    }
    return null;
  }

  private static String folders(Capabilities serves, Capabilities next) {
    if (serves.storageDirectory().isEmpty()) {
      return null;
    }
    if (next.storageDirectory().isEmpty()) {
      return "results are kept in " + serves.storageDirectory() + " here, and nowhere there";
    }
    if (!Objects.equals(serves.storageDirectory(), next.storageDirectory())) {
      return "results are kept in "
          + serves.storageDirectory()
          + " here, and in "
          + next.storageDirectory()
          + " there";
    }
    if (!next.logVersions().contains(serves.logVersions().newest())) {
      return "files of kept results are of version "
          + serves.logVersions().newest()
          + ", which is not read there ("
          + next.logVersions()
          + ")";
    }
    if (!serves.logVersions().contains(next.logVersions().newest())) {
      return "files of kept results would be of version "
          + next.logVersions().newest()
          + " from then on, which is not read here"
          + " ("
          + serves.logVersions()
          + "): there would be no way back";
    }
    return null;
  }

  private static String tenants(List<String> here, List<String> there) {
    for (int i = 0; i < Math.min(here.size(), there.size()); i++) {
      if (!here.get(i).equals(there.get(i))) {
        return "tenant "
            + (i + 1)
            + " is '"
            + here.get(i)
            + "' here and '"
            + there.get(i)
            + "' there: keys are known by their tenant's place";
      }
    }
    // With tenants on one side alone, what has none here would be the first tenant's there.
    return here.isEmpty() == there.isEmpty() ? null : "only one of both has tenants";
  }

  /**
   * Seconds by which what is known is stretched: the longest that a window there is longer than
   * here.
   */
  static double windowExtensionSeconds(Capabilities serves, Capabilities next) {
    double most = 0;
    for (int i = 0;
        i < Math.min(serves.requestClasses().size(), next.requestClasses().size());
        i++) {
      most =
          Math.max(
              most,
              (next.requestClasses().get(i).windowMillis()
                      - serves.requestClasses().get(i).windowMillis())
                  / 1000.0);
    }
    return most;
  }
}
