"""What the parser makes of a rules file: a tree with places, not yet typed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from violetdoor.match.faults import Span
from violetdoor.match.types import Type


@dataclass(slots=True, frozen=True)
class Node:
    """One expression; `depth` counts the levels below it and itself."""

    span: Span
    depth: int


@dataclass(slots=True, frozen=True)
class Literal(Node):
    """A value that stands in the source."""

    type: Type
    value: Any


@dataclass(slots=True, frozen=True)
class Name(Node):
    """A field, a named expression, a set, or what a `let` names."""

    name: str


@dataclass(slots=True, frozen=True)
class Apply(Node):
    """An operator or a function and what it is applied to."""

    op: str
    args: tuple[Node, ...]


@dataclass(slots=True, frozen=True)
class Let(Node):
    """A name for a value within a body."""

    name: str
    value: Node
    body: Node


@dataclass(slots=True, frozen=True)
class Items(Node):
    """A list in brackets."""

    items: tuple[Node, ...]


@dataclass(slots=True, frozen=True)
class Pairs(Node):
    """A map in braces."""

    pairs: tuple[tuple[Node, Node], ...]


@dataclass(slots=True, frozen=True)
class NamedSet:
    """A named set of strings or prefixes, listed here or in a file."""

    span: Span
    name: str
    kind: str  # strings or prefixes
    members: tuple[tuple[str, Span], ...] = ()
    file: str = ""


@dataclass(slots=True, frozen=True)
class Define:
    """A named expression."""

    span: Span
    name: str
    body: Node


@dataclass(slots=True, frozen=True)
class Output:
    """One thing that a rule says of a request; `label` is the name of a label."""

    span: Span
    name: str
    value: Node
    label: str = ""


@dataclass(slots=True, frozen=True)
class Rule:
    """A rule, or the default where there is no condition."""

    span: Span
    name: str
    when: Node | None
    outputs: tuple[Output, ...]


@dataclass(slots=True)
class Source:
    """A whole rules file."""

    sets: list[NamedSet] = field(default_factory=list)
    defines: list[Define] = field(default_factory=list)
    rules: list[Rule] = field(default_factory=list)
    defaults: list[Rule] = field(default_factory=list)
