package wharftrestle.prove;

/** A release that crashes before it is ready. */
public final class Crashes {
  private Crashes() {}

  @SuppressWarnings("DoNotCallSuggester") // the java launcher calls it, no code does
  public static void main(String[] args) {
    throw new IllegalStateException("deliberate crash of a bad release");
  }
}
