"""The client fields that match rules can use on the NATS front: CONNECT, first operation, address."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from violetdoor.fronts.nats.frames import Frame
from violetdoor.match.types import (
    ADDRESS,
    BOOL,
    INT,
    SIZE,
    STRING,
    Field,
    Schema,
    bounded_map,
    bounded_text,
    map_of,
    optional,
    pack_address,
)

# Limits of string fields in bytes; a longer value counts as missing.
MAX_NAME_BYTES = 128
MAX_SHORT_TEXT_BYTES = 32
MAX_SUBJECT_BYTES = 255
MAX_HEADER_BYTES = 256
MAX_HEADERS = 64
MAX_PORT = 65_535
MAX_SIZE_BYTES = 1 << 40
NO_ADDRESS = bytes(4)  # used where the peer's address cannot be parsed
SUB_ARGUMENTS_WITH_QUEUE = 3

SCHEMA = Schema(
    "nats",
    {
        "peer.address": Field(ADDRESS, description="the client's address"),
        "peer.port": Field(INT, low=0, high=MAX_PORT, description="the client's port"),
        "connect.user": Field(optional(STRING), max_bytes=MAX_NAME_BYTES, description="user of CONNECT"),
        "connect.name": Field(optional(STRING), max_bytes=MAX_NAME_BYTES, description="name of CONNECT"),
        "connect.lang": Field(
            optional(STRING), max_bytes=MAX_SHORT_TEXT_BYTES, description="lang of CONNECT"
        ),
        "connect.version": Field(
            optional(STRING), max_bytes=MAX_SHORT_TEXT_BYTES, description="version of CONNECT"
        ),
        "connect.verbose": Field(BOOL, description="verbose of CONNECT"),
        "connect.headers": Field(BOOL, description="headers of CONNECT"),
        "first.op": Field(
            optional(STRING),
            max_bytes=MAX_SHORT_TEXT_BYTES,
            description="SUB, PUB or HPUB: the first of these, where known",
        ),
        "first.subject": Field(optional(STRING), max_bytes=MAX_SUBJECT_BYTES, description="its subject"),
        "first.queue": Field(
            optional(STRING), max_bytes=MAX_SUBJECT_BYTES, description="the queue group of a SUB"
        ),
        "first.size": Field(
            optional(SIZE), low=0, high=MAX_SIZE_BYTES, description="bytes of a PUB or HPUB, headers included"
        ),
        "first.headers": Field(
            map_of(STRING),
            max_bytes=MAX_HEADER_BYTES,
            max_entries=MAX_HEADERS,
            description="headers of an HPUB",
        ),
    },
)


@dataclass(slots=True)
class FirstOperation:
    """The fields of a client's first SUB, PUB or HPUB; None if missing or too long."""

    operation: str | None = None
    subject: str | None = None
    queue: str | None = None
    size: int | None = None
    headers: dict[str, str] = field(default_factory=dict)


def rule_request(connect: Mapping[str, Any], first: Frame | None, peer: tuple[Any, ...]) -> tuple[Any, ...]:
    """Return a client's field values in the order of the schema; `peer` is the result of getpeername."""
    operation = _first_operation(first)
    return (
        pack_address(str(peer[0]).partition("%")[0]) or NO_ADDRESS,
        peer[1],
        bounded_text(connect.get("user"), MAX_NAME_BYTES),
        bounded_text(connect.get("name"), MAX_NAME_BYTES),
        bounded_text(connect.get("lang"), MAX_SHORT_TEXT_BYTES),
        bounded_text(connect.get("version"), MAX_SHORT_TEXT_BYTES),
        bool(connect.get("verbose", True)),
        bool(connect.get("headers", False)),
        operation.operation,
        operation.subject,
        operation.queue,
        operation.size,
        operation.headers,
    )


def _first_operation(frame: Frame | None) -> FirstOperation:
    if frame is None or frame.operation not in ("SUB", "PUB", "HPUB"):
        return FirstOperation()
    found = FirstOperation(frame.operation, _text(frame.arguments[0], MAX_SUBJECT_BYTES))
    if frame.operation == "SUB":
        if len(frame.arguments) == SUB_ARGUMENTS_WITH_QUEUE:
            found.queue = _text(frame.arguments[1], MAX_SUBJECT_BYTES)
    else:
        found.size = int(frame.arguments[-1])
        found.headers = bounded_map(_headers(frame.headers), MAX_HEADERS, MAX_HEADER_BYTES)
    return found


def _text(raw: bytes, max_bytes: int) -> str | None:
    """Decode UTF-8 text; None if it is too long or invalid."""
    if len(raw) > max_bytes:
        return None
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return None


def _headers(block: bytes) -> Iterable[tuple[str, str]]:
    """Yield names and values of a header block, without those that are too long or not UTF-8."""
    for line in block.split(b"\r\n")[1:]:
        name, colon, value = line.partition(b":")
        name_text = _text(name.strip(), MAX_HEADER_BYTES)
        value_text = _text(value.strip(), MAX_HEADER_BYTES)
        if colon and name_text and value_text is not None:
            yield name_text, value_text
