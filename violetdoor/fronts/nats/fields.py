"""What the NATS front tells match rules of a client.

Its CONNECT, its first operation where that is known, its address.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
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
    fitting,
    fitting_map,
    map_of,
    optional,
    packed,
)

NAME_MOST, WORD_MOST, SUBJECT_MOST, HEADER_MOST = 128, 32, 255, 256  # bytes; what is longer counts as missing
HEADERS_MOST = 64

SCHEMA = Schema(
    "nats",
    {
        "peer.address": Field(ADDRESS, about="the client's address"),
        "peer.port": Field(INT, low=0, high=65535, about="the client's port"),
        "connect.user": Field(optional(STRING), size=NAME_MOST, about="user of CONNECT"),
        "connect.name": Field(optional(STRING), size=NAME_MOST, about="name of CONNECT"),
        "connect.lang": Field(optional(STRING), size=WORD_MOST, about="lang of CONNECT"),
        "connect.version": Field(optional(STRING), size=WORD_MOST, about="version of CONNECT"),
        "connect.verbose": Field(BOOL, about="verbose of CONNECT"),
        "connect.headers": Field(BOOL, about="headers of CONNECT"),
        "first.op": Field(
            optional(STRING), size=WORD_MOST, about="SUB, PUB or HPUB: the first of these, where known"
        ),
        "first.subject": Field(optional(STRING), size=SUBJECT_MOST, about="its subject"),
        "first.queue": Field(optional(STRING), size=SUBJECT_MOST, about="the queue group of a SUB"),
        "first.size": Field(
            optional(SIZE), low=0, high=1 << 40, about="bytes of a PUB or HPUB, headers included"
        ),
        "first.headers": Field(
            map_of(STRING), size=HEADER_MOST, most=HEADERS_MOST, about="headers of an HPUB"
        ),
    },
)


def request(connect: Mapping[str, Any], first: Frame | None, peer: tuple[Any, ...]) -> tuple[Any, ...]:
    """A client as rules read it."""
    op = subject = queue = size = None
    headers: dict[str, str] = {}
    if first is not None and first.op in ("SUB", "PUB", "HPUB"):
        op, subject = first.op, _text(first.args[0], SUBJECT_MOST)
        if op == "SUB":
            queue = _text(first.args[1], SUBJECT_MOST) if len(first.args) == 3 else None
        else:
            size = int(first.args[-1])
            headers = fitting_map(_headers(first.headers), HEADERS_MOST, HEADER_MOST)
    return (
        packed(str(peer[0]).partition("%")[0]) or bytes(4), peer[1],
        fitting(connect.get("user"), NAME_MOST), fitting(connect.get("name"), NAME_MOST),
        fitting(connect.get("lang"), WORD_MOST), fitting(connect.get("version"), WORD_MOST),
        bool(connect.get("verbose", True)), bool(connect.get("headers", False)),
        op, subject, queue, size, headers,
    )  # fmt: skip


def _text(raw: bytes, most: int) -> str | None:
    """The text of bytes, or None where they are too long or no UTF-8."""
    if len(raw) > most:
        return None
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return None


def _headers(block: bytes) -> Iterable[tuple[str, str]]:
    for line in block.split(b"\r\n")[1:]:
        name, colon, value = line.partition(b":")
        text, held = _text(name.strip(), HEADER_MOST), _text(value.strip(), HEADER_MOST)
        if colon and text and held is not None:
            yield text, held
