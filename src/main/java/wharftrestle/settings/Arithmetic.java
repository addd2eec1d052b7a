package wharftrestle.settings;

import java.util.ArrayList;
import java.util.List;

/**
 * The sums and comparisons of the settings' language. Whole numbers stay whole but under '/'; what
 * overflows, divides by nothing or mixes kinds is a fault, never a wrong value.
 */
final class Arithmetic {
  private static final int MOST_REPEATS = 10_000;

  private Arithmetic() {}

  static Object of(Place at, String op, Object left, Object right) throws Script.Fault {
    if (left instanceof Long a && right instanceof Long b && !op.equals("/")) {
      return whole(at, op, a, b);
    }
    if (left instanceof Number a && right instanceof Number b) {
      return real(at, op, a.doubleValue(), b.doubleValue());
    }
    if (op.equals("+") && left instanceof String a && right instanceof String b) {
      return a + b;
    }
    if (op.equals("+") && left instanceof List<?> a && right instanceof List<?> b) {
      List<Object> all = new ArrayList<>(a);
      all.addAll(b);
      return all;
    }
    if (op.equals("*") && left instanceof String text && right instanceof Long times) {
      if ((times > 0 && times * (long) text.length() > MOST_REPEATS) || times > MOST_REPEATS) {
        throw new Script.Fault(at, "this grows beyond " + MOST_REPEATS + " characters");
      }
      return text.repeat((int) Math.max(0, times));
    }
    throw new Script.Fault(
        at, "'" + op + "' does not go with " + Script.shown(left) + " and " + Script.shown(right));
  }

  private static Object whole(Place at, String op, long a, long b) throws Script.Fault {
    try {
      return switch (op) {
        case "+" -> Math.addExact(a, b);
        case "-" -> Math.subtractExact(a, b);
        case "*" -> Math.multiplyExact(a, b);
        case "//" -> Math.floorDiv(a, b);
        default -> Math.floorMod(a, b);
      };
    } catch (ArithmeticException e) {
      throw new Script.Fault(
          at, b == 0 && !op.equals("*") ? "a division by 0" : "this number is too large");
    }
  }

  private static Object real(Place at, String op, double a, double b) throws Script.Fault {
    if (b == 0 && (op.equals("/") || op.equals("//") || op.equals("%"))) {
      throw new Script.Fault(at, "a division by 0");
    }
    return switch (op) {
      case "+" -> a + b;
      case "-" -> a - b;
      case "*" -> a * b;
      case "/" -> a / b;
      case "//" -> Math.floor(a / b);
      default -> a - b * Math.floor(a / b);
    };
  }

  static boolean same(Object left, Object right) {
    return (left instanceof Number a && right instanceof Number b)
        ? a.doubleValue() == b.doubleValue()
        : left.equals(right);
  }

  static Object compare(Place at, String op, Object left, Object right) throws Script.Fault {
    if (op.equals("==") || op.equals("!=")) {
      return same(left, right) == op.equals("==");
    }
    int order;
    if (left instanceof Number a && right instanceof Number b) {
      order = Double.compare(a.doubleValue(), b.doubleValue());
    } else if (left instanceof String a && right instanceof String b) {
      order = a.compareTo(b);
    } else {
      throw new Script.Fault(
          at, Script.shown(left) + " and " + Script.shown(right) + " have no order");
    }
    return switch (op) {
      case "<" -> order < 0;
      case "<=" -> order <= 0;
      case ">" -> order > 0;
      default -> order >= 0;
    };
  }
}
