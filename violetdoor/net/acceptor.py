"""Accepts a front's clients and owns the tasks that serve them."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable

from violetdoor.net.addresses import Address
from violetdoor.net.counters import Counters
from violetdoor.net.descriptors import descriptor_limit
from violetdoor.net.linger import LINGER_TIMEOUT_SECONDS, ClosingSockets, linger
from violetdoor.net.sockets import close_socket, wait_readable

log = logging.getLogger("violetdoor.accept")

ACCEPT_RETRY_DELAY_SECONDS = 0.05  # until the next attempt when no descriptor was free
MIN_CLIENT_WAIT_SECONDS = 0.25  # that a client may wait in any case while there are descriptors
WAITING_CLIENTS_DIVISOR = 3  # clients not admitted yet hold at most one in so many descriptors
RESERVED_DESCRIPTORS = 64  # for discovery, health checks, the log, the console and rejections
MIN_CAPACITY = 2  # descriptors: a client's and its server's


class Acceptor:
    """The listening socket of a front; each connection is served by a task of its own.

    A client waits until its front admits it, that is for its first words. Clients that stay silent hold a
    bounded part of the descriptors; the one that waits longest is evicted when another needs its place.
    """

    def __init__(
        self,
        sock: socket.socket,
        serve_client: Callable[[socket.socket], Awaitable[bool]],
        counters: Counters,
        max_descriptors: int,
        overload_answer: bytes,
    ) -> None:
        """Accept from a listening socket that does not block.

        `serve_client` returns whether the client's connection is to end by a reset; `overload_answer` is the
        last line of evicted clients, and of those in the socket's queue when it closes.
        """
        self.sock = sock
        self.serve_client = serve_client
        self.counters = counters
        self.overload_answer = overload_answer
        self.capacity = max(MIN_CAPACITY, min(max_descriptors, descriptor_limit()) - RESERVED_DESCRIPTORS)
        self.address: Address = sock.getsockname()[:2]
        self.tasks: set[asyncio.Task[None]] = set()
        # Since when each client has waited that is not admitted, or is about to end, longest first.
        self.waiting_since: dict[asyncio.Task[None], float] = {}
        self.admitted: set[asyncio.Task[None]] = set()
        self.evicted: set[asyncio.Task[None]] = set()
        self.lingering: set[asyncio.Task[None]] = set()  # sent all, and give their client time to read it
        self.is_closing = False  # a session that is cancelled from now on sends a last word
        self.is_accepting = False
        self.accepting_enabled = asyncio.Event()  # cleared while another process accepts this relay's clients
        self.accepting_enabled.set()
        self.sibling_descriptors = 0  # that another process of this relay holds
        self.sibling_memory_bytes = 0  # bytes that it holds
        # The answer to a client that is rejected unread, by its address; None for one that is not.
        self.rejection_for: Callable[[str], bytes | None] | None = None
        self._closing_sockets = ClosingSockets()
        self._runner: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Accept clients until this is cancelled."""
        self.is_accepting = self.accepting_enabled.is_set()
        self._runner = asyncio.current_task()
        while True:
            try:
                sock = await self._accept_next()
            except OSError as err:
                # EMFILE, ENFILE, ENOBUFS, or a client already gone: a relay must not stop listening for good
                # because descriptors were short for a moment.
                self.counters["accept_failed"] += 1
                log.warning("accept failed: %s", err)
                self.is_accepting = False
                await asyncio.sleep(ACCEPT_RETRY_DELAY_SECONDS)
                continue
            self.is_accepting = True
            self.counters["accepted"] += 1
            if self.rejection_for is None or not self._reject(sock, self.rejection_for):
                self._start_serving(sock)
            # A full backlog comes without a pause: each client's first words are read before the next one is
            # accepted, or those that are about to speak would be evicted with those that never do. And a
            # flood of rejected clients must not hold the loop.
            await asyncio.sleep(0)

    async def _accept_next(self) -> socket.socket:
        """Accept the next client, in one step once it waits: a cancelled wait loses nobody."""
        while True:
            await self.accepting_enabled.wait()
            try:
                return self.sock.accept()[0]
            except (BlockingIOError, InterruptedError):
                await wait_readable(self.sock)

    def _start_serving(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._serve_connection(sock))
        self.tasks.add(task)
        self.waiting_since[task] = loop.time()
        task.add_done_callback(self._forget)
        while self.descriptors_in_use() > self.capacity:
            if not self.evict_longest_waiting(except_for=task):
                break
        if len(self.waiting_since) > max(1, self.capacity // WAITING_CLIENTS_DIVISOR):
            self.evict_longest_waiting(except_for=task, min_wait_seconds=MIN_CLIENT_WAIT_SECONDS)

    def _reject(self, sock: socket.socket, rejection_for: Callable[[str], bytes | None]) -> bool:
        """Reject a client before a byte of it is read, if it is to be; return whether it was."""
        try:
            host, port = sock.getpeername()[:2]
            answer = rejection_for(f"{host}:{port}")
        except OSError:
            sock.close()
            return True
        if answer is None:
            return False
        self.counters["refused_at_accept"] += 1
        self._closing_sockets.add(sock, answer)
        return True

    def set_accepting(self, *, enabled: bool) -> None:
        """Accept clients, or leave those that wait in the queue to the process that shares it."""
        self.is_accepting = enabled
        if enabled:
            self.accepting_enabled.set()
        else:
            self.accepting_enabled.clear()

    def descriptors_in_use(self) -> int:
        """Return how many descriptors the clients may need: an admitted one also needs one for its server."""
        return self.sibling_descriptors + len(self.tasks) - len(self.evicted) + len(self.admitted)

    def admit(self) -> bool:
        """Admit the running task's client, which said what it wants; return whether there is capacity."""
        task = asyncio.current_task()
        assert task is not None
        while self.descriptors_in_use() >= self.capacity:
            if not self.evict_longest_waiting(except_for=task):
                break
        if self.descriptors_in_use() >= self.capacity or self.waiting_since.pop(task, None) is None:
            self.counters["over_limit"] += 1
            return False
        self.admitted.add(task)
        return True

    def evict_longest_waiting(self, except_for: asyncio.Task[None], min_wait_seconds: float = 0.0) -> bool:
        """Evict the client that waits longest, if it has waited for so long; return whether one was."""
        now = asyncio.get_running_loop().time()
        task = next((waiting for waiting in self.waiting_since if waiting is not except_for), None)
        if task is None or now - self.waiting_since[task] < min_wait_seconds:
            return False
        self.counters["evicted"] += 1
        del self.waiting_since[task]
        self.evicted.add(task)
        task.cancel()
        return True

    def _forget(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.waiting_since.pop(task, None)
        self.admitted.discard(task)
        self.evicted.discard(task)
        self.lingering.discard(task)

    async def _serve_connection(self, sock: socket.socket) -> None:
        """Serve one client, whatever happens to it: its fault stays its own."""
        reset = False
        owns_socket = True
        task = asyncio.current_task()
        assert task is not None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reset = await self.serve_client(sock)
            if not reset:
                await self._linger(sock, task)
        except asyncio.CancelledError:
            if task in self.lingering:
                if task not in self.evicted:
                    raise
            elif task in self.evicted:
                owns_socket = False
                self._closing_sockets.add(sock, self.overload_answer)
            elif self.is_closing:  # its session has sent a last word
                task.uncancel()
                await self._linger(sock, task)
            else:
                raise
        except OSError as err:
            self.counters["client_broke"] += 1
            log.info("a client's connection broke: %s %s", type(err).__name__, err)
        except Exception:
            self.counters["faults"] += 1
            log.exception("a session failed")
            await self._linger(sock, task)
        finally:
            if owns_socket:
                close_socket(sock, reset=reset)

    async def _linger(self, sock: socket.socket, task: asyncio.Task[None]) -> None:
        """Let a client read its last line: it holds one descriptor now, and is evicted first."""
        self.lingering.add(task)
        if task in self.tasks and task not in self.evicted:
            self.admitted.discard(task)
            self.waiting_since[task] = asyncio.get_running_loop().time()
        await linger(sock)

    async def close(self) -> None:
        """Stop listening, and end what is still served within LINGER_TIMEOUT_SECONDS.

        Each client gets a last word: its session's, or in the socket's queue the overload answer. Guards
        against a request sent in this moment, whose client would only see a reset.
        """
        self.is_accepting = False
        self.is_closing = True
        if self._runner is not None:  # it must not accept a client after this
            self._runner.cancel()
            await asyncio.gather(self._runner, return_exceptions=True)
        if self.accepting_enabled.is_set():  # else the queue is another process's
            self._reject_queued()
        self.sock.close()
        for task in self.tasks - self.lingering:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=LINGER_TIMEOUT_SECONDS)
        elif self._closing_sockets:
            await asyncio.sleep(LINGER_TIMEOUT_SECONDS)
        self._closing_sockets.close_all()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _reject_queued(self) -> None:
        """Give each client in the socket's queue the overload answer."""
        while True:
            try:
                sock = self.sock.accept()[0]
            except OSError:
                return
            self.counters["accepted"] += 1
            self._closing_sockets.add(sock, self.overload_answer)
