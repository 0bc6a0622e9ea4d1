"""The language's grammar, and the parser that makes trees of it.

Each item of a file begins a line with its keyword, so a fault in one item hides none in the others: the
parser goes on at the next. The grammar is LALR(1), the parser's stack is no recursion, and a tree over its
depth is cut where it is built: no text makes the program run out of stack.
"""

from __future__ import annotations

import re
from functools import cache
from typing import Any, cast

from lark import Lark, Token, Tree, UnexpectedCharacters, UnexpectedToken

from violetdoor.match import types as t
from violetdoor.match.faults import Faults, Span, shown
from violetdoor.match.tree import (
    Apply,
    Define,
    Items,
    Let,
    Literal,
    Name,
    NamedSet,
    Node,
    Output,
    Pairs,
    Rule,
    Source,
)

DEPTH_MOST = 64  # levels of one expression, named ones that it uses included
SOURCE_MOST = 8 << 20  # characters of one source
LITERAL_MOST = 1024  # characters of one string

GRAMMAR = r"""
item: set_ | define | rule | default
set_: "set" NAME "=" KIND (members | "from" STRING) ";"
members: "{" [STRING ("," STRING)* ","?] "}"
define: "define" NAME "=" expr ";"
rule: "rule" STRING "when" expr body
default: "default" body
body: "{" output* "}"
output: OUTPUT "=" expr ";"          -> plain_output
      | "label" NAME "=" expr ";"    -> label_output
      | "refuse" expr ";"            -> refusal

?expr: "let" NAME "=" expr ";" expr             -> let
     | "if" expr "then" expr "else" expr        -> choice
     | disjunction
?disjunction: conjunction
            | conjunction ("or" conjunction)+   -> or_
?conjunction: negation
            | negation ("and" negation)+        -> and_
?negation: "not" negation                       -> not_
         | test
?test: fallback
     | fallback COMPARE fallback                -> compare
     | fallback "not" "in" fallback             -> not_in
?fallback: sum
         | sum ("??" sum)+                      -> coalesce
?sum: product
    | sum PLUS product                          -> binary
?product: unary
        | product TIMES unary                   -> binary
?unary: "-" unary                               -> negative
      | postfix
?postfix: atom
        | postfix "[" expr "]"                  -> index
?atom: "true"                                   -> true
     | "false"                                  -> false
     | STRING                                   -> string
     | RAW                                      -> raw
     | DURATION                                 -> duration
     | BYTES                                    -> bytesize
     | FLOAT                                    -> float
     | INT                                      -> integer
     | NAME "(" [expr ("," expr)*] ")"          -> call
     | NAME                                     -> name
     | "[" [expr ("," expr)* ","?] "]"          -> items
     | "{" [pair ("," pair)* ","?] "}"          -> pairs
     | "(" expr ")"                             -> group
pair: expr ":" expr

KIND: "strings" | "prefixes"
OUTPUT.2: "class" | "tenant" | "group" | "key" | "pool"
COMPARE: "==" | "!=" | "<=" | ">=" | "<" | ">" | /(in|matches|starts_with|ends_with|contains|fits)\b/
PLUS: "+" | "-"
TIMES: "*" | "/" | "%"
STRING: /"(\\.|[^"\\\n])*"/
RAW.2: /r"[^"\n]*"/
DURATION.3: /[0-9]+(\.[0-9]+)?(us|ms|s|m|h)\b/
BYTES.3: /[0-9]+(B|KiB|MiB|GiB)\b/
FLOAT.2: /[0-9]+\.[0-9]+/
INT: /[0-9]+/
NAME: /[a-z_][a-zA-Z0-9_]*(\.[a-z_][a-zA-Z0-9_]*)*/
COMMENT: /#[^\n]*/
%import common.WS
%ignore WS
%ignore COMMENT
"""

