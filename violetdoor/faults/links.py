"""Proxied links between relays on loopback, with an address per ordered pair, where faults are injected.

A relay is configured to reach its peers at these addresses (`fleet.routes`). A datagram that arrives at the
link from a to b is forwarded from the socket of the link from b to a, so that b's answer takes the link back.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any

Address = tuple[str, int]

MAX_DATAGRAM_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
CUT_POLL_SECONDS = 0.02  # how often a stream checks whether its cut link is open again
RETRANSMIT_SECONDS = 0.2  # delay that each lost segment adds to a stream
LOSSES_PER_DUPLICATE = 3  # one datagram is duplicated for every three that are lost


@dataclass(slots=True)
class LinkConditions:
    """The injected faults of one direction."""

    cut: bool = False
    loss: float = 0.0  # fraction of datagrams and stream segments that are lost
    delay: float = 0.0  # mean in ms; drawn for each datagram, so that datagrams are reordered


class Link:
    """One direction from a relay to another: its sockets and its conditions."""

    def __init__(self, links: Links, source: str, to: str) -> None:
        self.links, self.source, self.to = links, source, to
        self.conditions = LinkConditions()
        self.udp, self.tcp = _bind_udp_and_tcp(links.host)
        self.address: Address = self.udp.getsockname()[:2]
        self.dropped = self.passed = 0
        self.accepting: asyncio.Task[None] | None = None


def _bind_udp_and_tcp(host: str) -> tuple[socket.socket, socket.socket]:
    """Return a UDP and a listening TCP socket on the same port."""
    for _ in range(100):
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        udp.bind((host, 0))
        udp.setblocking(False)
        try:
            return udp, _listen_tcp(udp.getsockname())
        except OSError:
            udp.close()
    raise OSError("found no port that is free for both UDP and TCP in 100 attempts")


def _listen_tcp(address: Address) -> socket.socket:
    tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        tcp.bind(address)
        tcp.listen(64)
        tcp.setblocking(False)
    except OSError:
        tcp.close()
        raise
    return tcp


class Links:
    """All links between the relays of a rig."""

    def __init__(self, host: str, names: list[str], targets: dict[str, Address], random: Random) -> None:
        self.host, self.targets, self.random = host, targets, random
        self.loop = asyncio.get_running_loop()
        self.links = {(a, b): Link(self, a, b) for a in names for b in names if a != b}
        self.tasks: set[asyncio.Task[None]] = set()
        self.dead_relays: set[str] = set()
        self.closed = False

    def start(self) -> None:
        """Start forwarding."""
        for link in self.links.values():
            self.loop.add_reader(link.udp, self._read_datagrams, link)
            link.accepting = self._spawn(self._accept(link))

    def set_refusing(self, name: str, refuses: bool) -> None:
        """Set whether links to a relay refuse connections, as the host of a dead process does."""
        (self.dead_relays.add if refuses else self.dead_relays.discard)(name)
        self._update_acceptors()

    def _update_acceptors(self) -> None:
        for (_, to), link in self.links.items():
            # A link that is cut stays silent: it refuses nothing.
            refuses = to in self.dead_relays and not link.conditions.cut
            if self.closed or refuses is (link.accepting is None):
                continue
            if link.accepting is not None:
                link.accepting.cancel()
                link.accepting = None
                self.loop.call_soon(link.tcp.close)  # once the event loop no longer polls it
            else:
                link.tcp = _listen_tcp(link.address)
                link.accepting = self._spawn(self._accept(link))

    def routes(self, name: str) -> dict[str, str]:
        """Return the addresses at which a relay reaches each of the others."""
        return {b: "{}:{}".format(*link.address) for (a, b), link in self.links.items() if a == name}

    def set_conditions(self, sources: list[str], to: list[str], both: bool, **values: float | bool) -> None:
        """Set conditions of all links from some relays to others; `both`: also of those back."""
        for a in sources:
            for b in to:
                for pair in ((a, b), (b, a)) if both else ((a, b),):
                    if pair in self.links:
                        for name, value in values.items():
                            setattr(self.links[pair].conditions, name, value)
        self._update_acceptors()

    def is_open(self, a: str, b: str) -> bool:
        """Return whether neither direction between two relays is cut."""
        return not (self.links[a, b].conditions.cut or self.links[b, a].conditions.cut)

    def close(self) -> None:
        """Stop forwarding and close all sockets."""
        self.closed = True
        for task in self.tasks:
            task.cancel()
        for link in self.links.values():
            self.loop.remove_reader(link.udp)
            link.udp.close()
            link.tcp.close()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def _read_datagrams(self, link: Link) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = link.udp.recv(MAX_DATAGRAM_BYTES)
                conditions = link.conditions
                if conditions.cut or self.random.random() < conditions.loss:
                    link.dropped += 1
                    continue
                link.passed += 1
                for _ in range(1 + (self.random.random() < conditions.loss / LOSSES_PER_DUPLICATE)):
                    delay_seconds = conditions.delay / 1000 * self.random.uniform(0.5, 1.5)
                    if delay_seconds:
                        self.loop.call_later(delay_seconds, self._forward_datagram, link, data)
                    else:
                        self._forward_datagram(link, data)

    def _forward_datagram(self, link: Link, data: bytes) -> None:
        if not self.closed and not link.conditions.cut:
            with contextlib.suppress(OSError):
                self.links[link.to, link.source].udp.sendto(data, self.targets[link.to])

    async def _accept(self, link: Link) -> None:
        while True:
            sock, _ = await self.loop.sock_accept(link.tcp)
            sock.setblocking(False)
            self._spawn(self._forward_stream(link, sock))

    async def _forward_stream(self, link: Link, client_socket: socket.socket) -> None:
        reverse = self.links[link.to, link.source]
        server_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        server_socket.setblocking(False)
        try:
            await self._wait_until_open(link, reverse)
            await self.loop.sock_connect(server_socket, self.targets[link.to])
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy_stream(client_socket, server_socket, link, reverse))
                group.create_task(self._copy_stream(server_socket, client_socket, reverse, link))
        except* (OSError, ConnectionError):
            pass
        finally:
            client_socket.close()
            server_socket.close()

    async def _wait_until_open(self, link: Link, reverse: Link) -> None:
        """Wait until a stream's bytes get through; TCP needs both directions, so neither may be cut."""
        while link.conditions.cut or reverse.conditions.cut:
            await asyncio.sleep(CUT_POLL_SECONDS)
        delay_seconds = link.conditions.delay / 1000 * self.random.uniform(0.5, 1.5)
        while self.random.random() < link.conditions.loss:
            delay_seconds += RETRANSMIT_SECONDS
        if delay_seconds:
            await asyncio.sleep(delay_seconds)

    async def _copy_stream(self, source: socket.socket, to: socket.socket, link: Link, reverse: Link) -> None:
        while data := await self.loop.sock_recv(source, CHUNK_BYTES):
            await self._wait_until_open(link, reverse)
            await self.loop.sock_sendall(to, data)
        with contextlib.suppress(OSError):
            to.shutdown(socket.SHUT_WR)
