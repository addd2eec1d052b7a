package wharftrestle.prove;

/** A program that starts and crashes before it serves: a bad release. */
public final class Crashes {
  private Crashes() {}

  @SuppressWarnings("DoNotCallSuggester") // the java launcher calls it, no code does
  public static void main(String[] args) {
    throw new IllegalStateException("a bad release");
  }
}
