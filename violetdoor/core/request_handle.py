"""The interface of a request's owner task: it awaits decisions and reports how attempts end."""

from __future__ import annotations

import asyncio
import logging
import math
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

MAX_UNANSWERED_MESSAGES = 64  # per connection; beyond it, the oldest are no longer timed


@dataclass(slots=True, frozen=True)
class RequestAttributes:
    """Attributes of a client's request, except its time limit."""

    request_class: str
    tenant: str
    idempotency_key: int | None = None
    load: float | None = None  # load hint in ms of work per second; None without a hint
    group: int | None = None
    is_retry: bool = False
    is_reconnect: bool = False  # its previous connection was migrated or broken


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """Returned instead of a decision: the client has disconnected and needs no answer."""


Decision = StartAttempt | Reject | FailRequest | ClientDisconnected


class RequestOwner(Protocol):
    """The part of the controller that request handles use."""

    settings: BalancerSettings
    loop: asyncio.AbstractEventLoop
    now: Callable[[], float]  # the relay's time in ms

    def handle(self, event: Event) -> None:
        """Pass an event to the decision module."""

    def add_established(self, request: RequestHandle) -> None:
        """Record that a request's connection is established."""

    def record_answer(self, server: str, sent_at_ms: float) -> None:
        """Record that a server has now answered a message that was sent at `sent_at_ms`."""

    def remove_request(self, request: RequestHandle) -> None:
        """Remove a request that has ended."""


class RequestHandle:
    """One request: its owner awaits decisions, executes them and reports how attempts end.

    The futures `migration_requested` and `server_unresponsive` complete when an established connection must
    be closed for that reason.
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
        """Start without a decision; only the controller creates handles."""
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

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt was decided and its end is not reported yet."""
        return self._has_attempt_in_flight

    # Decisions.

    async def next_decision(self) -> Decision:
        """Wait for the next decision; after a StartAttempt, report its end before the next call."""
        decision = await self._next_decision
        if isinstance(decision, StartAttempt):
            if self.is_finished:  # the client disconnected between the decision and this wake-up
                return ClientDisconnected()
            self._next_decision = self._controller.loop.create_future()
        return decision

    def deliver_decision(self, decision: Decision) -> None:
        """Pass a decision to the owner; drop a second final answer and a concurrent attempt."""
        is_expected = isinstance(decision, ClientDisconnected) or not self.is_finished
        if self._next_decision.done() or not is_expected:
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
        """Record a connection that was open at this server before this process started."""
        self._begin_attempt(0, server)

    def _begin_attempt(self, attempt: int, server: str) -> None:
        self.server = server
        self.attempt = attempt
        self._has_attempt_in_flight = True
        self._attempt_started_at = self._controller.now()

    # Established connection.

    def connection_established(self, setup_ms: float = math.inf) -> None:
        """Report that the connection of the current attempt is established at its server.

        `setup_ms` is the part of the time that the server took, if the front can tell it from this relay's.
        """
        latency = min(setup_ms, self._controller.now() - self._attempt_started_at)
        self._controller.add_established(self)
        self._controller.handle(ConnectionEstablished(self.request_id, self.attempt, self.server, latency))

    def record_measurement(self, kind: MeasurementKind, value: float) -> None:
        """Report the connection's load, in the unit of the load hint, or a message delay in ms."""
        self._controller.handle(ConnectionMeasured(self.request_id, self.attempt, self.server, kind, value))

    def message_sent(self) -> None:
        """Record that a message that requires an answer was sent to the server."""
        self.unanswered_sent_at.append(self._controller.now())

    def message_answered(self) -> None:
        """Record that the oldest unanswered message was answered."""
        if self.unanswered_sent_at:
            self._controller.record_answer(self.server, self.unanswered_sent_at.popleft())

    # End of the attempt or the request.

    def attempt_ended(
        self,
        result: AttemptResult,
        *,
        is_final: bool = False,
        load_report: Mapping[str, float] = MappingProxyType({}),
    ) -> None:
        """Report the attempt's result and its server's load report; `is_final` if no answer is needed."""
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
            self._has_attempt_in_flight = False  # the attempt was decided but never starts
        else:
            self._next_decision.set_result(ClientDisconnected())

    def close(self) -> None:
        """Abandon the request if it is not finished, and remove it, after its owner has ended."""
        self._has_attempt_in_flight = False
        if not self.is_finished:
            self.is_finished = True
            self._controller.handle(RequestAbandoned(self.request_id))
        self._controller.remove_request(self)


EstablishedByServer = dict[str, dict[int, RequestHandle]]  # by server, then by request id
