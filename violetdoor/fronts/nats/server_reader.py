"""Reads a server: forwards its messages to the client, and confirms publications by its PONGs."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from violetdoor.fronts.nats import frames
from violetdoor.fronts.nats.errors import ProtocolError
from violetdoor.fronts.nats.frames import Frame, error_text
from violetdoor.fronts.nats.message_ids import message_hash
from violetdoor.net.task_turn import TaskTurn
from violetdoor.net.tcp_info import segment_ages

if TYPE_CHECKING:
    from violetdoor.core import RequestHandle
    from violetdoor.fronts.nats.client import NatsClient
    from violetdoor.fronts.nats.front_protocol import Front
    from violetdoor.fronts.nats.server_binding import ServerBinding
    from violetdoor.fronts.nats.server_connection import ServerConnection
    from violetdoor.fronts.nats.state import Subscription

log = logging.getLogger("violetdoor.nats")

LIVENESS_CHECK_SECONDS = 0.05  # between two liveness checks
# Errors that do not close a connection; they are forwarded, as the client may be able to handle them.
FORWARDED_ERRORS = ("permissions violation", "invalid subject", "maximum subscriptions")


class ServerReader:
    """Reads one server for one client, from the handshake until the connection ends."""

    __slots__ = ("_binding", "_client", "_connection", "_counts", "_front", "_loop", "_request")

    def __init__(
        self, front: Front, client: NatsClient, binding: ServerBinding, request: RequestHandle
    ) -> None:
        """Read the current server of the binding."""
        assert binding.connection is not None
        self._front = front
        self._counts = front.counts
        self._client = client
        self._binding = binding
        self._connection: ServerConnection = binding.connection
        self._request = request
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Handle the server's frames until it disconnects; raise OSError if the client stops reading."""
        connection = self._connection
        turn = TaskTurn()
        try:
            while (frame := await connection.reader.read_frame()) is not None:
                if frame.operation in ("MSG", "HMSG"):
                    await self._forward_message(frame)
                else:
                    self._handle(frame)
                if turn.is_over_after_step():
                    await asyncio.sleep(0)
        except (ProtocolError, ValueError) as err:
            log.warning(
                "server %s violated the NATS protocol: %s; closing its connection", self._request.server, err
            )

    async def watch_liveness(self) -> None:
        """Send PINGs to the server; return once it has been silent for the silence timeout."""
        connection, options = self._connection, self._front.options
        next_ping_at = self._loop.time()
        while not connection.out.error:
            # While the client's queue is full the server is not read from, so its silence means nothing.
            is_read = not self._client.out.is_full
            if is_read and connection.unresponsive_seconds() >= options.silence_timeout:
                return
            if self._loop.time() >= next_ping_at and not connection.pending_pings:
                connection.send_ping(self._binding.journal.added_count)
                next_ping_at = self._loop.time() + options.ping_interval
            await asyncio.sleep(LIVENESS_CHECK_SECONDS)

    def _handle(self, frame: Frame) -> None:
        """Handle a frame other than a message."""
        connection, client, request = self._connection, self._client, self._request
        match frame.operation:
            case "PING":
                connection.out.enqueue(b"PONG\r\n")
            case "PONG":
                self._handle_pong()
            case "INFO":
                connection.update_info(frame.arguments[0])
                if connection.is_draining and not request.migration_requested.done():
                    self._counts["nats_ldm"] += 1
                    self._front.core.mark_draining(request.server)
                    request.migration_requested.set_result(None)
            case "-ERR":
                text = error_text(frame)
                if text.lower().startswith(FORWARDED_ERRORS):
                    client.out.enqueue(frame.raw)
                else:
                    log.warning("server %s sent -ERR %s; not forwarded to its client", request.server, text)

    async def _forward_message(self, frame: Frame) -> None:
        """Deliver a message, then wait while the client's queue is full."""
        if self._front.gate is not None:
            self._front.gate.record_forwarded()
        self._deliver(frame)
        out = self._client.out
        if out.is_full:
            await out.wait_for_capacity()
            # The server was not read from meanwhile, so this time does not count as silence.
            self._connection.reader.last_received_at = self._loop.time()

    def _deliver(self, frame: Frame) -> None:
        """Queue one message for the client, unless it is a duplicate."""
        binding, client = self._binding, self._client
        subscription = binding.subscriptions.get(frame.arguments[1])
        if subscription is None:
            self._counts["messages_unwanted"] += 1
            return
        subscription.received += 1
        if not self._is_wanted(frame, subscription):
            if subscription.max_messages:  # the server counted the message: restore the count
                lines = frames.unsubscribe(subscription.sid) + subscription.replay()
                self._connection.out.enqueue(lines)
            return
        self._counts["messages_down"] += 1
        subscription.delivered += 1
        if subscription.is_exhausted:
            binding.remove_subscription(subscription)
        if frame.operation == "HMSG" and not client.supports_headers:
            client.out.enqueue(frames.without_headers(frame))
        else:
            client.out.enqueue(frame.raw)

    def _is_wanted(self, frame: Frame, subscription: Subscription) -> bool:
        """Return whether to deliver a message, which is neither a second copy nor a second answer."""
        if self._is_duplicate(frame, subscription):
            self._counts["messages_repeated"] += 1
            return False
        if not self._binding.requests.accept_message(frame.arguments[0]):
            self._counts["replies_after_answer"] += 1
            return False
        return True

    def _is_duplicate(self, frame: Frame, subscription: Subscription) -> bool:
        """Return whether the client had this message already, in any session; record it if not.

        A JetStream consumer sends stored messages, so earlier ones may come on a new subscription.
        """
        dedup_id = frames.message_id(frame.headers)
        if not dedup_id:
            return False
        now = self._loop.time()
        if frames.is_jetstream_delivery(frame):
            return subscription.is_duplicate(dedup_id, now)
        deliveries = self._front.first_deliveries
        message = message_hash(self._client.account, frame.arguments[0], dedup_id)
        if deliveries.precedes(message, subscription.number) or subscription.is_duplicate(dedup_id, now):
            return True
        deliveries.record(message, now)
        return False

    def _handle_pong(self) -> None:
        """Confirm the publications that were sent before the PING that this PONG answers."""
        pending_pings = self._connection.pending_pings
        if not pending_pings:
            return
        ping = pending_pings.popleft()
        binding = self._binding
        confirmed = binding.confirm_publications(ping.journal_mark)
        self._counts["publications_confirmed"] += len(confirmed)
        self._client.answers.succeed(*(publication.answer for publication in confirmed))
        binding.confirmed.set()
        unread_ms = segment_ages(self._connection.sock).received_ms  # how long it waited for this relay
        delay_ms = (self._loop.time() - ping.sent_at) * 1000 - unread_ms
        self._front.core.message_delays.add(self._request.server, max(0.0, delay_ms))
        if ping.answer is not None:
            self._client.answers.succeed(ping.answer)
        if self._client.is_verbose:
            binding.request_confirmation()
        if ping.fence is not None and not ping.fence.done():
            ping.fence.set_result(None)
