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
 * Converts line layout into block tokens for the parser: drops the line ends of empty lines and
 * within brackets, and inserts INDENT and DEDENT tokens where the indentation of a line changes.
 * All other tokens pass through unchanged.
 */
final class IndentationTokens {
  private final List<Token> tokens = new ArrayList<>();
  private final Deque<Integer> indentColumns = new ArrayDeque<>(List.of(0));
  private boolean atLineStart = true; // no token of this line has been added
  private int bracketDepth;

  private IndentationTokens() {}

  static ListTokenSource tokenSource(Lexer lexer) throws Script.ScriptException {
    IndentationTokens result = new IndentationTokens();
    for (Token token = lexer.nextToken(); ; token = lexer.nextToken()) {
      result.add(token);
      if (token.getType() == Token.EOF) {
        return new ListTokenSource(result.tokens);
      }
    }
  }

  private void add(Token token) throws Script.ScriptException {
    if (token.getType() == StarLexer.NEWLINE) {
      if (bracketDepth == 0 && !atLineStart) {
        tokens.add(token);
        atLineStart = true;
      }
      return;
    }
    if (token.getType() == Token.EOF) {
      if (!atLineStart) {
        tokens.add(insertedToken(StarLexer.NEWLINE, "end of line", token));
      }
      while (indentColumns.size() > 1) {
        indentColumns.pop();
        tokens.add(insertedToken(StarParser.DEDENT, "end of block", token));
      }
    } else if (atLineStart && bracketDepth == 0) {
      updateIndentation(token);
    }
    atLineStart = atLineStart && token.getType() == Token.EOF;
    bracketDepth +=
        switch (token.getText()) {
          case "(", "[", "{" -> 1;
          case ")", "]", "}" -> bracketDepth > 0 ? -1 : 0;
          default -> 0;
        };
    tokens.add(token);
  }

  private void updateIndentation(Token token) throws Script.ScriptException {
    int column = token.getCharPositionInLine();
    if (column > indentColumns.peek()) {
      indentColumns.push(column);
      tokens.add(insertedToken(StarParser.INDENT, "indentation", token));
    }
    while (column < indentColumns.peek()) {
      indentColumns.pop();
      tokens.add(insertedToken(StarParser.DEDENT, "end of block", token));
    }
    if (column != indentColumns.peek()) {
      throw new Script.ScriptException(
          Script.place(token), "this indentation matches no block above it");
    }
  }

  private static Token insertedToken(int type, String text, Token position) {
    CommonToken inserted = new CommonToken(position);
    inserted.setType(type);
    inserted.setText(text);
    return inserted;
  }
}
