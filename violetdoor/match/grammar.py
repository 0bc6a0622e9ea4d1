"""Grammar and parser of the rule language.

Each item of a file starts with its keyword at the beginning of a line, so that a fault in one item does not
hide faults in others: the parser continues at the next item. No text can exhaust the stack: the grammar is
LALR(1), its parser does not recurse, and a tree that exceeds the depth limit is rejected while it is built.
"""

from __future__ import annotations

import re
from functools import cache
from typing import Any, cast

from lark import Lark, Token, Tree, UnexpectedCharacters, UnexpectedToken

from violetdoor.match import types as t
from violetdoor.match.faults import Faults, Span, excerpt
from violetdoor.match.tree import (
    Define,
    Let,
    ListLiteral,
    Literal,
    MapLiteral,
    Name,
    NamedSet,
    Node,
    Operation,
    Output,
    Rule,
    Source,
)

MAX_DEPTH = 64  # levels of one expression, including the named expressions that it uses
MAX_SOURCE_CHARS = 8 << 20  # of one rules file
MAX_LITERAL_CHARS = 1024  # of one string literal

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

TERMINAL_DESCRIPTIONS = {
    "NAME": "a name", "STRING": "a string", "RAW": "a raw string", "INT": "a number", "FLOAT": "a number",
    "DURATION": "a duration", "BYTES": "a size", "COMPARE": "a comparison", "PLUS": "+ or -",
    "TIMES": "*, / or %", "KIND": "strings or prefixes", "OUTPUT": "class, tenant, group, key or pool",
    "$END": "the end of the item",
}  # fmt: skip
VALUE_TERMINALS = {
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
DURATION_UNITS = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
ESCAPES = {"n": "\n", "t": "\t", "r": "\r", '"': '"', "\\": "\\", "0": "\0"}
ITEM_START = re.compile(r"^[ \t]*(?=(?:set|define|rule|default)\b)", re.MULTILINE)
BLANK_OR_COMMENT = re.compile(r"(?:\s+|#[^\n]*)*")


class _SyntaxFaultError(Exception):
    def __init__(self, span: Span, expected: str) -> None:
        super().__init__(expected)
        self.span, self.expected = span, expected


def _unescape(text: str, span: Span) -> str:
    def replacement(escape: re.Match[str]) -> str:
        code = escape[1]
        if code[0] == "u" and len(code) > 1:
            return chr(int(code[1:], 16))
        if code not in ESCAPES:
            raise _SyntaxFaultError(span, rf"unknown escape \{code}; expected \n \t \r \0 \" \\ or \uXXXX")
        return ESCAPES[code]

    value = re.sub(r"\\(u[0-9a-fA-F]{4}|.)", replacement, text)
    if any("\ud800" <= c <= "\udfff" for c in value):
        raise _SyntaxFaultError(span, "a lone surrogate is not a character")
    return value


def _span(meta: Any) -> Span:
    return Span(getattr(meta, "start_pos", 0), getattr(meta, "end_pos", 0))


def _make_node(kind: Any, meta: Any, children: list[Node], *values: Any) -> Any:
    depth = 1 + max((c.depth for c in children), default=0)
    if depth > MAX_DEPTH:
        raise _SyntaxFaultError(
            _span(meta), f"nested over {MAX_DEPTH} levels deep; name parts of it by define"
        )
    return kind(_span(meta), depth, *values)


class _Builder:
    """Builds a syntax tree from a parse tree; the public methods are named after the grammar's rules."""

    def build(self, tree: Any) -> Any:
        """Return the node of a complete parse tree; does not recurse."""
        pending, built = [(tree, False)], list[Any]()
        while pending:
            node, children_built = pending.pop()
            if not isinstance(node, Tree):
                built.append(node)
            elif children_built:
                first = len(built) - len(node.children)
                built_node = getattr(self, str(node.data))(node.meta, built[first:])
                built[first:] = [built_node]
            else:
                pending.append((node, True))
                pending += [(child, False) for child in reversed(node.children)]
        return built[0]

    def _literal(self, meta: Any, kind: t.Type, value: Any) -> Literal:
        if kind in t.INTEGER_TYPES and not value <= t.MAX_INT:
            raise _SyntaxFaultError(_span(meta), f"too large; expected at most {t.MAX_INT}")
        return Literal(_span(meta), 1, kind, value)

    def true(self, meta: Any, _: list[Token]) -> Literal:
        return self._literal(meta, t.BOOL, True)

    def false(self, meta: Any, _: list[Token]) -> Literal:
        return self._literal(meta, t.BOOL, False)

    def string(self, meta: Any, children: list[Token]) -> Literal:
        return self._literal(meta, t.STRING, self.string_value(children[0]))

    def string_value(self, token: Token) -> str:
        span = Span(token.start_pos or 0, token.end_pos or 0)
        if len(token) > MAX_LITERAL_CHARS + 2:
            raise _SyntaxFaultError(span, f"a string over {MAX_LITERAL_CHARS} characters")
        return _unescape(token[1:-1], span)

    def raw(self, meta: Any, children: list[Token]) -> Literal:
        if len(children[0]) > MAX_LITERAL_CHARS + 3:
            raise _SyntaxFaultError(_span(meta), f"a string over {MAX_LITERAL_CHARS} characters")
        return self._literal(meta, t.STRING, str(children[0][2:-1]))

    def _checked_digits(self, meta: Any, digits: str) -> str:
        if len(digits) > 30:  # guards against a number that takes long to convert
            raise _SyntaxFaultError(_span(meta), f"too large; expected at most {t.MAX_INT}")
        return digits

    def duration(self, meta: Any, children: list[Token]) -> Literal:
        digits = children[0].rstrip("umsh")
        value = round(float(self._checked_digits(meta, digits)) * DURATION_UNITS[children[0][len(digits) :]])
        return self._literal(meta, t.DURATION, value)

    def bytesize(self, meta: Any, children: list[Token]) -> Literal:
        digits = children[0].rstrip("BKMGi")
        return self._literal(
            meta, t.SIZE, int(self._checked_digits(meta, digits)) * SIZE_UNITS[children[0][len(digits) :]]
        )

    def float(self, meta: Any, children: list[Token]) -> Literal:
        return self._literal(meta, t.FLOAT, float(self._checked_digits(meta, str(children[0]))))

    def integer(self, meta: Any, children: list[Token]) -> Literal:
        return self._literal(meta, t.INT, int(self._checked_digits(meta, str(children[0]))))

    def name(self, meta: Any, children: list[Token]) -> Name:
        return Name(_span(meta), 1, str(children[0]))

    def group(self, meta: Any, children: list[Node]) -> Node:
        return children[0]

    def _operation(self, meta: Any, op: str, args: list[Any]) -> Operation:
        return cast(Operation, _make_node(Operation, meta, args, op, tuple(args)))

    def call(self, meta: Any, children: list[Any]) -> Operation:
        return self._operation(meta, str(children[0]), [a for a in children[1:] if a is not None])

    def or_(self, meta: Any, children: list[Any]) -> Operation:
        return self._operation(meta, "or", children)

    def and_(self, meta: Any, children: list[Any]) -> Operation:
        return self._operation(meta, "and", children)

    def not_(self, meta: Any, children: list[Any]) -> Operation:
        return self._operation(meta, "not", children)

    def compare(self, meta: Any, children: list[Any]) -> Operation:
        return self._operation(meta, str(children[1]), [children[0], children[2]])

    def not_in(self, meta: Any, children: list[Any]) -> Operation:
        return self._operation(meta, "not", [self._operation(meta, "in", children)])

    def coalesce(self, meta: Any, children: list[Any]) -> Any:
        node = children[-1]
        for left in reversed(children[:-1]):
            node = self._operation(meta, "??", [left, node])
        return node

    def binary(self, meta: Any, children: list[Any]) -> Operation:
        return self._operation(meta, str(children[1]), [children[0], children[2]])

    def negative(self, meta: Any, children: list[Any]) -> Node:
        if isinstance(children[0], Literal) and children[0].type in t.NUMERIC_TYPES:
            return Literal(_span(meta), 1, children[0].type, -children[0].value)
        return self._operation(meta, "negative", children)

    def index(self, meta: Any, children: list[Any]) -> Operation:
        return self._operation(meta, "index", children)

    def choice(self, meta: Any, children: list[Any]) -> Operation:
        return self._operation(meta, "if", children)

    def let(self, meta: Any, children: list[Any]) -> Let:
        return cast(Let, _make_node(Let, meta, children[1:], str(children[0]), children[1], children[2]))

    def items(self, meta: Any, children: list[Any]) -> ListLiteral:
        items = [a for a in children if a is not None]
        return cast(ListLiteral, _make_node(ListLiteral, meta, items, tuple(items)))

    def pair(self, meta: Any, children: list[Any]) -> tuple[Node, Node]:
        return children[0], children[1]

    def pairs(self, meta: Any, children: list[Any]) -> MapLiteral:
        pairs = [a for a in children if a is not None]
        return cast(MapLiteral, _make_node(MapLiteral, meta, [n for p in pairs for n in p], tuple(pairs)))

    def members(self, meta: Any, children: list[Any]) -> tuple[tuple[str, Span], ...]:
        found = [a for a in children if a is not None]
        return tuple((self.string_value(a), Span(a.start_pos or 0, a.end_pos or 0)) for a in found)

    def set_(self, meta: Any, children: list[Any]) -> NamedSet:
        if isinstance(children[2], tuple):
            return NamedSet(_span(meta), str(children[0]), str(children[1]), members=children[2])
        return NamedSet(_span(meta), str(children[0]), str(children[1]), file=self.string_value(children[2]))

    def define(self, meta: Any, children: list[Any]) -> Define:
        return Define(_span(meta), str(children[0]), children[1])

    def body(self, meta: Any, children: list[Any]) -> tuple[Output, ...]:
        return tuple(children)

    def plain_output(self, meta: Any, children: list[Any]) -> Output:
        return Output(_span(meta), str(children[0]), children[1])

    def label_output(self, meta: Any, children: list[Any]) -> Output:
        return Output(_span(meta), "label", children[1], str(children[0]))

    def refusal(self, meta: Any, children: list[Any]) -> Output:
        return Output(_span(meta), "refuse", children[0])

    def rule(self, meta: Any, children: list[Any]) -> Rule:
        return Rule(_span(meta), self.string_value(children[0]), children[1], children[2])

    def default(self, meta: Any, children: list[Any]) -> Rule:
        return Rule(_span(meta), "default", None, children[0])

    def item(self, meta: Any, children: list[Any]) -> Any:
        return children[0]


@cache
def _parser(start: str) -> Lark:
    return Lark(GRAMMAR, start=start, parser="lalr", propagate_positions=True, maybe_placeholders=True)


def _describe_expected(expected: set[str]) -> str:
    if expected >= {"NAME", "INT", "STRING"}:
        expected = (expected - VALUE_TERMINALS - {"IF", "LET", "NOT", "MINUS", "PLUS"}) | {"a value"}
    if {"PLUS", "TIMES"} <= expected:
        expected = (expected - {"PLUS", "TIMES", "COMPARE", "AND", "OR", "NOT", "__ANON_0", "LSQB"}) | {
            "an operator"
        }
    terminals = {term.name: term for term in _parser("item").terminals}

    def describe(name: str) -> str:
        pattern = terminals[name].pattern if name in terminals else None
        return TERMINAL_DESCRIPTIONS.get(name) or (
            repr(pattern.value) if pattern and pattern.type == "str" else name
        )

    descriptions = sorted(map(describe, expected))
    return "expected " + (
        " or ".join(descriptions)
        if len(descriptions) < 3
        else ", ".join(descriptions[:-1]) + " or " + descriptions[-1]
    )


class _ItemParser:
    """Parses the text of one item; faults get their position in the file by adding the item's offset."""

    def __init__(self, faults: Faults, offset: int) -> None:
        self.faults, self.offset = faults, offset

    def file_span(self, span: Span) -> Span:
        return Span(span.start + self.offset, span.end + self.offset)

    def parse(self, text: str, start: str) -> Any:
        """Return the tree of a text, None if it has a fault, which is recorded."""
        try:
            return _Builder().build(_parser(start).parse(text))
        except UnexpectedToken as err:
            position = err.token.start_pos if err.token.type != "$END" else len(text.rstrip())
            found = excerpt(str(err.token)) if err.token.type != "$END" else "the end"
            end = err.token.end_pos or 0
            self.faults.add(
                self.file_span(Span(position or 0, end)),
                _describe_expected(set(err.accepts or err.expected)),
                found,
            )
        except UnexpectedCharacters as err:
            position = err.pos_in_stream or 0
            opening_quote = '"' if text[position] == '"' else ""
            expected = "a string that ends on its line" if opening_quote else "a character of the language"
            self.faults.add(self.file_span(Span(position, position + 1)), f"expected {expected}")
        except _SyntaxFaultError as err:
            self.faults.add(self.file_span(err.span), err.expected)
        return None


def parse_expression(text: str, faults: Faults) -> Node | None:
    """Return the tree of a single expression, None if it has a fault, which is recorded."""
    found = _ItemParser(faults, 0).parse(text, "expr")
    return found if isinstance(found, Node) else None


def parse(text: str, faults: Faults) -> list[tuple[int, Any]]:
    """Return the items of a rules file with their offsets; items with a fault are omitted and reported."""
    if len(text) > MAX_SOURCE_CHARS:
        faults.add(
            Span(MAX_SOURCE_CHARS, MAX_SOURCE_CHARS + 1),
            f"over {MAX_SOURCE_CHARS} characters",
            "a longer text",
        )
        return []
    starts = [m.start() for m in ITEM_START.finditer(text)]
    leading_blank = BLANK_OR_COMMENT.match(text)
    content_start = leading_blank.end() if leading_blank else 0
    if content_start < (starts[0] if starts else len(text)):
        line_end = text.find("\n", content_start)
        span = Span(content_start, line_end if line_end >= 0 else len(text))
        faults.add(span, "expected set, define, rule or default at the start of a line")
    items = []
    # The list of ends has one entry more than `starts` if there is no item.
    for start, end in zip(starts, [*starts[1:], len(text)], strict=False):
        item = _ItemParser(faults, start).parse(text[start:end], "item")
        if item is not None:
            items.append((start, item))
    return items


def group_items(items: list[tuple[int, Any]]) -> tuple[Source, dict[int, int]]:
    """Return the items by kind, and each item's offset in the file by the `id()` of the item."""
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
