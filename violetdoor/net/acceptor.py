"""Takes in connections for a front and keeps the tasks that serve them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import resource
import socket
import sys
import time
from collections import deque
from collections.abc import Awaitable, Callable

from violetdoor.net.counters import Counters
from violetdoor.net.sockets import Address, end, listen, readable

log = logging.getLogger("violetdoor.accept")

ACCEPT_PAUSE = 0.05  # s until the next try when no descriptor was free
LINGER, LINGER_MOST = 0.3, 1 << 17  # s, and bytes thrown away, that a client has to read its last line
PATIENCE = 0.25  # s that a client may wait in any case while there are descriptors
WAITING_PART = 3  # at most one in so many descriptors is held by clients that were not admitted
ENDING_MOST = 32  # that were told to come later and are not closed yet
RESERVED = 64  # descriptors kept for discovery, probes, the log, the console and answers over the limit


def descriptor_limit() -> int:
    """How many descriptors the system lets this process have; the settings may allow more."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


async def linger(sock: socket.socket) -> None:
    """End the sending side and wait a little for the client's end.

    Guards against a close with unread bytes, or just before the client's next ones: that resets the
    connection, and the client may lose the last line it was sent.
    """
    loop, room = asyncio.get_running_loop(), LINGER_MOST
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(LINGER):
            while room > 0 and (got := await loop.sock_recv(sock, 16 * 1024)):
                room -= len(got)


