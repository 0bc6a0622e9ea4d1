"""The language's types, and the fields that a front offers to rules.

Values at run time: bool; int and float as Python's; a duration in microseconds, a size in bytes and an
integer as int within 64 bits; a string as str; an address packed, 4 or 16 bytes; a list as tuple or list; a
map as dict; a missing optional as None.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from socket import AF_INET, AF_INET6, inet_ntop, inet_pton
from typing import Any

INT_LOW, INT_HIGH = -(1 << 63), (1 << 63) - 1
TEXT_MOST = 8192  # bytes that any string in an expression may grow to
MAPPED = b"\x00" * 10 + b"\xff\xff"  # an IPv4 address inside IPv6: RFC 4291, 2.5.5.2


@dataclass(slots=True, frozen=True)
class Type:
    """A type by name; lists, maps and optionals have one inside."""

    name: str
    item: Type | None = None

    def __str__(self) -> str:
        if self.name == "optional":
            return f"{self.item}?"
        return f"{self.name} of {self.item}" if self.item else self.name

    @property
    def optional(self) -> bool:
        """Whether a value of it may be missing."""
        return self.name == "optional"

    @property
    def inner(self) -> Type:
        """The type without the question whether a value is there."""
        return self.item if self.optional and self.item else self


BOOL, INT, FLOAT, DURATION = Type("bool"), Type("int"), Type("float"), Type("duration")
STRING, SIZE, ADDRESS = Type("string"), Type("size"), Type("address")
STRINGS, PREFIXES = Type("set of strings"), Type("set of prefixes")
FAULTY = Type("faulty")  # of an expression that was complained about already
NUMBERS = (INT, FLOAT, DURATION, SIZE)
WHOLE = (INT, DURATION, SIZE)


def optional(inner: Type) -> Type:
    """The type of a value that may be missing."""
    return inner if inner.optional or inner is FAULTY else Type("optional", inner)


def list_of(item: Type) -> Type:
    """The type of a list."""
    return Type("list", item)


def map_of(item: Type) -> Type:
    """The type of a map from strings."""
    return Type("map", item)


@dataclass(slots=True, frozen=True)
class Field:
    """One field of a request: its type, and the bounds that its front enforces.

    `max_bytes` bounds a string, be it the field itself or an entry of it; `max_entries` bounds a list or map.
    """

    type: Type
    max_bytes: int = 0
    max_entries: int = 0
    low: float = INT_LOW
    high: float = INT_HIGH
    description: str = ""


@dataclass(slots=True, frozen=True)
class Schema:
    """What a front tells of a request, and the outputs that it can use."""

    front: str
    fields: Mapping[str, Field]
    outputs: frozenset[str] = frozenset({"class", "tenant", "group", "key", "pool", "label", "refuse"})
    places: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.places.update({name: n for n, name in enumerate(self.fields)})

    def request(self, values: Mapping[str, Any]) -> tuple[Any, ...]:
        """A request in the form that compiled rules read: values in the order of the fields."""
        return tuple(map(values.get, self.fields))


def pack_address(text: str) -> bytes | None:
    """An address in its packed form, or None if the text is none; an IPv4 address inside IPv6 is IPv4."""
    try:
        if ":" not in text:
            return inet_pton(AF_INET, text)
        address = inet_pton(AF_INET6, text)
    except (OSError, ValueError):
        return None
    return address[12:] if address.startswith(MAPPED) else address


def format_address(address: bytes) -> str:
    """A packed address as text."""
    return inet_ntop(AF_INET if len(address) == 4 else AF_INET6, address)


def bounded_text(text: Any, most: int) -> str | None:
    """A string that keeps its bound, or None.

    Guards against a client that makes rules cost more than they may.
    """
    if not isinstance(text, str) or len(text) > most or len(text.encode("utf-8", "replace")) > most:
        return None
    return text


def bounded_map(pairs: Iterable[tuple[str, str]], most: int, size: int) -> dict[str, str]:
    """The first value of each name, so many at most; what is too long is left out."""
    found: dict[str, str] = {}
    for name, value in pairs:
        if len(found) >= most:
            break
        if bounded_text(name, size) is not None and bounded_text(value, size) is not None:
            found.setdefault(name, value)
    return found
