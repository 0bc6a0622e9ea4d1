"""Executes a client's operations; each is recorded first, so that the next server gets it if one fails."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from violetdoor.fronts.nats import frames
from violetdoor.fronts.nats.answers import OK
from violetdoor.fronts.nats.errors import (
    END_WITHOUT_ERROR,
    INTERNAL_ERROR,
    INVALID_SUBJECT,
    PARSER_ERROR,
    SLOW_CLIENT,
    TOO_MANY_SUBSCRIPTIONS,
    ClientDeniedError,
    ProtocolError,
    SessionEnd,
)
from violetdoor.fronts.nats.frames import Frame
from violetdoor.fronts.nats.message_ids import RecentMessageIds
from violetdoor.fronts.nats.state import Subscription
from violetdoor.net.disconnect_monitor import DisconnectMonitor
from violetdoor.net.outbox import SlowReaderError
from violetdoor.net.sockets import DISCONNECT_POLL_INTERVAL_SECONDS, is_peer_closed
from violetdoor.net.task_turn import TaskTurn

if TYPE_CHECKING:
    from violetdoor.fronts.nats.client import NatsClient
    from violetdoor.fronts.nats.front_protocol import Front
    from violetdoor.fronts.nats.server_binding import ServerBinding

log = logging.getLogger("violetdoor.nats")

MAX_UNANSWERED_PINGS = 64  # PINGs of a client without a server before its next operation waits
MAX_PENDING_ANSWERS = 4096  # answers owed to a client before its next operation waits
SUB_ARGUMENTS_WITH_QUEUE = 3
UNSUB_ARGUMENTS_WITH_COUNT = 2


class ClientOperations:
    """Executes a client's operations on its current server."""

    __slots__ = ("_binding", "_client", "_counts", "_front")

    def __init__(self, front: Front, client: NatsClient, binding: ServerBinding) -> None:
        """Start before the first operation."""
        self._front = front
        self._counts = front.counts
        self._client = client
        self._binding = binding

    async def run(self, first: Frame) -> None:
        """Execute the client's operations until it disconnects, violates the protocol, or is stale."""
        client = self._client
        end = END_WITHOUT_ERROR
        turn = TaskTurn()
        monitor = DisconnectMonitor(client.sock)
        frame: Frame | None = first
        try:
            while frame is not None:
                if not await self._wait_until_executable(frame):
                    break
                if monitor.has_left():
                    self._counts["nats_left_unread"] += 1
                    break
                self._execute(frame)
                await self._apply_backpressure()
                if turn.is_over_after_step():
                    await asyncio.sleep(0)
                frame = await client.next_frame()
        except (ProtocolError, ClientDeniedError) as err:
            self._counts["nats_malformed"] += 1
            end = SessionEnd(str(err))
        except SlowReaderError:
            end = SLOW_CLIENT
        except OSError as err:
            log.info("client connection broke: %s; ending its session", err)
        except Exception:
            self._counts["faults"] += 1
            log.exception("internal error while executing a client's operation; ending its session")
            end = SessionEnd(INTERNAL_ERROR)
        finally:
            client.end(end)

    async def _wait_until_executable(self, frame: Frame) -> bool:
        """Wait for a server, and while too many answers are due; False if the client disconnects meanwhile.

        Operations that only change the client's state need no server. Guards against a disconnect behind
        operations that stay unread without a server: the session would be placed after its client has gone.
        """
        while self._must_wait(frame):
            waiting_for = self._binding.connected
            if self._binding.connection is not None:
                waiting_for = self._binding.confirmed
                waiting_for.clear()
                self._binding.request_confirmation()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DISCONNECT_POLL_INTERVAL_SECONDS):
                    await waiting_for.wait()
            if self._binding.connection is None and is_peer_closed(self._client.sock):
                return False
        return True

    def _must_wait(self, frame: Frame) -> bool:
        """Return whether this operation cannot be executed yet."""
        binding = self._binding
        if len(self._client.answers) >= MAX_PENDING_ANSWERS:
            return True
        if binding.connection is not None:
            return False
        return frame.operation in ("PUB", "HPUB") or len(binding.unanswered_pings) >= MAX_UNANSWERED_PINGS

    async def _apply_backpressure(self) -> None:
        """Wait while too many answers are queued, or publications are unconfirmed or not written yet.

        Raises SlowReaderError if the client does not read its answers.
        """
        binding = self._binding
        await self._client.out.wait_for_capacity()
        journal = binding.journal
        max_unconfirmed = self._front.options.max_unconfirmed_bytes
        connection = binding.connection
        while connection is not None and journal.size_bytes > max_unconfirmed:
            binding.request_confirmation()
            binding.confirmed.clear()
            await binding.confirmed.wait()
            connection = binding.connection
        if connection is not None:
            with contextlib.suppress(SlowReaderError):  # unresponsive: found by its missing PONGs
                await connection.out.wait_for_capacity()

    def _execute(self, frame: Frame) -> None:
        """Execute one operation; raise ProtocolError or ClientDeniedError."""
        match frame.operation:
            case "PONG":
                return
            case "PING":
                self._ping()
                return
            case "CONNECT":
                self._client.handle_connect(frame)
                is_accepted = True
            case "PUB" | "HPUB":
                self._publish(frame)
                return
            case "SUB":
                is_accepted = self._subscribe(frame)
            case _:
                self._unsubscribe(frame)
                is_accepted = True
        if is_accepted and self._client.is_verbose:
            self._client.answers.add_resolved(OK)

    def _ping(self) -> None:
        """Forward a PING, so that the server's PONG confirms the client's earlier operations."""
        binding = self._binding
        answer = self._client.answers.add_pong()
        if binding.connection is None:
            binding.unanswered_pings.append(answer)
        else:
            binding.connection.send_ping(binding.journal.added_count, answer=answer)

    def _reject(self, error_text: str) -> None:
        """Answer an operation that is not executed; in verbose mode in the order of the operations."""
        line = frames.error(error_text)
        if self._client.is_verbose:
            self._client.answers.add_resolved(line)
        else:
            self._client.out.enqueue(line)

    def _publish(self, frame: Frame) -> None:
        """Publish a message; it is answered once a server has confirmed it."""
        self._counts["publications"] += 1
        if self._front.gate is not None:
            self._front.gate.record_forwarded()
        if not frames.is_valid_subject(frame.arguments[0], allow_wildcards=False):
            self._reject(INVALID_SUBJECT)
            return
        binding, client = self._binding, self._client
        binding.add_publication(frame, client.answers.add_publication(is_verbose=client.is_verbose))
        if binding.connection is not None:
            binding.connection.out.enqueue(frame.raw)
            if client.is_verbose:  # it may wait for this answer before it sends more
                binding.request_confirmation()

    def _subscribe(self, frame: Frame) -> bool:
        """Add a subscription; False if it was rejected."""
        binding = self._binding
        subject, sid = frame.arguments[0], frame.arguments[-1]
        queue = frame.arguments[1] if len(frame.arguments) == SUB_ARGUMENTS_WITH_QUEUE else b""
        if not frames.is_valid_subject(subject, allow_wildcards=True):
            self._reject(INVALID_SUBJECT)
            return False
        if sid in binding.subscriptions:
            return True
        if len(binding.subscriptions) >= self._front.options.max_subscriptions:
            self._reject(TOO_MANY_SUBSCRIPTIONS)
            return False
        self._counts["subscriptions"] += 1
        recent_ids = binding.group_ids(subject, queue)
        if recent_ids is None:
            recent_ids = RecentMessageIds(self._front.options.repeat_window, self._front.retention_budget)
        number = self._front.first_deliveries.begin_subscription()
        subscription = Subscription(sid, subject, queue, number, recent_ids=recent_ids)
        binding.subscriptions[sid] = subscription
        if binding.connection is not None:
            binding.connection.out.enqueue(subscription.replay())
        return True

    def _unsubscribe(self, frame: Frame) -> None:
        """End a subscription, now or after a total number of messages; raise ProtocolError."""
        binding = self._binding
        sid = frame.arguments[0]
        max_messages = frame.arguments[1] if len(frame.arguments) == UNSUB_ARGUMENTS_WITH_COUNT else b"0"
        if not max_messages.isdigit():
            raise ProtocolError(PARSER_ERROR)
        subscription = binding.subscriptions.get(sid)
        if subscription is None:
            return
        subscription.max_messages = int(max_messages)
        if not subscription.max_messages or subscription.is_exhausted:
            binding.remove_subscription(subscription)
            subscription.max_messages = 0
        if binding.connection is not None:
            remaining = 0
            if subscription.max_messages:
                delivered_elsewhere = subscription.delivered - subscription.received
                remaining = subscription.max_messages - delivered_elsewhere
            binding.connection.out.enqueue(frames.unsubscribe(sid, remaining))
