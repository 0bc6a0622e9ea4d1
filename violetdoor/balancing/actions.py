"""Actions: what the decision module requests of its caller in response to an event.

Times are in milliseconds on the relay's own clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from violetdoor.balancing.events import Event


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


class EventHandlingError(Exception):
    """The decision module failed on an event; `__cause__` has the exception, a fault of this program.

    The actions that it decided before are valid and have to be executed: there may be final answers among
    them, and the module does not decide anything twice.
    """

    def __init__(self, event: Event, actions: list[Action]) -> None:
        """Carry the event and the actions decided before the failure."""
        super().__init__(f"decision module failed on {type(event).__name__}")
        self.event = event
        self.actions = actions
