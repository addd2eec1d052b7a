package wharftrestle.settings;

/**
 * Thrown for a script that cannot be used. The message is a single line: file, line, column and
 * what was expected.
 */
public final class BadSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  public BadSettingsException(String file, Place place, String message) {
    super(file + (place == null ? "" : ":" + place) + ": " + message);
  }

  public BadSettingsException(String message) {
    super(message);
  }
}
