"""Actions: everything that the decision module asks for in answer to an event.

Times are milliseconds on the relay's own clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt to connect a request to a server."""

    request_id: int
    server: str
    timeout_at_ms: float  # it counts as timed out then
    start_by_ms: float = math.inf  # its first byte is sent by then, or not at all


@dataclass(slots=True, frozen=True)
class Reject:
    """Answer a request finally: the client may safely send it again."""

    request_id: int
    retry_after_ms: float = 0.0  # Retry-After: how long the client is to wait


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Answer a request finally: it may have been executed, so that a repeat may not be safe."""

    request_id: int


@dataclass(slots=True, frozen=True)
class Migrate:
    """Close an open connection cleanly: its client then connects anew, to another server."""

    request_id: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check a server's health; a HealthCheckEnded follows."""

    server: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Set a timer; a TimerFired follows at `at_ms` or soon after."""

    token: str  # names the timer in the event
    at_ms: float


@dataclass(slots=True, frozen=True)
class WatchServerList:
    """Poll the server list, and watch it for changes from then on."""


Action = StartAttempt | Reject | FailRequest | Migrate | CheckHealth | SetTimer | WatchServerList
