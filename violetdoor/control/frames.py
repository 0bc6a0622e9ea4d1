"""Signed frames of one connection of the control plane, without I/O.

Each side first sends a nonce of 16 random bytes, then frames as in `violetdoor.fleet.frames`, whose context
is the direction and both nonces. So the tag of a frame that was omitted, repeated, reordered or replayed on
another connection doesn't match; an invalid frame closes its own connection only. Frames are authenticated,
not encrypted.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from enum import Enum

from violetdoor.control.messages import MAX_FRAME_BYTES
from violetdoor.fleet.authentication import TAG_BYTES, MessageAuthenticator
from violetdoor.fleet.frames import (
    NONCE_BYTES,
    FrameLengthError,
    FrameReader,
    FrameTagError,
    FrameWriter,
)


class CloseReason(Enum):
    """Why a connection ended; the value is the name of its counter."""

    CLOSED_BY_PEER = "closed_by_peer"
    CLOSED_LOCALLY = "closed_here"
    CONNECTION_BROKEN = "connection_broken"  # reset, or the peer's host is unreachable
    INVALID_TAG = "dropped_seal"  # a frame under another key, or altered, replayed, reordered, or misrouted
    INVALID_LENGTH = "dropped_length"  # a length outside the bounds of a frame
    INVALID_MESSAGE = "dropped_form"  # a frame with a valid tag whose body is not a known message
    HANDSHAKE_TIMEOUT = "dropped_handshake"  # no signed frame in time
    WRITE_STALLED = "dropped_stalled"  # the peer reads nothing
    QUEUE_OVERFLOW = "dropped_queue"  # too many bytes are queued for the peer
    MESSAGE_TOO_LONG = "dropped_too_long"  # this side tried to send a message that doesn't fit into a frame
    HANDSHAKE_EVICTED = "dropped_crowded"  # replaced by a newer connection before its first signed frame
    HANDLER_FAULT = "faults"  # this program failed while it handled a message


class FrameError(Exception):
    """The peer sent an invalid frame; `reason` is `INVALID_TAG` or `INVALID_LENGTH`."""

    def __init__(self, reason: CloseReason) -> None:
        """Keep the reason for which the connection is to be closed."""
        super().__init__(reason.value)
        self.reason = reason


class MessageTooLongError(ValueError):
    """A message is too long for a frame."""

    def __init__(self, length: int) -> None:
        """Keep the length of the encoded message, in bytes."""
        super().__init__(f"message has {length} bytes, expected at most {MAX_FRAME_BYTES - TAG_BYTES}")
        self.length = length


class Side(Enum):
    """The side that opened the connection, or accepted it; the tags of its frames cover the value."""

    CLIENT = b"control client"
    SERVER = b"control server"

    @property
    def other(self) -> Side:
        """The peer's side."""
        return Side.SERVER if self is Side.CLIENT else Side.CLIENT


class FrameCodec:
    """Encodes and decodes the frames of one connection."""

    def __init__(self, authenticator: MessageAuthenticator, side: Side) -> None:
        """Draw this side's nonce; frames can be encoded once the peer's nonce has arrived."""
        self.nonce = os.urandom(NONCE_BYTES)  # must be sent before any frame
        self.has_peer_nonce = False
        self._authenticator = authenticator
        self._side = side
        self._handshake = bytearray()  # bytes received until the peer's nonce is complete
        self._writer: FrameWriter | None = None
        self._reader: FrameReader | None = None

    def encode_frame(self, body: bytes) -> bytes:
        """Return the next frame to send. Raises MessageTooLongError."""
        assert self._writer is not None, "cannot sign a frame before the peer's nonce has arrived"
        if len(body) + TAG_BYTES > MAX_FRAME_BYTES:
            raise MessageTooLongError(len(body))
        return self._writer.frame(body)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the bodies of the frames that these bytes complete. Raises FrameError on an invalid frame."""
        if self._reader is None:
            self._handshake += data
            if len(self._handshake) < NONCE_BYTES:
                return
            data = bytes(self._handshake[NONCE_BYTES:])
            self._reader = self._start(bytes(self._handshake[:NONCE_BYTES]))
        try:
            yield from self._reader.feed(data)
        except FrameLengthError as error:
            raise FrameError(CloseReason.INVALID_LENGTH) from error
        except FrameTagError as error:
            raise FrameError(CloseReason.INVALID_TAG) from error

    def _start(self, peer_nonce: bytes) -> FrameReader:
        """Set up both directions, now that both nonces are known."""
        nonces = self.nonce + peer_nonce if self._side is Side.CLIENT else peer_nonce + self.nonce
        self._handshake.clear()
        self._writer = FrameWriter(self._authenticator, self._side.value + nonces)
        self.has_peer_nonce = True
        return FrameReader(self._authenticator, self._side.other.value + nonces, MAX_FRAME_BYTES)
