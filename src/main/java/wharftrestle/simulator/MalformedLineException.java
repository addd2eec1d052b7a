package wharftrestle.simulator;

/** Thrown if a protocol line or the settings lack a required field or contain an invalid value. */
public final class MalformedLineException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedLineException(String message) {
    super(message);
  }
}
