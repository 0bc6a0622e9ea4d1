"""Type checker: determines names, types, bounds and costs of every expression before rules serve traffic."""

from __future__ import annotations

import difflib
import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from violetdoor.match import tree
from violetdoor.match import types as t
from violetdoor.match.faults import Faults, Span
from violetdoor.match.grammar import MAX_DEPTH
from violetdoor.match.prices import contains_steps
from violetdoor.match.runtime import compile_pattern
from violetdoor.match.typed import OPERATORS, Graph, Typed, fold_constant
from violetdoor.match.types import (
    ADDRESS,
    BOOL,
    DURATION,
    ERROR_TYPE,
    FLOAT,
    INT,
    MAX_STRING_BYTES,
    PREFIX_SET,
    SIZE,
    STRING,
    STRING_SET,
    Type,
)

MAX_SPLIT_PARTS = 64  # that one split may return
MAX_LITERAL_ITEMS = 1024  # of a list or map literal
MAX_PATTERN_INSTRUCTIONS = 2000  # of a compiled regular expression
FUNCTIONS = {  # signature and number of operands
    "lower": ("lower(string)", 1), "split": ("split(string, by, parts)", 3), "has": ("has(optional)", 1),
    "len": ("len(string, list or map)", 1), "int": ("int(string, duration or size)", 1),
    "hash": ("hash(string, whole number or address, buckets)", 2), "float": ("float(string or int)", 1),
    "address": ("address(string)", 1), "text": ("text(whole number or address)", 1),
    "min": ("min(number, number)", 2), "max": ("max(number, number)", 2),
    "token": ("token(string, place)", 2),
}  # fmt: skip


@dataclass(slots=True)
class Sets:
    """Members of the named sets; a set's node has the set's index in one of the two lists."""

    string_sets: list[frozenset[str]] = field(default_factory=list)
    prefix_sets: list[tuple[tuple[bytes, int], ...]] = field(default_factory=list)
    by_name: dict[str, Typed] = field(default_factory=dict)


