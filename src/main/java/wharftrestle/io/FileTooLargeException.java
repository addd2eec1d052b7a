package wharftrestle.io;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown instead of reading a file that is longer than its reader allows. */
public final class FileTooLargeException extends IOException {
  private static final long serialVersionUID = 1L;

  FileTooLargeException(Path path, int maxBytes) {
    super(path + " is longer than " + maxBytes + " bytes");
  }
}
