"""Drives the decision module of one relay in tests: delivers events one by one and records the actions."""

from __future__ import annotations

from typing import TypeVar

from violetdoor.balancing.actions import (
    Action,
    CheckHealth,
    FailRequest,
    Reject,
    SetTimer,
    StartAttempt,
)
from violetdoor.balancing.balancer import Balancer
from violetdoor.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    Event,
    HealthCheckEnded,
    RequestAbandoned,
    RequestArrived,
    ServerEntry,
    ServerListKind,
    ServerListUpdate,
    TimerFired,
)
from violetdoor.balancing.settings import BalancerSettings, RequestClass

ActionType = TypeVar("ActionType")
NO_REQUEST = 0  # an id without a request


class RelayDriver:
    """A relay with equal servers in its zone; timers fire as its virtual time advances."""

    def __init__(
        self, servers: int = 4, seed: int = 1, weights: list[float] | None = None, **settings: object
    ) -> None:
        feed = RequestClass(latency_objective_ms=300.0, message_latency_objective_ms=50.0)
        classes = settings.pop("classes", None) or {"feed": feed}
        base: dict[str, object] = {
            "zone": "a",
            "health_checks_report_load": False,
            "max_attempts": 4,
            "min_call_interval_ms": 1.0,
        }
        self.settings = BalancerSettings(classes=classes, **(base | settings))  # type: ignore[arg-type]
        self.balancer = Balancer(self.settings, seed, 0.0)
        self.actions: list[Action] = []
        self.now_ms = 0.0
        weights = weights or [1.0] * servers
        self.entries = [
            ServerEntry(f"s{number}", zone="a", weight=weight) for number, weight in enumerate(weights)
        ]
        self.update_servers(*self.entries)

    def deliver(self, now_ms: float, event: Event) -> list[Action]:
        """Fire the timers that are due before `now_ms`, then deliver the event."""
        while True:
            timers = [
                action for action in self.actions if isinstance(action, SetTimer) and action.at_ms <= now_ms
            ]
            if not timers:
                break
            first = min(timers, key=lambda timer: timer.at_ms)
            self.actions.remove(first)
            self.now_ms = max(self.now_ms, first.at_ms)
            self.actions += self.balancer.handle(self.now_ms, TimerFired(first.token))
        self.now_ms = now_ms
        actions = self.balancer.handle(now_ms, event)
        self.actions += actions
        return actions

    def advance_to(self, now_ms: float) -> None:
        """Advance the time to `now_ms`."""
        self.deliver(now_ms, RequestAbandoned(NO_REQUEST))

    def update_servers(
        self, *entries: ServerEntry, kind: ServerListKind = ServerListKind.INCREMENTAL
    ) -> list[Action]:
        """Deliver a server list or a change of the list."""
        return self.deliver(self.now_ms, ServerListUpdate(kind, tuple(entries)))

    def request(self, request_id: int, time_left_ms: float = 2000.0, **values: object) -> list[Action]:
        """Deliver the arrival of a request."""
        arrival = RequestArrived(request_id, "feed", time_left_ms, **values)  # type: ignore[arg-type]
        return self.deliver(self.now_ms, arrival)

    def end_attempt(self, request_id: int, result: AttemptResult, *, is_final: bool = False) -> list[Action]:
        """End the latest attempt of a request with `result`."""
        servers = self.attempted_servers(request_id)
        return self.deliver(
            self.now_ms,
            AttemptEnded(request_id, len(servers) - 1, servers[-1], result, 1.0, is_final),
        )

    def establish(self, request_id: int) -> None:
        """Establish the connection of the latest attempt of a request."""
        servers = self.attempted_servers(request_id)
        self.deliver(self.now_ms, ConnectionEstablished(request_id, len(servers) - 1, servers[-1], 1.0))

    def actions_of(self, kind: type[ActionType]) -> list[ActionType]:
        """Return the recorded actions of one type."""
        return [action for action in self.actions if isinstance(action, kind)]

    def attempted_servers(self, request_id: int) -> list[str]:
        """Return the servers of a request's attempts, in order."""
        return [
            attempt.server for attempt in self.actions_of(StartAttempt) if attempt.request_id == request_id
        ]

    def final_answers(self, request_id: int) -> list[Action]:
        """Return the final answers of a request."""
        return [
            action
            for action in self.actions
            if isinstance(action, (Reject, FailRequest)) and action.request_id == request_id
        ]

    def finish_health_checks(
        self, load: float, loads: dict[str, float] | None = None, after_ms: float = 1.0
    ) -> None:
        """End every pending health check with a load report: the server's in `loads`, or `load`."""
        for check in self.actions_of(CheckHealth):
            self.actions.remove(check)
            report = {"load": (loads or {}).get(check.server, load)}
            self.deliver(
                self.now_ms + after_ms,
                HealthCheckEnded(check.server, AttemptResult.OK, after_ms, report),
            )
            after_ms = 0.0

    def finish_timed_health_checks(self, times_ms: dict[str, float], default_ms: float) -> None:
        """End every pending health check without a report; its duration is the server's or the default."""
        for check in self.actions_of(CheckHealth):
            self.actions.remove(check)
            latency_ms = times_ms.get(check.server, default_ms)
            self.deliver(self.now_ms, HealthCheckEnded(check.server, AttemptResult.OK, latency_ms))