WORDS = {
    "NAME": "a name", "STRING": "a string", "RAW": "a raw string", "INT": "a number", "FLOAT": "a number",
    "DURATION": "a duration", "BYTES": "a size", "COMPARE": "a comparison", "PLUS": "+ or -",
    "TIMES": "*, / or %", "KIND": "strings or prefixes", "OUTPUT": "class, tenant, group, key or pool",
    "$END": "the end of the item",
}  # fmt: skip
VALUES = {
    "NAME",
    "STRING",
    "RAW",
    "INT",
    "FLOAT",
    "DURATION",
    "BYTES",
    "LPAR",
    "LSQB",
    "LBRACE",
    "TRUE",
    "FALSE",
}
UNITS = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
ESCAPES = {"n": "\n", "t": "\t", "r": "\r", '"': '"', "\\": "\\", "0": "\0"}
BEGIN = re.compile(r"^[ \t]*(?=(?:set|define|rule|default)\b)", re.MULTILINE)
BLANK = re.compile(r"(?:\s+|#[^\n]*)*")


class _FaultyError(Exception):
    def __init__(self, span: Span, expected: str) -> None:
        super().__init__(expected)
        self.span, self.expected = span, expected


def _unescape(text: str, span: Span) -> str:
    def one(found: re.Match[str]) -> str:
        code = found[1]
        if code[0] == "u" and len(code) > 1:
            return chr(int(code[1:], 16))
        if code not in ESCAPES:
            raise _FaultyError(span, rf"unknown escape \{code}; expected \n \t \r \0 \" \\ or \uXXXX")
        return ESCAPES[code]

    value = re.sub(r"\\(u[0-9a-fA-F]{4}|.)", one, text)
    if any("\ud800" <= c <= "\udfff" for c in value):
        raise _FaultyError(span, "half of a surrogate pair is no character")
    return value


def _span(meta: Any) -> Span:
    return Span(getattr(meta, "start_pos", 0), getattr(meta, "end_pos", 0))


def _made(kind: Any, meta: Any, children: list[Node], *values: Any) -> Any:
    depth = 1 + max((c.depth for c in children), default=0)
    if depth > DEPTH_MOST:
        raise _FaultyError(_span(meta), f"nested over {DEPTH_MOST} levels deep; name parts of it by define")
    return kind(_span(meta), depth, *values)


