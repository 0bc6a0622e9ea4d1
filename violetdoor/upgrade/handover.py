"""One relay, two processes for a while: this one's part toward its predecessor and its successor."""

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

STOP_TIMEOUT_SECONDS = 0.5  # for a predecessor to stop accepting; then it counts as stopped
USAGE_REPORT_INTERVAL_SECONDS = 0.2  # between two reports of what the old process still holds
MEETING_BACKLOG = 2  # successors that wait for an answer


class HandoverHost(Protocol):
    """What the program gives to the other process, and does as that one speaks or goes."""

    def snapshot(self) -> RelaySnapshot:
        """Return all that a process needs to continue where this one is."""

    def shared_sockets(self) -> dict[str, socket.socket]:
        """Return the sockets, by name, whose descriptors a successor gets beside the listener's."""

    def usage_report(self) -> UsageReport:
        """Return what this process still holds."""

    def on_message(self, message: Message) -> None:
        """Handle a message that is not about the handover itself."""

    def on_successor_accepting(self) -> None:
        """Stop accepting: a successor accepts this relay's clients."""

    def on_successor_lost(self) -> None:
        """Accept again: the successor is gone."""


@dataclass(slots=True)
class Handover:
    """Meets the processes before and after this one."""

    handover_socket_path: Path
    program: HandoverHost
    listener: socket.socket
    peers: set[PeerProcess] = field(default_factory=set)  # that follow this process's state
    successor: PeerProcess | None = None
    predecessor: PeerProcess | None = None
    is_takeover_complete: bool = True  # no predecessor accepts any more, as far as that can be known

    def broadcast(self, message: Message) -> None:
        """Send a change to the other process, if there is one."""
        for peer in self.peers:
            peer.send(message)

    def announce_takeover(self, inherited: InheritedState) -> None:
        """Tell the predecessor that this process accepts now, with all that it handed over."""
        self.is_takeover_complete = False
        asyncio.get_running_loop().call_later(STOP_TIMEOUT_SECONDS, self._settle)
        self.predecessor = PeerProcess(inherited.connection, inherited.unread)
        self.peers.add(self.predecessor)
        self.predecessor.send(Accepting())

    def _settle(self) -> None:
        self.is_takeover_complete = True

    async def run(self) -> None:
        """Talk to the predecessor if there is one, and wait for successors."""
        async with asyncio.TaskGroup() as group:
            if self.predecessor is not None:
                group.create_task(self._talk_to(self.predecessor))
            group.create_task(self._report_usage())
            await self._wait_for_successors(group)

    async def _wait_for_successors(self, group: asyncio.TaskGroup) -> None:
        meeting = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            try:
                meeting.bind(str(self._own_path()))
                meeting.listen(MEETING_BACKLOG)
                meeting.setblocking(False)
                self._publish_own_path()
            except OSError as err:
                log.error("cannot listen for a successor: %s", err)
                return
            while True:
                await wait_readable(meeting)
                with contextlib.suppress(OSError):
                    sock, _ = meeting.accept()
                    sock.setblocking(False)
                    group.create_task(self._talk_to(PeerProcess(sock)))
        finally:
            meeting.close()
            self._own_path().unlink(missing_ok=True)

    def _own_path(self) -> Path:
        return self.handover_socket_path.with_suffix(f".{os.getpid()}")

    def _publish_own_path(self) -> None:
        """Point the common name to this process, in one step: it replaces a stale one."""
        link = self.handover_socket_path.with_suffix(f".{os.getpid()}.link")
        link.unlink(missing_ok=True)
        link.symlink_to(self._own_path().name)
        link.replace(self.handover_socket_path)

    async def _talk_to(self, peer: PeerProcess) -> None:
        """Talk to one process until its connection ends."""
        try:
            async for message in peer.messages():
                self._handle(message, peer)
        except (OSError, ValueError) as err:
            log.warning("peer process: %s %s", type(err).__name__, err)
        except Exception:  # what it says must not end this process
            log.exception("a message of the peer process could not be handled")
        finally:
            self.peers.discard(peer)
            await peer.close()
        if peer is self.successor:
            self.successor = None
            log.warning("the successor is gone: this process accepts again")
            self.program.on_successor_lost()
            with contextlib.suppress(OSError):
                self._publish_own_path()
        elif peer is self.predecessor:
            self.is_takeover_complete = True
            self.program.on_message(UsageReport(ResourceUsage()))
            log.info("the predecessor is gone")

    def _handle(self, message: Message, peer: PeerProcess) -> None:
        match message:
            case Hello():
                self._send_snapshot(peer)
            case Accepting():
                self.successor = peer
                self.program.on_successor_accepting()
                peer.send(Stopped())
                log.info("the successor took over: this process accepts no more")
            case Stopped():
                self.is_takeover_complete = True
            case _:
                self.program.on_message(message)

    def _send_snapshot(self, peer: PeerProcess) -> None:
        """Send the snapshot; descriptors go with its first byte. Changes follow it in order."""
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
