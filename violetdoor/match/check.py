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
from violetdoor.match.typed import OPERATORS, Graph, TypedNode, fold_constant
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

MAX_SPLIT_PARTS = 64  # largest `parts` operand of split()
MAX_LITERAL_ITEMS = 1024  # of a list or map literal
MAX_PATTERN_INSTRUCTIONS = 2000  # of a compiled regular expression
FUNCTIONS = {  # by name: signature, as faults show it, and number of operands
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
    by_name: dict[str, TypedNode] = field(default_factory=dict)


class Checker:
    """Type-checks the expressions of one source against a front's schema."""

    def __init__(self, schema: t.Schema, faults: Faults, graph: Graph) -> None:
        self.schema, self.faults, self.graph = schema, faults, graph
        self.sets = Sets()
        self.defines: dict[str, TypedNode] = {}
        self.offset = 0  # of the item being checked, in characters from the start of its file
        self.error_node = TypedNode("faulty", ERROR_TYPE)

    # Helpers.

    def report(self, span: Span, expected: str) -> TypedNode:
        """Record a fault; return the error node, which causes no further faults."""
        self.faults.add(Span(span.start + self.offset, span.end + self.offset), expected)
        return self.error_node

    def add_node(
        self, node: TypedNode, span: Span, units: float = 0.0, price_name: str = "", value: Any = None
    ) -> TypedNode:
        """Add a node to the graph: as a constant if all operands are constants, else with its cost.

        `units` is the number of bytes or items that the cost depends on; `value` is the object that evaluates
        a constant, where it is not the node's own value.
        """
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
        node.own_cost_ns = self.graph.step_cost_ns(price_name or (op.price_name if op else "glue"), units)
        node.own_cost_ns += sum(a.type.is_optional for a in node.args) * self.graph.step_cost_ns("glue")
        result = self.graph.add(node)
        if result.depth > MAX_DEPTH:
            return self.report(span, f"nested over {MAX_DEPTH} levels deep, named expressions included")
        return result

    def require_type(self, node: tree.Node, found: TypedNode, kind: Type) -> TypedNode:
        """Return the node if it has this type and cannot be missing, else report a fault."""
        if found.type is ERROR_TYPE or found.type == kind:
            return found
        if found.type.is_optional and found.type.base == kind:
            return self.report(node.span, f"{found.type} may be missing; expected {kind}: add '?? ...'")
        return self.report(node.span, f"{found.type}; expected {kind}")

    # Expressions.

    def check(self, node: tree.Node, names: Mapping[str, TypedNode] = {}) -> TypedNode:
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

    def check_name(self, node: tree.Name, names: Mapping[str, TypedNode]) -> TypedNode:
        name = node.name
        for known in (names, self.defines, self.sets.by_name):
            if name in known:
                return known[name]
        if found := self.schema.fields.get(name):
            field_index = self.schema.field_indexes[name]
            return self.graph.add(
                TypedNode(
                    "field",
                    found.type,
                    value=(field_index, name),
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

    def check_list(self, node: tree.ListLiteral, items: list[TypedNode]) -> TypedNode:
        if any(i.type is ERROR_TYPE for i in items):
            return self.error_node
        if not items:
            return self.report(node.span, "expected at least one item")
        if len(items) > MAX_LITERAL_ITEMS:
            return self.report(node.span, f"over {MAX_LITERAL_ITEMS} items; expected a named set")
        kind = items[0].type
        for item_node, item in zip(node.items, items, strict=True):
            if (
                item.type != kind
                or kind.is_optional
                or kind.name in ("list", "map")
                or kind in (STRING_SET, PREFIX_SET)
            ):
                expected = f"{kind} as the first item" if item.type != kind else "a plain value that is there"
                return self.report(item_node.span, f"{item.type}; expected {expected}")
        result = TypedNode(
            "list",
            t.list_of(kind),
            tuple(items),
            max_bytes=max(i.max_bytes for i in items),
            max_items=len(items),
            low=min(i.low for i in items),
            high=max(i.high for i in items),
        )
        return self.add_node(result, node.span)

    def check_map(self, node: tree.MapLiteral, names: Mapping[str, TypedNode]) -> TypedNode:
        values: dict[str, Any] = {}
        kind: Type | None = None
        has_fault = False
        if len(node.pairs) > MAX_LITERAL_ITEMS:
            return self.report(node.span, f"over {MAX_LITERAL_ITEMS} entries")
        for left, right in node.pairs:
            key, value = self.check(left, names), self.check(right, names)
            kind = kind or value.type
            if key.type is ERROR_TYPE or value.type is ERROR_TYPE:
                has_fault = True
            elif key.type != STRING or not key.is_constant:
                has_fault = (
                    self.report(left.span, "expected a string that is known at load") is self.error_node
                )
            elif key.value in values:
                has_fault = self.report(left.span, "expected each key once") is self.error_node
            elif value.type != kind or not value.is_constant or kind.name in ("list", "map", "optional"):
                expected = f"expected a plain {kind.base} that is known at load"
                has_fault = self.report(right.span, expected) is self.error_node
            else:
                values[key.value] = value.value
        if has_fault or kind is None:
            return self.error_node if has_fault else self.report(node.span, "expected at least one entry")
        return self.graph.constant(t.map_of(kind), values)

    def check_operation(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
        match node.op:
            case "and" | "or":
                return self.check_logic(node, args)
            case "not":
                operand = self.require_type(node.args[0], args[0], BOOL)
                return operand if operand.type is ERROR_TYPE else self.negation(operand, node.span)
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

    def negation(self, operand: TypedNode, span: Span) -> TypedNode:
        """Return the negation of a test."""
        return self.add_node(TypedNode("not", BOOL, (operand,)), span)

    def check_logic(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
        terms: list[TypedNode] = []
        for operand_node, arg in zip(node.args, args, strict=True):
            term = self.require_type(operand_node, arg, BOOL)
            if term.type is ERROR_TYPE:
                return term
            terms += term.args if term.op == node.op else [term]
        dominant_value = node.op == "or"  # an operand of this value determines the result
        if any(p.is_constant and p.value is dominant_value for p in terms):
            return self.graph.constant(BOOL, dominant_value)
        terms = list(dict.fromkeys(p for p in terms if not p.is_constant))
        if dominant_value:
            terms = self.merge_alternatives(terms, node.span)
        if not terms:
            return self.graph.constant(BOOL, not dominant_value)
        return (
            terms[0] if len(terms) == 1 else self.add_node(TypedNode(node.op, BOOL, tuple(terms)), node.span)
        )

    def merge_alternatives(self, terms: list[TypedNode], span: Span) -> list[TypedNode]:
        """Merge alternatives that compare the same value with constants into one look-up."""
        by_value: dict[int, list[tuple[TypedNode, tuple[Any, ...]]]] = {}
        for term in terms:
            if (found := constant_alternatives(term)) is not None:
                by_value.setdefault(found[0].node_id, []).append((term, found[1]))
        for mergeable in by_value.values():
            if len(mergeable) < 2:
                continue
            value = mergeable[0][0].args[0]
            constants = tuple(dict.fromkeys(v for _, values in mergeable for v in values))
            first = terms.index(mergeable[0][0])
            terms[first] = self.constant_membership(value, constants, span)
            merged_ids = {p.node_id for p, _ in mergeable[1:]}
            terms = [p for p in terms if p.node_id not in merged_ids]
        return list(dict.fromkeys(terms))

    def constant_membership(self, value: TypedNode, constants: tuple[Any, ...], span: Span) -> TypedNode:
        """Return a test for membership in values known at load."""
        return self.add_node(
            TypedNode("in set", BOOL, (value,), value=("values", constants)),
            span,
            value.max_bytes,
            value=constants,
        )

    def check_conditional(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
        test = self.require_type(node.args[0], args[0], BOOL)
        one, other = args[1], args[2]
        if test.type is ERROR_TYPE:
            return test
        if one.type.base != other.type.base:
            return self.report(node.args[2].span, f"{other.type}; expected {one.type} as after 'then'")
        if test.is_constant:
            return one if test.value else other
        kind = one.type if one.type.is_optional else other.type
        result = TypedNode("if", kind, (test, one, other))
        return self.add_node(self.merge_bounds(result, one, other), node.span)

    def merge_bounds(self, result: TypedNode, one: TypedNode, other: TypedNode) -> TypedNode:
        """Give a node that has the value of one of two nodes the bounds of both."""
        result.max_bytes, result.max_items = (
            max(one.max_bytes, other.max_bytes),
            max(one.max_items, other.max_items),
        )
        result.low, result.high = min(one.low, other.low), max(one.high, other.high)
        return result

    def check_fallback(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
        one, other = args
        if not one.type.is_optional:
            return self.report(node.args[0].span, f"{one.type}, which is never missing; expected no '??'")
        if one.type.base != other.type.base:
            return self.report(node.args[1].span, f"{other.type}; expected {one.type.base} as before '??'")
        if one.is_constant:
            return other if one.value is None else self.graph.constant(other.type, one.value)
        return self.add_node(
            self.merge_bounds(TypedNode("??", other.type, (one, other)), one, other), node.span
        )

    # Tests.

    def check_comparison(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
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
        result = self.add_node(
            TypedNode("==" if op == "!=" else op, BOOL, (left, right)),
            node.span,
            min(left.max_bytes, right.max_bytes),
        )
        return self.negation(result, node.span) if op == "!=" and result.type is not ERROR_TYPE else result

    def unify_operands(self, node: tree.Operation, args: list[TypedNode]) -> tuple[TypedNode, TypedNode]:
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

    def convert_to_float(self, operand: TypedNode, span: Span) -> TypedNode:
        return self.add_node(
            TypedNode("to_float", FLOAT, (operand,), low=operand.low, high=operand.high), span
        )

    def check_membership(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
        value, container = args
        kind, span = value.type.base, node.args[0].span
        if container.type in (STRING_SET, PREFIX_SET):
            expected_type = STRING if container.type == STRING_SET else ADDRESS
            if kind != expected_type:
                return self.report(span, f"{value.type}; expected {expected_type} for a {container.type}")
            if container.type == PREFIX_SET:
                return self.set_membership("in nets", value, container, 0, node.span)
            return self.set_membership("in set", value, container, value.max_bytes, node.span)
        if container.type.base.name == "map":
            if kind != STRING:
                return self.report(span, f"{value.type}; expected string for a map")
            return self.add_node(TypedNode("in map", BOOL, (value, container)), node.span, value.max_bytes)
        if container.type.base.name != "list":
            return self.report(node.args[1].span, f"{container.type}; expected a list, a map or a named set")
        if container.type.base.item != kind:
            return self.report(
                span, f"{value.type}; expected {container.type.base.item} for a {container.type}"
            )
        if container.is_constant:
            return self.constant_membership(value, tuple(container.value), node.span)
        return self.add_node(
            TypedNode("in list", BOOL, (value, container)),
            node.span,
            container.max_items * (1 + container.max_bytes),
        )

    def set_membership(
        self, op: str, value: TypedNode, named_set: TypedNode, units: float, span: Span
    ) -> TypedNode:
        """Return a test for membership in a named set.

        The set is not an operand, so that add_node does not evaluate the test of a constant.
        """
        result = TypedNode(op, BOOL, (value,), value=("set", named_set.value))
        if value.is_constant:  # the result is known from the set's members
            return self.graph.constant(BOOL, self.is_set_member(op, value.value, named_set.value))
        return self.add_node(result, span, units)

    def is_set_member(self, op: str, value: Any, set_index: int) -> bool:
        if value is None:
            return False
        if op == "in set":
            return value in self.sets.string_sets[set_index]
        number, bits = int.from_bytes(value, "big"), len(value) * 8
        return any(
            len(address) == len(value)
            and number >> (bits - length) == int.from_bytes(address, "big") >> (bits - length)
            for address, length in self.sets.prefix_sets[set_index]
        )

    def check_string_test(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
        op, (text, other) = node.op, args
        for operand_node, arg in zip(node.args, args, strict=True):
            if arg.type.base != STRING:
                return self.report(operand_node.span, f"{arg.type}; expected string")
        if op in ("matches", "fits"):
            if not other.is_constant or other.value is None:
                return self.report(node.args[1].span, f"expected a string that is known at load after '{op}'")
            return self.check_pattern(node, text, other.value)
        units: float = min(text.max_bytes, other.max_bytes)
        if op == "contains":
            units = contains_steps(text.max_bytes, other.max_bytes)
        return self.add_node(TypedNode(op, BOOL, (text, other)), node.span, units)

    def check_pattern(self, node: tree.Operation, text: TypedNode, pattern: str) -> TypedNode:
        span = node.args[1].span
        if node.op == "fits":
            tokens = tuple(pattern.split("."))
            if not all(tokens) or ">" in tokens[:-1]:
                return self.report(
                    span, "expected a subject pattern: tokens by '.', '*' for one, '>' last for the rest"
                )
            result = TypedNode("fits", BOOL, (text,), value=("tokens", tokens))
            return self.add_node(result, node.span, text.max_bytes, value=tokens)
        try:
            program = compile_pattern(pattern)
        except ValueError as err:
            return self.report(span, f"expected a regular expression of RE2: {err}")
        if program.programsize > MAX_PATTERN_INSTRUCTIONS:
            return self.report(
                span, f"{program.programsize} steps; expected at most {MAX_PATTERN_INSTRUCTIONS}"
            )
        result = TypedNode("matches", BOOL, (text,), value=("pattern", pattern))
        return self.add_node(result, node.span, (text.max_bytes + 1) * program.programsize, value=program)

    # Values.

    def check_arithmetic(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
        op, (left, right) = node.op, args
        kinds = (left.type.base, right.type.base)
        if op == "+" and kinds == (STRING, STRING):
            return self.check_concat(node, left, right)
        scaled = op in "*/" and kinds[0] in (DURATION, SIZE) and kinds[1] == INT
        if op == "*" and kinds[0] == INT and kinds[1] in (DURATION, SIZE):
            left, right, scaled = right, left, True
        if not scaled:
            for operand_node, kind, arg in zip(node.args, kinds, args, strict=True):
                if kind not in t.NUMERIC_TYPES or (kind in (DURATION, SIZE) and op in "*/%"):
                    if op == "+" and STRING in kinds and kind == STRING:
                        continue  # the other operand is at fault
                    expected = "string" if STRING in kinds and op == "+" else "a number"
                    return self.report(operand_node.span, f"{arg.type}; expected {expected} for '{op}'")
            left, right = self.unify_operands(node, args)
        if left.type is ERROR_TYPE:
            return left
        kind = left.type.base
        if kind == FLOAT:
            return self.check_float_arithmetic(node, left, right)
        if op in "/%":
            if right.is_constant and right.value == 0:
                return self.report(node.args[1].span, "expected a divisor that is not 0")
            may_be_missing = right.low <= 0 <= right.high
            result_type = t.optional(kind) if may_be_missing else kind
            low, high = _quotient_range(left, right) if op == "/" else _remainder_range(right)
            return self.add_node(TypedNode(op, result_type, (left, right), low=low, high=high), node.span)
        low, high = _result_range(op, left, right)
        if low >= t.MIN_INT and high <= t.MAX_INT:
            return self.add_node(TypedNode(op, kind, (left, right), low=low, high=high), node.span)
        low, high = max(low, t.MIN_INT), min(high, t.MAX_INT)
        return self.add_node(TypedNode(op + "!", kind, (left, right), low=low, high=high), node.span)

    def check_float_arithmetic(self, node: tree.Operation, left: TypedNode, right: TypedNode) -> TypedNode:
        op = node.op
        if op == "%":
            return self.report(node.args[0].span, "float; expected a whole number for '%'")
        infinite = float("inf")
        if op == "/" and right.is_constant and right.value == 0:
            return self.report(node.args[1].span, "expected a divisor that is not 0")
        kind = FLOAT if op != "/" or right.low > 0 or right.high < 0 else t.optional(FLOAT)
        result = TypedNode(op + "f", kind, (left, right), low=-infinite, high=infinite)
        return self.add_node(result, node.span)

    def check_concat(self, node: tree.Operation, left: TypedNode, right: TypedNode) -> TypedNode:
        max_bytes = left.max_bytes + right.max_bytes
        if max_bytes > MAX_STRING_BYTES:
            return self.report(
                node.span, f"may grow to {max_bytes} bytes; expected at most {MAX_STRING_BYTES}"
            )
        return self.add_node(
            TypedNode("concat", STRING, (left, right), max_bytes=max_bytes), node.span, max_bytes
        )

    def check_negation(self, node: tree.Operation, operand: TypedNode) -> TypedNode:
        kind = operand.type.base
        if kind not in t.NUMERIC_TYPES:
            return self.report(node.args[0].span, f"{operand.type}; expected a number for '-'")
        op = "negative!" if kind != FLOAT and -operand.low > t.MAX_INT else "negative"
        low, high = -operand.high, min(-operand.low, t.MAX_INT) if kind != FLOAT else -operand.low
        return self.add_node(TypedNode(op, kind, (operand,), low=low, high=high), node.span)

    def check_index(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
        container, key = args
        kind, expected_type = container.type.base, INT
        if kind.name == "map":
            expected_type = STRING
        elif kind.name != "list":
            return self.report(node.args[0].span, f"{container.type}; expected a list or map")
        if key.type.base != expected_type:
            return self.report(node.args[1].span, f"{key.type}; expected {expected_type} into a {kind.name}")
        assert kind.item is not None
        result = TypedNode(
            "get" if expected_type == STRING else "nth",
            t.optional(kind.item),
            (container, key),
            max_bytes=container.max_bytes,
            low=container.low,
            high=container.high,
        )
        return self.add_node(result, node.span, key.max_bytes)

    # Functions.

    def check_call(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
        name, first = node.op, args[0] if args else self.error_node
        if name not in FUNCTIONS:
            close_names = difflib.get_close_matches(name, FUNCTIONS, 1)
            hint = (
                f"; did you mean {close_names[0]!r}?"
                if close_names
                else f"; expected one of {', '.join(sorted(FUNCTIONS))}"
            )
            return self.report(Span(node.span.start, node.span.start + len(name)), f"unknown function{hint}")
        signature, operand_count = FUNCTIONS[name]
        if len(args) != operand_count:
            return self.report(node.span, f"{len(args)} operands; expected {signature}")
        kind, span = first.type.base, node.span
        mismatch = f"{first.type}; expected {signature}"
        match name:
            case "lower" if kind == STRING:
                max_bytes = min(2 * first.max_bytes, 2 * MAX_STRING_BYTES)  # one character can become two
                return self.add_node(
                    TypedNode("lower", STRING, (first,), max_bytes=max_bytes), span, first.max_bytes
                )
            case "len" if kind == STRING or kind.name in ("list", "map"):
                max_items = first.max_bytes if kind == STRING else first.max_items
                return self.add_node(TypedNode("len", INT, (first,), low=0, high=max_items), span)
            case "has" if first.type.is_optional:
                return self.add_node(TypedNode("has", BOOL, (first,)), span)
            case "has":
                return self.report(
                    node.args[0].span, f"{first.type}, which is never missing; expected an optional"
                )
            case "int" if kind == STRING:
                return self.add_node(
                    TypedNode("int", t.optional(INT), (first,)), span, min(first.max_bytes, 64)
                )
            case "float" if kind == STRING:
                return self.add_node(
                    TypedNode("float", t.optional(FLOAT), (first,)), span, min(first.max_bytes, 64)
                )
            case "float" if kind == INT:
                return self.convert_to_float(first, span)
            case "int" if kind in (DURATION, SIZE):  # as microseconds or bytes
                return self.add_node(TypedNode("whole", INT, (first,), low=first.low, high=first.high), span)
            case "address" if kind == STRING:
                return self.add_node(
                    TypedNode("address", t.optional(ADDRESS), (first,)), span, min(first.max_bytes, 64)
                )
            case "text" if kind in (INT, DURATION, SIZE):
                return self.add_node(TypedNode("text", STRING, (first,), max_bytes=20), span)
            case "text" if kind == ADDRESS:
                return self.add_node(TypedNode("text address", STRING, (first,), max_bytes=46), span)
            case "min" | "max":
                return self.check_min_max(node, args)
            case "split":
                return self.check_split(node, args, mismatch)
            case "token" if kind == STRING:
                return self.check_token(node, args)
            case "hash":
                return self.check_hash(node, args, mismatch)
        return self.report(node.args[0].span, mismatch)

    def require_constant_int(self, node: tree.Node, operand: TypedNode, low: int, high: int) -> int | None:
        if operand.type != INT or not operand.is_constant or not low <= operand.value <= high:
            self.report(node.span, f"expected a whole number from {low} to {high} that is known at load")
            return None
        return int(operand.value)

    def check_min_max(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
        left, right = self.unify_operands(node, args)
        if left.type is ERROR_TYPE:
            return left
        if left.type.base not in t.NUMERIC_TYPES:
            return self.report(node.args[0].span, f"{left.type}; expected {FUNCTIONS[node.op][0]}")
        pick = min if node.op == "min" else max
        result = TypedNode(
            node.op,
            left.type.base,
            (left, right),
            low=pick(left.low, right.low),
            high=pick(left.high, right.high),
        )
        return self.add_node(result, node.span)

    def check_split(self, node: tree.Operation, args: list[TypedNode], mismatch: str) -> TypedNode:
        text, separator = args[0], args[1]
        if text.type.base != STRING:
            return self.report(node.args[0].span, mismatch)
        if separator.type != STRING or not separator.is_constant or not separator.value:
            return self.report(node.args[1].span, "expected a string that is known at load and not empty")
        max_items = self.require_constant_int(node.args[2], args[2], 1, MAX_SPLIT_PARTS)
        if max_items is None:
            return self.error_node
        result = TypedNode(
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

    def check_token(self, node: tree.Operation, args: list[TypedNode]) -> TypedNode:
        """Type-check one token of a subject, which is shorthand for an index into a split by '.'."""
        token_index = self.require_constant_int(node.args[1], args[1], 0, MAX_SPLIT_PARTS - 2)
        if token_index is None:
            return self.error_node
        dot, max_items = self.graph.constant(STRING, "."), token_index + 2
        split_node = TypedNode(
            "split",
            t.list_of(STRING),
            (args[0], dot),
            value=("count", max_items),
            max_bytes=args[0].max_bytes,
            max_items=max_items,
        )
        tokens = self.add_node(split_node, node.span, 2 * args[0].max_bytes, value=max_items)
        if tokens.type is ERROR_TYPE:
            return tokens
        index_node = self.graph.constant(INT, token_index)
        return self.add_node(
            TypedNode("nth", t.optional(STRING), (tokens, index_node), max_bytes=args[0].max_bytes), node.span
        )

    def check_hash(self, node: tree.Operation, args: list[TypedNode], mismatch: str) -> TypedNode:
        first = args[0]
        if first.type.base not in (STRING, INT, DURATION, SIZE, ADDRESS):
            return self.report(node.args[0].span, mismatch)
        buckets = self.require_constant_int(node.args[1], args[1], 1, t.MAX_INT)
        if buckets is None:
            return self.error_node
        result = TypedNode("hash", INT, (first,), value=("count", buckets), low=0, high=buckets - 1)
        return self.add_node(result, node.span, first.max_bytes, value=buckets)


def constant_alternatives(test: TypedNode) -> tuple[TypedNode, tuple[Any, ...]] | None:
    """Return the value and the constants of a test that only compares a value with constants."""
    if test.op == "==" and test.args[1].is_constant and test.args[1].value is not None:
        return test.args[0], (test.args[1].value,)
    if test.op == "in set" and test.value[0] == "values":
        return test.args[0], test.value[1]
    return None


def _result_range(op: str, left: TypedNode, right: TypedNode) -> tuple[float, float]:
    if op == "+":
        return left.low + right.low, left.high + right.high
    if op == "-":
        return left.low - right.high, left.high - right.low
    products = [a * b for a in (left.low, left.high) for b in (right.low, right.high)]
    return min(products), max(products)


def _quotient_range(left: TypedNode, right: TypedNode) -> tuple[float, float]:
    magnitude = max(abs(left.low), abs(left.high))
    return max(-magnitude - 1, t.MIN_INT), min(magnitude, t.MAX_INT)


def _remainder_range(right: TypedNode) -> tuple[float, float]:
    return min(0, right.low + 1), max(0, right.high - 1)


def parse_prefix(text: str) -> tuple[bytes, int] | None:
    """Return a prefix as packed address and length, None if invalid; a bare address has full length."""
    try:
        network = ipaddress.ip_network(text, strict=True)
    except ValueError:
        return None
    address, length = network.network_address.packed, network.prefixlen
    if address.startswith(t.IPV4_MAPPED_PREFIX) and length >= 96:
        return address[12:], length - 96
    return address, length
