"""Checks that the field types can't express, shared by the files of relays and of control machines."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from violetdoor.configuration.validation import FieldViolation, KeyPath

MAX_FLEET_NAME_BYTES = 64  # of a name, zone or host: the fleet's packets, which carry them, are bounded
MAX_PORT = 65_535

ValueAtPath = tuple[
    KeyPath, str | None
]  # the path of a value, and the value; None if the file does not set it


def length_violations(texts: Iterable[ValueAtPath]) -> Iterator[FieldViolation]:
    """Yield a violation for each text longer than MAX_FLEET_NAME_BYTES."""
    for path, text in texts:
        length = len((text or "").encode())
        if length > MAX_FLEET_NAME_BYTES:
            yield FieldViolation(
                path, f"found {length} bytes, expected {MAX_FLEET_NAME_BYTES} at most in a fleet"
            )


def duplicate_violations(path: KeyPath, addresses: list[str]) -> Iterator[FieldViolation]:
    """Yield a violation for each address that occurs earlier in the list."""
    for index, address in enumerate(addresses):
        if address in addresses[:index]:
            yield FieldViolation(
                (*path, index), f"found {address!r} a second time, expected each address once"
            )


def address_violations(addresses: Iterable[ValueAtPath]) -> Iterator[FieldViolation]:
    """Yield a violation for each address whose port exceeds MAX_PORT."""
    for path, address in addresses:
        if address is not None and not _has_valid_port(address):
            yield FieldViolation(path, f"found {address!r}, expected host:port")


def host_of(address: str) -> str:
    """Return the host of `host:port`."""
    return address.rpartition(":")[0]


def _has_valid_port(address: str) -> bool:
    return int(address.rpartition(":")[2]) <= MAX_PORT
