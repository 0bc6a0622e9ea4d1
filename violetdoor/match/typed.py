"""Typed expressions: a graph in which equal parts are one node.

Each with the bounds that its cost follows from.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from violetdoor.match import types as t
from violetdoor.match.runtime import ENVIRONMENT


@dataclass(slots=True, eq=False)
class Typed:
    """One part of an expression.

    `size` is the longest string in it in bytes (of an item, where it is a list or map), `most` the longest
    list, `low` and `high` the range of a number. `own` is what the part itself costs at the worst, in ns.
    """

    op: str
    type: t.Type
    args: tuple[Typed, ...] = ()
    value: Any = None
    size: int = 0
    most: int = 0
    low: float = t.INT_LOW
    high: float = t.INT_HIGH
    depth: int = 1
    own: float = 0.0
    number: int = 0  # its place in the graph

    @property
    def constant(self) -> bool:
        """Whether its value is known at load."""
        return self.op == "const"


@dataclass(slots=True, frozen=True)
class Op:
    """How an operator is carried out, and the name of its price; a test of a missing value is false."""

    code: str  # with {0}, {1} for what it is applied to, and {v} for its constant
    price: str
    test: bool = False


# The whole language beside and, or, not, if, ??, has, lists: these are compiled where they stand.
OPS: dict[str, Op] = {
    "==": Op("{0} == {1}", "compare", True),
    "<": Op("{0} < {1}", "compare", True),
    "<=": Op("{0} <= {1}", "compare", True),
    "+": Op("{0} + {1}", "arithmetic"),
    "-": Op("{0} - {1}", "arithmetic"),
    "*": Op("{0} * {1}", "arithmetic"),
    "+!": Op("ck({0} + {1})", "checked"),
    "-!": Op("ck({0} - {1})", "checked"),
    "*!": Op("ck({0} * {1})", "checked"),
    "+f": Op("cf({0} + {1})", "checked"),
    "-f": Op("cf({0} - {1})", "checked"),
    "*f": Op("cf({0} * {1})", "checked"),
    "/": Op("div({0}, {1})", "checked"),
    "%": Op("mod({0}, {1})", "checked"),
    "/f": Op("fdiv({0}, {1})", "checked"),
    "negative": Op("-{0}", "arithmetic"),
    "negative!": Op("ck(-{0})", "checked"),
    "concat": Op("{0} + {1}", "concat"),
    "in set": Op("{0} in {v}", "member", True),
    "in list": Op("{0} in {1}", "scan", True),
    "in map": Op("{0} in {1}", "member", True),
    "in nets": Op("{v}.get({0}) is not None", "net", True),
    "matches": Op("{v}.search({0}.encode()) is not None", "match", True),
    "starts_with": Op("{0}.startswith({1})", "prefix", True),
    "ends_with": Op("{0}.endswith({1})", "prefix", True),
    "contains": Op("{1} in {0}", "contains", True),
    "fits": Op("fits({0}, {v})", "fits", True),
    "lower": Op("{0}.lower()", "lower"),
    "split": Op("split({0}, {1}, {v})", "split"),
    "len": Op("len({0})", "checked"),
    "hash": Op("digest({0}, {v})", "hash"),
    "int": Op("to_int({0})", "number"),
    "whole": Op("{0}", "arithmetic"),
    "float": Op("to_float({0})", "number"),
    "to_float": Op("float({0})", "checked"),
    "address": Op("packed({0})", "address"),
    "text": Op("str({0})", "text"),
    "text address": Op("written({0})", "text"),
    "min": Op("min({0}, {1})", "checked"),
    "max": Op("max({0}, {1})", "checked"),
    "nth": Op("nth({0}, {1})", "checked"),
    "get": Op("{0}.get({1})", "member"),
}


@dataclass(slots=True)
class Graph:
    """Makes parts; an equal part is the same object, so that its code and its cost count once."""

    prices: dict[str, tuple[float, float]]
    known: dict[Any, Typed] = field(default_factory=dict)

    def price(self, name: str, units: float = 0.0) -> float:
        """What one step of this name costs at the worst, in ns, on so many bytes or items."""
        base, each = self.prices[name]
        return base + each * units

    def add(self, node: Typed) -> Typed:
        """The part itself, or the one that is equal to it."""
        key = (node.op, node.type, _identity(node.value), tuple(a.number for a in node.args))
        if (found := self.known.get(key)) is not None:
            return found
        node.number = len(self.known) + 1
        node.depth = 1 + max((a.depth for a in node.args), default=0)
        self.known[key] = node
        return node

    def constant(self, kind: t.Type, value: Any) -> Typed:
        """A value that is known at load, with the bounds that it has."""
        node = Typed("const", kind, value=value, own=self.price("constant"))
        inner = kind.inner
        if value is None:
            node.low = node.high = 0
        elif inner is t.STRING:
            node.size = len(value.encode("utf-8", "surrogatepass"))
        elif inner in t.NUMBERS:
            node.low = node.high = value
        elif inner.name in ("list", "map"):
            held = list(value.values()) if inner.name == "map" else list(value)
            node.most = len(held)
            if inner.item is t.STRING:
                node.size = max((len(v.encode("utf-8", "surrogatepass")) for v in held), default=0)
            elif inner.item in t.NUMBERS:
                node.low, node.high = min(held, default=0), max(held, default=0)
        return self.add(node)


def _identity(value: Any) -> Any:
    """A key that tells values apart, 1 from 1.0 and True too."""
    if isinstance(value, dict):
        return ("map", tuple((k, _identity(v)) for k, v in value.items()))
    if isinstance(value, (tuple, list)):
        return ("list", tuple(map(_identity, value)))
    return (type(value).__name__, repr(value) if isinstance(value, float) else value)


def generate_code(node: Typed, args: list[str], value: str, fresh: Callable[[], str]) -> str:
    """The code of a part out of the code of those below it; what may be missing is looked at first."""
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
            held = fresh()
            return f"({held} if ({held} := {args[0]}) is not None else {args[1]})"
        case "list":
            return "(" + "".join(f"{a}, " for a in args) + ")"
    op = OPS[node.op]
    operands, there = list(args), []
    for n, arg in enumerate(node.args):
        if arg.type.optional:
            operands[n] = fresh()
            there.append(f"({operands[n]} := {args[n]}) is not None")
    code = op.code.format(*operands, v=value)
    if op.test:
        return "(" + " and ".join([*there, code]) + ")"
    return f"({code} if {' and '.join(there)} else None)" if there else f"({code})"


def computed(node: Typed, value: Any) -> Any:
    """The value of a part of which all below it are constants; raises what its code raises."""
    space: dict[str, Any] = {f"a{n}": arg.value for n, arg in enumerate(node.args)}
    space |= {"v": value} | ENVIRONMENT
    names = iter(f"x{n}" for n in range(16))
    code = generate_code(node, [f"a{n}" for n in range(len(node.args))], "v", lambda: next(names))
    return eval(code, space)
