"""Types of the rule language, and the schema of request fields that a front exposes to rules.

Representation at run time: bool and float as in Python; an integer, a duration (microseconds) and a size
(bytes) as int within 64 bits; a string as str; an address as 4 or 16 packed bytes; a list as tuple or list;
a map as dict; a missing optional as None.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from socket import AF_INET, AF_INET6, inet_ntop, inet_pton
from typing import Any

MIN_INT, MAX_INT = -(1 << 63), (1 << 63) - 1
MAX_STRING_BYTES = 8192  # bound on every string computed in an expression
IPV4_MAPPED_PREFIX = b"\x00" * 10 + b"\xff\xff"  # IPv4-mapped IPv6 addresses: RFC 4291, 2.5.5.2


@dataclass(slots=True, frozen=True)
class Type:
    """A type; `item` is the element type of a list, map or optional."""

    name: str
    item: Type | None = None

    def __str__(self) -> str:
        if self.name == "optional":
            return f"{self.item}?"
        return f"{self.name} of {self.item}" if self.item else self.name

    @property
    def is_optional(self) -> bool:
        """Whether a value of this type may be missing."""
        return self.name == "optional"

    @property
    def base(self) -> Type:
        """Return the item type of an optional; any other type itself."""
        return self.item if self.is_optional and self.item else self


BOOL, INT, FLOAT, DURATION = Type("bool"), Type("int"), Type("float"), Type("duration")
STRING, SIZE, ADDRESS = Type("string"), Type("size"), Type("address")
STRING_SET, PREFIX_SET = Type("set of strings"), Type("set of prefixes")
ERROR_TYPE = Type("faulty")  # of an expression whose fault has been reported
NUMERIC_TYPES = (INT, FLOAT, DURATION, SIZE)
INTEGER_TYPES = (INT, DURATION, SIZE)


def optional(inner: Type) -> Type:
    """Return the type of a value that may be missing; an optional is not nested."""
    return inner if inner.is_optional or inner is ERROR_TYPE else Type("optional", inner)


def list_of(item: Type) -> Type:
    """Return the type of a list of these items."""
    return Type("list", item)


def map_of(item: Type) -> Type:
    """Return the type of a map from strings to these items."""
    return Type("map", item)


@dataclass(slots=True, frozen=True)
class Field:
    """One field of a request: its type, and the bounds that its front enforces.

    `max_bytes` bounds a string, be it the field itself or an entry of it; `max_entries` bounds a list or map.
    """

    type: Type
    max_bytes: int = 0
    max_entries: int = 0
    low: float = MIN_INT
    high: float = MAX_INT
    description: str = ""


@dataclass(slots=True, frozen=True)
class Schema:
    """The request fields that a front provides, and the rule outputs that it supports."""

    front: str
    fields: Mapping[str, Field]
    outputs: frozenset[str] = frozenset({"class", "tenant", "group", "key", "pool", "label", "refuse"})
    field_indexes: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.field_indexes.update({name: n for n, name in enumerate(self.fields)})

    def request(self, values: Mapping[str, Any]) -> tuple[Any, ...]:
        """Return a request in the form that compiled rules read: a tuple in the order of the fields."""
        return tuple(map(values.get, self.fields))


def pack_address(text: str) -> bytes | None:
    """Return an address in packed form, None if the text is not an address.

    An IPv4-mapped IPv6 address becomes IPv4.
    """
    try:
        if ":" not in text:
            return inet_pton(AF_INET, text)
        address = inet_pton(AF_INET6, text)
    except (OSError, ValueError):
        return None
    return address[12:] if address.startswith(IPV4_MAPPED_PREFIX) else address


def format_address(address: bytes) -> str:
    """Return a packed address as text."""
    return inet_ntop(AF_INET if len(address) == 4 else AF_INET6, address)


def bounded_text(text: Any, max_bytes: int) -> str | None:
    """Return the text if it is a string within the bound, else None.

    Guards against a client whose long values make rules exceed their cost limit.
    """
    if not isinstance(text, str) or len(text) > max_bytes or len(text.encode("utf-8", "replace")) > max_bytes:
        return None
    return text


def bounded_map(pairs: Iterable[tuple[str, str]], max_entries: int, max_bytes: int) -> dict[str, str]:
    """Return the first value of each name, up to `max_entries`; pairs over `max_bytes` are skipped."""
    bounded: dict[str, str] = {}
    for name, value in pairs:
        if len(bounded) >= max_entries:
            break
        if bounded_text(name, max_bytes) is not None and bounded_text(value, max_bytes) is not None:
            bounded.setdefault(name, value)
    return bounded
