package wharftrestle.settings;

/** A position in a script; line and column are counted from 1. */
public record Place(int line, int column) {
  @Override
  public String toString() {
    return line + ":" + column;
  }
}
