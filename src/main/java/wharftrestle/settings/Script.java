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
 * Runs one script of the settings' language over its parse tree and gathers what it declares. It
 * owns the names and the bounds: steps, sizes, no recursion. It must never read or write anything,
 * know what can be declared (the {@link Schema} does), or go on after a fault.
 *
 * <p>Values are Long, Double, String, Boolean, None, List and Map, with Starlark's meaning; whole
 * numbers that overflow 64 bits are a fault.
 */
final class Script {
  /** Steps of one script: a choice, a thousand times what a long file takes. */
  private static final int MOST_STEPS = 100_000;

  /** Elements of a list or dict, and characters of a text. */
  private static final int MOST_SIZE = 10_000;

  /**
   * Calls within calls, and brackets within brackets: deeper ones would end in the JVM's own words.
   */
  private static final int MOST_DEPTH = 40;

  /** The value of nothing. */
  static final Object NONE =
      new Object() {
        @Override
        public String toString() {
          return "None";
        }
      };

  /** What is wrong with a script, and where. */
  static final class Fault extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient Place place;

    Fault(Place place, String message) {
      super(message, null, false, false);
      this.place = place;
    }

    Place place() {
      return place;
    }
  }

  /** A value with the place that it was given at. */
  record Given(Object value, Place place) {}

  /** One declaration as it was called. */
  record Declared(String name, Map<String, Given> arguments, Place place) {}

  /** Takes what a script declares. */
  interface Declarations {
    boolean knows(String name);

    /** Takes a call; its value is what the call is worth within the script. */
    Object declare(Declared declared) throws Fault;

    /** The names of values that may be given by their place; none where all are given by name. */
    default List<String> order(String name) {
      return List.of();
    }
  }

  /** A function of the script. */
  private record Function(
      String name, List<String> names, Map<String, Object> defaults, BlockContext body) {
    @Override
    public String toString() {
      return "function " + name;
    }
  }

  private enum Way {
    ON,
    BREAK,
    CONTINUE,
    RETURN
  }

  private final Declarations declarations;
  private final Map<String, Object> globals = new HashMap<>();
  private final Deque<Function> calls = new ArrayDeque<>();
  private Map<String, Object> locals = globals;
  private Object returned = NONE;
  private int steps;
  private int depth;

  private Script(Declarations declarations) {
    this.declarations = declarations;
  }

  /** Runs the script; declarations are told in the order in which they are called. */
  static void run(String text, Declarations declarations) throws Fault {
    StarParser.FileContext file = parse(text);
    Script script = new Script(declarations);
    for (StatementContext statement : file.statement()) {
      Way way = script.run(statement);
      if (way != Way.ON) {
        throw new Fault(
            place(statement.start),
            way == Way.RETURN
                ? "'return' outside a function"
                : "'" + way.name().toLowerCase(java.util.Locale.ROOT) + "' outside a loop");
      }
    }
  }

  static Place place(Token token) {
    return new Place(token.getLine(), token.getCharPositionInLine() + 1);
  }

  private static Place place(ParserRuleContext part) {
    return place(part.getStart());
  }

  // ---- Parsing ----

  /** Carries the first fault out of ANTLR, whose listeners cannot throw a checked one. */
  private static final class Stop extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient Fault fault;

    Stop(Fault fault) {
      super(null, null, false, false);
      this.fault = fault;
    }
  }

  private static final class FirstFault extends BaseErrorListener {
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
        throw new Stop(
            new Fault(
                at,
                "this character has no meaning here: "
                    + message.replaceFirst("token recognition error at: ", "")));
      }
      String found = symbol instanceof Token token ? named(token) : "this";
      String wanted =
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
      throw new Stop(new Fault(at, "unexpected " + found + wanted));
    }

    private static String named(Token token) {
      return switch (token.getType()) {
        case Token.EOF -> "end of the file";
        case StarLexer.NEWLINE -> "end of line";
        case StarParser.INDENT -> "indentation";
        case StarParser.DEDENT -> "end of block";
        default -> "'" + token.getText() + "'";
      };
    }
  }

  private static StarParser.FileContext parse(String text) throws Fault {
    int line = 0;
    for (String each : text.split("\n", -1)) {
      line++;
      int indent = each.length() - each.stripLeading().length();
      if (each.substring(0, indent).indexOf('\t') >= 0 && !each.isBlank()) {
        throw new Fault(
            new Place(line, each.indexOf('\t') + 1), "a tab in the indentation, expected spaces");
      }
    }
    int open = 0;
    for (int i = 0; i < text.length(); i++) {
      // Guards the parser's own depth: no settings need this, and a stack that overflows has no
      // line to show.
      char c = text.charAt(i);
      open = Math.max(0, open + ("([{".indexOf(c) >= 0 ? 1 : ")]}".indexOf(c) >= 0 ? -1 : 0));
      if (open > MOST_DEPTH) {
        throw new Fault(
            new Place((int) text.substring(0, i).lines().count(), 1),
            "more than " + MOST_DEPTH + " brackets within each other");
      }
    }
    try {
      StarLexer lexer = new StarLexer(CharStreams.fromString(text));
      lexer.removeErrorListeners();
      lexer.addErrorListener(new FirstFault());
      StarParser parser = new StarParser(new CommonTokenStream(Lines.of(lexer)));
      parser.removeErrorListeners();
      parser.addErrorListener(new FirstFault());
      return parser.file();
    } catch (Stop stop) {
      throw stop.fault;
    } catch (StackOverflowError deep) {
      throw new Fault(new Place(1, 1), "the script is nested too deep");
    }
  }

  // ---- Statements ----

  private void step(ParserRuleContext at) throws Fault {
    if (++steps > MOST_STEPS) {
      throw new Fault(place(at), "the script takes more than " + MOST_STEPS + " steps");
    }
  }

  private Way run(StatementContext statement) throws Fault {
    step(statement);
    if (statement instanceof StarParser.LineContext line) {
      for (SmallContext small : line.simple().small()) {
        Way way = run(small);
        if (way != Way.ON) {
          return way;
        }
      }
      return Way.ON;
    }
    if (statement instanceof StarParser.DefContext def) {
      define(def);
      return Way.ON;
    }
    if (statement instanceof StarParser.ChooseContext choose) {
      for (int i = 0; i < choose.expr().size(); i++) {
        if (truth(value(choose.expr(i)))) {
          return run(choose.block(i));
        }
      }
      return choose.other == null ? Way.ON : run(choose.other);
    }
    StarParser.LoopContext loop = (StarParser.LoopContext) statement;
    for (Object each : elements(loop.expr())) {
      bind(loop.names(), each);
      Way way = run(loop.block());
      if (way == Way.BREAK) {
        break;
      }
      if (way == Way.RETURN) {
        return way;
      }
    }
    return Way.ON;
  }

  private Way run(BlockContext block) throws Fault {
    if (block.simple() != null) {
      for (SmallContext small : block.simple().small()) {
        Way way = run(small);
        if (way != Way.ON) {
          return way;
        }
      }
      return Way.ON;
    }
    for (StatementContext statement : block.statement()) {
      Way way = run(statement);
      if (way != Way.ON) {
        return way;
      }
    }
    return Way.ON;
  }

  private Way run(SmallContext small) throws Fault {
    if (small instanceof StarParser.AssignContext assign) {
      name(assign.NAME());
      locals.put(assign.NAME().getText(), value(assign.expr()));
    } else if (small instanceof StarParser.GiveBackContext back) {
      returned = back.expr() == null ? NONE : value(back.expr());
      return Way.RETURN;
    } else if (small instanceof StarParser.SayContext say) {
      value(say.expr());
    } else if (small instanceof StarParser.BreakOffContext) {
      return Way.BREAK;
    } else if (small instanceof StarParser.GoOnContext) {
      return Way.CONTINUE;
    }
    return Way.ON;
  }

  /** Guards against a name that hides what can be declared. */
  private void name(TerminalNode node) throws Fault {
    if (declarations.knows(node.getText()) || Builtin.of(node.getText()) != null) {
      throw new Fault(
          place(node.getSymbol()),
          "'" + node.getText() + "' has a meaning already, choose another name");
    }
  }

  private void define(StarParser.DefContext def) throws Fault {
    name(def.NAME());
    List<String> names = new ArrayList<>();
    Map<String, Object> defaults = new HashMap<>();
    for (StarParser.ParamContext param : def.param()) {
      String name = param.NAME().getText();
      if (names.contains(name)) {
        throw new Fault(place(param), "'" + name + "' stands twice");
      }
      names.add(name);
      if (param.expr() != null) {
        defaults.put(name, value(param.expr()));
      }
    }
    locals.put(
        def.NAME().getText(), new Function(def.NAME().getText(), names, defaults, def.block()));
  }

  private void bind(StarParser.NamesContext names, Object value) throws Fault {
    for (TerminalNode node : names.NAME()) {
      name(node);
    }
    if (names.NAME().size() == 1) {
      locals.put(names.NAME(0).getText(), value);
      return;
    }
    if (!(value instanceof List<?> parts) || parts.size() != names.NAME().size()) {
      throw new Fault(
          place(names), "expected " + names.NAME().size() + " values, got " + shown(value));
    }
    for (int i = 0; i < parts.size(); i++) {
      locals.put(names.NAME(i).getText(), parts.get(i));
    }
  }

  private List<Object> elements(ExprContext expr) throws Fault {
    Object all = value(expr);
    if (all instanceof List<?> list) {
      return new ArrayList<>(list);
    }
    if (all instanceof Map<?, ?> map) {
      return new ArrayList<>(map.keySet());
    }
    throw new Fault(place(expr), "expected a list or a dict to go through, got " + shown(all));
  }

  // ---- Expressions ----

  private Object value(ExprContext expr) throws Fault {
    step(expr);
    if (++depth > 8 * MOST_DEPTH) {
      throw new Fault(place(expr), "the expression is nested too deep");
    }
    try {
      return evaluate(expr);
    } finally {
      depth--;
    }
  }

  private Object evaluate(ExprContext expr) throws Fault {
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
        return minus ? exact(sign, () -> Math.negateExact(whole)) : whole;
      }
      if (number instanceof Double real) {
        return minus ? -real : real;
      }
      throw new Fault(place(sign), "expected a number, got " + shown(number));
    }
    if (expr instanceof StarParser.ProductContext product) {
      return Arithmetic.of(
          place(product.op), product.op.getText(), value(product.expr(0)), value(product.expr(1)));
    }
    if (expr instanceof StarParser.SumContext sum) {
      return sized(
          sum,
          Arithmetic.of(place(sum.op), sum.op.getText(), value(sum.expr(0)), value(sum.expr(1))));
    }
    if (expr instanceof StarParser.CompareContext compare) {
      return Arithmetic.compare(
          place(compare.op), compare.op.getText(), value(compare.expr(0)), value(compare.expr(1)));
    }
    if (expr instanceof StarParser.WithinContext within) {
      Object part = value(within.expr(0));
      Object whole = value(within.expr(1));
      boolean in;
      if (whole instanceof String text && part instanceof String piece) {
        in = text.contains(piece);
      } else if (whole instanceof Map<?, ?> map) {
        in = map.containsKey(part);
      } else if (whole instanceof List<?> list) {
        in = list.stream().anyMatch(each -> Arithmetic.same(each, part));
      } else {
        throw new Fault(
            place(within.expr(1)), "expected a list, a dict or a text, got " + shown(whole));
      }
      return in != (within.neg != null);
    }
    if (expr instanceof StarParser.NegateContext negate) {
      return !truth(value(negate.expr()));
    }
    if (expr instanceof StarParser.BothContext both) {
      Object left = value(both.expr(0));
      return truth(left) ? value(both.expr(1)) : left;
    }
    if (expr instanceof StarParser.EitherContext either) {
      Object left = value(either.expr(0));
      return truth(left) ? left : value(either.expr(1));
    }
    StarParser.TernaryContext ternary = (StarParser.TernaryContext) expr;
    return value(ternary.expr(truth(value(ternary.expr(1))) ? 0 : 2));
  }

  private Object value(AtomContext atom) throws Fault {
    if (atom instanceof StarParser.WholeContext whole) {
      try {
        return Long.parseLong(whole.INT().getText());
      } catch (NumberFormatException e) {
        throw new Fault(place(whole), "this number is too large");
      }
    }
    if (atom instanceof StarParser.RealContext real) {
      return Double.parseDouble(real.FLOAT().getText());
    }
    if (atom instanceof StarParser.TextContext text) {
      StringBuilder all = new StringBuilder();
      text.STRING().forEach(node -> all.append(unescaped(node.getText())));
      return all.toString();
    }
    if (atom instanceof StarParser.NameContext name) {
      return named(name);
    }
    if (atom instanceof StarParser.GatherContext gather) {
      List<Object> all = new ArrayList<>();
      for (Object each : elements(gather.expr(1))) {
        bind(gather.names(), each);
        if (gather.expr().size() < 3 || truth(value(gather.expr(2)))) {
          all.add(value(gather.expr(0)));
        }
      }
      return sized(gather, all);
    }
    if (atom instanceof StarParser.ListContext list) {
      List<Object> all = new ArrayList<>();
      for (ExprContext each : list.expr()) {
        all.add(value(each));
      }
      return sized(list, all);
    }
    if (atom instanceof StarParser.DictContext dict) {
      Map<Object, Object> all = new LinkedHashMap<>();
      for (StarParser.PairContext pair : dict.pair()) {
        Object key = value(pair.expr(0));
        if (key instanceof List || key instanceof Map) {
          throw new Fault(place(pair), "a list or a dict cannot be a key");
        }
        if (all.put(key, value(pair.expr(1))) != null) {
          throw new Fault(place(pair), "the key " + shown(key) + " stands twice");
        }
      }
      return sized(dict, all);
    }
    return value(((StarParser.GroupContext) atom).expr());
  }

  private Object named(StarParser.NameContext name) throws Fault {
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
          throw new Fault(
              place(name),
              declarations.knows(text) || Builtin.of(text) != null
                  ? "'" + text + "' must be called: " + text + "(...)"
                  : "nothing is named '" + text + "'");
        }
        return value;
    }
  }

  private Object index(StarParser.IndexContext index) throws Fault {
    Object whole = value(index.expr(0));
    Object at = value(index.expr(1));
    if (whole instanceof Map<?, ?> map) {
      Object found = map.get(at);
      if (found == null) {
        throw new Fault(place(index.expr(1)), "the dict has no key " + shown(at));
      }
      return found;
    }
    if (whole instanceof List<?> list && at instanceof Long number) {
      long place = number < 0 ? number + list.size() : number;
      if (place < 0 || place >= list.size()) {
        throw new Fault(
            place(index.expr(1)), "the list has " + list.size() + " elements, none at " + number);
      }
      return list.get((int) place);
    }
    throw new Fault(
        place(index), "expected a dict, or a list with a whole number, got " + shown(whole));
  }

  private Object call(StarParser.CallContext call) throws Fault {
    String name =
        call.expr() instanceof StarParser.PlainContext plain
                && plain.atom() instanceof StarParser.NameContext named
            ? named.NAME().getText()
            : "";
    boolean hidden = locals.containsKey(name) || globals.containsKey(name);
    if (!hidden && declarations.knows(name)) {
      Map<String, Given> given = new LinkedHashMap<>();
      List<String> order = declarations.order(name);
      int placed = 0;
      for (ArgumentContext argument : call.argument()) {
        if (argument.NAME() == null && placed >= order.size()) {
          throw new Fault(
              place(argument),
              order.isEmpty()
                  ? name + " takes its values by name: " + name + "(name = value)"
                  : name + " takes " + order.size() + " values: " + String.join(", ", order));
        }
        String to = argument.NAME() == null ? order.get(placed++) : argument.NAME().getText();
        Given one = new Given(value(argument.expr()), place(argument.expr()));
        if (given.put(to, one) != null) {
          throw new Fault(place(argument), "'" + to + "' stands twice");
        }
      }
      return declarations.declare(new Declared(name, given, place(call)));
    }
    Builtin builtin = hidden ? null : Builtin.of(name);
    if (builtin != null) {
      List<Object> values = new ArrayList<>();
      for (ArgumentContext argument : call.argument()) {
        if (argument.NAME() != null) {
          throw new Fault(place(argument), name + " takes its values by position");
        }
        values.add(value(argument.expr()));
      }
      return sized(call, builtin.call(place(call), values));
    }
    if (!hidden && !name.isEmpty()) {
      throw new Fault(place(call), "nothing is named '" + name + "'");
    }
    if (!(value(call.expr()) instanceof Function function)) {
      throw new Fault(place(call), "this cannot be called");
    }
    return call(call, function);
  }

  private Object call(StarParser.CallContext call, Function function) throws Fault {
    if (calls.contains(function) || calls.size() >= MOST_DEPTH) {
      throw new Fault(
          place(call), "'" + function.name() + "' would call itself: there is no recursion");
    }
    Map<String, Object> given = new HashMap<>();
    int position = 0;
    for (ArgumentContext argument : call.argument()) {
      String name =
          argument.NAME() != null
              ? argument.NAME().getText()
              : position < function.names().size() ? function.names().get(position++) : null;
      if (name == null || !function.names().contains(name)) {
        throw new Fault(place(argument), "'" + function.name() + "' takes " + function.names());
      }
      if (given.put(name, value(argument.expr())) != null) {
        throw new Fault(place(argument), "'" + name + "' stands twice");
      }
    }
    for (String name : function.names()) {
      Object other = function.defaults().get(name);
      if (!given.containsKey(name) && other == null) {
        throw new Fault(place(call), "'" + function.name() + "' needs '" + name + "'");
      }
      given.putIfAbsent(name, other);
    }
    Map<String, Object> outer = locals;
    locals = given;
    calls.push(function);
    returned = NONE;
    try {
      Way way = run(function.body());
      if (way == Way.BREAK || way == Way.CONTINUE) {
        throw new Fault(place(call), "'" + function.name() + "' leaves a loop that it is not in");
      }
      Object result = returned;
      returned = NONE;
      return result;
    } finally {
      calls.pop();
      locals = outer;
    }
  }

  // ---- Values ----

  private Object sized(ParserRuleContext at, Object value) throws Fault {
    int size =
        value instanceof List<?> list
            ? list.size()
            : value instanceof Map<?, ?> map
                ? map.size()
                : value instanceof String text ? text.length() : 0;
    if (size > MOST_SIZE) {
      throw new Fault(place(at), "this grows beyond " + MOST_SIZE + " elements");
    }
    return value;
  }

  private interface Exact {
    Object get();
  }

  private static Object exact(ParserRuleContext at, Exact sum) throws Fault {
    try {
      return sum.get();
    } catch (ArithmeticException e) {
      throw new Fault(place(at), "this number is too large");
    }
  }

  static boolean truth(Object value) {
    return !(value == NONE
        || Objects.equals(value, false)
        || Objects.equals(value, 0L)
        || Objects.equals(value, 0.0)
        || Objects.equals(value, "")
        || (value instanceof List<?> list && list.isEmpty())
        || (value instanceof Map<?, ?> map && map.isEmpty()));
  }

  /** A value as a fault names it. */
  static String shown(Object value) {
    String text =
        value instanceof String
            ? "\"" + value + "\""
            : value instanceof Boolean b ? b ? "True" : "False" : String.valueOf(value);
    return text.length() > 60 ? text.substring(0, 57) + "..." : text;
  }

  private static String unescaped(String quoted) {
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
