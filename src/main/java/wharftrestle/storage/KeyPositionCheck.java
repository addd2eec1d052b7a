package wharftrestle.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.tinylog.Logger;

/**
 * Compares the names of classes and tenants with those under which earlier processes stored their
 * keys. If a position has another name now, a stored key would be read as one of another class or
 * tenant, and the request that it belongs to would run again. Used by the thread that opens the
 * log, before it is read.
 */
final class KeyPositionCheck {
  private final SegmentStore store;

  private KeyPositionCheck(SegmentStore store) {
    this.store = store;
  }

  /**
   * Drops all stored keys if the names disagree; unknown keys then fail for a time. Stores the
   * names of all positions that are known.
   *
   * @param folder of the store, for the log
   */
  static void run(SegmentStore store, KeyNames names, Path folder)
      throws IOException, Segment.ForeignFormatException {
    new KeyPositionCheck(store).run(names, folder);
  }

  private void run(KeyNames names, Path folder) throws IOException, Segment.ForeignFormatException {
    byte[] stored = store.readNames();
    KeyNames earlier = stored == null ? names : KeyNames.decode(stored);
    boolean agrees = earlier != null && names.agreesWith(earlier);
    if (!agrees) {
      Logger.error(
          "stored results were written with other classes or tenants, or in another order; their keys"
              + " are dropped, and requests whose key is unknown fail for a time folder={} before={}"
              + " now={}",
          folder,
          earlier,
          names);
      dropSegments();
    }
    KeyNames known = agrees ? names.mergedWith(earlier) : names;
    if (stored == null || !known.equals(earlier)) {
      store.writeNames(known.encode());
    }
  }

  /**
   * Deletes all segments and leaves them in the manifest. Missing segments make unknown keys fail,
   * also in further starts, until no key of theirs can come again.
   */
  private void dropSegments() throws IOException, Segment.ForeignFormatException {
    long[] segments = store.segmentNumbers();
    if (segments.length == 0) {
      return; // what the manifest lists is missing already
    }
    TreeSet<Long> listed = new TreeSet<>(listedSegments());
    LongStream.of(segments).forEach(listed::add);
    store.writeManifest(Manifest.encode(listed));
    for (long number : segments) {
      store.delete(number);
    }
  }

  /** The segments in the manifest; none if it is missing or corrupt. */
  private List<Long> listedSegments() throws IOException, Segment.ForeignFormatException {
    byte[] manifest = store.readManifest();
    List<Long> listed = manifest == null ? null : Manifest.decode(manifest);
    return listed == null ? List.of() : listed;
  }
}
