"""The checker: names, types, bounds and costs of every expression, before any traffic is touched."""

from __future__ import annotations

import difflib
import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from violetdoor.match import tree
from violetdoor.match import types as t
from violetdoor.match.faults import Faults, Span
from violetdoor.match.grammar import DEPTH_MOST
from violetdoor.match.prices import contains_steps
from violetdoor.match.runtime import compile_pattern
from violetdoor.match.typed import OPS, Graph, Typed, computed
from violetdoor.match.types import (
    ADDRESS,
    BOOL,
    DURATION,
    FAULTY,
    FLOAT,
    INT,
    PREFIXES,
    SIZE,
    STRING,
    STRINGS,
    TEXT_MOST,
    Type,
)

PARTS_MOST = 64  # that a split may make
ITEMS_MOST = 1024  # of a list or map that stands in an expression
PATTERN_MOST = 2000  # instructions of a compiled regular expression
FUNCTIONS = {  # how each is called, and with how many operands
    "lower": ("lower(string)", 1), "split": ("split(string, by, parts)", 3), "has": ("has(optional)", 1),
    "len": ("len(string, list or map)", 1), "int": ("int(string, duration or size)", 1),
    "hash": ("hash(string, whole number or address, buckets)", 2), "float": ("float(string or int)", 1),
    "address": ("address(string)", 1), "text": ("text(whole number or address)", 1),
    "min": ("min(number, number)", 2), "max": ("max(number, number)", 2),
    "token": ("token(string, place)", 2),
}  # fmt: skip


@dataclass(slots=True)
class Sets:
    """What the named sets hold: texts by place, prefixes by place."""

    texts: list[frozenset[str]] = field(default_factory=list)
    nets: list[tuple[tuple[bytes, int], ...]] = field(default_factory=list)
    named: dict[str, Typed] = field(default_factory=dict)


