"""Handover between two processes of one relay: this process's side towards predecessor and successor."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

from violetdoor.net.sockets import wait_readable
from violetdoor.upgrade.messages import (
    Accepting,
    Hello,
    Message,
    RelaySnapshot,
    ResourceUsage,
    Stopped,
    UsageReport,
    encode_line,
)
from violetdoor.upgrade.peer_process import PeerProcess
from violetdoor.upgrade.predecessor import InheritedState

log = logging.getLogger("violetdoor.handover")

STOP_TIMEOUT_SECONDS = 0.5  # after this, a predecessor is assumed to have stopped accepting
USAGE_REPORT_INTERVAL_SECONDS = 0.2  # between two reports on the old process's resources
HANDOVER_BACKLOG = 2  # successors in the listen queue of the handover socket


class HandoverHost(Protocol):
    """Interface of the program: state for the other process, and reactions to its messages and end."""

    def snapshot(self) -> RelaySnapshot:
        """Return the state with which a successor can continue this process's work."""

    def shared_sockets(self) -> dict[str, socket.socket]:
        """Return the sockets, by name, that are handed to a successor in addition to the listener."""

    def usage_report(self) -> UsageReport:
        """Return the resources that this process still uses."""

    def on_message(self, message: Message) -> None:
        """Handle a message that does not concern the handover itself."""

    def on_successor_accepting(self) -> None:
        """Stop accepting: a successor accepts this relay's clients."""

    def on_successor_lost(self) -> None:
        """Resume accepting: the successor has ended."""


@dataclass(slots=True)
class Handover:
    """Connects to the predecessor and accepts connections from successors."""

    handover_socket_path: Path
    program: HandoverHost
    listener: socket.socket
    peers: set[PeerProcess] = field(default_factory=set)  # processes that are sent state changes
    successor: PeerProcess | None = None
    predecessor: PeerProcess | None = None
    is_takeover_complete: bool = True  # no predecessor accepts clients, or it is assumed to have stopped

    def broadcast(self, message: Message) -> None:
        """Send a state change to the connected processes, if any."""
        for peer in self.peers:
            peer.send(message)

    def announce_takeover(self, inherited: InheritedState) -> None:
        """Notify the predecessor that this process now accepts clients with the inherited state."""
        self.is_takeover_complete = False
        asyncio.get_running_loop().call_later(STOP_TIMEOUT_SECONDS, self._assume_stopped)
        self.predecessor = PeerProcess(inherited.connection, inherited.unread)
        self.peers.add(self.predecessor)
        self.predecessor.send(Accepting())

    def _assume_stopped(self) -> None:
        self.is_takeover_complete = True

    async def run(self) -> None:
        """Serve the connection to the predecessor, if any, and accept successors."""
        async with asyncio.TaskGroup() as group:
            if self.predecessor is not None:
                group.create_task(self._serve_peer(self.predecessor))
            group.create_task(self._report_usage())
            await self._accept_successors(group)

    async def _accept_successors(self, group: asyncio.TaskGroup) -> None:
        handover_listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            try:
                handover_listener.bind(str(self._process_socket_path()))
                handover_listener.listen(HANDOVER_BACKLOG)
                handover_listener.setblocking(False)
                self._publish_socket_path()
            except OSError as err:
                log.error("cannot listen on the handover socket, so no successor can take over: %s", err)
                return
            while True:
                await wait_readable(handover_listener)
                with contextlib.suppress(OSError):
                    sock, _ = handover_listener.accept()
                    sock.setblocking(False)
                    group.create_task(self._serve_peer(PeerProcess(sock)))
        finally:
            handover_listener.close()
            self._process_socket_path().unlink(missing_ok=True)

    def _process_socket_path(self) -> Path:
        return self.handover_socket_path.with_suffix(f".{os.getpid()}")

    def _publish_socket_path(self) -> None:
        """Atomically point the common path to this process's socket, replacing a stale link."""
        link = self.handover_socket_path.with_suffix(f".{os.getpid()}.link")
        link.unlink(missing_ok=True)
        link.symlink_to(self._process_socket_path().name)
        link.replace(self.handover_socket_path)

    async def _serve_peer(self, peer: PeerProcess) -> None:
        """Handle messages from one process until its connection closes."""
        try:
            async for message in peer.messages():
                self._handle(message, peer)
        except (OSError, ValueError) as err:
            log.warning(
                "connection to the other process of this relay failed: %s: %s", type(err).__name__, err
            )
        except Exception:  # a faulty message must not end this process
            log.exception("failed to handle a message from the other process; closing its connection")
        finally:
            self.peers.discard(peer)
            await peer.close()
        if peer is self.successor:
            self.successor = None
            log.warning("successor closed its connection: this process accepts again")
            self.program.on_successor_lost()
            with contextlib.suppress(OSError):
                self._publish_socket_path()
        elif peer is self.predecessor:
            self.is_takeover_complete = True
            self.program.on_message(UsageReport(ResourceUsage()))
            log.info("predecessor closed its connection: its connections and memory no longer count")

    def _handle(self, message: Message, peer: PeerProcess) -> None:
        match message:
            case Hello():
                self._send_snapshot(peer)
            case Accepting():
                self.successor = peer
                self.program.on_successor_accepting()
                peer.send(Stopped())
                log.info("successor took over: this process no longer accepts clients")
            case Stopped():
                self.is_takeover_complete = True
            case _:
                self.program.on_message(message)

    def _send_snapshot(self, peer: PeerProcess) -> None:
        """Send the snapshot, with the descriptors on its first byte; state changes follow in order."""
        sockets = self.program.shared_sockets()
        snapshot = self.program.snapshot()
        snapshot.sockets = list(sockets)
        frame = encode_line(snapshot)
        descriptors = [self.listener.fileno(), *(sock.fileno() for sock in sockets.values())]
        socket.send_fds(peer.sock, [frame[:1]], descriptors)
        peer.outbox.enqueue(frame[1:])
        self.peers.add(peer)

    async def _report_usage(self) -> None:
        while True:
            await asyncio.sleep(USAGE_REPORT_INTERVAL_SECONDS)
            if self.successor is not None:
                self.successor.send(self.program.usage_report())
