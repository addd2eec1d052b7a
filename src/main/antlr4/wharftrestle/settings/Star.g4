// The settings' language: a subset of Starlark (bazelbuild's published language specification). Blocks are
// by indentation: the lexer gives lines as they stand, IndentationTokens.java makes INDENT and DEDENT of them. Left out: while,
// lambda, load, slices, augmented assignment and string methods; nothing reads, writes or recurs.
grammar Star;

tokens { INDENT, DEDENT }

file      : (NEWLINE | statement)* EOF ;

statement : simple NEWLINE                                                                # line
          | 'def' NAME '(' (param (',' param)* ','?)? ')' ':' block                       # def
          | 'if' expr ':' block ('elif' expr ':' block)* ('else' ':' other=block)?        # choose
          | 'for' names 'in' expr ':' block                                               # loop
          ;

simple    : small (';' small)* ';'? ;

small     : NAME '=' expr        # assign
          | 'return' expr?       # giveBack
          | 'pass'               # pass
          | 'break'              # breakOff
          | 'continue'           # goOn
          | expr                 # say
          ;

param     : NAME ('=' expr)? ;
names     : NAME (',' NAME)* ;
block     : simple NEWLINE | NEWLINE INDENT statement+ DEDENT ;

expr      : expr '(' (argument (',' argument)* ','?)? ')'                  # call
          | expr '[' expr ']'                                              # index
          | ('-' | '+') expr                                               # sign
          | expr op=('*' | '/' | '//' | '%') expr                          # product
          | expr op=('+' | '-') expr                                       # sum
          | expr op=('<' | '<=' | '>' | '>=' | '==' | '!=') expr           # compare
          | expr neg='not'? 'in' expr                                      # within
          | 'not' expr                                                     # negate
          | expr 'and' expr                                                # both
          | expr 'or' expr                                                 # either
          | <assoc=right> expr 'if' expr 'else' expr                       # ternary
          | atom                                                           # plain
          ;

argument  : (NAME '=')? expr ;

atom      : INT                                                            # whole
          | FLOAT                                                          # real
          | STRING+                                                        # text
          | NAME                                                           # name
          | '[' expr 'for' names 'in' expr ('if' expr)? ']'                # gather
          | '[' (expr (',' expr)* ','?)? ']'                               # list
          | '{' (pair (',' pair)* ','?)? '}'                               # dict
          | '(' expr ')'                                                   # group
          ;

pair      : expr ':' expr ;

INT       : [0-9]+ ;
FLOAT     : [0-9]+ '.' [0-9]* EXPONENT? | '.' [0-9]+ EXPONENT? | [0-9]+ EXPONENT ;
fragment EXPONENT : [eE] [+-]? [0-9]+ ;
STRING    : '"' (~["\\\r\n] | '\\' [nt"'\\])* '"' | '\'' (~['\\\r\n] | '\\' [nt"'\\])* '\'' ;
NAME      : [A-Za-z_] [A-Za-z_0-9]* ;

COMMENT   : '#' ~[\r\n]* -> skip ;
NEWLINE   : '\r'? '\n' ;
SPACE     : [ \t]+ -> skip ;
CONTINUED : '\\' '\r'? '\n' -> skip ;
