"""Connections of the control plane: signed frames on a TCP connection that this side opened or accepted.

A control machine has up to a thousand of these, so there is no task per connection, and all messages sent in
one iteration of the event loop are combined into one write.
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

# Bytes that may be queued for one peer: twice the roster of a region and the complete shared map.
MAX_QUEUED_BYTES = 1 << 20
# Time from the TCP connection to the first signed frame of the peer.
HANDSHAKE_TIMEOUT_SECONDS = 1.0
# A peer that reads none of its queued bytes for this time is disconnected.
WRITE_STALL_TIMEOUT_SECONDS = 3.0
# Time that a peer has to read the last frame before its connection is reset.
LINGER_SECONDS = 0.5

MessageT = TypeVar("MessageT")


class ConnectionHandler(Protocol[MessageT]):
    """The user of a connection. `connection_closed` is called once, and it is always the last call."""

    def connection_opened(self, connection: Connection[MessageT], /) -> None:
        """Start to use the connection: the handshake is complete, at a server with the first signed frame."""

    def message_received(self, connection: Connection[MessageT], message: MessageT, /) -> None:
        """Handle a message from the peer."""

    def backlog_changed(self, connection: Connection[MessageT], queued_bytes: int, /) -> None:
        """Handle a change of the number of bytes queued for the peer."""

    def connection_closed(self, connection: Connection[MessageT], reason: CloseReason, /) -> None:
        """Handle the end of the connection. `connection_opened` was called if `connection.is_established`."""


class Connection(asyncio.Protocol, Generic[MessageT]):
    """One TCP connection with signed frames in both directions."""

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        side: Side,
        decoder: msgspec.msgpack.Decoder[MessageT],
        handler: ConnectionHandler[MessageT],
        counters: Counter[str],
    ) -> None:
        """Prepare one end of a connection; `handler` is called from the running event loop.

        `counters` counts frames, bytes and close reasons, under the names in docs/oncall.md.
        """
        self.handler = handler
        self.counters = counters
        self.side = side
        self.decoder = decoder
        self.codec = FrameCodec(authenticator, side)
        self.loop = asyncio.get_running_loop()
        self.is_established = False  # whether `connection_opened` was called
        self.peer_address = ""  # host:port of the peer
        self._transport: asyncio.Transport | None = None
        self._pending: list[bytes] = []  # frames to be written in the next iteration of the event loop
        self._pending_bytes = 0
        self._is_flush_scheduled = False
        self._deadline: asyncio.TimerHandle | None = None  # for the handshake, a stalled write or lingering
        self._last_backlog_bytes = 0  # queued bytes at the last check at which the peer had read some
        self._close_reason: CloseReason | None = None  # set once the connection is closing
        self._is_close_notified = False

    # Interface for the handler.

    @property
    def queued_bytes(self) -> int:
        """Bytes queued for the peer."""
        return self._pending_bytes + self._transport_backlog_bytes()

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or closing, by either side."""
        return self._close_reason is not None

    @property
    def socket(self) -> Any:
        """The underlying socket, for inspection only (`TransportSocket`); None before it is connected."""
        return None if self._transport is None else self._transport.get_extra_info("socket")

    def send(self, message: msgspec.Struct) -> None:
        """Queue a message for the peer; abort the connection if too many bytes are queued."""
        if self.is_closing:
            return
        try:
            frame = self.codec.encode_frame(encode(message))
        except ValueError as error:
            # Logged without a traceback, which would add nothing to the error's text.
            log.error(
                "cannot send %s to %s, closing the connection: %s",
                type(message).__name__,
                self.peer_address,
                error,
            )
            self.abort(CloseReason.MESSAGE_TOO_LONG)
            return
        if self.queued_bytes + len(frame) > MAX_QUEUED_BYTES:
            self.abort(CloseReason.QUEUE_OVERFLOW)
            return
        self.counters["frames_out"] += 1
        self._pending.append(frame)
        self._pending_bytes += len(frame)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self.loop.call_soon(self._flush)

    def close(self, reason: CloseReason = CloseReason.CLOSED_LOCALLY) -> None:
        """Close gracefully: queued messages are sent, and the peer has `LINGER_SECONDS` to read them."""
        if self.is_closing or self._transport is None:
            return
        self._flush()
        self._close_reason = reason
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._set_deadline(LINGER_SECONDS, self._transport.abort)
        self._notify_closed()

    def abort(self, reason: CloseReason) -> None:
        """Close at once; queued messages are lost."""
        if self._close_reason is None:
            self._close_reason = reason
        if self._transport is not None:
            self._transport.abort()
        self._notify_closed()

    # Callbacks of `asyncio.Protocol`.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the handshake."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        peer = self._transport.get_extra_info("peername")
        self.peer_address = f"{peer[0]}:{peer[1]}" if peer else "gone"
        # With a limit of 0, `pause_writing` is called at the first buffered byte, `resume_writing` at none.
        self._transport.set_write_buffer_limits(high=0)
        self._transport.write(self.codec.nonce)
        self._set_deadline(HANDSHAKE_TIMEOUT_SECONDS, self._abort_handshake)

    def data_received(self, data: bytes) -> None:
        """Handle the frames that these bytes complete."""
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
        """Return False, so that the transport closes itself."""
        return False

    def pause_writing(self) -> None:
        """Start to check for a write stall: the peer or the network is slower than this side sends."""
        if self.is_established and not self.is_closing:
            self._start_stall_check()
            self.handler.backlog_changed(self, self.queued_bytes)

    def resume_writing(self) -> None:
        """Stop checking for a write stall: the transport's buffer is empty."""
        if self.is_established and not self.is_closing:
            self._clear_deadline()
            self.handler.backlog_changed(self, self.queued_bytes)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler, unless this side closed the connection."""
        self._clear_deadline()
        if self._close_reason is None:
            self._close_reason = CloseReason.CLOSED_BY_PEER if exc is None else CloseReason.CONNECTION_BROKEN
        self._notify_closed()

    def _handle_frame(self, body: bytes) -> None:
        self.counters["frames_in"] += 1
        try:
            message = self.decoder.decode(body)
        except (msgspec.MsgspecError, ValueError):
            self.abort(CloseReason.INVALID_MESSAGE)
            return
        try:
            if not self.is_established:
                self._establish()
            if not self.is_closing:
                self.handler.message_received(self, message)
        except Exception:  # a fault in handling one connection must not end the others
            log.exception("failed to handle a message from %s, closing the connection", self.peer_address)
            self.abort(CloseReason.HANDLER_FAULT)

    def _establish(self) -> None:
        self.is_established = True
        self._clear_deadline()
        if self.queued_bytes:
            self._start_stall_check()
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

    def _start_stall_check(self) -> None:
        self._last_backlog_bytes = self.queued_bytes
        self._set_deadline(WRITE_STALL_TIMEOUT_SECONDS, self._check_write_stall)

    def _check_write_stall(self) -> None:
        """Abort the connection of a peer that has read nothing since the last check."""
        backlog_bytes = self._transport_backlog_bytes()
        if not backlog_bytes:
            return
        if backlog_bytes >= self._last_backlog_bytes:
            self.abort(CloseReason.WRITE_STALLED)
        else:
            self._last_backlog_bytes = backlog_bytes
            self._set_deadline(WRITE_STALL_TIMEOUT_SECONDS, self._check_write_stall)

    def _abort_handshake(self) -> None:
        self.abort(CloseReason.HANDSHAKE_TIMEOUT)

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


def attach_accepted_socket(sock: socket.socket, connection: Connection[Any]) -> asyncio.Task[Any]:
    """Serve a connection on an accepted socket; the caller awaits the returned task, which ends at once."""
    loop = asyncio.get_running_loop()
    sock.settimeout(0.0)  # non-blocking
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return loop.create_task(loop.connect_accepted_socket(lambda: connection, sock))
