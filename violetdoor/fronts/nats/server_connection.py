"""One connection to a NATS server: handshake, pending PINGs, liveness."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from violetdoor.balancing.events import AttemptResult
from violetdoor.fronts.nats.answers import Answer
from violetdoor.fronts.nats.errors import PARSER_ERROR, ProtocolError
from violetdoor.fronts.nats.frames import SERVER_OPERATIONS, Frame, FrameReader, error_text
from violetdoor.net.outbox import Outbox
from violetdoor.net.sockets import close_socket
from violetdoor.net.tcp_info import segment_ages

MAX_SERVER_PAYLOAD_BYTES = 1024 * 1024  # limit of one message from a server
MAX_QUEUED_BYTES = 256 * 1024  # queue limit towards a server; beyond it the client waits
# The -ERR texts with which a server rejects a connection before executing anything.
REJECTION_TEXTS = ("maximum connections exceeded", "maximum account active connections exceeded")
DENIAL_TEXTS = (
    "authorization violation",
    "authentication",
    "user authentication",
    "account authentication",
)


@dataclass(slots=True, frozen=True)
class PendingPing:
    """A PING without a PONG; `journal_mark` is the journal's `added_count` when it was sent."""

    journal_mark: int
    sent_at: float
    answer: Answer | None = None  # the PONG owed to the client, None for a PING of the relay itself
    fence: asyncio.Future[None] | None = None  # completed by its PONG


class ServerConnection:
    """A connection to a NATS server."""

    def __init__(self, sock: socket.socket, write_timeout_seconds: float, started_at: float) -> None:
        """Start on a connected socket; a write fails if the server reads nothing for the timeout.

        `started_at`: when the connection was begun (s, loop clock).
        """
        self.sock = sock
        self.reader = FrameReader(sock, SERVER_OPERATIONS, MAX_SERVER_PAYLOAD_BYTES)
        self.out = Outbox(sock, MAX_QUEUED_BYTES, write_timeout_seconds)
        self.pending_pings: deque[PendingPing] = deque()  # oldest first
        self.info: dict[str, Any] = {}  # merged values of all INFO lines, the latest of each
        self.denial = ""  # text of the -ERR that denied the client; empty if none did
        self.is_connect_sent = False
        # The time that the server took for the set-up, without the time that its data waited for this relay.
        self.setup_ms = 0.0
        self._started_at = started_at

    @property
    def is_draining(self) -> bool:
        """Whether the server announced lame-duck mode."""
        return bool(self.info.get("ldm"))

    def send_ping(
        self, journal_mark: int, *, answer: Answer | None = None, fence: asyncio.Future[None] | None = None
    ) -> None:
        """Send a PING; its PONG confirms everything that was sent before it."""
        now = asyncio.get_running_loop().time()
        self.pending_pings.append(PendingPing(journal_mark, now, answer, fence))
        self.out.enqueue(b"PING\r\n")

    def unresponsive_seconds(self) -> float:
        """Return the time in s without any data from the server while a PONG is due, 0 if none is due."""
        if not self.pending_pings:
            return 0.0
        last_sign_at = max(self.reader.last_received_at, self.pending_pings[0].sent_at)
        return asyncio.get_running_loop().time() - last_sign_at

    async def handshake(
        self, connect: bytes, reason_not_to_send: Callable[[], AttemptResult | None]
    ) -> AttemptResult:
        """Send the client's CONNECT; the server is up once it answers a PING.

        `reason_not_to_send` is asked once the server's INFO has arrived, which may be late. If it returns a
        result, nothing is sent and the attempt ends with that result.
        """
        try:
            while (frame := await self.reader.read_frame()) is not None:
                result = self._handle_handshake_frame(frame, connect, reason_not_to_send)
                if result is not None:
                    return result
        except (ProtocolError, ValueError):
            return AttemptResult.ERROR
        except OSError:
            return AttemptResult.RESET
        return AttemptResult.RESET

    def _handle_handshake_frame(
        self, frame: Frame, connect: bytes, reason_not_to_send: Callable[[], AttemptResult | None]
    ) -> AttemptResult | None:
        """Return the result if this frame ends the handshake, else None."""
        match frame.operation:
            case "INFO":
                self._add_greeting_time()
                self.update_info(frame.arguments[0])
                return self._send_connect(connect, reason_not_to_send)
            case "PING":
                self.out.enqueue(b"PONG\r\n")
            case "PONG":
                self.setup_ms += segment_ages(self.sock).answer_ms
                return AttemptResult.OK
            case "-ERR":
                text = error_text(frame)
                if text.lower().startswith(REJECTION_TEXTS):
                    return AttemptResult.OVERLOADED
                if text.lower().startswith(DENIAL_TEXTS):
                    self.denial = text
                return AttemptResult.ERROR
        return None

    def _add_greeting_time(self) -> None:
        """Add the time until the first INFO to the set-up time."""
        if not self.is_connect_sent:
            elapsed_ms = (asyncio.get_running_loop().time() - self._started_at) * 1000
            self.setup_ms = max(0.0, elapsed_ms - segment_ages(self.sock).received_ms)

    def _send_connect(
        self, connect: bytes, reason_not_to_send: Callable[[], AttemptResult | None]
    ) -> AttemptResult | None:
        """Answer the first INFO with the client's CONNECT; return a result if the attempt ends instead."""
        if self.info.get("tls_required") or self.is_draining:
            return AttemptResult.OVERLOADED  # nothing was sent, so nothing was executed
        if self.is_connect_sent:
            return None
        obstacle = reason_not_to_send()
        if obstacle is not None:
            return obstacle
        self.out.enqueue(connect + b"PING\r\n")
        self.is_connect_sent = True
        return None

    def update_info(self, text: bytes) -> None:
        """Merge the values of an INFO; raise ProtocolError or ValueError."""
        info = orjson.loads(text)
        if not isinstance(info, dict):
            raise ProtocolError(PARSER_ERROR)
        self.info |= info

    async def close(self, *, reset: bool = False) -> None:
        """Close the connection without reading further data.

        With `reset`, data that the system has not sent yet is discarded. After a graceful close it would
        still reach a server that is unresponsive now and recovers later.
        """
        await self.out.close()
        close_socket(self.sock, reset=reset)
