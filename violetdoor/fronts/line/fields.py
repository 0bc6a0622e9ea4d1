"""What the line front shows match rules of a request: the values of its OPEN line, and its peer."""

from __future__ import annotations

from typing import Any

from violetdoor.fronts.line.opening import Opening, OpeningValues
from violetdoor.match.types import (
    ADDRESS,
    BOOL,
    DURATION,
    FLOAT,
    INT,
    STRING,
    Field,
    Schema,
    bounded_text,
    map_of,
    optional,
    pack_address,
)

MAX_NAME_BYTES = 256  # a longer name counts as missing
MAX_EXTRA_VALUES = 32  # values that have no field of their own
MAX_HEX_DIGITS = 32  # of ids, keys and groups
MAX_PORT = 65_535
MAX_LOAD = 1e6  # ms of work a second, as parse_opening lets it pass
MAX_TIME_LEFT_US = 1_000_000_000_000_000
NO_ADDRESS = bytes(4)  # where the peer's address does not read
NAMED_VALUES = frozenset({"c", "t", "d", "g", "h", "r", "again", "at"})  # have a field, or concern no rule
MIN_VALUES_WITH_EXTRA = 3  # a line of two values has its class and its time

SCHEMA = Schema(
    "line",
    {
        "peer.address": Field(ADDRESS, description="the client's address"),
        "peer.port": Field(INT, low=0, high=MAX_PORT, description="the client's port"),
        "open.id": Field(STRING, max_bytes=MAX_HEX_DIGITS, description="the connection's id, in hex"),
        "open.key": Field(STRING, max_bytes=MAX_HEX_DIGITS, description="the flow's key, in hex"),
        "open.class": Field(optional(STRING), max_bytes=MAX_NAME_BYTES, description="c"),
        "open.tenant": Field(optional(STRING), max_bytes=MAX_NAME_BYTES, description="t"),
        "open.group": Field(optional(STRING), max_bytes=MAX_HEX_DIGITS, description="g, in hex"),
        "open.load": Field(optional(FLOAT), low=0.0, high=MAX_LOAD, description="h, the load hinted at"),
        "open.time_left": Field(DURATION, low=0, high=MAX_TIME_LEFT_US, description="d"),
        "open.retry": Field(BOOL, description="r=1"),
        "open.again": Field(BOOL, description="again=1: moved or broken before"),
        "open.extra": Field(
            map_of(STRING),
            max_bytes=MAX_NAME_BYTES,
            max_entries=MAX_EXTRA_VALUES,
            description="values of other names",
        ),
    },
)


def rule_request(opening: Opening, peer: tuple[Any, ...]) -> tuple[Any, ...]:
    """Return the values of a request's fields, in the order of the schema; `peer` as getpeername has it."""
    values = opening.values or OpeningValues("")
    return (
        pack_address(str(peer[0]).partition("%")[0]) or NO_ADDRESS,
        peer[1],
        f"{opening.connection_id:x}",
        f"{opening.idempotency_key:x}",
        bounded_text(values.get("c"), MAX_NAME_BYTES),
        bounded_text(values.get("t"), MAX_NAME_BYTES),
        values.get("g") or None,
        opening.load,
        round(opening.time_left_ms * 1000),
        opening.is_retry,
        opening.is_reconnect,
        _extra_values(values),
    )


def _extra_values(values: OpeningValues) -> dict[str, str]:
    """Return the values that have no field of their own, as far as they fit."""
    extra: dict[str, str] = {}
    if len(values) < MIN_VALUES_WITH_EXTRA:
        return extra
    for name, value in values.items():
        is_extra = name not in NAMED_VALUES and len(value) <= MAX_NAME_BYTES
        if is_extra and len(extra) < MAX_EXTRA_VALUES:
            extra[name] = value
    return extra