class Checker:
    """Types one source's expressions against a front's schema."""

    def __init__(self, schema: t.Schema, faults: Faults, graph: Graph) -> None:
        self.schema, self.faults, self.graph = schema, faults, graph
        self.sets = Sets()
        self.defines: dict[str, Typed] = {}
        self.offset = 0  # of the item that is checked now, in its file
        self.faulty = Typed("faulty", FAULTY)

    # Helpers.

    def fault(self, span: Span, expected: str) -> Typed:
        """Note a fault; what is returned is complained about no more."""
        self.faults.add(Span(span.start + self.offset, span.end + self.offset), expected)
        return self.faulty

    def make(self, node: Typed, span: Span, units: float = 0.0, price: str = "", value: Any = None) -> Typed:
        """Put a part into the graph: computed now where all below it is known, else with its cost."""
        op = OPS.get(node.op)
        if op is not None and not op.test and any(a.type.optional for a in node.args):
            node.type = t.optional(node.type)
        if node.args and all(a.constant for a in node.args):
            try:
                return self.graph.constant(node.type, computed(node, node.value if value is None else value))
            except (OverflowError, ZeroDivisionError):
                return self.fault(span, f"goes over the range of {node.type.inner}")
        node.own = self.graph.price(price or (op.price if op else "glue"), units)
        node.own += sum(a.type.optional for a in node.args) * self.graph.price("glue")
        made = self.graph.add(node)
        if made.depth > DEPTH_MOST:
            return self.fault(span, f"nested over {DEPTH_MOST} levels deep, named expressions included")
        return made

    def wanted(self, node: tree.Node, found: Typed, kind: Type) -> Typed:
        """The part if it is of this type and there, else a fault."""
        if found.type is FAULTY or found.type == kind:
            return found
        if found.type.optional and found.type.inner == kind:
            return self.fault(node.span, f"{found.type} may be missing; expected {kind}: add '?? ...'")
        return self.fault(node.span, f"{found.type}; expected {kind}")

    # Expressions.

    def check(self, node: tree.Node, names: Mapping[str, Typed] = {}) -> Typed:
        """The typed form of an expression."""
        match node:
            case tree.Literal():
                return self.graph.constant(node.type, node.value)
            case tree.Name():
                return self.name(node, names)
            case tree.Let():
                value = self.check(node.value, names)
                if node.name in names or self.known(node.name):
                    return self.fault(node.span, f"{node.name!r} is taken; expected a new name")
                return self.check(node.body, {**names, node.name: value})
            case tree.Items():
                return self.items(node, [self.check(item, names) for item in node.items])
            case tree.Pairs():
                return self.pairs(node, names)
            case tree.Apply():
                args = [self.check(arg, names) for arg in node.args]
                if any(a.type is FAULTY for a in args):
                    return self.faulty
                return self.apply(node, args)
        raise TypeError(node)

    def known(self, name: str) -> bool:
        """Whether a name stands for something in this source."""
        return name in self.schema.fields or name in self.defines or name in self.sets.named

    def name(self, node: tree.Name, names: Mapping[str, Typed]) -> Typed:
        name = node.name
        for known in (names, self.defines, self.sets.named):
            if name in known:
                return known[name]
        if found := self.schema.fields.get(name):
            place = self.schema.places[name]
            return self.graph.add(
                Typed("field", found.type, value=(place, name), size=found.max_bytes, most=found.max_entries,
                      low=found.low, high=found.high, own=self.graph.price("field"))
            )  # fmt: skip
        every = [*names, *self.defines, *self.sets.named, *self.schema.fields]
        near = difflib.get_close_matches(name, every, 1)
        hint = (
            f"; did you mean {near[0]!r}?" if near else f"; expected a field of {self.schema.front} or a name"
        )
        return self.fault(node.span, f"unknown name{hint}")

    def items(self, node: tree.Items, items: list[Typed]) -> Typed:
        if any(i.type is FAULTY for i in items):
            return self.faulty
        if not items:
            return self.fault(node.span, "expected at least one item")
        if len(items) > ITEMS_MOST:
            return self.fault(node.span, f"over {ITEMS_MOST} items; expected a named set")
        kind = items[0].type
        for at, item in zip(node.items, items, strict=True):
            if (
                item.type != kind
                or kind.optional
                or kind.name in ("list", "map")
                or kind in (STRINGS, PREFIXES)
            ):
                wanted = f"{kind} as the first item" if item.type != kind else "a plain value that is there"
                return self.fault(at.span, f"{item.type}; expected {wanted}")
        made = Typed("list", t.list_of(kind), tuple(items), size=max(i.size for i in items), most=len(items),
                     low=min(i.low for i in items), high=max(i.high for i in items))  # fmt: skip
        return self.make(made, node.span)

    def pairs(self, node: tree.Pairs, names: Mapping[str, Typed]) -> Typed:
        values: dict[str, Any] = {}
        kind: Type | None = None
        bad = False
        if len(node.pairs) > ITEMS_MOST:
            return self.fault(node.span, f"over {ITEMS_MOST} entries")
        for left, right in node.pairs:
            key, value = self.check(left, names), self.check(right, names)
            kind = kind or value.type
            if key.type is FAULTY or value.type is FAULTY:
                bad = True
            elif key.type != STRING or not key.constant:
                bad = self.fault(left.span, "expected a string that is known at load") is self.faulty
            elif key.value in values:
                bad = self.fault(left.span, "expected each key once") is self.faulty
            elif value.type != kind or not value.constant or kind.name in ("list", "map", "optional"):
                expected = f"expected a plain {kind.inner} that is known at load"
                bad = self.fault(right.span, expected) is self.faulty
            else:
                values[key.value] = value.value
        if bad or kind is None:
            return self.faulty if bad else self.fault(node.span, "expected at least one entry")
        return self.graph.constant(t.map_of(kind), values)

    def apply(self, node: tree.Apply, args: list[Typed]) -> Typed:
        match node.op:
            case "and" | "or":
                return self.logic(node, args)
            case "not":
                part = self.wanted(node.args[0], args[0], BOOL)
                return part if part.type is FAULTY else self.negated(part, node.span)
            case "if":
                return self.choice(node, args)
            case "??":
                return self.fallback(node, args)
            case "==" | "!=" | "<" | ">" | "<=" | ">=":
                return self.compare(node, args)
            case "in":
                return self.member(node, args)
            case "matches" | "fits" | "starts_with" | "ends_with" | "contains":
                return self.text_test(node, args)
            case "+" | "-" | "*" | "/" | "%":
                return self.arithmetic(node, args)
            case "negative":
                return self.negative(node, args[0])
            case "index":
                return self.index(node, args)
        return self.call(node, args)

    def negated(self, part: Typed, span: Span) -> Typed:
        """Its opposite."""
        return self.make(Typed("not", BOOL, (part,)), span)

    def logic(self, node: tree.Apply, args: list[Typed]) -> Typed:
        parts: list[Typed] = []
        for at, arg in zip(node.args, args, strict=True):
            part = self.wanted(at, arg, BOOL)
            if part.type is FAULTY:
                return part
            parts += part.args if part.op == node.op else [part]
        ends = node.op == "or"  # the value that decides it
        if any(p.constant and p.value is ends for p in parts):
            return self.graph.constant(BOOL, ends)
        parts = list(dict.fromkeys(p for p in parts if not p.constant))
        if ends:
            parts = self.gathered(parts, node.span)
        if not parts:
            return self.graph.constant(BOOL, not ends)
        return parts[0] if len(parts) == 1 else self.make(Typed(node.op, BOOL, tuple(parts)), node.span)

    def gathered(self, parts: list[Typed], span: Span) -> list[Typed]:
        """Alternatives that compare one value with constants, as one look-up."""
        by_value: dict[int, list[tuple[Typed, tuple[Any, ...]]]] = {}
        for part in parts:
            if (found := alternatives(part)) is not None:
                by_value.setdefault(found[0].number, []).append((part, found[1]))
        for same in by_value.values():
            if len(same) < 2:
                continue
            value = same[0][0].args[0]
            held = tuple(dict.fromkeys(v for _, values in same for v in values))
            first = parts.index(same[0][0])
            parts[first] = self.in_constants(value, held, span)
            gone = {p.number for p, _ in same[1:]}
            parts = [p for p in parts if p.number not in gone]
        return list(dict.fromkeys(parts))

    def in_constants(self, value: Typed, held: tuple[Any, ...], span: Span) -> Typed:
        """Membership in values that are known at load."""
        return self.make(
            Typed("in set", BOOL, (value,), value=("values", held)), span, value.size, value=held
        )

    def choice(self, node: tree.Apply, args: list[Typed]) -> Typed:
        test = self.wanted(node.args[0], args[0], BOOL)
        one, other = args[1], args[2]
        if test.type is FAULTY:
            return test
        if one.type.inner != other.type.inner:
            return self.fault(node.args[2].span, f"{other.type}; expected {one.type} as after 'then'")
        if test.constant:
            return one if test.value else other
        kind = one.type if one.type.optional else other.type
        made = Typed("if", kind, (test, one, other))
        return self.make(self.wider(made, one, other), node.span)

    def wider(self, made: Typed, one: Typed, other: Typed) -> Typed:
        """Give a part the bounds of two of which it is one."""
        made.size, made.most = max(one.size, other.size), max(one.most, other.most)
        made.low, made.high = min(one.low, other.low), max(one.high, other.high)
        return made

    def fallback(self, node: tree.Apply, args: list[Typed]) -> Typed:
        one, other = args
        if not one.type.optional:
            return self.fault(node.args[0].span, f"{one.type}, which is never missing; expected no '??'")
        if one.type.inner != other.type.inner:
            return self.fault(node.args[1].span, f"{other.type}; expected {one.type.inner} as before '??'")
        if one.constant:
            return other if one.value is None else self.graph.constant(other.type, one.value)
        return self.make(self.wider(Typed("??", other.type, (one, other)), one, other), node.span)

    # Tests.

    def compare(self, node: tree.Apply, args: list[Typed]) -> Typed:
        left, right = self.alike(node, args)
        if left.type is FAULTY:
            return left
        kind, op = left.type.inner, node.op
        if op in ("==", "!="):
            if kind.name in ("list", "map") or kind in (STRINGS, PREFIXES):
                return self.fault(node.args[0].span, f"{kind}; expected a plain value to compare")
        elif kind not in t.NUMBERS and kind != STRING:
            return self.fault(node.args[0].span, f"{kind}; expected a number or string to order")
        if op in (">", ">="):
            left, right, op = right, left, "<" if op == ">" else "<="
        if op in ("==", "!=") and left.constant:
            left, right = right, left
        made = self.make(Typed("==" if op == "!=" else op, BOOL, (left, right)), node.span,
                         min(left.size, right.size))  # fmt: skip
        return self.negated(made, node.span) if op == "!=" and made.type is not FAULTY else made

    def alike(self, node: tree.Apply, args: list[Typed]) -> tuple[Typed, Typed]:
        """Two operands of one type; an int beside a float becomes one."""
        left, right = args
        kinds = (left.type.inner, right.type.inner)
        if kinds == (INT, FLOAT):
            left = self.to_float(left, node.args[0].span)
        elif kinds == (FLOAT, INT):
            right = self.to_float(right, node.args[1].span)
        elif kinds[0] != kinds[1]:
            faulty = self.fault(node.args[1].span, f"{right.type}; expected {left.type.inner} as on the left")
            return faulty, faulty
        return left, right

    def to_float(self, part: Typed, span: Span) -> Typed:
        return self.make(Typed("to_float", FLOAT, (part,), low=part.low, high=part.high), span)

    def member(self, node: tree.Apply, args: list[Typed]) -> Typed:
        value, held = args
        kind, span = value.type.inner, node.args[0].span
        if held.type in (STRINGS, PREFIXES):
            wanted = STRING if held.type == STRINGS else ADDRESS
            if kind != wanted:
                return self.fault(span, f"{value.type}; expected {wanted} for a {held.type}")
            if held.type == PREFIXES:
                return self.make_set("in nets", value, held, 0, node.span)
            return self.make_set("in set", value, held, value.size, node.span)
        if held.type.inner.name == "map":
            if kind != STRING:
                return self.fault(span, f"{value.type}; expected string for a map")
            return self.make(Typed("in map", BOOL, (value, held)), node.span, value.size)
        if held.type.inner.name != "list":
            return self.fault(node.args[1].span, f"{held.type}; expected a list, a map or a named set")
        if held.type.inner.item != kind:
            return self.fault(span, f"{value.type}; expected {held.type.inner.item} for a {held.type}")
        if held.constant:
            return self.in_constants(value, tuple(held.value), node.span)
        return self.make(Typed("in list", BOOL, (value, held)), node.span, held.most * (1 + held.size))

    def make_set(self, op: str, value: Typed, held: Typed, units: float, span: Span) -> Typed:
        """Membership in a named set; the set is no operand, so that a constant value is not computed here."""
        made = Typed(op, BOOL, (value,), value=("set", held.value))
        if value.constant:  # folded without the tables: by what the set lists
            return self.graph.constant(BOOL, self.listed(op, value.value, held.value))
        return self.make(made, span, units)

    def listed(self, op: str, value: Any, place: int) -> bool:
        if value is None:
            return False
        if op == "in set":
            return value in self.sets.texts[place]
        number, bits = int.from_bytes(value, "big"), len(value) * 8
        return any(
            len(address) == len(value)
            and number >> (bits - n) == int.from_bytes(address, "big") >> (bits - n)
            for address, n in self.sets.nets[place]
        )

    def text_test(self, node: tree.Apply, args: list[Typed]) -> Typed:
        op, (text, other) = node.op, args
        for at, arg in zip(node.args, args, strict=True):
            if arg.type.inner != STRING:
                return self.fault(at.span, f"{arg.type}; expected string")
        if op in ("matches", "fits"):
            if not other.constant or other.value is None:
                return self.fault(node.args[1].span, f"expected a string that is known at load after '{op}'")
            return self.pattern(node, text, other.value)
        units: float = min(text.size, other.size)
        if op == "contains":
            units = contains_steps(text.size, other.size)
        return self.make(Typed(op, BOOL, (text, other)), node.span, units)

    def pattern(self, node: tree.Apply, text: Typed, pattern: str) -> Typed:
        span = node.args[1].span
        if node.op == "fits":
            tokens = tuple(pattern.split("."))
            if not all(tokens) or ">" in tokens[:-1]:
                return self.fault(
                    span, "expected a subject pattern: tokens by '.', '*' for one, '>' last for the rest"
                )
            made = Typed("fits", BOOL, (text,), value=("tokens", tokens))
            return self.make(made, node.span, text.size, value=tokens)
        try:
            program = compile_pattern(pattern)
        except ValueError as err:
            return self.fault(span, f"expected a regular expression of RE2: {err}")
        if program.programsize > PATTERN_MOST:
            return self.fault(span, f"{program.programsize} steps; expected at most {PATTERN_MOST}")
        made = Typed("matches", BOOL, (text,), value=("pattern", pattern))
        return self.make(made, node.span, (text.size + 1) * program.programsize, value=program)

    # Values.

    def arithmetic(self, node: tree.Apply, args: list[Typed]) -> Typed:
        op, (left, right) = node.op, args
        kinds = (left.type.inner, right.type.inner)
        if op == "+" and kinds == (STRING, STRING):
            return self.concat(node, left, right)
        scaled = op in "*/" and kinds[0] in (DURATION, SIZE) and kinds[1] == INT
        if op == "*" and kinds[0] == INT and kinds[1] in (DURATION, SIZE):
            left, right, scaled = right, left, True
        if not scaled:
            for at, kind, arg in zip(node.args, kinds, args, strict=True):
                if kind not in t.NUMBERS or (kind in (DURATION, SIZE) and op in "*/%"):
                    if op == "+" and STRING in kinds and kind == STRING:
                        continue  # the fault is the other operand's
                    expected = "string" if STRING in kinds and op == "+" else "a number"
                    return self.fault(at.span, f"{arg.type}; expected {expected} for '{op}'")
            left, right = self.alike(node, args)
        if left.type is FAULTY:
            return left
        kind = left.type.inner
        if kind == FLOAT:
            return self.float_arithmetic(node, left, right)
        if op in "/%":
            if right.constant and right.value == 0:
                return self.fault(node.args[1].span, "expected a divisor that is not 0")
            may_miss = right.low <= 0 <= right.high
            result = t.optional(kind) if may_miss else kind
            low, high = _divided(left, right) if op == "/" else _remainder(right)
            return self.make(Typed(op, result, (left, right), low=low, high=high), node.span)
        low, high = _ranged(op, left, right)
        if low >= t.INT_LOW and high <= t.INT_HIGH:
            return self.make(Typed(op, kind, (left, right), low=low, high=high), node.span)
        low, high = max(low, t.INT_LOW), min(high, t.INT_HIGH)
        return self.make(Typed(op + "!", kind, (left, right), low=low, high=high), node.span)

    def float_arithmetic(self, node: tree.Apply, left: Typed, right: Typed) -> Typed:
        op = node.op
        if op == "%":
            return self.fault(node.args[0].span, "float; expected a whole number for '%'")
        infinite = float("inf")
        if op == "/" and right.constant and right.value == 0:
            return self.fault(node.args[1].span, "expected a divisor that is not 0")
        kind = FLOAT if op != "/" or right.low > 0 or right.high < 0 else t.optional(FLOAT)
        made = Typed(op + "f", kind, (left, right), low=-infinite, high=infinite)
        return self.make(made, node.span)

    def concat(self, node: tree.Apply, left: Typed, right: Typed) -> Typed:
        size = left.size + right.size
        if size > TEXT_MOST:
            return self.fault(node.span, f"may grow to {size} bytes; expected at most {TEXT_MOST}")
        return self.make(Typed("concat", STRING, (left, right), size=size), node.span, size)

    def negative(self, node: tree.Apply, part: Typed) -> Typed:
        kind = part.type.inner
        if kind not in t.NUMBERS:
            return self.fault(node.args[0].span, f"{part.type}; expected a number for '-'")
        op = "negative!" if kind != FLOAT and -part.low > t.INT_HIGH else "negative"
        low, high = -part.high, min(-part.low, t.INT_HIGH) if kind != FLOAT else -part.low
        return self.make(Typed(op, kind, (part,), low=low, high=high), node.span)

    def index(self, node: tree.Apply, args: list[Typed]) -> Typed:
        held, at = args
        kind, wanted = held.type.inner, INT
        if kind.name == "map":
            wanted = STRING
        elif kind.name != "list":
            return self.fault(node.args[0].span, f"{held.type}; expected a list or map")
        if at.type.inner != wanted:
            return self.fault(node.args[1].span, f"{at.type}; expected {wanted} into a {kind.name}")
        assert kind.item is not None
        made = Typed("get" if wanted == STRING else "nth", t.optional(kind.item), (held, at), size=held.size,
                     low=held.low, high=held.high)  # fmt: skip
        return self.make(made, node.span, at.size)

    # Functions.

    def call(self, node: tree.Apply, args: list[Typed]) -> Typed:
        name, first = node.op, args[0] if args else self.faulty
        if name not in FUNCTIONS:
            near = difflib.get_close_matches(name, FUNCTIONS, 1)
            hint = (
                f"; did you mean {near[0]!r}?"
                if near
                else f"; expected one of {', '.join(sorted(FUNCTIONS))}"
            )
            return self.fault(Span(node.span.start, node.span.start + len(name)), f"unknown function{hint}")
        signature, operands = FUNCTIONS[name]
        if len(args) != operands:
            return self.fault(node.span, f"{len(args)} operands; expected {signature}")
        kind, span = first.type.inner, node.span
        bad = f"{first.type}; expected {signature}"
        match name:
            case "lower" if kind == STRING:
                size = min(2 * first.size, 2 * TEXT_MOST)  # one letter can become two
                return self.make(Typed("lower", STRING, (first,), size=size), span, first.size)
            case "len" if kind == STRING or kind.name in ("list", "map"):
                most = first.size if kind == STRING else first.most
                return self.make(Typed("len", INT, (first,), low=0, high=most), span)
            case "has" if first.type.optional:
                return self.make(Typed("has", BOOL, (first,)), span)
            case "has":
                return self.fault(
                    node.args[0].span, f"{first.type}, which is never missing; expected an optional"
                )
            case "int" if kind == STRING:
                return self.make(Typed("int", t.optional(INT), (first,)), span, min(first.size, 64))
            case "float" if kind == STRING:
                return self.make(Typed("float", t.optional(FLOAT), (first,)), span, min(first.size, 64))
            case "float" if kind == INT:
                return self.to_float(first, span)
            case "int" if kind in (DURATION, SIZE):  # microseconds, bytes
                return self.make(Typed("whole", INT, (first,), low=first.low, high=first.high), span)
            case "address" if kind == STRING:
                return self.make(Typed("address", t.optional(ADDRESS), (first,)), span, min(first.size, 64))
            case "text" if kind in (INT, DURATION, SIZE):
                return self.make(Typed("text", STRING, (first,), size=20), span)
            case "text" if kind == ADDRESS:
                return self.make(Typed("text address", STRING, (first,), size=46), span)
            case "min" | "max":
                return self.extreme(node, args)
            case "split":
                return self.split(node, args, bad)
            case "token" if kind == STRING:
                return self.token(node, args)
            case "hash":
                return self.hash(node, args, bad)
        return self.fault(node.args[0].span, bad)

    def whole_constant(self, node: tree.Node, part: Typed, low: int, high: int) -> int | None:
        if part.type != INT or not part.constant or not low <= part.value <= high:
            self.fault(node.span, f"expected a whole number from {low} to {high} that is known at load")
            return None
        return int(part.value)

    def extreme(self, node: tree.Apply, args: list[Typed]) -> Typed:
        left, right = self.alike(node, args)
        if left.type is FAULTY:
            return left
        if left.type.inner not in t.NUMBERS:
            return self.fault(node.args[0].span, f"{left.type}; expected {FUNCTIONS[node.op][0]}")
        pick = min if node.op == "min" else max
        made = Typed(node.op, left.type.inner, (left, right), low=pick(left.low, right.low),
                     high=pick(left.high, right.high))  # fmt: skip
        return self.make(made, node.span)

    def split(self, node: tree.Apply, args: list[Typed], bad: str) -> Typed:
        text, by = args[0], args[1]
        if text.type.inner != STRING:
            return self.fault(node.args[0].span, bad)
        if by.type != STRING or not by.constant or not by.value:
            return self.fault(node.args[1].span, "expected a string that is known at load and not empty")
        most = self.whole_constant(node.args[2], args[2], 1, PARTS_MOST)
        if most is None:
            return self.faulty
        made = Typed("split", t.list_of(STRING), (text, by), value=("count", most), size=text.size, most=most)
        return self.make(made, node.span, text.size + contains_steps(text.size, by.size), value=most)

    def token(self, node: tree.Apply, args: list[Typed]) -> Typed:
        """One token of a subject: short for an index into a split by '.'."""
        at = self.whole_constant(node.args[1], args[1], 0, PARTS_MOST - 2)
        if at is None:
            return self.faulty
        dot, most = self.graph.constant(STRING, "."), at + 2
        parts = Typed(
            "split", t.list_of(STRING), (args[0], dot), value=("count", most), size=args[0].size, most=most
        )
        held = self.make(parts, node.span, 2 * args[0].size, value=most)
        if held.type is FAULTY:
            return held
        place = self.graph.constant(INT, at)
        return self.make(Typed("nth", t.optional(STRING), (held, place), size=args[0].size), node.span)

    def hash(self, node: tree.Apply, args: list[Typed], bad: str) -> Typed:
        first = args[0]
        if first.type.inner not in (STRING, INT, DURATION, SIZE, ADDRESS):
            return self.fault(node.args[0].span, bad)
        buckets = self.whole_constant(node.args[1], args[1], 1, t.INT_HIGH)
        if buckets is None:
            return self.faulty
        made = Typed("hash", INT, (first,), value=("count", buckets), low=0, high=buckets - 1)
        return self.make(made, node.span, first.size, value=buckets)


