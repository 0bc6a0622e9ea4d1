"""Message delays of servers: collected per window and reported to the decision module."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple, Protocol, TypeVar

from violetdoor.balancing.events import ConnectionMeasured, MeasurementKind
from violetdoor.core.request_handle import EstablishedByServer

WINDOW_MS = 1_000.0  # length of a window, and time between two reports
MAX_SAMPLES_PER_WINDOW = 64  # per server; enough for a median
THRESHOLD_DIVISOR = 3  # delays above the shortest message latency objective divided by this are reported


class TimedConnection(Protocol):
    """A connection whose request class has a message latency objective."""

    message_latency_objective_ms: float


TimedConnectionT = TypeVar("TimedConnectionT", bound=TimedConnection)


class ServerMessageDelay(NamedTuple):
    """The median message delay of one server in one window, in ms."""

    server: str
    delay_ms: float


@dataclass(slots=True)
class DelayWindow:
    """The message delays of one server in the current window, in ms."""

    samples: list[float] = field(default_factory=list)
    was_over_threshold: bool = False  # in the previous window


class MessageDelays:
    """Collects message delays, and selects the servers to report at the end of each window."""

    def __init__(self, shortest_objective_ms: float) -> None:
        """Start without samples; `shortest_objective_ms` is the shortest of all classes."""
        self.set_shortest_objective(shortest_objective_ms)
        self.windows: dict[str, DelayWindow] = {}

    def set_shortest_objective(self, objective_ms: float) -> None:
        """Derive the threshold from the shortest message latency objective of all classes."""
        self.threshold_ms = objective_ms / THRESHOLD_DIVISOR

    def add(self, server: str, delay_ms: float) -> None:
        """Add the delay of one message of a server."""
        window = self.windows.get(server)
        if window is None:
            window = self.windows[server] = DelayWindow()
        if len(window.samples) < MAX_SAMPLES_PER_WINDOW:
            window.samples.append(delay_ms)

    def close_window(self, unanswered_ages_ms: Mapping[str, list[float]]) -> list[ServerMessageDelay]:
        """Return the servers whose median is above the threshold, or was in the previous window.

        `unanswered_ages_ms` contains the ages of unanswered messages by server. Without them, a server that
        has stopped answering would have no samples.
        """
        for server, ages in unanswered_ages_ms.items():
            for age in ages:
                if age > self.threshold_ms:
                    self.add(server, age)
        reports = []
        for server, window in list(self.windows.items()):
            if not window.samples:
                del self.windows[server]
                continue
            delay = median(window.samples)  # not affected by a single delay within this process
            window.samples.clear()
            is_over_threshold = delay > self.threshold_ms
            if is_over_threshold or window.was_over_threshold:
                reports.append(ServerMessageDelay(server, delay))
            window.was_over_threshold = is_over_threshold
        return reports


def select_reporting_connection(
    connections: Mapping[int, TimedConnectionT],
) -> TimedConnectionT | None:
    """Return the connection for reporting a server's delay: one with the shortest objective, or None."""
    return min(connections.values(), key=lambda c: c.message_latency_objective_ms, default=None)


class DelayReporter:
    """Reports the message delays of slow servers to the decision module, on one connection per server."""

    def __init__(
        self,
        delays: MessageDelays,
        established: EstablishedByServer,
        clock: Callable[[], float],
        emit: Callable[[ConnectionMeasured], None],
    ) -> None:
        """Call `emit` with reports at the end of each window while `is_enabled` is set."""
        self.is_enabled = False
        self._delays = delays
        self._established = established
        self._clock = clock
        self._emit = emit
        self._loop = asyncio.get_running_loop()
        self._schedule()

    def _schedule(self) -> None:
        self._loop.call_later(WINDOW_MS / 1000, self._report)

    def _report(self) -> None:
        self._schedule()
        if not self.is_enabled:
            return
        now = self._clock()
        ages = {
            server: [now - r.unanswered_sent_at[0] for r in requests.values() if r.unanswered_sent_at]
            for server, requests in self._established.items()
        }
        for server, delay in self._delays.close_window(ages):
            request = select_reporting_connection(self._established.get(server, {}))
            if request is not None:
                self._emit(
                    ConnectionMeasured(
                        request.request_id, request.attempt, server, MeasurementKind.MESSAGE_DELAY, delay
                    )
                )
