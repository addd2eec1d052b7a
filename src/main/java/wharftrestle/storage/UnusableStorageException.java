package wharftrestle.storage;

import java.io.IOException;

/**
 * A folder of the write-ahead log that is another process's, foreign, of a newer version, or cannot
 * be written; the message says so in one line.
 */
public final class UnusableStorageException extends IOException {
  private static final long serialVersionUID = 1L;

  UnusableStorageException(String message) {
    super(message);
  }

  UnusableStorageException(String message, Throwable cause) {
    super(message, cause);
  }
}
