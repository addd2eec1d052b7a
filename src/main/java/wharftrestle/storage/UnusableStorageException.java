package wharftrestle.storage;

import java.io.IOException;

/**
 * Thrown if the folder of the write-ahead log cannot be used: another process holds its lock, its
 * format is foreign or newer, or it cannot be read or written. The message is one line.
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
