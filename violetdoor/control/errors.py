"""Errors that a peer of the control plane causes."""

from __future__ import annotations

from violetdoor.control.messages import SnapshotChunk, Version


class ControlError(Exception):
    """Base class of all control plane errors."""


class PeerProtocolError(ControlError, ValueError):
    """A peer sent a well-formed message that breaks the session's protocol."""


class ChunkOrderError(PeerProtocolError):
    """A snapshot chunk arrived out of order."""

    def __init__(self, chunk: SnapshotChunk, expected_number: int) -> None:
        """Store the chunk that arrived and the number of the chunk that was expected."""
        super().__init__("snapshot chunk out of order")
        self.chunk = chunk
        self.expected_number = expected_number


class SnapshotSizeError(PeerProtocolError):
    """A snapshot exceeds the maximum number of members of a region."""

    def __init__(self, member_count: int) -> None:
        """Store the number of members received so far."""
        super().__init__("snapshot exceeds the maximum number of members")
        self.member_count = member_count


class VersionRegressionError(PeerProtocolError):
    """A roster arrived that is older than the known one."""

    def __init__(self, known: Version, received: Version) -> None:
        """Store the known and the received version."""
        super().__init__("received roster is older than the known roster")
        self.known = known
        self.received = received


class UnexpectedMessageError(PeerProtocolError):
    """A message arrived that is not valid in the current state of a session."""

    def __init__(self, message: object) -> None:
        """Store the type name of the message."""
        super().__init__("unexpected message on a session with another region")
        self.message_type = type(message).__name__