def alternatives(part: Typed) -> tuple[Typed, tuple[Any, ...]] | None:
    """The value and the constants that it is compared with, where a part is just that."""
    if part.op == "==" and part.args[1].constant and part.args[1].value is not None:
        return part.args[0], (part.args[1].value,)
    if part.op == "in set" and part.value[0] == "values":
        return part.args[0], part.value[1]
    return None


def _ranged(op: str, left: Typed, right: Typed) -> tuple[float, float]:
    if op == "+":
        return left.low + right.low, left.high + right.high
    if op == "-":
        return left.low - right.high, left.high - right.low
    ends = [a * b for a in (left.low, left.high) for b in (right.low, right.high)]
    return min(ends), max(ends)


def _divided(left: Typed, right: Typed) -> tuple[float, float]:
    most = max(abs(left.low), abs(left.high))
    return max(-most - 1, t.INT_LOW), min(most, t.INT_HIGH)


def _remainder(right: Typed) -> tuple[float, float]:
    return min(0, right.low + 1), max(0, right.high - 1)


def prefix(text: str) -> tuple[bytes, int] | None:
    """A prefix as packed address and length, or None; an address alone is a prefix of full length."""
    try:
        found = ipaddress.ip_network(text, strict=True)
    except ValueError:
        return None
    address, length = found.network_address.packed, found.prefixlen
    if address.startswith(t.MAPPED) and length >= 96:
        return address[12:], length - 96
    return address, length
