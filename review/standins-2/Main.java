import java.lang.reflect.InvocationTargetException;
import java.util.Arrays;

/** Runs a case; exits with 2 where it could not run. */
final class Main {
  private Main() {}

  public static void main(String[] args) {
    try {
      Class.forName(args[0])
          .getDeclaredMethod("main", String[].class)
          .invoke(null, (Object) Arrays.copyOfRange(args, 1, args.length));
    } catch (InvocationTargetException e) {
      e.getCause().printStackTrace();
      System.exit(2);
    } catch (ReflectiveOperationException e) {
      e.printStackTrace();
      System.exit(2);
    }
  }
}
