"""Taking over from the process that serves now: its snapshot and its sockets."""

from __future__ import annotations

import logging
import os
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path

from violetdoor.upgrade.messages import Hello, RelaySnapshot, decode_snapshot, encode_line
from violetdoor.upgrade.peer_process import CHUNK_BYTES, MAX_MESSAGE_BYTES

log = logging.getLogger("violetdoor.handover")

SNAPSHOT_TIMEOUT_SECONDS = 1.0  # for a predecessor to answer; without an answer a process starts by itself
MIN_READ_TIMEOUT_SECONDS = 0.01  # of one read, however little of that time is left
MAX_SOCKETS = 8  # descriptors that come with the snapshot


class EndlessSnapshotError(OSError):
    """The predecessor closed the connection before the snapshot's end, or its snapshot is too long."""

    def __init__(self) -> None:
        """Say that in the log's words."""
        super().__init__("the predecessor's answer has no end")


@dataclass(slots=True)
class InheritedState:
    """What a predecessor handed over."""

    connection: socket.socket  # to the predecessor
    listener: socket.socket
    snapshot: RelaySnapshot
    unread: bytes  # messages that came behind the snapshot
    sockets: dict[str, socket.socket] = field(default_factory=dict)  # further ones, by their names


def handover_socket_path(listen: str) -> Path | None:
    """Return where the processes of the relay at this address meet; None without a `$TMPDIR` of its own."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        return None
    return Path(folder, "violetdoor-{}.sock".format(listen.replace("/", "_")))


def request_handover(path: Path) -> InheritedState | None:
    """Ask the process that serves now for its state, before this one does anything.

    Guards against a socket file whose process is gone, and against one that hangs: both are as if there was
    no predecessor, which is None.
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
            log.warning("no predecessor answers at %s: %s %s", path.name, type(err).__name__, err)
        return None


def _receive_snapshot(connection: socket.socket, path: Path, descriptors: list[int]) -> tuple[bytes, bytes]:
    """Return the snapshot's line and what came behind it; add the descriptors that came with it."""
    deadline = time.monotonic() + SNAPSHOT_TIMEOUT_SECONDS
    connection.settimeout(SNAPSHOT_TIMEOUT_SECONDS)
    connection.connect(str(path))
    connection.sendall(encode_line(Hello()))
    data, received, _, _ = socket.recv_fds(connection, CHUNK_BYTES, MAX_SOCKETS)
    descriptors += received
    while b"\n" not in data:
        connection.settimeout(max(MIN_READ_TIMEOUT_SECONDS, deadline - time.monotonic()))
        chunk = connection.recv(CHUNK_BYTES)
        if not chunk or len(data) > MAX_MESSAGE_BYTES:
            raise EndlessSnapshotError
        data += chunk
    line, _, unread = data.partition(b"\n")
    return line, unread


def _open_sockets(descriptors: list[int]) -> list[socket.socket]:
    """Make sockets of all descriptors, in order; each leaves the list as its socket owns it."""
    sockets = [socket.socket(fileno=descriptors.pop()) for _ in range(len(descriptors))]
    return sockets[::-1]
