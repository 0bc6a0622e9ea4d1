"""Signed frames of a TCP connection. Does no I/O.

A frame is a length of 4 bytes, a body, and a tag over the body and a context that both sides know. The
context binds a frame to its position: it holds the connection's two nonces and, in a sequence of frames, the
frame's number. A frame that is omitted, repeated, reordered or replayed on another connection therefore makes
the tag check fail. Relays use these frames among themselves and with control machines
(`violetdoor.control.frames`).
"""

from __future__ import annotations

from collections.abc import Iterator

from violetdoor.fleet.authentication import TAG_BYTES, MessageAuthenticator
from violetdoor.fleet.messages import MAX_FRAME_BYTES

NONCE_BYTES = 16  # sent by each side at the start of a connection; no two connections share both nonces
LENGTH_BYTES = 4  # big-endian length of body and tag, before the body
SEQUENCE_BYTES = 8  # big-endian frame number in the context


class FrameError(ValueError):
    """The received bytes are not a valid frame of this connection, which must be closed."""


class FrameLengthError(FrameError):
    """The length field of a frame is out of range."""

    def __init__(self, length: int) -> None:
        """Report the length in bytes."""
        super().__init__(f"frame length out of range: {length} bytes")
        self.length = length


class FrameTagError(FrameError):
    """The tag does not match: the key differs, or the frame was altered or is out of sequence."""


def encode_frame(authenticator: MessageAuthenticator, body: bytes, context: bytes) -> bytes:
    """Return a frame with this body."""
    signed = authenticator.sign(body, context)
    return len(signed).to_bytes(LENGTH_BYTES, "big") + signed


def parse_length(header: bytes | bytearray, max_bytes: int = MAX_FRAME_BYTES) -> int:
    """Return how many bytes follow the `LENGTH_BYTES` of a frame's header. Raises FrameLengthError."""
    length = int.from_bytes(header, "big")
    if not TAG_BYTES < length <= max_bytes:
        raise FrameLengthError(length)
    return length


def verify_frame(authenticator: MessageAuthenticator, data: bytes | memoryview, context: bytes) -> bytes:
    """Return the body of a frame, given the bytes after its length. Raises FrameTagError."""
    body = authenticator.verify(data, context)
    if body is None:
        raise FrameTagError
    return body


def stream_context(binding: bytes) -> bytes:
    """Return the signing context of a stream between two relays; `binding` is the nonces of both sides."""
    return b"stream" + binding


class FrameWriter:
    """Encodes the frames of one direction of a connection in sequence."""

    def __init__(self, authenticator: MessageAuthenticator, context: bytes) -> None:
        """Start at frame number 0 of a context."""
        self.authenticator = authenticator
        self.context = context
        self.sequence = 0

    def frame(self, body: bytes) -> bytes:
        """Return the next frame, with this body."""
        context = self.context + self.sequence.to_bytes(SEQUENCE_BYTES, "big")
        self.sequence += 1
        return encode_frame(self.authenticator, body, context)


class FrameReader:
    """Decodes the frames of one direction of a connection from chunks of any size."""

    def __init__(
        self, authenticator: MessageAuthenticator, context: bytes, max_bytes: int = MAX_FRAME_BYTES
    ) -> None:
        """Start at frame number 0 of a context; `max_bytes` bounds a frame's body and tag together."""
        self.authenticator = authenticator
        self.context = context
        self.max_bytes = max_bytes
        self.sequence = 0
        self.buffer = bytearray()  # holds at most one incomplete frame and the last chunk

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the bodies of the frames completed by a chunk. After a FrameError the reader is unusable."""
        self.buffer += data
        start = 0
        try:
            while (end := self._frame_end(start)) is not None:
                body = self._verify(start + LENGTH_BYTES, end)
                start = end
                yield body
        finally:
            del self.buffer[:start]

    def _frame_end(self, start: int) -> int | None:
        """Return the end offset of the frame that starts at `start`; None if it is still incomplete."""
        body_start = start + LENGTH_BYTES
        if len(self.buffer) < body_start:
            return None
        end = body_start + parse_length(self.buffer[start:body_start], self.max_bytes)
        return end if len(self.buffer) >= end else None

    def _verify(self, start: int, end: int) -> bytes:
        with memoryview(self.buffer) as view:
            signed = bytes(view[start:end])
        context = self.context + self.sequence.to_bytes(SEQUENCE_BYTES, "big")
        body = verify_frame(self.authenticator, signed, context)
        self.sequence += 1
        return body
