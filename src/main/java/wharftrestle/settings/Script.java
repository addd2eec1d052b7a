package wharftrestle.settings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.tree.TerminalNode;
import wharftrestle.settings.StarParser.ArgumentContext;
import wharftrestle.settings.StarParser.AtomContext;
import wharftrestle.settings.StarParser.BlockContext;
import wharftrestle.settings.StarParser.ExprContext;
import wharftrestle.settings.StarParser.SmallContext;
import wharftrestle.settings.StarParser.StatementContext;

/**
 * Interprets one script of the settings language by walking its parse tree, and passes the calls of
 * declarations to a {@link DeclarationHandler}, which defines what can be declared. Scripts do no
 * I/O; the number of steps and the size of values are bounded, and recursion is rejected. The first
 * error ends the run.
 *
 * <p>Values are Long, Double, String, Boolean, None, List and Map, with Starlark's meaning; integer
 * overflow beyond 64 bits is an error.
 */
final class Script {
  /** Statements and expressions evaluated per script; a long file takes about a thousandth. */
  private static final int MAX_STEPS = 100_000;

  /** Maximum elements of a list or dict, and characters of a text. */
  private static final int MAX_SIZE = 10_000;

  /**
   * Maximum nesting of calls and of brackets. Deeper nesting could overflow the JVM stack, an error
   * without a position in the script.
   */
  private static final int MAX_DEPTH = 40;

  /** The None value of the language. */
  static final Object NONE =
      new Object() {
        @Override
        public String toString() {
          return "None";
        }
      };

  /** Thrown for an error in a script, with its position. */
  static final class ScriptException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient Place place;

    ScriptException(Place place, String message) {
      super(message, null, false, false);
      this.place = place;
    }

