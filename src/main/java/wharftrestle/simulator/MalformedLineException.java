package wharftrestle.simulator;

/** A line of the wire that lacks a needed field or holds what cannot be read. */
public final class MalformedLineException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedLineException(String message) {
    super(message);
  }
}
