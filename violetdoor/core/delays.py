"""Message delays of servers: measured here, reported to the decision module once a window."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple, Protocol, TypeVar

from violetdoor.balancing.events import ConnectionMeasured, MeasurementKind
from violetdoor.core.request_handle import EstablishedByServer

WINDOW_MS = 1_000.0  # between two reports on one server
MAX_SAMPLES_PER_WINDOW = 64  # of one server; a median needs no more
THRESHOLD_DIVISOR = 3  # delays over the shortest message latency objective by this are reported


class TimedConnection(Protocol):
    """A connection whose class has a latency objective for its messages."""

    message_latency_objective_ms: float


TimedConnectionT = TypeVar("TimedConnectionT", bound=TimedConnection)


class ServerMessageDelay(NamedTuple):
    """The median message delay of one server in one window, in ms."""

    server: str
    delay_ms: float


@dataclass(slots=True)
class DelayWindow:
    """The message delays of one server in this window, in ms."""

    samples: list[float] = field(default_factory=list)
    was_over_threshold: bool = False  # in the window before


class MessageDelays:
    """Collects message delays; once a window the median of each slow server is to be reported."""

    def __init__(self, shortest_objective_ms: float) -> None:
        """Start with no samples; the objective is the shortest of all classes."""
        self.set_shortest_objective(shortest_objective_ms)
        self.windows: dict[str, DelayWindow] = {}

    def set_shortest_objective(self, objective_ms: float) -> None:
        """Derive the threshold from the shortest message latency objective of all classes."""
        self.threshold_ms = objective_ms / THRESHOLD_DIVISOR

    def add(self, server: str, delay_ms: float) -> None:
        """Add the delay of one message."""
        window = self.windows.get(server)
        if window is None:
            window = self.windows[server] = DelayWindow()
        if len(window.samples) < MAX_SAMPLES_PER_WINDOW:
            window.samples.append(delay_ms)

    def close_window(self, unanswered_ages_ms: Mapping[str, list[float]]) -> list[ServerMessageDelay]:
        """Return the servers to report: those over the threshold, and those that have just recovered.

        `unanswered_ages_ms` are the ages of messages that have no answer yet, by server: a server that
        answers nothing any more would otherwise have no samples at all.
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
            delay = median(window.samples)  # one late wake-up of this process is no slow server
            window.samples.clear()
            is_over_threshold = delay > self.threshold_ms
            if is_over_threshold or window.was_over_threshold:
                reports.append(ServerMessageDelay(server, delay))
            window.was_over_threshold = is_over_threshold
        return reports


def select_reporting_connection(
    connections: Mapping[int, TimedConnectionT],
) -> TimedConnectionT | None:
    """Return the connection to report a server's delay on: one with the shortest objective."""
    return min(connections.values(), key=lambda c: c.message_latency_objective_ms, default=None)


class DelayReporter:
    """Reports the message delays of slow servers to the decision module, each on one connection."""

    def __init__(
        self,
        delays: MessageDelays,
        established: EstablishedByServer,
        clock: Callable[[], float],
        emit: Callable[[ConnectionMeasured], None],
    ) -> None:
        """Report to `emit` once a window, while `is_enabled`."""
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