class Acceptor:
    """The listening socket of a front; each connection is served by a task of its own.

    A client waits until its front admits it, for its first words. Guards against clients that say nothing:
    they hold a bounded part of the descriptors; the one that waits longest goes when another needs the place.
    """

    def __init__(
        self, address: Address, serve: Callable[[socket.socket], Awaitable[bool]], counts: Counters,
        sockets: int, over_limit: bytes, sock: socket.socket | None = None,
    ) -> None:  # fmt: skip
        self.serve, self.counts, self.over_limit = serve, counts, over_limit
        self.room = max(2, min(sockets, descriptor_limit()) - RESERVED)
        self.sock = sock or listen(address, shared=True)  # one that a predecessor handed over
        self.address: Address = self.sock.getsockname()[:2]
        self.tasks: set[asyncio.Task[None]] = set()
        # Since when each has waited that was not admitted or is about to end, longest first.
        self.waiting: dict[asyncio.Task[None], float] = {}
        self.admitted: set[asyncio.Task[None]] = set()
        self.evicted: set[asyncio.Task[None]] = set()
        self.parting: set[asyncio.Task[None]] = set()  # said all, and give their client time to read it
        self.closing = False  # what is cancelled now says a last word
        self._runner: asyncio.Task[None] | None = None
        self.accepting = False  # clients that come now are taken in
        self.beside = 0  # descriptors that another process of this relay holds
        self.beside_memory = 0  # and its bytes
        # What a client is told that is not even read from, by its address; None for one that is.
        self.refuse: Callable[[str], bytes | None] | None = None
        self.ending: deque[tuple[float, socket.socket]] = deque()  # told all, and still to be closed
        self.taking = asyncio.Event()  # cleared while another process takes this relay's clients
        self.taking.set()

    async def run(self) -> None:
        """Take in clients for ever."""
        loop = asyncio.get_running_loop()
        self.accepting, self._runner = self.taking.is_set(), asyncio.current_task()
        while True:
            try:
                sock = await self._next()
            except OSError as err:
                # EMFILE, ENFILE, ENOBUFS, or a client already gone: guards against a relay that stops
                # listening for good because descriptors were short for a moment.
                self.counts["accept_failed"] += 1
                log.warning("accept failed: %s", err)
                self.accepting = False
                await asyncio.sleep(ACCEPT_PAUSE)
                continue
            self.accepting = True
            self.counts["accepted"] += 1
            if self.refuse is not None and self._refused(sock):
                await asyncio.sleep(0)  # a flood of these must not hold the loop
                continue
            task = loop.create_task(self._connection(sock))
            self.tasks.add(task)
            self.waiting[task] = loop.time()
            task.add_done_callback(self._over)
            while self.held() > self.room and self._evict(besides=task):
                pass
            if len(self.waiting) > max(1, self.room // WAITING_PART):
                self._evict(besides=task, least=PATIENCE)
            # A full backlog comes without a pause: each client's first words are read before the next is
            # taken in, or those that are about to speak would be sent away with those that never do.
            await asyncio.sleep(0)

    def _refused(self, sock: socket.socket) -> bool:
        """Turn a client away before a byte of it is read; whether it was.

        It is closed a little later: a close with its words unread would reset the connection, and the answer
        with it. Those that wait for that are bounded, too.
        """
        assert self.refuse is not None
        try:
            line = self.refuse("{}:{}".format(*sock.getpeername()[:2]))
        except OSError:
            sock.close()
            return True
        if line is None:
            return False
        self.counts["refused_at_accept"] += 1
        self._end_with(sock, line)
        return True

    def _end_with(self, sock: socket.socket, line: bytes) -> None:
        """Say a last line and end the sending side; what the client says until the close is thrown away."""
        try:
            sock.setblocking(False)
            sock.send(line)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            sock.close()
            return
        self.ending.append((time.monotonic(), sock))
        asyncio.get_running_loop().call_later(LINGER, self._close_ended)
        self._close_ended()

    def _close_ended(self) -> None:
        """Close those that had their time, or that are too many."""
        now = time.monotonic()
        while self.ending and (now - self.ending[0][0] >= LINGER or len(self.ending) > ENDING_MOST):
            end(self.ending.popleft()[1])

    async def _next(self) -> socket.socket:
        """Accept the next client, in one step once it waits: a wait that is broken off loses nobody."""
        while True:
            await self.taking.wait()
            try:
                return self.sock.accept()[0]
            except (BlockingIOError, InterruptedError):
                await readable(self.sock)

    def take(self, clients: bool) -> None:
        """Take clients in, or leave those that wait in the queue to the process that shares it."""
        self.accepting = clients
        if clients:
            self.taking.set()
        else:
            self.taking.clear()

    def held(self) -> int:
        """Descriptors that the clients may need: an admitted one has a second for its server."""
        return self.beside + len(self.tasks) - len(self.evicted) + len(self.admitted)

    def admit(self) -> bool:
        """The running task's client said what it wants: whether there is room to serve it."""
        task = asyncio.current_task()
        assert task is not None
        while self.held() >= self.room and self._evict(besides=task):
            pass
        if self.held() >= self.room or self.waiting.pop(task, None) is None:
            self.counts["over_limit"] += 1
            return False
        self.admitted.add(task)
        return True

    def _evict(self, besides: asyncio.Task[None], least: float = 0.0) -> bool:
        """Send away the client that waits longest, if it has waited for so long; whether one went."""
        now = asyncio.get_running_loop().time()
        task = next((t for t in self.waiting if t is not besides), None)
        if task is None or now - self.waiting[task] < least:
            return False
        self.counts["evicted"] += 1
        del self.waiting[task]
        self.evicted.add(task)
        task.cancel()
        return True

    def _over(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.waiting.pop(task, None)
        self.admitted.discard(task)
        self.evicted.discard(task)
        self.parting.discard(task)

    async def _connection(self, sock: socket.socket) -> None:
        """One client, whatever happens to it: its fault stays its own."""
        reset, ours = False, True
        task = asyncio.current_task()
        assert task is not None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reset = await self.serve(sock)
            if not reset:
                await self._part(sock)
        except asyncio.CancelledError:
            if task in self.parting:
                if task not in self.evicted:
                    raise
            elif task in self.evicted:
                ours = False
                self._end_with(sock, self.over_limit)
            elif self.closing:  # its session has said a last word
                task.uncancel()
                await self._part(sock)
            else:
                raise
        except OSError as err:
            self.counts["client_broke"] += 1
            log.info("a client's connection broke: %s %s", type(err).__name__, err)
        except Exception:
            self.counts["faults"] += 1
            log.exception("a session failed")
            await self._part(sock)
        finally:
            if ours:
                end(sock, reset)

    async def _part(self, sock: socket.socket) -> None:
        """See a client off: it holds one descriptor now, and goes first when another needs that."""
        task = asyncio.current_task()
        assert task is not None
        self.parting.add(task)
        if task in self.tasks and task not in self.evicted:
            self.admitted.discard(task)
            self.waiting[task] = asyncio.get_running_loop().time()
        await linger(sock)

    async def close(self) -> None:
        """Stop listening, end what is still served within LINGER.

        Each client has a last word: its session's, or in the socket's queue the one of a full house. Guards
        against a request written in this moment, whose client would only see a reset.
        """
        self.accepting, self.closing = False, True
        if self._runner is not None:  # the loop must not take one in behind this
            self._runner.cancel()
            await asyncio.gather(self._runner, return_exceptions=True)
        while self.taking.is_set():  # else they are another process's
            try:
                sock = self.sock.accept()[0]
            except OSError:
                break
            self.counts["accepted"] += 1
            self._end_with(sock, self.over_limit)
        self.sock.close()
        for task in self.tasks - self.parting:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=LINGER)
        elif self.ending:
            await asyncio.sleep(LINGER)
        while self.ending:
            end(self.ending.popleft()[1])
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
