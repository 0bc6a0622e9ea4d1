"""The client's side of a NATS session: its CONNECT, its frames, and the writes to it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable
from typing import TYPE_CHECKING, TypeVar

import orjson

from violetdoor.fronts.nats import frames
from violetdoor.fronts.nats.answers import AnswerQueue
from violetdoor.fronts.nats.errors import (
    AUTHENTICATION_TIMEOUT,
    NO_CAPACITY,
    PARSER_ERROR,
    STALE_CONNECTION,
    TOO_MANY_CONNECTIONS,
    UNCONFIRMED_PUBLICATIONS,
    ClientDeniedError,
    ProtocolError,
    SessionEnd,
)
from violetdoor.fronts.nats.frames import CLIENT_OPERATIONS, Frame, FrameReader
from violetdoor.net.outbox import Outbox
from violetdoor.net.sockets import is_peer_closed

if TYPE_CHECKING:
    from violetdoor.fronts.nats.front_protocol import ClientIdentity, Front

T = TypeVar("T")

FIRST_OPERATION_TIMEOUT_SECONDS = 0.05  # how long match rules wait for a client's first operation
MAX_PREFETCHED_FRAMES = 8  # frames read while waiting for the first operation
FIRST_OPERATIONS = ("SUB", "PUB", "HPUB")  # operations that match rules can use
MAX_NAME_CHARACTERS = 256  # of the user and name that identify a client to the admission gate
FINAL_WRITE_SECONDS = 0.5  # for writing queued data before the connection is closed


class NatsClient:
    """One client's connection and the values of its CONNECT."""

    __slots__ = (
        "_has_read_connect",
        "_loop",
        "_options",
        "_pending_read",
        "_prefetched_frames",
        "account",
        "answers",
        "ended",
        "front",
        "identity",
        "is_verbose",
        "name",
        "out",
        "reader",
        "sock",
        "supports_headers",
        "supports_statuses",
        "upstream_connect",
    )

    def __init__(self, front: Front, sock: socket.socket) -> None:
        """Start before the client's first frame is read."""
        options = front.options
        self.front = front
        self.sock = sock
        self.reader = FrameReader(sock, CLIENT_OPERATIONS, options.max_payload)
        self.out = Outbox(sock, options.max_pending, options.write_deadline)
        self.answers = AnswerQueue(self.out, lambda: self.end(UNCONFIRMED_PUBLICATIONS))
        self.ended: asyncio.Future[SessionEnd] = asyncio.get_running_loop().create_future()
        self.identity: ClientIdentity | None = None  # None until the first frame is read
        self.name = ""  # user and name from its CONNECT
        self.account = b""  # the tenant and credentials: clients that differ in it share no messages
        self.is_verbose = True
        self.supports_headers = False
        self.supports_statuses = False  # it asked for a status in place of an answer that nobody can give
        self.upstream_connect = b""  # the CONNECT line sent to its servers
        self._loop = asyncio.get_running_loop()
        self._options = options
        self._has_read_connect = False  # the first frame was a CONNECT and is already applied
        self._prefetched_frames: list[Frame] = []  # read for the rules, not executed yet
        # The read of a frame that did not arrive in time for the rules.
        self._pending_read: asyncio.Future[Frame | None] | None = None

    @property
    def request_class(self) -> str:
        """The client's request class, empty until it is identified."""
        return "" if self.identity is None else self.identity.request_class

    @property
    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection, even if operations before that are unread."""
        return self.ended.done() or is_peer_closed(self.sock)

    def end(self, end: SessionEnd) -> None:
        """Record how the client's side ended; only the first call counts."""
        if not self.ended.done():
            self.ended.set_result(end)

    # The first frames.

    async def read_first_frame(self) -> Frame | None:
        """Read the first frame and identify the client by it; return None at the end of the connection.

        Raises ProtocolError, or ClientDeniedError for a client that is not admitted.
        """
        try:
            async with asyncio.timeout(self._options.connect_deadline):
                frame = await self.reader.read_frame()
        except TimeoutError as err:
            raise ProtocolError(AUTHENTICATION_TIMEOUT) from err
        if frame is None:
            return None
        if not self.front.acceptor.admit():
            raise ProtocolError(TOO_MANY_CONNECTIONS)
        if frame.operation == "CONNECT":
            first = frame
            if self.front.reads_first_operation:
                first = await self._read_first_operation() or frame
            self._read_connect(frame.arguments[0], first)
        else:
            self._read_connect(b"{}", frame)
        self._check_capacity()
        self._has_read_connect = frame.operation == "CONNECT"
        return frame

    async def _read_first_operation(self) -> Frame | None:
        """Return the client's first SUB, PUB or HPUB, None if it waits for an answer before sending one."""
        until = self._loop.time() + FIRST_OPERATION_TIMEOUT_SECONDS
        while len(self._prefetched_frames) < MAX_PREFETCHED_FRAMES:
            reading = self._pending_read = asyncio.ensure_future(self.reader.read_frame())
            await asyncio.wait((reading,), timeout=max(0.0, until - self._loop.time()))
            if not reading.done() or reading.exception():
                return None  # a later next_frame call handles the frame or the error
            frame = reading.result()
            if frame is None:
                return None
            self._pending_read = None
            self._prefetched_frames.append(frame)
            if frame.operation in FIRST_OPERATIONS:
                return frame
            if frame.operation != "PING" or self.reader.is_empty:
                return None  # it waits for an answer
        return None

    def handle_connect(self, frame: Frame) -> None:
        """Apply a CONNECT, unless it is the first one, which read_first_frame has applied."""
        if not self._has_read_connect:
            self._read_connect(frame.arguments[0], None)
        self._has_read_connect = False

    def _read_connect(self, text: bytes, first: Frame | None) -> None:
        """Apply a CONNECT; servers get it with the values changed that concern only this connection."""
        try:
            values = orjson.loads(text)
        except ValueError as err:
            raise ProtocolError(PARSER_ERROR) from err
        if not isinstance(values, dict):
            raise ProtocolError(PARSER_ERROR)
        self.is_verbose = bool(values.get("verbose", True))
        self.name = f"{values.get('user')} {values.get('name')}"[:MAX_NAME_CHARACTERS]
        self.supports_headers = bool(values.get("headers", False))
        self.identity = self.front.identify(values, first, self.sock)
        self.account = orjson.dumps((self.identity.tenant, values.get("user"), values.get("auth_token")))
        upstream = values | {"verbose": False, "tls_required": False, "headers": True, "protocol": 1}
        self.supports_statuses = bool(values.get("no_responders")) and self.supports_headers
        upstream["no_responders"] = self.supports_statuses
        self.upstream_connect = b"CONNECT " + orjson.dumps(upstream) + b"\r\n"

    def _check_capacity(self) -> None:
        """Raise ClientDeniedError if the relay itself has no capacity for the client."""
        gate, identity = self.front.gate, self.identity
        if gate is None or identity is None:
            return
        host = str(self.sock.getpeername()[0])
        key = identity.idempotency_key
        name = self.name if key is None else str(key)
        if gate.check_request(identity.tenant, identity.request_class, f"{host} {name}") is not None:
            self.front.counts["shed_by_load"] += 1
            self.front.metrics.increment("shed", identity.request_class)
            raise ClientDeniedError(NO_CAPACITY)

    # All further frames.

    async def next_frame(self) -> Frame | None:
        """Return the next frame; a silent client is sent a PING and, after the same time again, is stale."""
        if self._prefetched_frames:
            return self._prefetched_frames.pop(0)
        reading = self._pending_read or self.reader.read_frame()
        self._pending_read = None
        ping_after = self._options.client_ping
        ping_timer = self._loop.call_later(ping_after, self.out.enqueue, b"PING\r\n")
        try:
            async with asyncio.timeout(ping_after * 2):
                return await reading
        except TimeoutError as err:
            raise ProtocolError(STALE_CONNECTION) from err
        finally:
            ping_timer.cancel()

    async def wait_unless_ended(self, work: Awaitable[T]) -> T | None:
        """Return the result of `work`, or None and cancel it if the client ends first."""
        task = asyncio.ensure_future(work)
        try:
            await asyncio.wait((task, self.ended), return_when=asyncio.FIRST_COMPLETED)
            return task.result() if task.done() else None
        finally:
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def close(self, end: SessionEnd) -> None:
        """Write the queued data and the -ERR of the end, if there is one, then stop writing."""
        if self._pending_read is not None:
            self._pending_read.cancel()
            await asyncio.gather(self._pending_read, return_exceptions=True)
        self.answers.fail_pending()
        if end.error_text:
            self.front.counts["nats_errors"] += 1
            if end.drops_queued:
                self.out.discard_queued()
            self.out.enqueue(frames.error(end.error_text))
        await self.out.flush_and_close(FINAL_WRITE_SECONDS)
