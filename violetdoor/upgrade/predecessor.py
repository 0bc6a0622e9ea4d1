"""Requests the snapshot and the sockets of the running process of the relay."""

from __future__ import annotations

import logging
import os
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path

from violetdoor.upgrade.messages import Hello, RelaySnapshot, decode_snapshot, encode_line
from violetdoor.upgrade.peer_process import MAX_MESSAGE_BYTES, READ_CHUNK_BYTES

log = logging.getLogger("violetdoor.handover")

SNAPSHOT_TIMEOUT_SECONDS = 1.0  # for the predecessor's response; without one a process starts afresh
MIN_READ_TIMEOUT_SECONDS = 0.01  # of one read, even if less of the snapshot timeout remains
MAX_SOCKETS = 8  # descriptors that can be received with the snapshot


class IncompleteSnapshotError(OSError):
    """The predecessor closed the connection before the end of the snapshot, or the snapshot is too long."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("predecessor's snapshot is truncated or exceeds the size limit")


@dataclass(slots=True)
class InheritedState:
    """State and sockets handed over by a predecessor."""

    connection: socket.socket  # to the predecessor
    listener: socket.socket
    snapshot: RelaySnapshot
    unread: bytes  # bytes received after the snapshot
    sockets: dict[str, socket.socket] = field(default_factory=dict)  # additional sockets by name


def handover_socket_path(listen: str) -> Path | None:
    """Return the handover socket's path for a listen address; None if `$TMPDIR` is not set."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        return None
    return Path(folder, "violetdoor-{}.sock".format(listen.replace("/", "_")))


def request_handover(path: Path) -> InheritedState | None:
    """Request the state of the running process of this relay, before this one starts.

    Returns None without a predecessor. A stale socket file and an unresponsive process are treated the same.
    """
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    descriptors: list[int] = []
    try:
        line, unread = _receive_snapshot(connection, path, descriptors)
        snapshot = decode_snapshot(line)
        received = _open_sockets(descriptors)
        for sock in (connection, *received):
            sock.setblocking(False)
        sockets = dict(zip(snapshot.sockets, received[1:], strict=True))
        return InheritedState(connection, received[0], snapshot, unread, sockets)
    except (OSError, ValueError, IndexError) as err:
        connection.close()
        for descriptor in descriptors:
            os.close(descriptor)
        if path.exists():
            log.warning(
                "no predecessor answers at %s, starting without its state: %s: %s",
                path.name,
                type(err).__name__,
                err,
            )
        return None


def _receive_snapshot(connection: socket.socket, path: Path, descriptors: list[int]) -> tuple[bytes, bytes]:
    """Return the snapshot's line and the bytes after it; append received descriptors to `descriptors`."""
    deadline = time.monotonic() + SNAPSHOT_TIMEOUT_SECONDS
    connection.settimeout(SNAPSHOT_TIMEOUT_SECONDS)
    connection.connect(str(path))
    connection.sendall(encode_line(Hello()))
    data, received, _, _ = socket.recv_fds(connection, READ_CHUNK_BYTES, MAX_SOCKETS)
    descriptors += received
    while b"\n" not in data:
        connection.settimeout(max(MIN_READ_TIMEOUT_SECONDS, deadline - time.monotonic()))
        chunk = connection.recv(READ_CHUNK_BYTES)
        if not chunk or len(data) > MAX_MESSAGE_BYTES:
            raise IncompleteSnapshotError
        data += chunk
    line, _, unread = data.partition(b"\n")
    return line, unread


def _open_sockets(descriptors: list[int]) -> list[socket.socket]:
    """Create sockets from all descriptors, in order, removing each from the list once it is owned."""
    sockets = [socket.socket(fileno=descriptors.pop()) for _ in range(len(descriptors))]
    return sockets[::-1]
