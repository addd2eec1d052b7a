package wharftrestle.settings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.antlr.v4.runtime.CommonToken;
import org.antlr.v4.runtime.Lexer;
import org.antlr.v4.runtime.ListTokenSource;
import org.antlr.v4.runtime.Token;

/**
 * Makes blocks of lines: it drops the ends of lines within brackets and of empty lines, and puts
 * INDENT and DEDENT where the first word of a line stands further in or out. It must never change
 * any other word.
 */
final class Lines {
  private final List<Token> words = new ArrayList<>();
  private final Deque<Integer> indents = new ArrayDeque<>(List.of(0));
  private boolean fresh = true; // nothing of this line was seen
  private int depth; // of brackets

  private Lines() {}

  static ListTokenSource of(Lexer lexer) throws Script.Fault {
    Lines lines = new Lines();
    for (Token word = lexer.nextToken(); ; word = lexer.nextToken()) {
      lines.take(word);
      if (word.getType() == Token.EOF) {
        return new ListTokenSource(lines.words);
      }
    }
  }

  private void take(Token word) throws Script.Fault {
    if (word.getType() == StarLexer.NEWLINE) {
      if (depth == 0 && !fresh) {
        words.add(word);
        fresh = true;
      }
      return;
    }
    if (word.getType() == Token.EOF) {
      if (!fresh) {
        words.add(made(StarLexer.NEWLINE, "end of line", word));
      }
      while (indents.size() > 1) {
        indents.pop();
        words.add(made(StarParser.DEDENT, "end of block", word));
      }
    } else if (fresh && depth == 0) {
      indent(word);
    }
    fresh = fresh && word.getType() == Token.EOF;
    depth +=
        switch (word.getText()) {
          case "(", "[", "{" -> 1;
          case ")", "]", "}" -> depth > 0 ? -1 : 0;
          default -> 0;
        };
    words.add(word);
  }

  private void indent(Token word) throws Script.Fault {
    int column = word.getCharPositionInLine();
    if (column > indents.peek()) {
      indents.push(column);
      words.add(made(StarParser.INDENT, "indentation", word));
    }
    while (column < indents.peek()) {
      indents.pop();
      words.add(made(StarParser.DEDENT, "end of block", word));
    }
    if (column != indents.peek()) {
      throw new Script.Fault(Script.place(word), "this indentation matches no block above it");
    }
  }

  private static Token made(int type, String text, Token at) {
    CommonToken token = new CommonToken(at);
    token.setType(type);
    token.setText(text);
    return token;
  }
}
