"""Connections of the control plane: sealed frames on a TCP connection that this side opened or accepted.

A control machine has up to a thousand of these, so there is no task per connection, and what is sent in one
round of the loop is one write.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar, cast

import msgspec

from violetdoor.control.frames import CloseReason, FrameCodec, FrameError, Side
from violetdoor.control.messages import encode
from violetdoor.fleet.authentication import MessageAuthenticator

log = logging.getLogger("violetdoor.control")

# Bytes that may wait for one peer: a roster of a region and the complete shared map, each twice.
MAX_QUEUED_BYTES = 1 << 20
# From the TCP connection to the first sealed frame of the peer.
HANDSHAKE_TIMEOUT_SECONDS = 1.0
# In which a peer reads not one byte of what waits for it.
WRITE_STALL_TIMEOUT_SECONDS = 3.0
# That a peer has to read the last frame before its connection is reset.
LINGER_SECONDS = 0.5

MessageT = TypeVar("MessageT")


class ConnectionHandler(Protocol[MessageT]):
    """Who uses a connection. `connection_closed` is called once, and nothing is called after it."""

    def connection_opened(self, connection: Connection[MessageT], /) -> None:
        """Begin to use the connection: the handshake is over, at a server with the first sealed frame."""

    def message_received(self, connection: Connection[MessageT], message: MessageT, /) -> None:
        """Handle a message of the peer."""

    def backlog_changed(self, connection: Connection[MessageT], queued_bytes: int, /) -> None:
        """Handle a change of the bytes that wait for the peer."""

    def connection_closed(self, connection: Connection[MessageT], reason: CloseReason, /) -> None:
        """Handle the end of the connection. It was opened only if `connection.is_established`."""


class Connection(asyncio.Protocol, Generic[MessageT]):
    """One TCP connection with sealed frames both ways."""

    def __init__(
        self,
        seal: MessageAuthenticator,
        side: Side,
        decoder: msgspec.msgpack.Decoder[MessageT],
        handler: ConnectionHandler[MessageT],
        counters: Counter[str],
    ) -> None:
        """Prepare one end of a connection; `handler` is called from the running loop.

        `counters` counts frames, bytes and the reasons of ends by the names in docs/oncall.md.
        """
        self.handler = handler
        self.counters = counters
        self.side = side
        self.decoder = decoder
        self.codec = FrameCodec(seal, side)
        self.loop = asyncio.get_running_loop()
        self.is_established = False  # `connection_opened` was called
        self.peer_address = ""  # the peer's host and port
        self._transport: asyncio.Transport | None = None
        self._pending: list[bytes] = []  # frames, written at the end of this round of the loop
        self._pending_bytes = 0
        self._is_flush_scheduled = False
        self._deadline: asyncio.TimerHandle | None = None  # of the handshake, a stalled write or the end
        self._last_backlog_bytes = 0  # bytes that waited when the peer was last seen to read some
        self._close_reason: CloseReason | None = None  # set once it is closing
        self._is_close_notified = False

    # For the handler.

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait for the peer."""
        return self._pending_bytes + self._transport_backlog_bytes()

    @property
    def is_closing(self) -> bool:
        """Whether it is closed or closing, by this side or by the peer."""
        return self._close_reason is not None

    @property
    def socket(self) -> Any:
        """The socket below, to be inspected only (`TransportSocket`); None before there is one."""
        return None if self._transport is None else self._transport.get_extra_info("socket")

    def send(self, message: msgspec.Struct) -> None:
        """Queue a message for the peer; the connection is aborted where too much waits for it."""
        if self.is_closing:
            return
        try:
            frame = self.codec.encode_frame(encode(message))
        except ValueError as error:
            # The error says all that a traceback would.
            log.error("%s can't be sent to %s: %s", type(message).__name__, self.peer_address, error)
            self.abort(CloseReason.TOO_LONG)
            return
        if self.queued_bytes + len(frame) > MAX_QUEUED_BYTES:
            self.abort(CloseReason.QUEUE)
            return
        self.counters["frames_out"] += 1
        self._pending.append(frame)
        self._pending_bytes += len(frame)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self.loop.call_soon(self._flush)

    def close(self, reason: CloseReason = CloseReason.HERE) -> None:
        """Close in order: what is queued is sent, and the peer has `LINGER_SECONDS` to read it."""
        if self.is_closing or self._transport is None:
            return
        self._flush()
        self._close_reason = reason
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._set_deadline(LINGER_SECONDS, self._transport.abort)
        self._notify_closed()

    def abort(self, reason: CloseReason) -> None:
        """Close at once; what is queued is lost."""
        if self._close_reason is None:
            self._close_reason = reason
        if self._transport is not None:
            self._transport.abort()
        self._notify_closed()

    # For the loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the handshake."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass of it
        peer = self._transport.get_extra_info("peername")
        self.peer_address = f"{peer[0]}:{peer[1]}" if peer else "gone"
        # `pause_writing` is called for the first byte that waits, and `resume_writing` when none does.
        self._transport.set_write_buffer_limits(high=0)
        self._transport.write(self.codec.nonce)
        self._set_deadline(HANDSHAKE_TIMEOUT_SECONDS, self._abort_handshake)

    def data_received(self, data: bytes) -> None:
        """Handle the frames that the bytes complete."""
        if self.is_closing:
            return
        self.counters["bytes_in"] += len(data)
        try:
            for body in self.codec.feed(data):
                self._handle_frame(body)
                if self.is_closing:
                    return
        except FrameError as error:
            self.abort(error.reason)
            return
        if self.codec.has_peer_nonce and self.side is Side.CLIENT and not self.is_established:
            self._establish()

    def eof_received(self) -> bool:
        """Have the transport close itself."""
        return False

    def pause_writing(self) -> None:
        """Watch the peer: it, or the network to it, is slower than what is sent."""
        if self.is_established and not self.is_closing:
            self._watch_writes()
            self.handler.backlog_changed(self, self.queued_bytes)

    def resume_writing(self) -> None:
        """Stop watching: nothing waits in the transport any more."""
        if self.is_established and not self.is_closing:
            self._clear_deadline()
            self.handler.backlog_changed(self, self.queued_bytes)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler, unless this side closed the connection before."""
        self._clear_deadline()
        if self._close_reason is None:
            self._close_reason = CloseReason.PEER if exc is None else CloseReason.BROKEN
        self._notify_closed()

    def _handle_frame(self, body: bytes) -> None:
        self.counters["frames_in"] += 1
        try:
            message = self.decoder.decode(body)
        except (msgspec.MsgspecError, ValueError):
            self.abort(CloseReason.FORM)
            return
        try:
            if not self.is_established:
                self._establish()
            if not self.is_closing:
                self.handler.message_received(self, message)
        except Exception:  # a fault in handling one connection must not end the others
            log.exception("a message of %s could not be handled", self.peer_address)
            self.abort(CloseReason.FAULT)

    def _establish(self) -> None:
        self.is_established = True
        self._clear_deadline()
        if self.queued_bytes:
            self._watch_writes()
        self.handler.connection_opened(self)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if not self._pending or self._transport is None or self.is_closing:
            return
        data = b"".join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        self.counters["bytes_out"] += len(data)
        self.counters["writes"] += 1
        self._transport.write(data)

    def _transport_backlog_bytes(self) -> int:
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def _watch_writes(self) -> None:
        self._last_backlog_bytes = self.queued_bytes
        self._set_deadline(WRITE_STALL_TIMEOUT_SECONDS, self._check_writes)

    def _check_writes(self) -> None:
        """Abort the connection of a peer that has read nothing since the last check."""
        backlog_bytes = self._transport_backlog_bytes()
        if not backlog_bytes:
            return
        if backlog_bytes >= self._last_backlog_bytes:
            self.abort(CloseReason.STALLED)
        else:
            self._last_backlog_bytes = backlog_bytes
            self._set_deadline(WRITE_STALL_TIMEOUT_SECONDS, self._check_writes)

    def _abort_handshake(self) -> None:
        self.abort(CloseReason.HANDSHAKE)

    def _set_deadline(self, seconds: float, callback: Callable[[], object]) -> None:
        self._clear_deadline()
        self._deadline = self.loop.call_later(seconds, callback)

    def _clear_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _notify_closed(self) -> None:
        if not self._is_close_notified:
            assert self._close_reason is not None
            self._is_close_notified = True
            self.counters[self._close_reason.value] += 1
            self.handler.connection_closed(self, self._close_reason)


def start_accepted(sock: socket.socket, connection: Connection[Any]) -> asyncio.Task[Any]:
    """Serve a connection on a socket that was accepted; the task, which the caller awaits, ends at once."""
    loop = asyncio.get_running_loop()
    sock.settimeout(0.0)  # non-blocking
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return loop.create_task(loop.connect_accepted_socket(lambda: connection, sock))
