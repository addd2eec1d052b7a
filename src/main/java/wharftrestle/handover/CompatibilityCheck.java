package wharftrestle.handover;

import java.util.List;
import java.util.Optional;
import wharftrestle.handover.Capabilities.KeyCapacity;
import wharftrestle.handover.Capabilities.RequestClass;
import wharftrestle.version.VersionRange;

/**
 * Decides from the capabilities of two processes whether one can take over from the other. Both
 * processes run the check, so that a later build can detect an incompatibility that an earlier one
 * does not. Any loss that a takeover would cause makes the two incompatible. Stateless.
 */
public interface CompatibilityCheck {

  /**
   * Returns in one line why the successor cannot take over from the predecessor; empty if it can.
   *
   * @param predecessor the process that serves
   * @param successor the process that would take over
   */
  Optional<String> incompatibility(Capabilities predecessor, Capabilities successor);

  /** The check of all released builds. */
  CompatibilityCheck DEFAULT = CompatibilityCheck::firstIncompatibility;

  /**
   * Number of known keys for each additional key that is allowed for, as keys become known during
   * the handover.
   */
  int KEYS_PER_ADDITIONAL_KEY = 10;

  /** Oldest handover format that compares capabilities. */
  int OLDEST_COMPARING_VERSION = 2;

  /**
   * Seconds by which the successor extends the time for which received keys stay known: the largest
   * amount by which one of its idempotency windows exceeds the predecessor's.
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

  private static Optional<String> incompatibleHandover(
      VersionRange predecessor, VersionRange successor) {
    return predecessor.newestCommon(successor) >= OLDEST_COMPARING_VERSION
        ? Optional.empty()
        : Optional.of(
            "no common handover format: predecessor " + predecessor + ", successor " + successor);
  }

  private static Optional<String> incompatibleStorage(
      Capabilities predecessor, Capabilities successor) {
    String predecessorDirectory = predecessor.storageDirectory();
    String successorDirectory = successor.storageDirectory();
    if (predecessorDirectory.isEmpty()) {
      return Optional.empty();
    }
    if (successorDirectory.isEmpty()) {
      return Optional.of(
          "the predecessor stores results in "
              + predecessorDirectory
              + ", the successor stores none");
    }
    if (!predecessorDirectory.equals(successorDirectory)) {
      return Optional.of(
          "the predecessor stores results in "
              + predecessorDirectory
              + ", the successor in "
              + successorDirectory);
    }
    return incompatibleLog(predecessor.logVersions(), successor.logVersions());
  }

  private static Optional<String> incompatibleLog(
      VersionRange predecessor, VersionRange successor) {
    if (!successor.contains(predecessor.newest())) {
      return Optional.of(
          "the predecessor writes log format "
              + predecessor.newest()
              + ", which the successor does not read ("
              + successor
              + ")");
    }
    if (!predecessor.contains(successor.newest())) {
      return Optional.of(
          "the successor writes log format "
              + successor.newest()
              + ", which the predecessor does not read ("
              + predecessor
              + "): a rollback would not be possible");
    }
    return Optional.empty();
  }

  private static Optional<String> incompatibleClasses(
      Capabilities predecessor, Capabilities successor) {
    for (int i = 0; i < commonClasses(predecessor, successor); i++) {
      RequestClass predecessorClass = predecessor.requestClasses().get(i);
      RequestClass successorClass = successor.requestClasses().get(i);
      if (!predecessorClass.name().equals(successorClass.name())) {
        return Optional.of(
            "class "
                + (i + 1)
                + " is '"
                + predecessorClass.name()
                + "' in the predecessor and '"
                + successorClass.name()
                + "' in the successor: keys are known by their class's place");
      }
      if (predecessorClass.isKeyed() != successorClass.isKeyed()) {
        return Optional.of(
            "class '"
                + predecessorClass.name()
                + "' has idempotency keys only in the "
                + (predecessorClass.isKeyed() ? "predecessor" : "successor"));
      }
    }
    return Optional.empty();
  }

  private static Optional<String> incompatibleTenants(
      List<String> predecessor, List<String> successor) {
    for (int i = 0; i < Math.min(predecessor.size(), successor.size()); i++) {
      if (!predecessor.get(i).equals(successor.get(i))) {
        return Optional.of(
            "tenant "
                + (i + 1)
                + " is '"
                + predecessor.get(i)
                + "' in the predecessor and '"
                + successor.get(i)
                + "' in the successor: keys hold the index of their tenant");
      }
    }
    // If only one process has tenants, a request without a tenant in the one would belong to the
    // first tenant in the other.
    return predecessor.isEmpty() == successor.isEmpty()
        ? Optional.empty()
        : Optional.of("only one of the two processes has tenants");
  }

  /**
   * The successor must have space for all keys, but not for all results: a result without space is
   * dropped, its key stays known, and duplicates of it fail. A successor with the same capacity as
   * the predecessor has space for all of its keys.
   */
  private static Optional<String> insufficientKeyCapacity(
      KeyCapacity predecessor, KeyCapacity successor) {
    return successor.maxKeys() < predecessor.maxKeys()
            && predecessor.keys() + predecessor.keys() / KEYS_PER_ADDITIONAL_KEY
                > successor.maxKeys()
        ? Optional.of(
            predecessor.keys()
                + " keys are known here, and there is room for "
                + successor.maxKeys()
                + " there")
        : Optional.empty();
  }
}
