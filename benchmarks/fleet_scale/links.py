"""TCP proxies between regions, run by the harness so that a region can be cut off.

A cut link still accepts connections but forwards nothing and closes nothing, as when a route is lost. Pending
data is forwarded after the link heals, as TCP would do by retransmission.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from benchmarks.fleet_scale.protocol import Address

CHUNK_BYTES = 64 * 1024  # most that is read at once
BACKLOG = 256  # connections that may wait to be accepted


class CuttableLink:
    """A listening address whose connections are forwarded to a target address."""

    def __init__(self, host: str, target: Address) -> None:
        self.target = target
        self._socket = socket.create_server((host, 0), backlog=BACKLOG)
        self._socket.setblocking(False)
        self.address = Address(*self._socket.getsockname()[:2])
        self._open = asyncio.Event()
        self._open.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.forwarded_bytes = 0

    def start(self) -> None:
        """Start accepting connections."""
        self._spawn(self._accept())

    def cut(self) -> None:
        """Stop forwarding until `heal` is called."""
        self._open.clear()

    def heal(self) -> None:
        """Resume forwarding."""
        self._open.set()

    async def close(self) -> None:
        """Close all connections and stop accepting."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._socket.close()

    def _spawn(self, coroutine: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._socket)
            accepted.setblocking(False)
            self._spawn(self._serve(accepted))

    async def _serve(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        upstream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        upstream.setblocking(False)
        try:
            await self._open.wait()
            await loop.sock_connect(upstream, (self.target.host, self.target.port))
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(accepted, upstream))
                group.create_task(self._pump(upstream, accepted))
        except* OSError:
            pass  # one side has failed: closing both sockets tells the other side
        finally:
            accepted.close()
            upstream.close()

    async def _pump(self, source: socket.socket, to: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(source, CHUNK_BYTES):
            await self._open.wait()
            await loop.sock_sendall(to, data)
            self.forwarded_bytes += len(data)
        await self._open.wait()
        with contextlib.suppress(OSError):
            to.shutdown(socket.SHUT_WR)


class RegionLinks:
    """All links into and out of the region that can be cut off."""

    def __init__(self, host: str) -> None:
        self.host = host
        self._links: dict[Address, CuttableLink] = {}

    def proxied_address(self, target: Address) -> Address:
        """Return the address of the link to a target; start the link at its first use."""
        if target not in self._links:
            link = self._links[target] = CuttableLink(self.host, target)
            link.start()
        return self._links[target].address

    def cut(self) -> None:
        """Cut all links."""
        for link in self._links.values():
            link.cut()

    def heal(self) -> None:
        """Heal all links."""
        for link in self._links.values():
            link.heal()

    @property
    def forwarded_bytes(self) -> int:
        """Return the number of bytes forwarded by all links."""
        return sum(link.forwarded_bytes for link in self._links.values())

    async def close(self) -> None:
        """Close all links."""
        await asyncio.gather(*(link.close() for link in self._links.values()))
