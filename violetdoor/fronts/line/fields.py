"""The request fields that match rules can use on the line front: the OPEN line's values and the peer."""

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

MAX_NAME_BYTES = 256  # a longer class or tenant counts as missing
MAX_EXTRA_VALUES = 32  # values without a field of their own
MAX_HEX_DIGITS = 32  # of an id, a key or a group
MAX_PORT = 65_535
MAX_LOAD = 1e6  # ms of work per second, the limit of parse_opening
MAX_TIME_LEFT_US = 1_000_000_000_000_000
NO_ADDRESS = bytes(4)  # used where the peer's address cannot be parsed
# Names with a field of their own, or not meant for rules.
NAMED_VALUES = frozenset({"c", "t", "d", "g", "h", "r", "again", "at"})
MIN_VALUES_WITH_EXTRA = 3  # two values are the class and the time left

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
    """Return a request's field values in the order of the schema; `peer` is the result of getpeername."""
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
    """Return the values without a field of their own, up to the limits of size and number."""
    extra: dict[str, str] = {}
    if len(values) < MIN_VALUES_WITH_EXTRA:
        return extra
    for name, value in values.items():
        is_extra = name not in NAMED_VALUES and len(value) <= MAX_NAME_BYTES
        if is_extra and len(extra) < MAX_EXTRA_VALUES:
            extra[name] = value
    return extra
