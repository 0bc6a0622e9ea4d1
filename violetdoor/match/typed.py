"""Typed expressions: a graph that shares equal subexpressions.

Each node has the bounds from which its cost follows.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from violetdoor.match import types as t
from violetdoor.match.runtime import ENVIRONMENT


@dataclass(slots=True, eq=False)
class TypedNode:
    """One node of the expression graph.

    `max_bytes` bounds a string, or each item of a list or map; `max_items` bounds the length of the latter;
    `low` and `high` bound a number. `own_cost_ns` is the worst-case cost of the node without its operands.
    """

    op: str
    type: t.Type
    args: tuple[TypedNode, ...] = ()
    value: Any = None
    max_bytes: int = 0
    max_items: int = 0
    low: float = t.MIN_INT
    high: float = t.MAX_INT
    depth: int = 1
    own_cost_ns: float = 0.0
    node_id: int = 0  # number in order of creation, from 1: operands have lower ones

    @property
    def is_constant(self) -> bool:
        """Whether the value is known at load."""
        return self.op == "const"


@dataclass(slots=True, frozen=True)
class OperatorCode:
    """How an operator is compiled; a test is false where an operand is missing."""

    code: str  # {0} and {1} stand for the operands, {v} for the operator's constant
    price_name: str  # of its step in the price table
    is_test: bool = False


# All operators except and, or, not, if, ??, has and lists: generate_code has the code of these.
OPERATORS: dict[str, OperatorCode] = {
    "==": OperatorCode("{0} == {1}", "compare", True),
    "<": OperatorCode("{0} < {1}", "compare", True),
    "<=": OperatorCode("{0} <= {1}", "compare", True),
    "+": OperatorCode("{0} + {1}", "arithmetic"),
    "-": OperatorCode("{0} - {1}", "arithmetic"),
    "*": OperatorCode("{0} * {1}", "arithmetic"),
    "+!": OperatorCode("ck({0} + {1})", "checked"),
    "-!": OperatorCode("ck({0} - {1})", "checked"),
    "*!": OperatorCode("ck({0} * {1})", "checked"),
    "+f": OperatorCode("cf({0} + {1})", "checked"),
    "-f": OperatorCode("cf({0} - {1})", "checked"),
    "*f": OperatorCode("cf({0} * {1})", "checked"),
    "/": OperatorCode("div({0}, {1})", "checked"),
    "%": OperatorCode("mod({0}, {1})", "checked"),
    "/f": OperatorCode("fdiv({0}, {1})", "checked"),
    "negative": OperatorCode("-{0}", "arithmetic"),
    "negative!": OperatorCode("ck(-{0})", "checked"),
    "concat": OperatorCode("{0} + {1}", "concat"),
    "in set": OperatorCode("{0} in {v}", "member", True),
    "in list": OperatorCode("{0} in {1}", "scan", True),
    "in map": OperatorCode("{0} in {1}", "member", True),
    "in nets": OperatorCode("{v}.get({0}) is not None", "net", True),
    "matches": OperatorCode("{v}.search({0}.encode()) is not None", "match", True),
    "starts_with": OperatorCode("{0}.startswith({1})", "prefix", True),
    "ends_with": OperatorCode("{0}.endswith({1})", "prefix", True),
    "contains": OperatorCode("{1} in {0}", "contains", True),
    "fits": OperatorCode("fits({0}, {v})", "fits", True),
    "lower": OperatorCode("{0}.lower()", "lower"),
    "split": OperatorCode("split({0}, {1}, {v})", "split"),
    "len": OperatorCode("len({0})", "checked"),
    "hash": OperatorCode("digest({0}, {v})", "hash"),
    "int": OperatorCode("to_int({0})", "number"),
    "whole": OperatorCode("{0}", "arithmetic"),
    "float": OperatorCode("to_float({0})", "number"),
    "to_float": OperatorCode("float({0})", "checked"),
    "address": OperatorCode("packed({0})", "address"),
    "text": OperatorCode("str({0})", "text"),
    "text address": OperatorCode("written({0})", "text"),
    "min": OperatorCode("min({0}, {1})", "checked"),
    "max": OperatorCode("max({0}, {1})", "checked"),
    "nth": OperatorCode("nth({0}, {1})", "checked"),
    "get": OperatorCode("{0}.get({1})", "member"),
}


@dataclass(slots=True)
class Graph:
    """Creates nodes; equal nodes are one object, so that their code and their cost count once."""

    prices: dict[str, tuple[float, float]]
    nodes: dict[Any, TypedNode] = field(default_factory=dict)

    def step_cost_ns(self, name: str, units: float = 0.0) -> float:
        """Return the worst-case cost of a step on this number of bytes or items, in ns."""
        base, per_unit = self.prices[name]
        return base + per_unit * units

    def add(self, node: TypedNode) -> TypedNode:
        """Return the node, or an equal one that was added before."""
        key = (node.op, node.type, _identity_key(node.value), tuple(a.node_id for a in node.args))
        if (found := self.nodes.get(key)) is not None:
            return found
        node.node_id = len(self.nodes) + 1
        node.depth = 1 + max((a.depth for a in node.args), default=0)
        self.nodes[key] = node
        return node

    def constant(self, kind: t.Type, value: Any) -> TypedNode:
        """Return the node of a value known at load, with its bounds."""
        node = TypedNode("const", kind, value=value, own_cost_ns=self.step_cost_ns("constant"))
        base = kind.base
        if value is None:
            node.low = node.high = 0
        elif base is t.STRING:
            node.max_bytes = len(value.encode("utf-8", "surrogatepass"))
        elif base in t.NUMERIC_TYPES:
            node.low = node.high = value
        elif base.name in ("list", "map"):
            items = list(value.values()) if base.name == "map" else list(value)
            node.max_items = len(items)
            if base.item is t.STRING:
                node.max_bytes = max((len(v.encode("utf-8", "surrogatepass")) for v in items), default=0)
            elif base.item in t.NUMERIC_TYPES:
                node.low, node.high = min(items, default=0), max(items, default=0)
        return self.add(node)


def _identity_key(value: Any) -> Any:
    """Return a key that distinguishes values by their type too: 1, 1.0 and True differ."""
    if isinstance(value, dict):
        return ("map", tuple((k, _identity_key(v)) for k, v in value.items()))
    if isinstance(value, (tuple, list)):
        return ("list", tuple(map(_identity_key, value)))
    return (type(value).__name__, repr(value) if isinstance(value, float) else value)


def generate_code(node: TypedNode, args: list[str], value: str, new_name: Callable[[], str]) -> str:
    """Return a node's code, given its operands' code; operands that may be missing are tested first."""
    match node.op:
        case "and" | "or":
            return "(" + f" {node.op} ".join(args) + ")"
        case "not":
            return f"(not {args[0]})"
        case "if":
            return f"({args[1]} if {args[0]} else {args[2]})"
        case "has":
            return f"({args[0]} is not None)"
        case "??":
            name = new_name()
            return f"({name} if ({name} := {args[0]}) is not None else {args[1]})"
        case "list":
            return "(" + "".join(f"{a}, " for a in args) + ")"
    op = OPERATORS[node.op]
    operands, presence_checks = list(args), []
    for n, arg in enumerate(node.args):
        if arg.type.is_optional:
            operands[n] = new_name()
            presence_checks.append(f"({operands[n]} := {args[n]}) is not None")
    code = op.code.format(*operands, v=value)
    if op.is_test:
        return "(" + " and ".join([*presence_checks, code]) + ")"
    return f"({code} if {' and '.join(presence_checks)} else None)" if presence_checks else f"({code})"


def fold_constant(node: TypedNode, value: Any) -> Any:
    """Return the value of a node whose operands are all constants; raises what its code raises."""
    namespace: dict[str, Any] = {f"a{n}": arg.value for n, arg in enumerate(node.args)}
    namespace |= {"v": value} | ENVIRONMENT
    names = iter(f"x{n}" for n in range(16))
    code = generate_code(node, [f"a{n}" for n in range(len(node.args))], "v", lambda: next(names))
    return eval(code, namespace)
