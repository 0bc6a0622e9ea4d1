"""Parses the first line of a connection; a server gets it unchanged except for the time left."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from violetdoor.fronts.line.errors import (
    InvalidNameError,
    InvalidValueError,
    NotAnOpeningError,
    NoTimeLeftError,
    UnknownClassError,
    UnknownTenantError,
)
from violetdoor.net.sockets import BytesLike

# The valid forms of values. Stricter than int() and float(), which also accept signs, underscores and spaces
# in hex, nan, inf, exponents, and numbers of a thousand digits.
LINE = re.compile(rb"OPEN ([0-9a-fA-F]{1,32}) ([0-9a-fA-F]{1,32}) ([!-~]+)\r\n")
HEX = re.compile(r"[0-9a-fA-F]{1,32}")
NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_]{0,31}")
FLAGS = ("0", "1")
MAX_LOAD_MS_PER_SECOND = 1e6  # far above any server's capacity
MAX_TIME_LEFT_IN_DEADLINES = 10  # upper bound of `d`, in deadlines of the class
MAX_TIME_LEFT_OF_ADOPTED_MS = 1e9  # an adopted connection has no deadline, so its `d` is huge


@dataclass(slots=True)
class Opening:
    """One OPEN line: its values, and the bytes before and after the digits of `d`."""

    connection_id: int
    request_class: str
    tenant: str
    idempotency_key: int
    time_left_ms: float
    load: float | None  # ms of work per second
    group: int | None
    is_retry: bool
    is_reconnect: bool
    existing_server: str  # the server of a connection from before this run; empty for a new one
    bytes_before_time: bytes
    bytes_after_time: bytes
    values: OpeningValues | None = None  # kept only if match rules are in use

    def server_line_parts(self, time_left_ms: float) -> list[BytesLike]:
        """Return the line for a server, with the time that the relay will wait as `d`."""
        digits = b"%d" % max(1, int(time_left_ms))
        return [self.bytes_before_time, digits, self.bytes_after_time]


class OpeningValues(dict[str, str]):
    """The names and values of a line, each name once; the methods validate a value when it is read."""

    def __init__(self, text: str) -> None:
        """Split the text; raise InvalidNameError."""
        super().__init__()
        for pair in text.split(",") if text else ():
            name, equals, value = pair.partition("=")
            if not equals or not NAME.fullmatch(name) or name in self:
                raise InvalidNameError(name)
            self[name] = value

    def read(self, name: str, is_valid: Callable[[str], object]) -> str | None:
        """Return a value, None if it is missing; raise InvalidValueError if `is_valid` rejects it."""
        value = self.get(name)
        if value is not None and not is_valid(value):
            raise InvalidValueError(name, value)
        return value

    def hex(self, name: str) -> int | None:
        """Return a hexadecimal value as a number, None if it is missing."""
        value = self.read(name, HEX.fullmatch)
        return None if value is None else int(value, 16)

    def number(self, name: str, maximum: float) -> float | None:
        """Return a decimal number of at most `maximum`, None if it is missing."""
        value = self.read(name, lambda text: NUMBER.fullmatch(text) and float(text) <= maximum)
        return None if value is None else float(value)

    def flag(self, name: str) -> bool:
        """Return whether a flag is set; a missing one is not."""
        return self.read(name, FLAGS.__contains__) == "1"


def check_class_and_tenant(
    request_class: str, tenant: str, deadlines_ms: Mapping[str, float], tenants: frozenset[str]
) -> None:
    """Raise UnknownClassError or UnknownTenantError; an empty set of tenants admits any."""
    if request_class not in deadlines_ms:
        raise UnknownClassError(request_class)
    if tenants and tenant not in tenants:
        raise UnknownTenantError(tenant)


def parse_opening(
    line: memoryview,
    deadlines_ms: Mapping[str, float],
    tenants: frozenset[str],
    *,
    is_classified_by_rules: bool = False,
) -> Opening:
    """Parse an OPEN line; raise InvalidOpeningError.

    With `is_classified_by_rules`, class and tenant are not checked, and the values are kept for the rules.
    """
    raw = bytes(line)
    found = LINE.fullmatch(raw)
    if found is None:
        raise NotAnOpeningError
    values = OpeningValues(found[3].decode("ascii"))
    request_class = values.get("c", "")
    tenant = values.get("t", "")
    existing_server = values.get("at", "")
    longest_deadline = max(deadlines_ms.values(), default=0.0)
    if not is_classified_by_rules:
        check_class_and_tenant(request_class, tenant, deadlines_ms, tenants)
        longest_deadline = deadlines_ms[request_class]
    time_left = _read_time_left(values, longest_deadline, is_adoption=bool(existing_server))
    time_start = _time_start(raw, found.start(3))
    return Opening(
        connection_id=int(found[1], 16),
        request_class=request_class,
        tenant=tenant,
        idempotency_key=int(found[2], 16),
        time_left_ms=time_left,
        load=values.number("h", MAX_LOAD_MS_PER_SECOND) if values.get("h") else None,
        group=values.hex("g"),
        is_retry=values.flag("r"),
        is_reconnect=values.flag("again"),
        existing_server=existing_server,
        bytes_before_time=raw[:time_start],
        bytes_after_time=raw[time_start + len(values["d"]) :],
        values=values if is_classified_by_rules else None,
    )


def _read_time_left(values: OpeningValues, longest_deadline_ms: float, *, is_adoption: bool) -> float:
    """Return the time left of a line in ms; raise InvalidValueError or NoTimeLeftError."""
    max_time_left = MAX_TIME_LEFT_IN_DEADLINES * longest_deadline_ms
    if is_adoption:
        max_time_left = MAX_TIME_LEFT_OF_ADOPTED_MS
    time_left = values.number("d", max_time_left)
    if not time_left:
        raise NoTimeLeftError
    return time_left


def _time_start(raw: bytes, values_start: int) -> int:
    """Return the offset of the digits of `d`, which may be the first value or a later one."""
    if raw.startswith(b"d=", values_start):
        return values_start + len(b"d=")
    return raw.index(b",d=", values_start) + len(b",d=")
