"""One request as the task that owns it sees it: decisions are awaited, the ends of attempts reported."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Protocol

from violetdoor.balancing.actions import FailRequest, Reject, StartAttempt
from violetdoor.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    ConnectionMeasured,
    Event,
    MeasurementKind,
    RequestAbandoned,
)
from violetdoor.balancing.settings import BalancerSettings

log = logging.getLogger("violetdoor.core")

MAX_UNANSWERED_MESSAGES = 64  # of one connection whose answers are timed; of more the oldest are not


@dataclass(slots=True, frozen=True)
class RequestAttributes:
    """What a client's request says of itself, beyond its time."""

    request_class: str
    tenant: str
    idempotency_key: int | None = None
    load: float | None = None  # ms of work a second that it asks for, where it says so
    group: int | None = None
    is_retry: bool = False
    is_reconnect: bool = False  # its connection was migrated or broken before


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """In place of a decision: the client has disconnected, and is owed no answer any more."""


Decision = StartAttempt | Reject | FailRequest | ClientDisconnected


class RequestOwner(Protocol):
    """The controller as its handles see it."""

    settings: BalancerSettings
    loop: asyncio.AbstractEventLoop
    now: Callable[[], float]  # the relay's time in ms

    def handle(self, event: Event) -> None:
        """Give the decision module an event."""

    def add_established(self, request: RequestHandle) -> None:
        """Record that a request's connection is established."""

    def record_answer(self, server: str, sent_at_ms: float) -> None:
        """Record that a server answered a message that was sent to it at this time."""

    def remove_request(self, request: RequestHandle) -> None:
        """Drop a request whose owner has ended."""


class RequestHandle:
    """One request: its owner awaits decisions, carries them out and reports how attempts end.

    `migration_requested` and `server_unresponsive` are done once an established connection has to end for
    that reason.
    """

    __slots__ = (
        "_attempt_started_at",
        "_controller",
        "_has_attempt_in_flight",
        "_next_decision",
        "attempt",
        "deadline_ms",
        "is_finished",
        "message_latency_objective_ms",
        "migration_requested",
        "request_class",
        "request_id",
        "server",
        "server_unresponsive",
        "unanswered_sent_at",
    )

    def __init__(
        self, controller: RequestOwner, request_id: int, request_class: str, deadline_ms: float
    ) -> None:
        """Start without a decision; only the controller makes handles."""
        classes = controller.settings.classes
        self._controller = controller
        self.request_id = request_id
        self.request_class = request_class
        self.deadline_ms = deadline_ms
        self.message_latency_objective_ms = classes[request_class].message_latency_objective_ms
        self._next_decision: asyncio.Future[Decision] = controller.loop.create_future()
        self.migration_requested: asyncio.Future[None] = controller.loop.create_future()
        self.server_unresponsive: asyncio.Future[None] = controller.loop.create_future()
        self.unanswered_sent_at: deque[float] = deque(maxlen=MAX_UNANSWERED_MESSAGES)  # oldest first
        self.server = ""
        self.attempt = -1
        self.is_finished = False
        self._has_attempt_in_flight = False
        self._attempt_started_at = 0.0

    # What to do.

    async def next_decision(self) -> Decision:
        """Wait for the next decision; after a StartAttempt report its end before asking again."""
        decision = await self._next_decision
        if isinstance(decision, StartAttempt):
            if self.is_finished:  # the client disconnected between the decision and this wake-up
                return ClientDisconnected()
            self._next_decision = self._controller.loop.create_future()
        return decision

    def deliver_decision(self, decision: Decision) -> None:
        """Hand the owner its next decision; guard against a second final answer or concurrent attempt."""
        is_owed = isinstance(decision, ClientDisconnected) or not self.is_finished
        if self._next_decision.done() or not is_owed:
            log.error("request %d: unexpected decision dropped: %r", self.request_id, decision)
            return
        if isinstance(decision, StartAttempt):
            if self._has_attempt_in_flight:
                log.error("request %d: concurrent attempt dropped", self.request_id)
                return
            self._begin_attempt(self.attempt + 1, decision.server)
        else:
            self.is_finished = True
        self._next_decision.set_result(decision)

    def mark_adopted(self, server: str) -> None:
        """Count a connection that was open at this server before this program started."""
        self._begin_attempt(0, server)

    def _begin_attempt(self, attempt: int, server: str) -> None:
        self.server = server
        self.attempt = attempt
        self._has_attempt_in_flight = True
        self._attempt_started_at = self._controller.now()

    # The established connection.

    def connection_established(self) -> None:
        """Report that the attempt's connection is established; it belongs to this server now."""
        latency = self._controller.now() - self._attempt_started_at
        self._controller.add_established(self)
        self._controller.handle(ConnectionEstablished(self.request_id, self.attempt, self.server, latency))

    def record_measurement(self, kind: MeasurementKind, value: float) -> None:
        """Report the connection's load, in the unit of the load hint, or a message delay in ms."""
        self._controller.handle(ConnectionMeasured(self.request_id, self.attempt, self.server, kind, value))

    def message_sent(self) -> None:
        """Record that a message that wants an answer went to the server."""
        self.unanswered_sent_at.append(self._controller.now())

    def message_answered(self) -> None:
        """Record that the answer to the oldest such message came."""
        if self.unanswered_sent_at:
            self._controller.record_answer(self.server, self.unanswered_sent_at.popleft())

    # Its end.

    def attempt_ended(
        self,
        result: AttemptResult,
        *,
        is_final: bool = False,
        load_report: Mapping[str, float] = MappingProxyType({}),
    ) -> None:
        """Report how the attempt ended, with its server's load report; final if no answer is owed."""
        if not self._has_attempt_in_flight:
            return
        self._has_attempt_in_flight = False
        self.is_finished = self.is_finished or is_final
        latency = self._controller.now() - self._attempt_started_at
        self._controller.handle(
            AttemptEnded(self.request_id, self.attempt, self.server, result, latency, is_final, load_report)
        )
        if is_final:
            self._controller.remove_request(self)

    def client_disconnected(self) -> None:
        """Report that the client disconnected before its connection was established."""
        if self.is_finished:
            return
        self.is_finished = True
        self._controller.handle(RequestAbandoned(self.request_id))
        if self._next_decision.done():
            self._has_attempt_in_flight = False  # that attempt never begins
        else:
            self._next_decision.set_result(ClientDisconnected())

    def close(self) -> None:
        """Give up what the decision module still holds of the request: its owner has ended."""
        self._has_attempt_in_flight = False
        if not self.is_finished:
            self.is_finished = True
            self._controller.handle(RequestAbandoned(self.request_id))
        self._controller.remove_request(self)


EstablishedByServer = dict[str, dict[int, RequestHandle]]  # by server, then by request id
