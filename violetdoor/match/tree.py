"""Syntax tree of a rules file: untyped nodes with source positions, as the parser builds them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from violetdoor.match.faults import Span
from violetdoor.match.types import Type


@dataclass(slots=True, frozen=True)
class Node:
    """An expression; `depth` is the height of its subtree in levels, a leaf being 1."""

    span: Span
    depth: int


@dataclass(slots=True, frozen=True)
class Literal(Node):
    """A constant written in the source."""

    type: Type
    value: Any


@dataclass(slots=True, frozen=True)
class Name(Node):
    """A reference by name to a field, a named expression, a set or a `let` variable."""

    name: str


@dataclass(slots=True, frozen=True)
class Operation(Node):
    """An operator or a function with its operands."""

    op: str
    args: tuple[Node, ...]


@dataclass(slots=True, frozen=True)
class Let(Node):
    """A `let` expression: binds a name to a value within its body."""

    name: str
    value: Node
    body: Node


@dataclass(slots=True, frozen=True)
class ListLiteral(Node):
    """A list literal in brackets."""

    items: tuple[Node, ...]


@dataclass(slots=True, frozen=True)
class MapLiteral(Node):
    """A map literal in braces."""

    pairs: tuple[tuple[Node, Node], ...]


@dataclass(slots=True, frozen=True)
class NamedSet:
    """A named set of strings or address prefixes; its members are listed inline or in `file`."""

    span: Span
    name: str
    kind: str  # "strings" or "prefixes"
    members: tuple[tuple[str, Span], ...] = ()
    file: str = ""  # empty where the members are listed inline


@dataclass(slots=True, frozen=True)
class Define:
    """A named expression (`define`)."""

    span: Span
    name: str
    body: Node


@dataclass(slots=True, frozen=True)
class Output:
    """One output that a rule sets, such as the class; `label` is the label's name where `name` is "label"."""

    span: Span
    name: str
    value: Node
    label: str = ""


@dataclass(slots=True, frozen=True)
class Rule:
    """A rule; the default rule has no condition (`when` is None)."""

    span: Span
    name: str
    when: Node | None
    outputs: tuple[Output, ...]


@dataclass(slots=True)
class Source:
    """The items of a rules file, by kind."""

    sets: list[NamedSet] = field(default_factory=list)
    defines: list[Define] = field(default_factory=list)
    rules: list[Rule] = field(default_factory=list)
    defaults: list[Rule] = field(default_factory=list)