class _Builder:
    """Makes a node of each reduction; its methods are named as the grammar's rules are."""

    def build(self, tree: Any) -> Any:
        """The node of a whole parse tree, without recursion."""
        todo, done = [(tree, False)], list[Any]()
        while todo:
            node, ready = todo.pop()
            if not isinstance(node, Tree):
                done.append(node)
            elif ready:
                first = len(done) - len(node.children)
                made = getattr(self, str(node.data))(node.meta, done[first:])
                done[first:] = [made]
            else:
                todo.append((node, True))
                todo += [(child, False) for child in reversed(node.children)]
        return done[0]

    def _literal(self, meta: Any, kind: t.Type, value: Any) -> Literal:
        if kind in t.WHOLE and not value <= t.INT_HIGH:
            raise _FaultyError(_span(meta), f"too large; expected at most {t.INT_HIGH}")
        return Literal(_span(meta), 1, kind, value)

    def true(self, meta: Any, _: list[Token]) -> Literal:
        return self._literal(meta, t.BOOL, True)

    def false(self, meta: Any, _: list[Token]) -> Literal:
        return self._literal(meta, t.BOOL, False)

    def string(self, meta: Any, c: list[Token]) -> Literal:
        return self._literal(meta, t.STRING, self.text(c[0]))

    def text(self, token: Token) -> str:
        span = Span(token.start_pos or 0, token.end_pos or 0)
        if len(token) > LITERAL_MOST + 2:
            raise _FaultyError(span, f"a string over {LITERAL_MOST} characters")
        return _unescape(token[1:-1], span)

    def raw(self, meta: Any, c: list[Token]) -> Literal:
        if len(c[0]) > LITERAL_MOST + 3:
            raise _FaultyError(_span(meta), f"a string over {LITERAL_MOST} characters")
        return self._literal(meta, t.STRING, str(c[0][2:-1]))

    def _number(self, meta: Any, digits: str) -> str:
        if len(digits) > 30:  # guards against a number whose reading alone takes long
            raise _FaultyError(_span(meta), f"too large; expected at most {t.INT_HIGH}")
        return digits

    def duration(self, meta: Any, c: list[Token]) -> Literal:
        digits = c[0].rstrip("umsh")
        value = round(float(self._number(meta, digits)) * UNITS[c[0][len(digits) :]])
        return self._literal(meta, t.DURATION, value)

    def bytesize(self, meta: Any, c: list[Token]) -> Literal:
        digits = c[0].rstrip("BKMGi")
        return self._literal(meta, t.SIZE, int(self._number(meta, digits)) * SIZES[c[0][len(digits) :]])

    def float(self, meta: Any, c: list[Token]) -> Literal:
        return self._literal(meta, t.FLOAT, float(self._number(meta, str(c[0]))))

    def integer(self, meta: Any, c: list[Token]) -> Literal:
        return self._literal(meta, t.INT, int(self._number(meta, str(c[0]))))

    def name(self, meta: Any, c: list[Token]) -> Name:
        return Name(_span(meta), 1, str(c[0]))

    def group(self, meta: Any, c: list[Node]) -> Node:
        return c[0]

    def _apply(self, meta: Any, op: str, args: list[Any]) -> Apply:
        return cast(Apply, _made(Apply, meta, args, op, tuple(args)))

    def call(self, meta: Any, c: list[Any]) -> Apply:
        return self._apply(meta, str(c[0]), [a for a in c[1:] if a is not None])

    def or_(self, meta: Any, c: list[Any]) -> Apply:
        return self._apply(meta, "or", c)

    def and_(self, meta: Any, c: list[Any]) -> Apply:
        return self._apply(meta, "and", c)

    def not_(self, meta: Any, c: list[Any]) -> Apply:
        return self._apply(meta, "not", c)

    def compare(self, meta: Any, c: list[Any]) -> Apply:
        return self._apply(meta, str(c[1]), [c[0], c[2]])

    def not_in(self, meta: Any, c: list[Any]) -> Apply:
        return self._apply(meta, "not", [self._apply(meta, "in", c)])

    def coalesce(self, meta: Any, c: list[Any]) -> Any:
        node = c[-1]
        for left in reversed(c[:-1]):
            node = self._apply(meta, "??", [left, node])
        return node

    def binary(self, meta: Any, c: list[Any]) -> Apply:
        return self._apply(meta, str(c[1]), [c[0], c[2]])

    def negative(self, meta: Any, c: list[Any]) -> Node:
        if isinstance(c[0], Literal) and c[0].type in t.NUMBERS:
            return Literal(_span(meta), 1, c[0].type, -c[0].value)
        return self._apply(meta, "negative", c)

    def index(self, meta: Any, c: list[Any]) -> Apply:
        return self._apply(meta, "index", c)

    def choice(self, meta: Any, c: list[Any]) -> Apply:
        return self._apply(meta, "if", c)

    def let(self, meta: Any, c: list[Any]) -> Let:
        return cast(Let, _made(Let, meta, c[1:], str(c[0]), c[1], c[2]))

    def items(self, meta: Any, c: list[Any]) -> Items:
        items = [a for a in c if a is not None]
        return cast(Items, _made(Items, meta, items, tuple(items)))

    def pair(self, meta: Any, c: list[Any]) -> tuple[Node, Node]:
        return c[0], c[1]

    def pairs(self, meta: Any, c: list[Any]) -> Pairs:
        pairs = [a for a in c if a is not None]
        return cast(Pairs, _made(Pairs, meta, [n for p in pairs for n in p], tuple(pairs)))

    def members(self, meta: Any, c: list[Any]) -> tuple[tuple[str, Span], ...]:
        found = [a for a in c if a is not None]
        return tuple((self.text(a), Span(a.start_pos or 0, a.end_pos or 0)) for a in found)

    def set_(self, meta: Any, c: list[Any]) -> NamedSet:
        if isinstance(c[2], tuple):
            return NamedSet(_span(meta), str(c[0]), str(c[1]), members=c[2])
        return NamedSet(_span(meta), str(c[0]), str(c[1]), file=self.text(c[2]))

    def define(self, meta: Any, c: list[Any]) -> Define:
        return Define(_span(meta), str(c[0]), c[1])

    def body(self, meta: Any, c: list[Any]) -> tuple[Output, ...]:
        return tuple(c)

    def plain_output(self, meta: Any, c: list[Any]) -> Output:
        return Output(_span(meta), str(c[0]), c[1])

    def label_output(self, meta: Any, c: list[Any]) -> Output:
        return Output(_span(meta), "label", c[1], str(c[0]))

    def refusal(self, meta: Any, c: list[Any]) -> Output:
        return Output(_span(meta), "refuse", c[0])

    def rule(self, meta: Any, c: list[Any]) -> Rule:
        return Rule(_span(meta), self.text(c[0]), c[1], c[2])

    def default(self, meta: Any, c: list[Any]) -> Rule:
        return Rule(_span(meta), "default", None, c[0])

    def item(self, meta: Any, c: list[Any]) -> Any:
        return c[0]