class Checker:
    """Type-checks the expressions of one source against a front's schema."""

    def __init__(self, schema: t.Schema, faults: Faults, graph: Graph) -> None:
        self.schema, self.faults, self.graph = schema, faults, graph
        self.sets = Sets()
        self.defines: dict[str, Typed] = {}
        self.offset = 0  # of the item being checked, in its file
        self.error_node = Typed("faulty", ERROR_TYPE)

    # Helpers.

    def report(self, span: Span, expected: str) -> Typed:
        """Record a fault; return the error node, which causes no further faults."""
        self.faults.add(Span(span.start + self.offset, span.end + self.offset), expected)
        return self.error_node

    def add_node(
        self, node: Typed, span: Span, units: float = 0.0, price: str = "", value: Any = None
    ) -> Typed:
        """Add a node to the graph: as a constant if all operands are constants, else with its cost."""
        op = OPERATORS.get(node.op)
        if op is not None and not op.is_test and any(a.type.is_optional for a in node.args):
            node.type = t.optional(node.type)
        if node.args and all(a.is_constant for a in node.args):
            try:
                return self.graph.constant(
                    node.type, fold_constant(node, node.value if value is None else value)
                )
            except (OverflowError, ZeroDivisionError):
                return self.report(span, f"goes over the range of {node.type.base}")
        node.own_cost_ns = self.graph.step_cost_ns(price or (op.price_name if op else "glue"), units)
        node.own_cost_ns += sum(a.type.is_optional for a in node.args) * self.graph.step_cost_ns("glue")
        result = self.graph.add(node)
        if result.depth > MAX_DEPTH:
            return self.report(span, f"nested over {MAX_DEPTH} levels deep, named expressions included")
        return result

    def require_type(self, node: tree.Node, found: Typed, kind: Type) -> Typed:
        """Return the node if it has this type and cannot be missing, else report a fault."""
        if found.type is ERROR_TYPE or found.type == kind:
            return found
        if found.type.is_optional and found.type.base == kind:
            return self.report(node.span, f"{found.type} may be missing; expected {kind}: add '?? ...'")
        return self.report(node.span, f"{found.type}; expected {kind}")

    # Expressions.

    def check(self, node: tree.Node, names: Mapping[str, Typed] = {}) -> Typed:
        """Return the typed form of an expression."""
        match node:
            case tree.Literal():
                return self.graph.constant(node.type, node.value)
            case tree.Name():
                return self.check_name(node, names)
            case tree.Let():
                value = self.check(node.value, names)
                if node.name in names or self.is_name_taken(node.name):
                    return self.report(node.span, f"{node.name!r} is taken; expected a new name")
                return self.check(node.body, {**names, node.name: value})
            case tree.ListLiteral():
                return self.check_list(node, [self.check(item, names) for item in node.items])
            case tree.MapLiteral():
                return self.check_map(node, names)
            case tree.Operation():
                args = [self.check(arg, names) for arg in node.args]
                if any(a.type is ERROR_TYPE for a in args):
                    return self.error_node
                return self.check_operation(node, args)
        raise TypeError(node)

    def is_name_taken(self, name: str) -> bool:
        """Whether a name is already defined in this source."""
        return name in self.schema.fields or name in self.defines or name in self.sets.by_name

    def check_name(self, node: tree.Name, names: Mapping[str, Typed]) -> Typed:
        name = node.name
        for known in (names, self.defines, self.sets.by_name):
            if name in known:
                return known[name]
        if found := self.schema.fields.get(name):
            place = self.schema.field_indexes[name]
            return self.graph.add(
                Typed(
                    "field",
                    found.type,
                    value=(place, name),
                    max_bytes=found.max_bytes,
                    max_items=found.max_entries,
                    low=found.low,
                    high=found.high,
                    own_cost_ns=self.graph.step_cost_ns("field"),
                )
            )
        all_names = [*names, *self.defines, *self.sets.by_name, *self.schema.fields]
        close_names = difflib.get_close_matches(name, all_names, 1)
        hint = (
            f"; did you mean {close_names[0]!r}?"
            if close_names
            else f"; expected a field of {self.schema.front} or a name"
        )
        return self.report(node.span, f"unknown name{hint}")

    def check_list(self, node: tree.ListLiteral, items: list[Typed]) -> Typed:
        if any(i.type is ERROR_TYPE for i in items):
            return self.error_node
        if not items:
            return self.report(node.span, "expected at least one item")
        if len(items) > MAX_LITERAL_ITEMS:
            return self.report(node.span, f"over {MAX_LITERAL_ITEMS} items; expected a named set")
        kind = items[0].type
        for at, item in zip(node.items, items, strict=True):
            if (
                item.type != kind
                or kind.is_optional
                or kind.name in ("list", "map")
                or kind in (STRING_SET, PREFIX_SET)
            ):
                expected = f"{kind} as the first item" if item.type != kind else "a plain value that is there"
                return self.report(at.span, f"{item.type}; expected {expected}")
        result = Typed(
            "list",
            t.list_of(kind),
            tuple(items),
            max_bytes=max(i.max_bytes for i in items),
            max_items=len(items),
            low=min(i.low for i in items),
            high=max(i.high for i in items),
        )
        return self.add_node(result, node.span)

    def check_map(self, node: tree.MapLiteral, names: Mapping[str, Typed]) -> Typed:
        values: dict[str, Any] = {}
        kind: Type | None = None
        bad = False
        if len(node.pairs) > MAX_LITERAL_ITEMS:
            return self.report(node.span, f"over {MAX_LITERAL_ITEMS} entries")
        for left, right in node.pairs:
            key, value = self.check(left, names), self.check(right, names)
            kind = kind or value.type
            if key.type is ERROR_TYPE or value.type is ERROR_TYPE:
                bad = True
            elif key.type != STRING or not key.is_constant:
                bad = self.report(left.span, "expected a string that is known at load") is self.error_node
            elif key.value in values:
                bad = self.report(left.span, "expected each key once") is self.error_node
            elif value.type != kind or not value.is_constant or kind.name in ("list", "map", "optional"):
                expected = f"expected a plain {kind.base} that is known at load"
                bad = self.report(right.span, expected) is self.error_node
            else:
                values[key.value] = value.value
        if bad or kind is None:
            return self.error_node if bad else self.report(node.span, "expected at least one entry")
        return self.graph.constant(t.map_of(kind), values)

    def check_operation(self, node: tree.Operation, args: list[Typed]) -> Typed:
        match node.op:
            case "and" | "or":
                return self.check_logic(node, args)
            case "not":
                part = self.require_type(node.args[0], args[0], BOOL)
                return part if part.type is ERROR_TYPE else self.negation(part, node.span)
            case "if":
                return self.check_conditional(node, args)
            case "??":
                return self.check_fallback(node, args)
            case "==" | "!=" | "<" | ">" | "<=" | ">=":
                return self.check_comparison(node, args)
            case "in":
                return self.check_membership(node, args)
            case "matches" | "fits" | "starts_with" | "ends_with" | "contains":
                return self.check_string_test(node, args)
            case "+" | "-" | "*" | "/" | "%":
                return self.check_arithmetic(node, args)
            case "negative":
                return self.check_negation(node, args[0])
            case "index":
                return self.check_index(node, args)
        return self.check_call(node, args)

    def negation(self, part: Typed, span: Span) -> Typed:
        """Return the negation of a test."""
        return self.add_node(Typed("not", BOOL, (part,)), span)

    def check_logic(self, node: tree.Operation, args: list[Typed]) -> Typed:
        parts: list[Typed] = []
        for at, arg in zip(node.args, args, strict=True):
            part = self.require_type(at, arg, BOOL)
            if part.type is ERROR_TYPE:
                return part
            parts += part.args if part.op == node.op else [part]
        dominant_value = node.op == "or"  # an operand of this value determines the result
        if any(p.is_constant and p.value is dominant_value for p in parts):
            return self.graph.constant(BOOL, dominant_value)
        parts = list(dict.fromkeys(p for p in parts if not p.is_constant))
        if dominant_value:
            parts = self.merge_alternatives(parts, node.span)
        if not parts:
            return self.graph.constant(BOOL, not dominant_value)
        return parts[0] if len(parts) == 1 else self.add_node(Typed(node.op, BOOL, tuple(parts)), node.span)

    def merge_alternatives(self, parts: list[Typed], span: Span) -> list[Typed]:
        """Merge alternatives that compare the same value with constants into one look-up."""
        by_value: dict[int, list[tuple[Typed, tuple[Any, ...]]]] = {}
        for part in parts:
            if (found := constant_alternatives(part)) is not None:
                by_value.setdefault(found[0].node_id, []).append((part, found[1]))
        for same in by_value.values():
            if len(same) < 2:
                continue
            value = same[0][0].args[0]
            held = tuple(dict.fromkeys(v for _, values in same for v in values))
            first = parts.index(same[0][0])
            parts[first] = self.constant_membership(value, held, span)
            gone = {p.node_id for p, _ in same[1:]}
            parts = [p for p in parts if p.node_id not in gone]
        return list(dict.fromkeys(parts))

    def constant_membership(self, value: Typed, held: tuple[Any, ...], span: Span) -> Typed:
        """Return a test for membership in values known at load."""
        return self.add_node(
            Typed("in set", BOOL, (value,), value=("values", held)), span, value.max_bytes, value=held
        )

    def check_conditional(self, node: tree.Operation, args: list[Typed]) -> Typed:
        test = self.require_type(node.args[0], args[0], BOOL)
        one, other = args[1], args[2]
        if test.type is ERROR_TYPE:
            return test
        if one.type.base != other.type.base:
            return self.report(node.args[2].span, f"{other.type}; expected {one.type} as after 'then'")
        if test.is_constant:
            return one if test.value else other
        kind = one.type if one.type.is_optional else other.type
        result = Typed("if", kind, (test, one, other))
        return self.add_node(self.merge_bounds(result, one, other), node.span)

    def merge_bounds(self, result: Typed, one: Typed, other: Typed) -> Typed:
        """Give a node that has the value of one of two nodes the bounds of both."""
        result.max_bytes, result.max_items = (
            max(one.max_bytes, other.max_bytes),
            max(one.max_items, other.max_items),
        )
        result.low, result.high = min(one.low, other.low), max(one.high, other.high)
        return result

    def check_fallback(self, node: tree.Operation, args: list[Typed]) -> Typed:
        one, other = args
        if not one.type.is_optional:
            return self.report(node.args[0].span, f"{one.type}, which is never missing; expected no '??'")
        if one.type.base != other.type.base:
            return self.report(node.args[1].span, f"{other.type}; expected {one.type.base} as before '??'")
        if one.is_constant:
            return other if one.value is None else self.graph.constant(other.type, one.value)
        return self.add_node(self.merge_bounds(Typed("??", other.type, (one, other)), one, other), node.span)

    # Tests.

    def check_comparison(self, node: tree.Operation, args: list[Typed]) -> Typed:
        left, right = self.unify_operands(node, args)
        if left.type is ERROR_TYPE:
            return left
        kind, op = left.type.base, node.op
        if op in ("==", "!="):
            if kind.name in ("list", "map") or kind in (STRING_SET, PREFIX_SET):
                return self.report(node.args[0].span, f"{kind}; expected a plain value to compare")
        elif kind not in t.NUMERIC_TYPES and kind != STRING:
            return self.report(node.args[0].span, f"{kind}; expected a number or string to order")
        if op in (">", ">="):
            left, right, op = right, left, "<" if op == ">" else "<="
        if op in ("==", "!=") and left.is_constant:
            left, right = right, left
        result = self.add_node(Typed("==" if op == "!=" else op, BOOL, (left, right)), node.span,
                         min(left.max_bytes, right.max_bytes))  # fmt: skip
        return self.negation(result, node.span) if op == "!=" and result.type is not ERROR_TYPE else result

    def unify_operands(self, node: tree.Operation, args: list[Typed]) -> tuple[Typed, Typed]:
        """Return two operands of the same type; an int next to a float is converted."""
        left, right = args
        kinds = (left.type.base, right.type.base)
        if kinds == (INT, FLOAT):
            left = self.convert_to_float(left, node.args[0].span)
        elif kinds == (FLOAT, INT):
            right = self.convert_to_float(right, node.args[1].span)
        elif kinds[0] != kinds[1]:
            error_node = self.report(
                node.args[1].span, f"{right.type}; expected {left.type.base} as on the left"
            )
            return error_node, error_node
        return left, right

    def convert_to_float(self, part: Typed, span: Span) -> Typed:
        return self.add_node(Typed("to_float", FLOAT, (part,), low=part.low, high=part.high), span)

    def check_membership(self, node: tree.Operation, args: list[Typed]) -> Typed:
        value, held = args
        kind, span = value.type.base, node.args[0].span
        if held.type in (STRING_SET, PREFIX_SET):
            expected_type = STRING if held.type == STRING_SET else ADDRESS
            if kind != expected_type:
                return self.report(span, f"{value.type}; expected {expected_type} for a {held.type}")
            if held.type == PREFIX_SET:
                return self.set_membership("in nets", value, held, 0, node.span)
            return self.set_membership("in set", value, held, value.max_bytes, node.span)
        if held.type.base.name == "map":
            if kind != STRING:
                return self.report(span, f"{value.type}; expected string for a map")
            return self.add_node(Typed("in map", BOOL, (value, held)), node.span, value.max_bytes)
        if held.type.base.name != "list":
            return self.report(node.args[1].span, f"{held.type}; expected a list, a map or a named set")
        if held.type.base.item != kind:
            return self.report(span, f"{value.type}; expected {held.type.base.item} for a {held.type}")
        if held.is_constant:
            return self.constant_membership(value, tuple(held.value), node.span)
        return self.add_node(
            Typed("in list", BOOL, (value, held)), node.span, held.max_items * (1 + held.max_bytes)
        )

    def set_membership(self, op: str, value: Typed, held: Typed, units: float, span: Span) -> Typed:
        """Return a test for membership in a named set.

        The set is not an operand, so that add_node does not evaluate the test of a constant.
        """
        result = Typed(op, BOOL, (value,), value=("set", held.value))
        if value.is_constant:  # the result is known from the set's members
            return self.graph.constant(BOOL, self.is_set_member(op, value.value, held.value))
        return self.add_node(result, span, units)

    def is_set_member(self, op: str, value: Any, place: int) -> bool:
        if value is None:
            return False
        if op == "in set":
            return value in self.sets.string_sets[place]
        number, bits = int.from_bytes(value, "big"), len(value) * 8
        return any(
            len(address) == len(value)
            and number >> (bits - n) == int.from_bytes(address, "big") >> (bits - n)
            for address, n in self.sets.prefix_sets[place]
        )

    def check_string_test(self, node: tree.Operation, args: list[Typed]) -> Typed:
        op, (text, other) = node.op, args
        for at, arg in zip(node.args, args, strict=True):
            if arg.type.base != STRING:
                return self.report(at.span, f"{arg.type}; expected string")
        if op in ("matches", "fits"):
            if not other.is_constant or other.value is None:
                return self.report(node.args[1].span, f"expected a string that is known at load after '{op}'")
            return self.check_pattern(node, text, other.value)
        units: float = min(text.max_bytes, other.max_bytes)
        if op == "contains":
            units = contains_steps(text.max_bytes, other.max_bytes)
        return self.add_node(Typed(op, BOOL, (text, other)), node.span, units)

    def check_pattern(self, node: tree.Operation, text: Typed, pattern: str) -> Typed:
        span = node.args[1].span
        if node.op == "fits":
            tokens = tuple(pattern.split("."))
            if not all(tokens) or ">" in tokens[:-1]:
                return self.report(
                    span, "expected a subject pattern: tokens by '.', '*' for one, '>' last for the rest"
                )
            result = Typed("fits", BOOL, (text,), value=("tokens", tokens))
            return self.add_node(result, node.span, text.max_bytes, value=tokens)
        try:
            program = compile_pattern(pattern)
        except ValueError as err:
            return self.report(span, f"expected a regular expression of RE2: {err}")
        if program.programsize > MAX_PATTERN_INSTRUCTIONS:
            return self.report(
                span, f"{program.programsize} steps; expected at most {MAX_PATTERN_INSTRUCTIONS}"
            )
        result = Typed("matches", BOOL, (text,), value=("pattern", pattern))
        return self.add_node(result, node.span, (text.max_bytes + 1) * program.programsize, value=program)

    # Values.

    def check_arithmetic(self, node: tree.Operation, args: list[Typed]) -> Typed:
        op, (left, right) = node.op, args
        kinds = (left.type.base, right.type.base)
        if op == "+" and kinds == (STRING, STRING):
            return self.check_concat(node, left, right)
        scaled = op in "*/" and kinds[0] in (DURATION, SIZE) and kinds[1] == INT
        if op == "*" and kinds[0] == INT and kinds[1] in (DURATION, SIZE):
            left, right, scaled = right, left, True
        if not scaled:
            for at, kind, arg in zip(node.args, kinds, args, strict=True):
                if kind not in t.NUMERIC_TYPES or (kind in (DURATION, SIZE) and op in "*/%"):
                    if op == "+" and STRING in kinds and kind == STRING:
                        continue  # the other operand is at fault
                    expected = "string" if STRING in kinds and op == "+" else "a number"
                    return self.report(at.span, f"{arg.type}; expected {expected} for '{op}'")
            left, right = self.unify_operands(node, args)
        if left.type is ERROR_TYPE:
            return left
        kind = left.type.base
        if kind == FLOAT:
            return self.check_float_arithmetic(node, left, right)
        if op in "/%":
            if right.is_constant and right.value == 0:
                return self.report(node.args[1].span, "expected a divisor that is not 0")
            may_miss = right.low <= 0 <= right.high
            result_type = t.optional(kind) if may_miss else kind
            low, high = _quotient_range(left, right) if op == "/" else _remainder_range(right)
            return self.add_node(Typed(op, result_type, (left, right), low=low, high=high), node.span)
        low, high = _result_range(op, left, right)
        if low >= t.MIN_INT and high <= t.MAX_INT:
            return self.add_node(Typed(op, kind, (left, right), low=low, high=high), node.span)
        low, high = max(low, t.MIN_INT), min(high, t.MAX_INT)
        return self.add_node(Typed(op + "!", kind, (left, right), low=low, high=high), node.span)

    def check_float_arithmetic(self, node: tree.Operation, left: Typed, right: Typed) -> Typed:
        op = node.op
        if op == "%":
            return self.report(node.args[0].span, "float; expected a whole number for '%'")
        infinite = float("inf")
        if op == "/" and right.is_constant and right.value == 0:
            return self.report(node.args[1].span, "expected a divisor that is not 0")
        kind = FLOAT if op != "/" or right.low > 0 or right.high < 0 else t.optional(FLOAT)
        result = Typed(op + "f", kind, (left, right), low=-infinite, high=infinite)
        return self.add_node(result, node.span)

    def check_concat(self, node: tree.Operation, left: Typed, right: Typed) -> Typed:
        max_bytes = left.max_bytes + right.max_bytes
        if max_bytes > MAX_STRING_BYTES:
            return self.report(
                node.span, f"may grow to {max_bytes} bytes; expected at most {MAX_STRING_BYTES}"
            )
        return self.add_node(
            Typed("concat", STRING, (left, right), max_bytes=max_bytes), node.span, max_bytes
        )

    def check_negation(self, node: tree.Operation, part: Typed) -> Typed:
        kind = part.type.base
        if kind not in t.NUMERIC_TYPES:
            return self.report(node.args[0].span, f"{part.type}; expected a number for '-'")
        op = "negative!" if kind != FLOAT and -part.low > t.MAX_INT else "negative"
        low, high = -part.high, min(-part.low, t.MAX_INT) if kind != FLOAT else -part.low
        return self.add_node(Typed(op, kind, (part,), low=low, high=high), node.span)

    def check_index(self, node: tree.Operation, args: list[Typed]) -> Typed:
        held, at = args
        kind, expected_type = held.type.base, INT
        if kind.name == "map":
            expected_type = STRING
        elif kind.name != "list":
            return self.report(node.args[0].span, f"{held.type}; expected a list or map")
        if at.type.base != expected_type:
            return self.report(node.args[1].span, f"{at.type}; expected {expected_type} into a {kind.name}")
        assert kind.item is not None
        result = Typed(
            "get" if expected_type == STRING else "nth",
            t.optional(kind.item),
            (held, at),
            max_bytes=held.max_bytes,
            low=held.low,
            high=held.high,
        )
        return self.add_node(result, node.span, at.max_bytes)

    # Functions.

    def check_call(self, node: tree.Operation, args: list[Typed]) -> Typed:
        name, first = node.op, args[0] if args else self.error_node
        if name not in FUNCTIONS:
            close_names = difflib.get_close_matches(name, FUNCTIONS, 1)
            hint = (
                f"; did you mean {close_names[0]!r}?"
                if close_names
                else f"; expected one of {', '.join(sorted(FUNCTIONS))}"
            )
            return self.report(Span(node.span.start, node.span.start + len(name)), f"unknown function{hint}")
        signature, operands = FUNCTIONS[name]
        if len(args) != operands:
            return self.report(node.span, f"{len(args)} operands; expected {signature}")
        kind, span = first.type.base, node.span
        bad = f"{first.type}; expected {signature}"
        match name:
            case "lower" if kind == STRING:
                max_bytes = min(2 * first.max_bytes, 2 * MAX_STRING_BYTES)  # one character can become two
                return self.add_node(
                    Typed("lower", STRING, (first,), max_bytes=max_bytes), span, first.max_bytes
                )
            case "len" if kind == STRING or kind.name in ("list", "map"):
                max_items = first.max_bytes if kind == STRING else first.max_items
                return self.add_node(Typed("len", INT, (first,), low=0, high=max_items), span)
            case "has" if first.type.is_optional:
                return self.add_node(Typed("has", BOOL, (first,)), span)
            case "has":
                return self.report(
                    node.args[0].span, f"{first.type}, which is never missing; expected an optional"
                )
            case "int" if kind == STRING:
                return self.add_node(Typed("int", t.optional(INT), (first,)), span, min(first.max_bytes, 64))
            case "float" if kind == STRING:
                return self.add_node(
                    Typed("float", t.optional(FLOAT), (first,)), span, min(first.max_bytes, 64)
                )
            case "float" if kind == INT:
                return self.convert_to_float(first, span)
            case "int" if kind in (DURATION, SIZE):  # as microseconds or bytes
                return self.add_node(Typed("whole", INT, (first,), low=first.low, high=first.high), span)
            case "address" if kind == STRING:
                return self.add_node(
                    Typed("address", t.optional(ADDRESS), (first,)), span, min(first.max_bytes, 64)
                )
            case "text" if kind in (INT, DURATION, SIZE):
                return self.add_node(Typed("text", STRING, (first,), max_bytes=20), span)
            case "text" if kind == ADDRESS:
                return self.add_node(Typed("text address", STRING, (first,), max_bytes=46), span)
            case "min" | "max":
                return self.check_min_max(node, args)
            case "split":
                return self.check_split(node, args, bad)
            case "token" if kind == STRING:
                return self.check_token(node, args)
            case "hash":
                return self.check_hash(node, args, bad)
        return self.report(node.args[0].span, bad)

    def require_constant_int(self, node: tree.Node, part: Typed, low: int, high: int) -> int | None:
        if part.type != INT or not part.is_constant or not low <= part.value <= high:
            self.report(node.span, f"expected a whole number from {low} to {high} that is known at load")
            return None
        return int(part.value)

    def check_min_max(self, node: tree.Operation, args: list[Typed]) -> Typed:
        left, right = self.unify_operands(node, args)
        if left.type is ERROR_TYPE:
            return left
        if left.type.base not in t.NUMERIC_TYPES:
            return self.report(node.args[0].span, f"{left.type}; expected {FUNCTIONS[node.op][0]}")
        pick = min if node.op == "min" else max
        result = Typed(node.op, left.type.base, (left, right), low=pick(left.low, right.low),
                     high=pick(left.high, right.high))  # fmt: skip
        return self.add_node(result, node.span)

    def check_split(self, node: tree.Operation, args: list[Typed], bad: str) -> Typed:
        text, separator = args[0], args[1]
        if text.type.base != STRING:
            return self.report(node.args[0].span, bad)
        if separator.type != STRING or not separator.is_constant or not separator.value:
            return self.report(node.args[1].span, "expected a string that is known at load and not empty")
        max_items = self.require_constant_int(node.args[2], args[2], 1, MAX_SPLIT_PARTS)
        if max_items is None:
            return self.error_node
        result = Typed(
            "split",
            t.list_of(STRING),
            (text, separator),
            value=("count", max_items),
            max_bytes=text.max_bytes,
            max_items=max_items,
        )
        return self.add_node(
            result,
            node.span,
            text.max_bytes + contains_steps(text.max_bytes, separator.max_bytes),
            value=max_items,
        )

    def check_token(self, node: tree.Operation, args: list[Typed]) -> Typed:
        """Type-check one token of a subject, which is shorthand for an index into a split by '.'."""
        at = self.require_constant_int(node.args[1], args[1], 0, MAX_SPLIT_PARTS - 2)
        if at is None:
            return self.error_node
        dot, max_items = self.graph.constant(STRING, "."), at + 2
        parts = Typed(
            "split",
            t.list_of(STRING),
            (args[0], dot),
            value=("count", max_items),
            max_bytes=args[0].max_bytes,
            max_items=max_items,
        )
        held = self.add_node(parts, node.span, 2 * args[0].max_bytes, value=max_items)
        if held.type is ERROR_TYPE:
            return held
        place = self.graph.constant(INT, at)
        return self.add_node(
            Typed("nth", t.optional(STRING), (held, place), max_bytes=args[0].max_bytes), node.span
        )

    def check_hash(self, node: tree.Operation, args: list[Typed], bad: str) -> Typed:
        first = args[0]
        if first.type.base not in (STRING, INT, DURATION, SIZE, ADDRESS):
            return self.report(node.args[0].span, bad)
        buckets = self.require_constant_int(node.args[1], args[1], 1, t.MAX_INT)
        if buckets is None:
            return self.error_node
        result = Typed("hash", INT, (first,), value=("count", buckets), low=0, high=buckets - 1)
        return self.add_node(result, node.span, first.max_bytes, value=buckets)


