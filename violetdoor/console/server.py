"""The operators' HTTP/1.1 server: one call per connection, with bounds on callers, call size and time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import httptools

from violetdoor.net.acceptor import ACCEPT_RETRY_DELAY_SECONDS
from violetdoor.net.addresses import Address
from violetdoor.net.counters import Counters
from violetdoor.net.linger import linger
from violetdoor.net.sockets import close_socket, listen

log = logging.getLogger("violetdoor.console")

MAX_CALLERS = 16  # concurrent; their descriptors are part of the acceptor's RESERVED_DESCRIPTORS
CALL_TIMEOUT_SECONDS = 2.0  # from the accepted connection to a complete call
WRITE_TIMEOUT_SECONDS = 1.0  # for sending the answer to the caller
MAX_CALL_BYTES = 8 * 1024  # of head and body together
MAX_BODY_BYTES = 4 * 1024  # no call uses its body


class Answer(NamedTuple):
    """The console's answer to one call."""

    status: HTTPStatus
    text: str


RequestHandler = Callable[[str, str], Answer]  # arguments: method and path


class IncompleteCallError(EOFError):
    """The caller closed the connection before its call was complete."""

    def __init__(self) -> None:
        """Set the text that is logged."""
        super().__init__("connection closed before the call was complete")


class _Call:
    """Collects one call; httptools calls its methods by these names."""

    def __init__(self) -> None:
        self.target = bytearray()
        self.body_bytes = 0
        self.is_complete = False

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_body(self, part: bytes) -> None:
        self.body_bytes += len(part)

    def on_message_complete(self) -> None:
        self.is_complete = True


class ConsoleServer:
    """Listens for operators; a complete call is answered at once, even while other callers send nothing."""

    def __init__(self, address: Address, handle_request: RequestHandler, counters: Counters) -> None:
        """Listen at this address. Raises OSError."""
        self.handle_request = handle_request
        self.counters = counters
        self.sock = listen(address)
        self.address: Address = self.sock.getsockname()[:2]
        self.callers: dict[asyncio.Task[None], None] = {}  # oldest first

    async def run(self) -> None:
        """Accept callers until this is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self.sock)
            except OSError as err:  # a temporary lack of descriptors must not end the console
                log.warning("accept failed, the console tries again: %s", err)
                await asyncio.sleep(ACCEPT_RETRY_DELAY_SECONDS)
                continue
            self._evict_oldest()
            task = loop.create_task(self._serve_caller(sock))
            self.callers[task] = None
            task.add_done_callback(self._remove_caller)
            await asyncio.sleep(0)  # lets the task read what has arrived before the next accept

    def _evict_oldest(self) -> None:
        """Make room for one more caller.

        Guards against callers that never complete their call. A complete call is never the oldest: it is
        answered in the same iteration of the event loop in which it is read.
        """
        while len(self.callers) >= MAX_CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.cancel()
            self.counters["console_evicted"] += 1

    def _remove_caller(self, task: asyncio.Task[None]) -> None:
        self.callers.pop(task, None)

    async def _serve_caller(self, sock: socket.socket) -> None:
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            status, text = await self._read_and_handle(sock)
            self.counters["console_calls"] += 1
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                await asyncio.get_running_loop().sock_sendall(sock, _format_response(status, text))
            await linger(sock)
        except (OSError, EOFError) as err:
            self.counters["console_broke"] += 1
            log.info("connection of a console caller failed: %s %s", type(err).__name__, err)
        except Exception:
            self.counters["faults"] += 1
            log.exception("console call failed")
        finally:
            close_socket(sock)

    async def _read_and_handle(self, sock: socket.socket) -> Answer:
        """Read one call and return its answer."""
        call = _Call()
        parser = httptools.HttpRequestParser(call)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                is_too_long = await _read_call(sock, call, parser)
        except TimeoutError:
            return Answer(HTTPStatus.REQUEST_TIMEOUT, "no whole call in time\n")
        except httptools.HttpParserError:
            if not call.is_complete:
                return Answer(HTTPStatus.BAD_REQUEST, "not HTTP\n")
        else:
            if is_too_long:
                return Answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "too long\n")
        path, _, _ = call.target.decode("latin-1").partition("?")
        return self.handle_request(parser.get_method().decode("latin-1"), path)

    async def close(self) -> None:
        """Stop listening, and cancel the calls that are still open."""
        self.sock.close()
        for task in list(self.callers):
            task.cancel()
        await asyncio.gather(*self.callers, return_exceptions=True)


async def _read_call(sock: socket.socket, call: _Call, parser: httptools.HttpRequestParser) -> bool:
    """Read until a call is complete; return whether it is too long.

    Raises IncompleteCallError, OSError and HttpParserError.
    """
    loop = asyncio.get_running_loop()
    buffer = bytearray(MAX_CALL_BYTES)
    total = 0
    while not call.is_complete:
        count = await loop.sock_recv_into(sock, buffer)
        if not count:
            raise IncompleteCallError
        total += count
        with contextlib.suppress(httptools.HttpParserUpgrade):
            parser.feed_data(memoryview(buffer)[:count])
        if total > MAX_CALL_BYTES or call.body_bytes > MAX_BODY_BYTES:
            return True
    return False


def _format_response(status: HTTPStatus, text: str) -> bytes:
    body = text.encode()
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: text/plain\r\n"
    head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    return head.encode() + body
