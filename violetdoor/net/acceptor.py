"""Takes in connections for a front and keeps the tasks that serve them."""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from violetdoor.net.counters import Counters
from violetdoor.net.sockets import Address, end, listen, send_parts

log = logging.getLogger("violetdoor.accept")

ACCEPT_PAUSE = 0.05  # s until the next try when no descriptor was free
LINGER = 1.0  # s that a client over the limit has to send something and read its answer
RESERVED = 48  # descriptors kept for discovery, probes, the log and answers to clients over the limit


T = TypeVar("T")


def due(waiting: Sequence[T], left: float, step: float) -> list[T]:
    """Which of these to send away in this step if all are to be gone in so many seconds, evenly."""
    share = len(waiting) / max(1.0, left / step)
    count = int(share) + (random.random() < share % 1)
    return random.sample(waiting, min(len(waiting), count))


class Acceptor:
    """The listening socket of a front; each connection is served by a task of its own."""

    def __init__(
        self, address: Address, serve: Callable[[socket.socket], Awaitable[bool]], counts: Counters,
        sockets: int, over_limit: bytes,
    ) -> None:  # fmt: skip
        self.serve, self.counts, self.over_limit = serve, counts, over_limit
        self.most = max(1, (sockets - RESERVED) // 2)  # each client may need a second socket
        self.sock = listen(address)
        self.address: Address = self.sock.getsockname()[:2]
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Take in clients for ever."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self.sock)
            except OSError as err:
                # EMFILE, ENFILE, ENOBUFS, or a client already gone: guards against a relay that stops
                # listening for good because descriptors were short for a moment.
                self.counts["accept_failed"] += 1
                log.warning("accept failed: %s", err)
                await asyncio.sleep(ACCEPT_PAUSE)
                continue
            self.counts["accepted"] += 1
            task = loop.create_task(self._connection(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _connection(self, sock: socket.socket) -> None:
        """One client, whatever happens to it: its fault stays its own."""
        reset = False
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if len(self.tasks) > self.most:
                self.counts["over_limit"] += 1
                await send_parts(sock, [self.over_limit])
                # Closing with the client's first bytes unread would reset the connection and lose the answer.
                async with asyncio.timeout(LINGER):
                    await asyncio.get_running_loop().sock_recv(sock, 4096)
            else:
                reset = await self.serve(sock)
        except OSError as err:
            self.counts["client_broke"] += 1
            log.info("a client's connection broke: %s %s", type(err).__name__, err)
        except Exception:
            self.counts["faults"] += 1
            log.exception("a session failed")
        finally:
            end(sock, reset)

    async def close(self) -> None:
        """Stop listening, end what is still served."""
        self.sock.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
