package wharftrestle.settings;

/** Where in a script something stands; both counted from 1. */
public record Place(int line, int column) {
  @Override
  public String toString() {
    return line + ":" + column;
  }
}
