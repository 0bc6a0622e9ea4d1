"""Links between relays on loopback, an address for each ordered pair; traffic to it can be harmed.

A relay is told to reach its peers at these addresses (`fleet.routes`). A datagram that comes to the link
from a to b leaves from the link from b to a, so that b's answer to where it came from takes the way back.
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

MAX_DATAGRAM = 64 * 1024
CHUNK = 64 * 1024
LOOK = 0.02  # s until a held stream looks again whether it may go on
RESEND = 0.2  # s that a lost segment of a stream costs
REPEATS = 3  # one datagram comes twice for so many that are lost


@dataclass(slots=True)
class Harm:
    """What is done to one way."""

    cut: bool = False
    loss: float = 0.0  # part
    delay: float = 0.0  # ms, on average; each datagram has its own, so that they overtake each other


class Link:
    """One way from a relay to another: its sockets and its harm."""

    def __init__(self, links: Links, source: str, to: str) -> None:
        self.links, self.source, self.to = links, source, to
        self.harm = Harm()
        self.udp, self.tcp = _both(links.host)
        self.address: Address = self.udp.getsockname()[:2]
        self.dropped = self.passed = 0
        self.accepting: asyncio.Task[None] | None = None


def _both(host: str) -> tuple[socket.socket, socket.socket]:
    """A UDP and a TCP socket of one port."""
    for _ in range(100):
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        udp.bind((host, 0))
        udp.setblocking(False)
        try:
            return udp, _listening(udp.getsockname())
        except OSError:
            udp.close()
    raise OSError("no port is free for both kinds of sockets")


def _listening(address: Address) -> socket.socket:
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
    """All links of a rig."""

    def __init__(self, host: str, names: list[str], targets: dict[str, Address], random: Random) -> None:
        self.host, self.targets, self.random = host, targets, random
        self.loop = asyncio.get_running_loop()
        self.links = {(a, b): Link(self, a, b) for a in names for b in names if a != b}
        self.tasks: set[asyncio.Task[None]] = set()
        self.gone: set[str] = set()
        self.closed = False

    def start(self) -> None:
        """Begin to pass traffic on."""
        for link in self.links.values():
            self.loop.add_reader(link.udp, self._datagrams, link)
            link.accepting = self._spawn(self._accept(link))

    def refuse(self, name: str, refuses: bool) -> None:
        """A relay's process is gone, and its machine refuses calls; or it is there again."""
        (self.gone.add if refuses else self.gone.discard)(name)
        self._refuse_or_not()

    def _refuse_or_not(self) -> None:
        for (_, to), link in self.links.items():
            # What is cut off refuses nothing: it is silent.
            refuses = to in self.gone and not link.harm.cut
            if self.closed or refuses is (link.accepting is None):
                continue
            if link.accepting is not None:
                link.accepting.cancel()
                link.accepting = None
                self.loop.call_soon(link.tcp.close)  # once the loop no longer looks at it
            else:
                link.tcp = _listening(link.address)
                link.accepting = self._spawn(self._accept(link))

    def routes(self, name: str) -> dict[str, str]:
        """Where one relay is told to reach the others."""
        return {b: "{}:{}".format(*link.address) for (a, b), link in self.links.items() if a == name}

    def harm(self, sources: list[str], to: list[str], both: bool, **values: float | bool) -> None:
        """Change the harm of all ways from some relays to others."""
        for a in sources:
            for b in to:
                for pair in ((a, b), (b, a)) if both else ((a, b),):
                    if pair in self.links:
                        for name, value in values.items():
                            setattr(self.links[pair].harm, name, value)
        self._refuse_or_not()

    def reach(self, a: str, b: str) -> bool:
        """Whether both ways between two relays are open."""
        return not (self.links[a, b].harm.cut or self.links[b, a].harm.cut)

    def close(self) -> None:
        """Stop."""
        self.closed = True
        for task in self.tasks:
            task.cancel()
        for link in self.links.values():
            self.loop.remove_reader(link.udp)
            link.udp.close()
            link.tcp.close()

    def _spawn(self, what: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def _datagrams(self, link: Link) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = link.udp.recv(MAX_DATAGRAM)
                harm = link.harm
                if harm.cut or self.random.random() < harm.loss:
                    link.dropped += 1
                    continue
                link.passed += 1
                for _ in range(1 + (self.random.random() < harm.loss / REPEATS)):
                    wait = harm.delay / 1000 * self.random.uniform(0.5, 1.5)
                    if wait:
                        self.loop.call_later(wait, self._pass, link, data)
                    else:
                        self._pass(link, data)

    def _pass(self, link: Link, data: bytes) -> None:
        if not self.closed and not link.harm.cut:
            with contextlib.suppress(OSError):
                self.links[link.to, link.source].udp.sendto(data, self.targets[link.to])

    async def _accept(self, link: Link) -> None:
        while True:
            sock, _ = await self.loop.sock_accept(link.tcp)
            sock.setblocking(False)
            self._spawn(self._stream(link, sock))

    async def _stream(self, link: Link, near: socket.socket) -> None:
        back = self.links[link.to, link.source]
        far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        far.setblocking(False)
        try:
            await self._open(link, back)
            await self.loop.sock_connect(far, self.targets[link.to])
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(near, far, link, back))
                group.create_task(self._pump(far, near, back, link))
        except* (OSError, ConnectionError):
            pass
        finally:
            near.close()
            far.close()

    async def _open(self, link: Link, back: Link) -> None:
        """Wait until a stream's bytes come through; a connection also needs the way back."""
        while link.harm.cut or back.harm.cut:
            await asyncio.sleep(LOOK)
        wait = link.harm.delay / 1000 * self.random.uniform(0.5, 1.5)
        while self.random.random() < link.harm.loss:
            wait += RESEND
        if wait:
            await asyncio.sleep(wait)

    async def _pump(self, source: socket.socket, to: socket.socket, way: Link, back: Link) -> None:
        while data := await self.loop.sock_recv(source, CHUNK):
            await self._open(way, back)
            await self.loop.sock_sendall(to, data)
        with contextlib.suppress(OSError):
            to.shutdown(socket.SHUT_WR)
