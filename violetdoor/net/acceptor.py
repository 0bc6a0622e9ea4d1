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

ACCEPT_RETRY_DELAY_SECONDS = 0.05  # wait after a failed accept, for example without a free descriptor
MIN_CLIENT_WAIT_SECONDS = 0.25  # no eviction before this unless descriptors run out
WAITING_CLIENTS_DIVISOR = 3  # waiting clients may use the capacity divided by this
# Not available to clients: for discovery, health checks, the log, the console and rejections.
RESERVED_DESCRIPTORS = 64
MIN_CAPACITY = 2  # descriptors: one for a client and one for its server


class Acceptor:
    """Accepts connections on a front's listening socket and serves each one in its own task.

    A client waits until its front has read its first request and admits it. Waiting clients may use a
    limited number of descriptors; the longest-waiting one is evicted when another client needs a descriptor.
    """

    def __init__(
        self,
        sock: socket.socket,
        serve_client: Callable[[socket.socket], Awaitable[bool]],
        counters: Counters,
        max_descriptors: int,
        overload_answer: bytes,
    ) -> None:
        """Accept from a non-blocking listening socket once `run` is called.

        `serve_client` returns whether to end the client's connection with a reset. `overload_answer` is sent
        to evicted clients and to those still in the listen queue when the socket closes.
        """
        self.sock = sock
        self.serve_client = serve_client
        self.counters = counters
        self.overload_answer = overload_answer
        self.capacity = max(MIN_CAPACITY, min(max_descriptors, descriptor_limit()) - RESERVED_DESCRIPTORS)
        self.address: Address = sock.getsockname()[:2]
        self.tasks: set[asyncio.Task[None]] = set()
        # Start of the wait (s, loop clock) of each client not admitted or lingering, longest wait first.
        self.waiting_since: dict[asyncio.Task[None], float] = {}
        self.admitted: set[asyncio.Task[None]] = set()
        self.evicted: set[asyncio.Task[None]] = set()
        self.lingering: set[asyncio.Task[None]] = set()  # everything is sent; the client has time to read it
        self.is_closing = False  # once True, a cancelled session sends its client a final answer
        self.is_accepting = False
        self.accepting_enabled = asyncio.Event()  # cleared while another process accepts this relay's clients
        self.accepting_enabled.set()
        # Resources that the other process of this relay uses during an upgrade.
        self.sibling_descriptors = 0
        self.sibling_memory_bytes = 0
        # Returns the answer that rejects a client (by address) before it is read, or None to accept it.
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
                # EMFILE, ENFILE, ENOBUFS, or the client has already disconnected: a temporary shortage of
                # descriptors must not end the accept loop.
                self.counters["accept_failed"] += 1
                log.warning("accept failed, retrying after a delay: %s", err)
                self.is_accepting = False
                await asyncio.sleep(ACCEPT_RETRY_DELAY_SECONDS)
                continue
            self.is_accepting = True
            self.counters["accepted"] += 1
            if self.rejection_for is None or not self._reject(sock, self.rejection_for):
                self._start_serving(sock)
            # Yield after each accept, so that a client's first request is read before the next client is
            # accepted. Otherwise a full backlog would evict clients whose request has already arrived, and a
            # flood of rejected clients would block the event loop.
            await asyncio.sleep(0)

    async def _accept_next(self) -> socket.socket:
        """Wait for a client and accept it; cancelling the wait loses no accepted client."""
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
        task.add_done_callback(self._remove_task)
        while self.descriptors_in_use() > self.capacity:
            if not self.evict_longest_waiting(except_for=task):
                break
        if len(self.waiting_since) > max(1, self.capacity // WAITING_CLIENTS_DIVISOR):
            self.evict_longest_waiting(except_for=task, min_wait_seconds=MIN_CLIENT_WAIT_SECONDS)

    def _reject(self, sock: socket.socket, rejection_for: Callable[[str], bytes | None]) -> bool:
        """Reject a client unread if `rejection_for` returns an answer; return whether it was rejected."""
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
        """Accept clients, or leave those in the listen queue to the other process that shares the socket."""
        self.is_accepting = enabled
        if enabled:
            self.accepting_enabled.set()
        else:
            self.accepting_enabled.clear()

    def descriptors_in_use(self) -> int:
        """Return how many descriptors clients may need: one each, two once admitted (client and server)."""
        return self.sibling_descriptors + len(self.tasks) - len(self.evicted) + len(self.admitted)

    def admit(self) -> bool:
        """Admit the client of the current task once its request is known; return False without capacity."""
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
        """Evict the longest-waiting client if it has waited for the minimum; return whether one was."""
        now = asyncio.get_running_loop().time()
        task = next((waiting for waiting in self.waiting_since if waiting is not except_for), None)
        if task is None or now - self.waiting_since[task] < min_wait_seconds:
            return False
        self.counters["evicted"] += 1
        del self.waiting_since[task]
        self.evicted.add(task)
        task.cancel()
        return True

    def _remove_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.waiting_since.pop(task, None)
        self.admitted.discard(task)
        self.evicted.discard(task)
        self.lingering.discard(task)

    async def _serve_connection(self, sock: socket.socket) -> None:
        """Serve one client; an exception in its session affects no other client."""
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
            elif self.is_closing:  # the session has sent its final answer
                task.uncancel()
                await self._linger(sock, task)
            else:
                raise
        except OSError as err:
            self.counters["client_broke"] += 1
            log.info("connection to a client broke: %s: %s", type(err).__name__, err)
        except Exception:
            self.counters["faults"] += 1
            log.exception("client session failed with an unexpected error; closing its connection")
            await self._linger(sock, task)
        finally:
            if owns_socket:
                close_socket(sock, reset=reset)

    async def _linger(self, sock: socket.socket, task: asyncio.Task[None]) -> None:
        """Give a client time to read its last line; it now counts as one descriptor and may be evicted."""
        self.lingering.add(task)
        if task in self.tasks and task not in self.evicted:
            self.admitted.discard(task)
            self.waiting_since[task] = asyncio.get_running_loop().time()
        await linger(sock)

    async def close(self) -> None:
        """Stop listening and end all sessions within LINGER_TIMEOUT_SECONDS.

        Each client gets a final answer: from its session, or the overload answer if it is still in the listen
        queue. Without one, a client whose request arrives at this moment would only see a reset.
        """
        self.is_accepting = False
        self.is_closing = True
        if self._runner is not None:  # no client may be accepted after this
            self._runner.cancel()
            await asyncio.gather(self._runner, return_exceptions=True)
        if self.accepting_enabled.is_set():  # otherwise the queue belongs to another process
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
        """Send the overload answer to each client in the listen queue."""
        while True:
            try:
                sock = self.sock.accept()[0]
            except OSError:
                return
            self.counters["accepted"] += 1
            self._closing_sockets.add(sock, self.overload_answer)
