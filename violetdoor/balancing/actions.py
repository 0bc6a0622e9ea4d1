"""Actions: what the decision module requests of its caller in response to an event.

Times are in milliseconds on the relay's own clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt to connect a request to a server."""

    request_id: int
    server: str
    timeout_at_ms: float  # when the attempt counts as timed out
    start_by_ms: float = math.inf  # latest time to send its first byte; later, nothing may be sent


@dataclass(slots=True, frozen=True)
class Reject:
    """Reject a request as its final answer: the client may safely send it again."""

    request_id: int
    retry_after_ms: float = 0.0  # Retry-After: how long the client should wait before it tries again


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Fail a request as its final answer: it may have been executed, so a repeat may not be safe."""

    request_id: int


@dataclass(slots=True, frozen=True)
class Migrate:
    """Close an open connection cleanly, so that its client reconnects to another server."""

    request_id: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check the health of a server; the result is delivered as a HealthCheckEnded event."""

    server: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Set a timer; a TimerFired event follows at `at_ms` or shortly after."""

    token: str  # identifies the timer in the TimerFired event
    at_ms: float


@dataclass(slots=True, frozen=True)
class WatchServerList:
    """Poll the server list now and watch it for changes afterwards."""


Action = StartAttempt | Reject | FailRequest | Migrate | CheckHealth | SetTimer | WatchServerList
