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
  String against(Capabilities serves, Capabilities next);

  /** One key in so many may come on top of what is known now until all is handed over. */
  int GROWTH = 10;

  /** What holds. */
  CompatibilityCheck STANDING = CompatibilityCheck::standing;

  private static String standing(Capabilities serves, Capabilities next) {
    if (serves.speaks().common(next.speaks()) < 2) {
      return "the hand-over's words have no version in common: "
          + serves.speaks()
          + " here, "
          + next.speaks()
          + " there";
    }
    String folders = folders(serves, next);
    if (folders != null) {
      return folders;
    }
    for (int i = 0; i < Math.min(serves.classes().size(), next.classes().size()); i++) {
      Capabilities.Kind here = serves.classes().get(i);
      Capabilities.Kind there = next.classes().get(i);
      if (!here.name().equals(there.name())) {
        return "class "
            + (i + 1)
            + " is '"
            + here.name()
            + "' here and '"
            + there.name()
            + "' there: keys are known by their class's place";
      }
      if (here.keyed() != there.keyed()) {
        return "class '"
            + here.name()
            + "' has keys "
            + (here.keyed() ? "here" : "there")
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
    Capabilities.Room here = serves.room();
    Capabilities.Room there = next.room();
    if (there.mostKeys() < here.mostKeys()
        && here.keys() + here.keys() / GROWTH > there.mostKeys()) {
      return here.keys()
          + " keys are known here, and there is room for "
          + there.mostKeys()
          + " there";
    }
    return null;
  }

  private static String folders(Capabilities serves, Capabilities next) {
    if (serves.folder().isEmpty()) {
      return null;
    }
    if (next.folder().isEmpty()) {
      return "results are kept in " + serves.folder() + " here, and nowhere there";
    }
    if (!Objects.equals(serves.folder(), next.folder())) {
      return "results are kept in " + serves.folder() + " here, and in " + next.folder() + " there";
    }
    if (!next.log().holds(serves.log().most())) {
      return "files of kept results are of version "
          + serves.log().most()
          + ", which is not read there ("
          + next.log()
          + ")";
    }
    if (!serves.log().holds(next.log().most())) {
      return "files of kept results would be of version "
          + next.log().most()
          + " from then on, which is not read here"
          + " ("
          + serves.log()
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
  static double stretch(Capabilities serves, Capabilities next) {
    double most = 0;
    for (int i = 0; i < Math.min(serves.classes().size(), next.classes().size()); i++) {
      most =
          Math.max(
              most, (next.classes().get(i).window() - serves.classes().get(i).window()) / 1000.0);
    }
    return most;
  }
}
