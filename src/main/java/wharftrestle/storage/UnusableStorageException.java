package wharftrestle.storage;

import java.io.IOException;

/**
 * A folder of kept results that is another process's, foreign, of a newer version or not to be
 * written: one line.
 */
public final class UnusableStorageException extends IOException {
  private static final long serialVersionUID = 1L;

  UnusableStorageException(String message) {
    super(message);
  }
}
