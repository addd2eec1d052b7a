package wharftrestle.frontend;

import java.io.IOException;

/** A well-framed request whose content is invalid: it is answered with an error. */
final class InvalidRequestException extends IOException {
  private static final long serialVersionUID = 1L;

  InvalidRequestException(String message) {
    super(message);
  }
}
