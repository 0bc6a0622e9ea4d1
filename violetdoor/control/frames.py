"""Signed frames of one connection of the control plane. Without input or output.

Each side begins with a nonce of 16 random bytes. After them come frames as in `violetdoor.fleet.frames`,
whose context is the direction and both nonces. So no frame can be left out, repeated, reordered or replayed
on another connection without its tag failing, and a frame that fails ends its connection and nothing else.
Frames are authenticated, not encrypted.
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

    PEER = "closed_by_peer"
    HERE = "closed_here"
    BROKEN = "connection_broken"  # reset, or the peer's host is gone
    SEAL = "dropped_seal"  # another key, altered, replayed, reordered or from another connection
    LENGTH = "dropped_length"  # shorter or longer than any frame
    FORM = "dropped_form"  # a valid tag on what is no message
    HANDSHAKE = "dropped_handshake"  # no signed frame in time
    STALLED = "dropped_stalled"  # the peer reads nothing
    QUEUE = "dropped_queue"  # too many bytes are queued for the peer
    TOO_LONG = "dropped_too_long"  # this side had a message that no frame can hold
    CROWDED = "dropped_crowded"  # a newer connection took its place before its first signed frame
    FAULT = "faults"  # a fault of this program while it handled a message


class FrameError(Exception):
    """What came is no frame of this connection; `reason` is `SEAL` or `LENGTH`."""

    def __init__(self, reason: CloseReason) -> None:
        """Name the reason for which the connection is to be closed."""
        super().__init__(reason.value)
        self.reason = reason


class MessageTooLongError(ValueError):
    """A message that no frame can hold."""

    def __init__(self, length: int) -> None:
        """Name the length of the encoded message, in bytes."""
        super().__init__(f"a message of {length} bytes, expected {MAX_FRAME_BYTES - TAG_BYTES} at most")
        self.length = length


class Side(Enum):
    """Who opened the connection; the value is signed with the frames that this side sends."""

    CLIENT = b"control client"
    SERVER = b"control server"

    @property
    def other(self) -> Side:
        """The side at the other end."""
        return Side.SERVER if self is Side.CLIENT else Side.CLIENT


class FrameCodec:
    """Encodes and decodes the frames of one connection."""

    def __init__(self, authenticator: MessageAuthenticator, side: Side) -> None:
        """Draw this side's nonce; frames can be encoded once the peer's has come."""
        self.nonce = os.urandom(NONCE_BYTES)  # to be sent before any frame
        self.has_peer_nonce = False
        self._authenticator = authenticator
        self._side = side
        self._handshake = bytearray()  # what has come of the peer's nonce
        self._writer: FrameWriter | None = None
        self._reader: FrameReader | None = None

    def encode_frame(self, body: bytes) -> bytes:
        """Return the next frame to send. Raises MessageTooLongError."""
        assert self._writer is not None, "no frame can be signed before the peer's nonce has come"
        if len(body) + TAG_BYTES > MAX_FRAME_BYTES:
            raise MessageTooLongError(len(body))
        return self._writer.frame(body)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the bodies of the frames that these bytes complete. Raises FrameError, which ends it."""
        if self._reader is None:
            self._handshake += data
            if len(self._handshake) < NONCE_BYTES:
                return
            data = bytes(self._handshake[NONCE_BYTES:])
            self._reader = self._start(bytes(self._handshake[:NONCE_BYTES]))
        try:
            yield from self._reader.feed(data)
        except FrameLengthError as error:
            raise FrameError(CloseReason.LENGTH) from error
        except FrameTagError as error:
            raise FrameError(CloseReason.SEAL) from error

    def _start(self, peer_nonce: bytes) -> FrameReader:
        """Begin both directions, now that both nonces are known."""
        nonces = self.nonce + peer_nonce if self._side is Side.CLIENT else peer_nonce + self.nonce
        self._handshake.clear()
        self._writer = FrameWriter(self._authenticator, self._side.value + nonces)
        self.has_peer_nonce = True
        return FrameReader(self._authenticator, self._side.other.value + nonces, MAX_FRAME_BYTES)
