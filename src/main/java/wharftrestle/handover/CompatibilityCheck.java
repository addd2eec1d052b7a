package wharftrestle.handover;

import java.util.List;
import java.util.Optional;
import wharftrestle.handover.Capabilities.KeyCapacity;
import wharftrestle.handover.Capabilities.RequestClass;
import wharftrestle.version.VersionRange;

/**
 * Decides from the capabilities of two processes whether one can take over from the other. Both
 * processes ask it, so that a later build can know of a reason that an earlier one does not.
 * Whatever a takeover would lose is a reason here. Stateless.
 */
public interface CompatibilityCheck {

  /**
   * Why the one cannot take over from the other, in one line; empty where it can.
   *
   * @param predecessor the process that serves
   * @param successor the process that would take over
   */
  Optional<String> incompatibility(Capabilities predecessor, Capabilities successor);

  /** The check of every shipped build. */
  CompatibilityCheck DEFAULT = CompatibilityCheck::firstIncompatibility;

  /** One further key for so many known ones may come to be known during the handover. */
  int KEYS_PER_ADDITIONAL_KEY = 10;

  /** The oldest handover format that compares capabilities. */
  int OLDEST_COMPARING_VERSION = 2;

  /**
   * Seconds by which keys that a successor receives stay known for longer: the longest difference
   * by which one of its idempotency windows exceeds the predecessor's.
   */
  static double windowExtensionSeconds(Capabilities predecessor, Capabilities successor) {
    long longestMillis = 0;
    for (int i = 0; i < commonClasses(predecessor, successor); i++) {
      longestMillis =
          Math.max(
              longestMillis,
              successor.requestClasses().get(i).windowMillis()
                  - predecessor.requestClasses().get(i).windowMillis());
    }
    return longestMillis / 1000.0;
  }

  private static int commonClasses(Capabilities predecessor, Capabilities successor) {
    return Math.min(predecessor.requestClasses().size(), successor.requestClasses().size());
  }

  private static Optional<String> firstIncompatibility(
      Capabilities predecessor, Capabilities successor) {
    return incompatibleHandover(predecessor.handoverVersions(), successor.handoverVersions())
        .or(() -> incompatibleStorage(predecessor, successor))
        .or(() -> incompatibleClasses(predecessor, successor))
        .or(() -> incompatibleTenants(predecessor.tenants(), successor.tenants()))
        .or(() -> insufficientKeyCapacity(predecessor.keyCapacity(), successor.keyCapacity()));
  }

  private static Optional<String> incompatibleHandover(VersionRange here, VersionRange there) {
    return here.newestCommon(there) >= OLDEST_COMPARING_VERSION
        ? Optional.empty()
        : Optional.of(
            "the hand-over's words have no version in common: "
                + here
                + " here, "
                + there
                + " there");
  }

  private static Optional<String> incompatibleStorage(
      Capabilities predecessor, Capabilities successor) {
    String here = predecessor.storageDirectory();
    String there = successor.storageDirectory();
    if (here.isEmpty()) {
      return Optional.empty();
    }
    if (there.isEmpty()) {
      return Optional.of("results are kept in " + here + " here, and nowhere there");
    }
    if (!here.equals(there)) {
      return Optional.of("results are kept in " + here + " here, and in " + there + " there");
    }
    return incompatibleLog(predecessor.logVersions(), successor.logVersions());
  }

  private static Optional<String> incompatibleLog(VersionRange here, VersionRange there) {
    if (!there.contains(here.newest())) {
      return Optional.of(
          "files of kept results are of version "
              + here.newest()
              + ", which is not read there ("
              + there
              + ")");
    }
    if (!here.contains(there.newest())) {
      return Optional.of(
          "files of kept results would be of version "
              + there.newest()
              + " from then on, which is not read here ("
              + here
              + "): there would be no way back");
    }
    return Optional.empty();
  }

  private static Optional<String> incompatibleClasses(
      Capabilities predecessor, Capabilities successor) {
    for (int i = 0; i < commonClasses(predecessor, successor); i++) {
      RequestClass here = predecessor.requestClasses().get(i);
      RequestClass there = successor.requestClasses().get(i);
      if (!here.name().equals(there.name())) {
        return Optional.of(
            "class "
                + (i + 1)
                + " is '"
                + here.name()
                + "' here and '"
                + there.name()
                + "' there: keys are known by their class's place");
      }
      if (here.isKeyed() != there.isKeyed()) {
        return Optional.of(
            "class '"
                + here.name()
                + "' has keys "
                + (here.isKeyed() ? "here" : "there")
                + " only");
      }
    }
    return Optional.empty();
  }

  private static Optional<String> incompatibleTenants(List<String> here, List<String> there) {
    for (int i = 0; i < Math.min(here.size(), there.size()); i++) {
      if (!here.get(i).equals(there.get(i))) {
        return Optional.of(
            "tenant "
                + (i + 1)
                + " is '"
                + here.get(i)
                + "' here and '"
                + there.get(i)
                + "' there: keys are known by their tenant's place");
      }
    }
    // With tenants on one side alone, a request of no tenant here would be the first tenant's
    // there.
    return here.isEmpty() == there.isEmpty()
        ? Optional.empty()
        : Optional.of("only one of both has tenants");
  }

  /**
   * Keys must fit. Results need not: one that finds no space is dropped, its key stays known, and
   * duplicates of it fail. A successor with as much space can take whatever the predecessor knows.
   */
  private static Optional<String> insufficientKeyCapacity(KeyCapacity here, KeyCapacity there) {
    return there.maxKeys() < here.maxKeys()
            && here.keys() + here.keys() / KEYS_PER_ADDITIONAL_KEY > there.maxKeys()
        ? Optional.of(
            here.keys()
                + " keys are known here, and there is room for "
                + there.maxKeys()
                + " there")
        : Optional.empty();
  }
}