def constant_alternatives(part: Typed) -> tuple[Typed, tuple[Any, ...]] | None:
    """Return the value and the constants of a test that only compares a value with constants."""
    if part.op == "==" and part.args[1].is_constant and part.args[1].value is not None:
        return part.args[0], (part.args[1].value,)
    if part.op == "in set" and part.value[0] == "values":
        return part.args[0], part.value[1]
    return None


def _result_range(op: str, left: Typed, right: Typed) -> tuple[float, float]:
    if op == "+":
        return left.low + right.low, left.high + right.high
    if op == "-":
        return left.low - right.high, left.high - right.low
    dominant_value = [a * b for a in (left.low, left.high) for b in (right.low, right.high)]
    return min(dominant_value), max(dominant_value)


def _quotient_range(left: Typed, right: Typed) -> tuple[float, float]:
    magnitude = max(abs(left.low), abs(left.high))
    return max(-magnitude - 1, t.MIN_INT), min(magnitude, t.MAX_INT)


def _remainder_range(right: Typed) -> tuple[float, float]:
    return min(0, right.low + 1), max(0, right.high - 1)


def parse_prefix(text: str) -> tuple[bytes, int] | None:
    """Return a prefix as packed address and length, None if invalid; a bare address has full length."""
    try:
        found = ipaddress.ip_network(text, strict=True)
    except ValueError:
        return None
    address, length = found.network_address.packed, found.prefixlen
    if address.startswith(t.IPV4_MAPPED_PREFIX) and length >= 96:
        return address[12:], length - 96
    return address, length
