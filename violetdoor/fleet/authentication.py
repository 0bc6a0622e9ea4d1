"""Message authentication codes under the fleet's shared key. Does no I/O.

A packet or frame whose tag does not match was truncated, altered, or signed with another key or context; it
is dropped before it is decoded. The key is the only secret: packets are authenticated, not encrypted.
"""

from __future__ import annotations

import hashlib
import hmac

TAG_BYTES = 16  # 128 bits of keyed BLAKE2b (RFC 7693)


class MessageAuthenticator:
    """Signs and verifies messages; a `context` that both sides know binds a message to its position."""

    def __init__(self, key: bytes) -> None:
        """Use `key`, 16 to 64 bytes long."""
        self.key = key

    def sign(self, body: bytes, context: bytes = b"") -> bytes:
        """Return the body followed by its tag."""
        return body + self._tag_of(body, context)

    def verify(self, data: bytes | memoryview, context: bytes = b"") -> bytes | None:
        """Return the body of a signed message; None if the tag does not match or the body is empty."""
        if len(data) <= TAG_BYTES:
            return None
        body = bytes(data[:-TAG_BYTES])
        return body if hmac.compare_digest(self._tag_of(body, context), bytes(data[-TAG_BYTES:])) else None

    def _tag_of(self, body: bytes, context: bytes) -> bytes:
        return hashlib.blake2b(context + body, digest_size=TAG_BYTES, key=self.key).digest()