    Place place() {
      return place;
    }
  }

  /** An argument value and its position in the script. */
  record Argument(Object value, Place place) {}

  /** A call of a declaration. */
  record DeclarationCall(String name, Map<String, Argument> arguments, Place place) {}

  /** Defines the declarations of a script and handles their calls. */
  interface DeclarationHandler {
    boolean isDeclarable(String name);

    /** Handles a call and returns its result within the script. */
    Object declare(DeclarationCall call) throws ScriptException;

    /** Names of the parameters that can be passed by position; empty if only by name. */
    default List<String> positionalParameters(String name) {
      return List.of();
    }
  }

  /** A function defined by the script. */
  private record Function(
      String name, List<String> parameters, Map<String, Object> defaults, BlockContext body) {
    @Override
    public String toString() {
      return "function " + name;
    }
  }

  /** How a statement ended; NEXT means that the next statement follows. */
  private enum ControlFlow {
    NEXT,
    BREAK,
    CONTINUE,
    RETURN
  }

  private final DeclarationHandler handler;
  private final Map<String, Object> globals = new HashMap<>();
  private final Deque<Function> callStack = new ArrayDeque<>();
  private Map<String, Object> locals = globals;
  private Object returnValue = NONE;
  private int steps;
  private int expressionDepth;

  private Script(DeclarationHandler handler) {
    this.handler = handler;
  }

  /** Runs the script; the handler receives the declarations in the order of their calls. */
  static void run(String text, DeclarationHandler handler) throws ScriptException {
    StarParser.FileContext file = parse(text);
    Script script = new Script(handler);
    for (StatementContext statement : file.statement()) {
      ControlFlow flow = script.run(statement);
      if (flow != ControlFlow.NEXT) {
        throw new ScriptException(
            place(statement.start),
            flow == ControlFlow.RETURN
                ? "'return' outside a function"
                : "'" + flow.name().toLowerCase(java.util.Locale.ROOT) + "' outside a loop");
      }
    }
  }

  static Place place(Token token) {
    return new Place(token.getLine(), token.getCharPositionInLine() + 1);
  }

  private static Place place(ParserRuleContext node) {
    return place(node.getStart());
  }

  // ---- Parsing ----

  /** Carries the first error out of ANTLR, whose listeners cannot throw checked exceptions. */
  private static final class ParseAbortedException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient ScriptException error;

    ParseAbortedException(ScriptException error) {
      super(null, null, false, false);
      this.error = error;
    }
  }

  private static final class ThrowingErrorListener extends BaseErrorListener {
    @Override
    public void syntaxError(
        Recognizer<?, ?> recognizer,
        Object symbol,
        int line,
        int column,
        String message,
        RecognitionException e) {
      Place at = new Place(line, column + 1);
      if (!(recognizer instanceof StarParser parser)) {
        throw new ParseAbortedException(
            new ScriptException(
                at,
                "unrecognized text: " + message.replaceFirst("token recognition error at: ", "")));
      }
      String found = symbol instanceof Token token ? describe(token) : "input";
      String expected =
          parser.getExpectedTokens().size() > 4
              ? ""
              : ", expected "
                  + parser
                      .getExpectedTokens()
                      .toString(parser.getVocabulary())
                      .replace("NEWLINE", "end of line")
                      .replace("INDENT", "an indented block")
                      .replace("NAME", "a name")
                      .replace("<EOF>", "the end")
                      .replaceAll("[{}]", "");
      throw new ParseAbortedException(new ScriptException(at, "unexpected " + found + expected));
    }

    private static String describe(Token token) {
      return switch (token.getType()) {
        case Token.EOF -> "end of the file";
        case StarLexer.NEWLINE -> "end of line";
        case StarParser.INDENT -> "indentation";
        case StarParser.DEDENT -> "end of block";
        default -> "'" + token.getText() + "'";
      };
    }
  }

  private static StarParser.FileContext parse(String text) throws ScriptException {
    int line = 0;
    for (String each : text.split("\n", -1)) {
      line++;
      int indent = each.length() - each.stripLeading().length();
      if (each.substring(0, indent).indexOf('\t') >= 0 && !each.isBlank()) {
        throw new ScriptException(
            new Place(line, each.indexOf('\t') + 1), "a tab in the indentation, expected spaces");
      }
    }
    int openBrackets = 0;
    for (int i = 0; i < text.length(); i++) {
      // Limits the recursion depth of the parser: a stack overflow has no line to report, and no
      // settings need such nesting.
      char c = text.charAt(i);
      openBrackets =
          Math.max(0, openBrackets + ("([{".indexOf(c) >= 0 ? 1 : ")]}".indexOf(c) >= 0 ? -1 : 0));
      if (openBrackets > MAX_DEPTH) {
        throw new ScriptException(
            new Place((int) text.substring(0, i).lines().count(), 1),
            "brackets are nested deeper than " + MAX_DEPTH + " levels");
      }
    }
    try {
      StarLexer lexer = new StarLexer(CharStreams.fromString(text));
      lexer.removeErrorListeners();
      lexer.addErrorListener(new ThrowingErrorListener());
      StarParser parser =
          new StarParser(new CommonTokenStream(IndentationTokens.tokenSource(lexer)));
      parser.removeErrorListeners();
      parser.addErrorListener(new ThrowingErrorListener());
      return parser.file();
    } catch (ParseAbortedException aborted) {
      throw aborted.error;
    } catch (StackOverflowError e) {
      throw new ScriptException(new Place(1, 1), "the script is nested too deep");
    }
  }

  // ---- Statements ----

  private void step(ParserRuleContext at) throws ScriptException {
    if (++steps > MAX_STEPS) {
      throw new ScriptException(place(at), "the script takes more than " + MAX_STEPS + " steps");
    }
  }

  private ControlFlow run(StatementContext statement) throws ScriptException {
    step(statement);
    if (statement instanceof StarParser.LineContext line) {
      for (SmallContext small : line.simple().small()) {
        ControlFlow flow = run(small);
        if (flow != ControlFlow.NEXT) {
          return flow;
        }
      }
      return ControlFlow.NEXT;
    }
    if (statement instanceof StarParser.DefContext def) {
      define(def);
      return ControlFlow.NEXT;
    }
    if (statement instanceof StarParser.ChooseContext choose) {
      for (int i = 0; i < choose.expr().size(); i++) {
        if (isTruthy(value(choose.expr(i)))) {
          return run(choose.block(i));
        }
      }
      return choose.other == null ? ControlFlow.NEXT : run(choose.other);
    }
    StarParser.LoopContext loop = (StarParser.LoopContext) statement;
    for (Object each : elements(loop.expr())) {
      bind(loop.names(), each);
      ControlFlow flow = run(loop.block());
      if (flow == ControlFlow.BREAK) {
        break;
      }
      if (flow == ControlFlow.RETURN) {
        return flow;
      }
    }
    return ControlFlow.NEXT;
  }

  private ControlFlow run(BlockContext block) throws ScriptException {
    if (block.simple() != null) {
      for (SmallContext small : block.simple().small()) {
        ControlFlow flow = run(small);
        if (flow != ControlFlow.NEXT) {
          return flow;
        }
      }
      return ControlFlow.NEXT;
    }
    for (StatementContext statement : block.statement()) {
      ControlFlow flow = run(statement);
      if (flow != ControlFlow.NEXT) {
        return flow;
      }
    }
    return ControlFlow.NEXT;
  }

  private ControlFlow run(SmallContext small) throws ScriptException {
    if (small instanceof StarParser.AssignContext assign) {
      checkNotReserved(assign.NAME());
      locals.put(assign.NAME().getText(), value(assign.expr()));
    } else if (small instanceof StarParser.GiveBackContext back) {
      returnValue = back.expr() == null ? NONE : value(back.expr());
      return ControlFlow.RETURN;
    } else if (small instanceof StarParser.SayContext say) {
      value(say.expr());
    } else if (small instanceof StarParser.BreakOffContext) {
      return ControlFlow.BREAK;
    } else if (small instanceof StarParser.GoOnContext) {
      return ControlFlow.CONTINUE;
    }
    return ControlFlow.NEXT;
  }

  /** Rejects a name that would hide a declaration or a built-in function. */
  private void checkNotReserved(TerminalNode node) throws ScriptException {
    if (handler.isDeclarable(node.getText()) || Builtin.of(node.getText()) != null) {
      throw new ScriptException(
          place(node.getSymbol()), "'" + node.getText() + "' is reserved, choose another name");
    }
  }

  private void define(StarParser.DefContext def) throws ScriptException {
    checkNotReserved(def.NAME());
    List<String> parameters = new ArrayList<>();
    Map<String, Object> defaults = new HashMap<>();
    for (StarParser.ParamContext param : def.param()) {
      String name = param.NAME().getText();
      if (parameters.contains(name)) {
        throw new ScriptException(place(param), "'" + name + "' is given twice");
      }
      parameters.add(name);
      if (param.expr() != null) {
        defaults.put(name, value(param.expr()));
      }
    }
    locals.put(
        def.NAME().getText(),
        new Function(def.NAME().getText(), parameters, defaults, def.block()));
  }

  private void bind(StarParser.NamesContext names, Object value) throws ScriptException {
    for (TerminalNode node : names.NAME()) {
      checkNotReserved(node);
    }
    if (names.NAME().size() == 1) {
      locals.put(names.NAME(0).getText(), value);
      return;
    }
    if (!(value instanceof List<?> parts) || parts.size() != names.NAME().size()) {
      throw new ScriptException(
          place(names), "expected " + names.NAME().size() + " values, got " + format(value));
    }
    for (int i = 0; i < parts.size(); i++) {
      locals.put(names.NAME(i).getText(), parts.get(i));
    }
  }

  private List<Object> elements(ExprContext expr) throws ScriptException {
    Object all = value(expr);
    if (all instanceof List<?> list) {
      return new ArrayList<>(list);
    }
    if (all instanceof Map<?, ?> map) {
      return new ArrayList<>(map.keySet());
    }
    throw new ScriptException(
        place(expr), "expected a list or a dict to iterate over, got " + format(all));
  }

  // ---- Expressions ----

  private Object value(ExprContext expr) throws ScriptException {
    step(expr);
    if (++expressionDepth > 8 * MAX_DEPTH) {
      throw new ScriptException(place(expr), "the expression is nested too deep");
    }
    try {
      return evaluate(expr);
    } finally {
      expressionDepth--;
    }
  }

  private Object evaluate(ExprContext expr) throws ScriptException {
    if (expr instanceof StarParser.PlainContext plain) {
      return value(plain.atom());
    }
    if (expr instanceof StarParser.CallContext call) {
      return call(call);
    }
    if (expr instanceof StarParser.IndexContext index) {
      return index(index);
    }
    if (expr instanceof StarParser.SignContext sign) {
      Object number = value(sign.expr());
      boolean minus = sign.getStart().getText().equals("-");
      if (number instanceof Long whole) {
        return minus ? checkOverflow(sign, () -> Math.negateExact(whole)) : whole;
      }
      if (number instanceof Double real) {
        return minus ? -real : real;
      }
      throw new ScriptException(place(sign), "expected a number, got " + format(number));
    }
    if (expr instanceof StarParser.ProductContext product) {
      return Arithmetic.evaluate(
          place(product.op), product.op.getText(), value(product.expr(0)), value(product.expr(1)));
    }
    if (expr instanceof StarParser.SumContext sum) {
      return checkSize(
          sum,
          Arithmetic.evaluate(
              place(sum.op), sum.op.getText(), value(sum.expr(0)), value(sum.expr(1))));
    }
    if (expr instanceof StarParser.CompareContext compare) {
      return Arithmetic.compare(
          place(compare.op), compare.op.getText(), value(compare.expr(0)), value(compare.expr(1)));
    }
    if (expr instanceof StarParser.WithinContext within) {
      Object element = value(within.expr(0));
      Object container = value(within.expr(1));
      boolean in;
      if (container instanceof String text && element instanceof String substring) {
        in = text.contains(substring);
      } else if (container instanceof Map<?, ?> map) {
        in = map.containsKey(element);
      } else if (container instanceof List<?> list) {
        in = list.stream().anyMatch(each -> Arithmetic.areEqual(each, element));
      } else {
        throw new ScriptException(
            place(within.expr(1)), "expected a list, a dict or a text, got " + format(container));
      }
      return in != (within.neg != null);
    }
    if (expr instanceof StarParser.NegateContext negate) {
      return !isTruthy(value(negate.expr()));
    }
    if (expr instanceof StarParser.BothContext both) {
      Object left = value(both.expr(0));
      return isTruthy(left) ? value(both.expr(1)) : left;
    }
    if (expr instanceof StarParser.EitherContext either) {
      Object left = value(either.expr(0));
      return isTruthy(left) ? left : value(either.expr(1));
    }
    StarParser.TernaryContext ternary = (StarParser.TernaryContext) expr;
    return value(ternary.expr(isTruthy(value(ternary.expr(1))) ? 0 : 2));
  }

  private Object value(AtomContext atom) throws ScriptException {
    if (atom instanceof StarParser.WholeContext whole) {
      try {
        return Long.parseLong(whole.INT().getText());
      } catch (NumberFormatException e) {
        throw new ScriptException(place(whole), "this number is too large");
      }
    }
    if (atom instanceof StarParser.RealContext real) {
      return Double.parseDouble(real.FLOAT().getText());
    }
    if (atom instanceof StarParser.TextContext text) {
      StringBuilder all = new StringBuilder();
      text.STRING().forEach(node -> all.append(unescape(node.getText())));
      return all.toString();
    }
    if (atom instanceof StarParser.NameContext name) {
      return lookUp(name);
    }
    if (atom instanceof StarParser.GatherContext gather) {
      List<Object> all = new ArrayList<>();
      for (Object each : elements(gather.expr(1))) {
        bind(gather.names(), each);
        if (gather.expr().size() < 3 || isTruthy(value(gather.expr(2)))) {
          all.add(value(gather.expr(0)));
        }
      }
      return checkSize(gather, all);
    }
    if (atom instanceof StarParser.ListContext list) {
      List<Object> all = new ArrayList<>();
      for (ExprContext each : list.expr()) {
        all.add(value(each));
      }
      return checkSize(list, all);
    }
    if (atom instanceof StarParser.DictContext dict) {
      Map<Object, Object> all = new LinkedHashMap<>();
      for (StarParser.PairContext pair : dict.pair()) {
        Object key = value(pair.expr(0));
        if (key instanceof List || key instanceof Map) {
          throw new ScriptException(place(pair), "a list or a dict cannot be a key");
        }
        if (all.put(key, value(pair.expr(1))) != null) {
          throw new ScriptException(place(pair), "the key " + format(key) + " is given twice");
        }
      }
      return checkSize(dict, all);
    }
    return value(((StarParser.GroupContext) atom).expr());
  }

  private Object lookUp(StarParser.NameContext name) throws ScriptException {
    String text = name.NAME().getText();
    switch (text) {
      case "True":
        return true;
      case "False":
        return false;
      case "None":
        return NONE;
      default:
        Object value = locals.containsKey(text) ? locals.get(text) : globals.get(text);
        if (value == null) {
          throw new ScriptException(
              place(name),
              handler.isDeclarable(text) || Builtin.of(text) != null
                  ? "'" + text + "' must be called: " + text + "(...)"
                  : "nothing is named '" + text + "'");
        }
        return value;
    }
  }

  private Object index(StarParser.IndexContext index) throws ScriptException {
    Object container = value(index.expr(0));
    Object key = value(index.expr(1));
    if (container instanceof Map<?, ?> map) {
      Object found = map.get(key);
      if (found == null) {
        throw new ScriptException(place(index.expr(1)), "the dict has no key " + format(key));
      }
      return found;
    }
    if (container instanceof List<?> list && key instanceof Long number) {
      long position = number < 0 ? number + list.size() : number;
      if (position < 0 || position >= list.size()) {
        throw new ScriptException(
            place(index.expr(1)), "the list has " + list.size() + " elements, no index " + number);
      }
      return list.get((int) position);
    }
    throw new ScriptException(
        place(index), "expected a dict, or a list with a whole number, got " + format(container));
  }

  private Object call(StarParser.CallContext call) throws ScriptException {
    String name =
        call.expr() instanceof StarParser.PlainContext plain
                && plain.atom() instanceof StarParser.NameContext named
            ? named.NAME().getText()
            : "";
    boolean shadowed = locals.containsKey(name) || globals.containsKey(name);
    if (!shadowed && handler.isDeclarable(name)) {
      Map<String, Argument> arguments = new LinkedHashMap<>();
      List<String> order = handler.positionalParameters(name);
      int positionalCount = 0;
      for (ArgumentContext argument : call.argument()) {
        if (argument.NAME() == null && positionalCount >= order.size()) {
          throw new ScriptException(
              place(argument),
              order.isEmpty()
                  ? name + " takes arguments by name only: " + name + "(name = value)"
                  : name + " takes " + order.size() + " values: " + String.join(", ", order));
        }
        String parameter =
            argument.NAME() == null ? order.get(positionalCount++) : argument.NAME().getText();
        Argument passed = new Argument(value(argument.expr()), place(argument.expr()));
        if (arguments.put(parameter, passed) != null) {
          throw new ScriptException(place(argument), "'" + parameter + "' is given twice");
        }
      }
      return handler.declare(new DeclarationCall(name, arguments, place(call)));
    }
    Builtin builtin = shadowed ? null : Builtin.of(name);
    if (builtin != null) {
      List<Object> values = new ArrayList<>();
      for (ArgumentContext argument : call.argument()) {
        if (argument.NAME() != null) {
          throw new ScriptException(place(argument), name + " takes arguments by position only");
        }
        values.add(value(argument.expr()));
      }
      return checkSize(call, builtin.call(place(call), values));
    }
    if (!shadowed && !name.isEmpty()) {
      throw new ScriptException(place(call), "nothing is named '" + name + "'");
    }
    if (!(value(call.expr()) instanceof Function function)) {
      throw new ScriptException(place(call), "this cannot be called");
    }
    return call(call, function);
  }

  private Object call(StarParser.CallContext call, Function function) throws ScriptException {
    if (callStack.contains(function) || callStack.size() >= MAX_DEPTH) {
      throw new ScriptException(
          place(call), "'" + function.name() + "' would call itself: recursion is not supported");
    }
    Map<String, Object> arguments = new HashMap<>();
    int position = 0;
    for (ArgumentContext argument : call.argument()) {
      String name =
          argument.NAME() != null
              ? argument.NAME().getText()
              : position < function.parameters().size()
                  ? function.parameters().get(position++)
                  : null;
      if (name == null || !function.parameters().contains(name)) {
        throw new ScriptException(
            place(argument), "'" + function.name() + "' takes " + function.parameters());
      }
      if (arguments.put(name, value(argument.expr())) != null) {
        throw new ScriptException(place(argument), "'" + name + "' is given twice");
      }
    }
    for (String name : function.parameters()) {
      Object defaultValue = function.defaults().get(name);
      if (!arguments.containsKey(name) && defaultValue == null) {
        throw new ScriptException(place(call), "'" + function.name() + "' needs '" + name + "'");
      }
      arguments.putIfAbsent(name, defaultValue);
    }
    Map<String, Object> callerLocals = locals;
    locals = arguments;
    callStack.push(function);
    returnValue = NONE;
    try {
      ControlFlow flow = run(function.body());
      if (flow == ControlFlow.BREAK || flow == ControlFlow.CONTINUE) {
        throw new ScriptException(
            place(call), "'" + function.name() + "' has a 'break' or 'continue' outside a loop");
      }
      Object result = returnValue;
      returnValue = NONE;
      return result;
    } finally {
      callStack.pop();
      locals = callerLocals;
    }
  }

  // ---- Values ----

  private Object checkSize(ParserRuleContext at, Object value) throws ScriptException {
    int size =
        value instanceof List<?> list
            ? list.size()
            : value instanceof Map<?, ?> map
                ? map.size()
                : value instanceof String text ? text.length() : 0;
    if (size > MAX_SIZE) {
      throw new ScriptException(place(at), "this exceeds " + MAX_SIZE + " elements");
    }
    return value;
  }

  private interface ExactOperation {
    Object get();
  }

  private static Object checkOverflow(ParserRuleContext at, ExactOperation operation)
      throws ScriptException {
    try {
      return operation.get();
    } catch (ArithmeticException e) {
      throw new ScriptException(place(at), "this number is too large");
    }
  }

  static boolean isTruthy(Object value) {
    return !(value == NONE
        || Objects.equals(value, false)
        || Objects.equals(value, 0L)
        || Objects.equals(value, 0.0)
        || Objects.equals(value, "")
        || (value instanceof List<?> list && list.isEmpty())
        || (value instanceof Map<?, ?> map && map.isEmpty()));
  }

  /** Formats a value for an error message. */
  static String format(Object value) {
    String text =
        value instanceof String
            ? "\"" + value + "\""
            : value instanceof Boolean b ? b ? "True" : "False" : String.valueOf(value);
    return text.length() > 60 ? text.substring(0, 57) + "..." : text;
  }

  private static String unescape(String quoted) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i < quoted.length() - 1; i++) {
      char c = quoted.charAt(i);
      if (c == '\\') {
        c = quoted.charAt(++i);
        c = c == 'n' ? '\n' : c == 't' ? '\t' : c;
      }
      text.append(c);
    }
    return text.toString();
  }
}