@cache
def _parser(start: str) -> Lark:
    return Lark(GRAMMAR, start=start, parser="lalr", propagate_positions=True, maybe_placeholders=True)


def _words(expected: set[str]) -> str:
    if expected >= {"NAME", "INT", "STRING"}:
        expected = (expected - VALUES - {"IF", "LET", "NOT", "MINUS", "PLUS"}) | {"a value"}
    if {"PLUS", "TIMES"} <= expected:
        expected = (expected - {"PLUS", "TIMES", "COMPARE", "AND", "OR", "NOT", "__ANON_0", "LSQB"}) | {
            "an operator"
        }
    terminals = {term.name: term for term in _parser("item").terminals}

    def word(name: str) -> str:
        pattern = terminals[name].pattern if name in terminals else None
        return WORDS.get(name) or (repr(pattern.value) if pattern and pattern.type == "str" else name)

    words = sorted(map(word, expected))
    return "expected " + (
        " or ".join(words) if len(words) < 3 else ", ".join(words[:-1]) + " or " + words[-1]
    )


class _Offset:
    """Adds an item's place in its file to the places within it, for the parts that are kept."""

    def __init__(self, faults: Faults, offset: int) -> None:
        self.faults, self.offset = faults, offset

    def span(self, span: Span) -> Span:
        return Span(span.start + self.offset, span.end + self.offset)

    def parse(self, text: str, start: str) -> Any:
        """The tree of a text, or None once its fault is noted."""
        try:
            return _Builder().build(_parser(start).parse(text))
        except UnexpectedToken as err:
            at = err.token.start_pos if err.token.type != "$END" else len(text.rstrip())
            found = shown(str(err.token)) if err.token.type != "$END" else "the end"
            end = err.token.end_pos or 0
            self.faults.add(self.span(Span(at or 0, end)), _words(set(err.accepts or err.expected)), found)
        except UnexpectedCharacters as err:
            at = err.pos_in_stream or 0
            what = '"' if text[at] == '"' else ""
            expected = "a string that ends on its line" if what else "a character of the language"
            self.faults.add(self.span(Span(at, at + 1)), f"expected {expected}")
        except _FaultyError as err:
            self.faults.add(self.span(err.span), err.expected)
        return None


def parse_expression(text: str, faults: Faults) -> Node | None:
    """One expression alone; None once its faults are noted."""
    found = _Offset(faults, 0).parse(text, "expr")
    return found if isinstance(found, Node) else None


def parse(text: str, faults: Faults) -> list[tuple[int, Any]]:
    """The items of a rules file, each with its place; what does not parse is noted and left out."""
    if len(text) > SOURCE_MOST:
        faults.add(Span(SOURCE_MOST, SOURCE_MOST + 1), f"over {SOURCE_MOST} characters", "a longer text")
        return []
    starts = [m.start() for m in BEGIN.finditer(text)]
    blank = BLANK.match(text)
    first = blank.end() if blank else 0
    if first < (starts[0] if starts else len(text)):
        line_end = text.find("\n", first)
        span = Span(first, line_end if line_end >= 0 else len(text))
        faults.add(span, "expected set, define, rule or default at the start of a line")
    items = []
    # Without any start the one end is left over.
    for start, end in zip(starts, [*starts[1:], len(text)], strict=False):
        item = _Offset(faults, start).parse(text[start:end], "item")
        if item is not None:
            items.append((start, item))
    return items


def sorted_out(items: list[tuple[int, Any]]) -> tuple[Source, dict[int, int]]:
    """The items by kind, and where in the file each one's places count from, by its identity."""
    source, offsets = Source(), {}
    for start, item in items:
        offsets[id(item)] = start
        match item:
            case NamedSet():
                source.sets.append(item)
            case Define():
                source.defines.append(item)
            case Rule(when=None):
                source.defaults.append(item)
            case Rule():
                source.rules.append(item)
    return source, offsets
