"""The seal of a packet: a keyed hash under the fleet's shared key, and a window against repeats.

What is cut, foreign, under another key, for somebody else or repeated is dropped before it is decoded any
further. The key is the only secret; packets are not hidden.
"""

from __future__ import annotations

import hashlib
import hmac
import math
from pathlib import Path

SEAL = 16  # bytes of the hash: BLAKE2b, keyed
WINDOW = 1024  # packets of one sender by which one may come late; it sends some tens a second
MIN_KEY, MAX_KEY = 16, 64  # bytes; BLAKE2b takes 64


class KeyFileError(Exception):
    """The key's file can't serve; the text says why."""


def read_key(path: Path) -> bytes:
    """The shared key: the file's bytes without white space around them."""
    try:
        key = path.read_bytes().strip()
    except OSError as err:
        raise KeyFileError(f"{path}: {err.strerror}") from err
    if not MIN_KEY <= len(key) <= MAX_KEY:
        raise KeyFileError(f"{path}: found {len(key)} bytes, expected a key of {MIN_KEY} to {MAX_KEY}")
    return key


class Seal:
    """Puts seals on and takes them off; `context` binds one to its connection."""

    def __init__(self, key: bytes) -> None:
        self.key = key

    def put(self, body: bytes, context: bytes = b"") -> bytes:
        return body + self._hash(body, context)

    def off(self, data: bytes | memoryview, context: bytes = b"") -> bytes | None:
        """The body, or nothing where the seal is not this fleet's."""
        if len(data) <= SEAL:
            return None
        body = bytes(data[:-SEAL])
        return body if hmac.compare_digest(self._hash(body, context), bytes(data[-SEAL:])) else None

    def _hash(self, body: bytes, context: bytes) -> bytes:
        return hashlib.blake2b(context + body, digest_size=SEAL, key=self.key).digest()


class Window:
    """The counts that were seen of one sender: each once, none older than the window (RFC 4303, 3.4.3)."""

    __slots__ = ("bits", "newest")

    def __init__(self, newest: int = -1) -> None:
        self.newest = newest
        self.bits = 0 if newest < 0 else (1 << WINDOW) - 1  # what came before is taken for seen

    def take(self, count: int) -> bool:
        """Whether this count is new; it counts as seen from now on."""
        ahead = count - self.newest
        if ahead > 0:
            self.bits = 1 if ahead >= WINDOW else (self.bits << ahead | 1) & ((1 << WINDOW) - 1)
            self.newest = count
            return True
        if -ahead >= WINDOW or self.bits >> -ahead & 1:
            return False
        self.bits |= 1 << -ahead
        return True


def spread(members: int) -> int:
    """Rounds in which gossip reaches all of so many, nearly: the logarithm, at least one."""
    return max(1, math.ceil(math.log10(members + 1)))
