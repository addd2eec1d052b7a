package wharftrestle.settings;

import java.util.ArrayList;
import java.util.List;

/**
 * Evaluates the binary arithmetic and comparison operators of the settings language. Operators on
 * integers return an integer, except '/', which returns a floating-point number. Integer overflow,
 * division by 0 and operands of incompatible types are reported as errors at the operator.
 */
final class Arithmetic {
  /** Maximum characters of a repeated text; also the maximum repeat count, even if it is empty. */
  private static final int MAX_REPEATED_LENGTH = 10_000;

  private Arithmetic() {}

  static Object evaluate(Place at, String op, Object left, Object right)
      throws Script.ScriptException {
    if (left instanceof Long a && right instanceof Long b && !op.equals("/")) {
      return evaluateLong(at, op, a, b);
    }
    if (left instanceof Number a && right instanceof Number b) {
      return evaluateDouble(at, op, a.doubleValue(), b.doubleValue());
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
      if ((times > 0 && times * (long) text.length() > MAX_REPEATED_LENGTH)
          || times > MAX_REPEATED_LENGTH) {
        throw new Script.ScriptException(at, "this exceeds " + MAX_REPEATED_LENGTH + " characters");
      }
      return text.repeat((int) Math.max(0, times));
    }
    throw new Script.ScriptException(
        at,
        "'" + op + "' is not defined for " + Script.format(left) + " and " + Script.format(right));
  }

  private static Object evaluateLong(Place at, String op, long a, long b)
      throws Script.ScriptException {
    try {
      return switch (op) {
        case "+" -> Math.addExact(a, b);
        case "-" -> Math.subtractExact(a, b);
        case "*" -> Math.multiplyExact(a, b);
        case "//" -> Math.floorDiv(a, b);
        default -> Math.floorMod(a, b);
      };
    } catch (ArithmeticException e) {
      throw new Script.ScriptException(
          at, b == 0 && !op.equals("*") ? "division by 0" : "this number is too large");
    }
  }

  private static Object evaluateDouble(Place at, String op, double a, double b)
      throws Script.ScriptException {
    if (b == 0 && (op.equals("/") || op.equals("//") || op.equals("%"))) {
      throw new Script.ScriptException(at, "division by 0");
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

  static boolean areEqual(Object left, Object right) {
    return (left instanceof Number a && right instanceof Number b)
        ? a.doubleValue() == b.doubleValue()
        : left.equals(right);
  }

  static Object compare(Place at, String op, Object left, Object right)
      throws Script.ScriptException {
    if (op.equals("==") || op.equals("!=")) {
      return areEqual(left, right) == op.equals("==");
    }
    int order;
    if (left instanceof Number a && right instanceof Number b) {
      order = Double.compare(a.doubleValue(), b.doubleValue());
    } else if (left instanceof String a && right instanceof String b) {
      order = a.compareTo(b);
    } else {
      throw new Script.ScriptException(
          at, Script.format(left) + " and " + Script.format(right) + " cannot be ordered");
    }
    return switch (op) {
      case "<" -> order < 0;
      case "<=" -> order <= 0;
      case ">" -> order > 0;
      default -> order >= 0;
    };
  }
}
