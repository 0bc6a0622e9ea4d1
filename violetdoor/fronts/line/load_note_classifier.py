"""Classifies LOAD lines of gate servers, which report either a connection's load or a message delay.

The settings define two load notes: the load of a connection (microseconds of work per second), and the time
that a message takes at its server (ms, sent once a second on one of a relay's connections there while it is
long). The protocol has the same keyword for both; docs/questions.md lists what was observed.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from violetdoor.balancing.events import MeasurementKind

MIN_LOAD_US_PER_SECOND = 1_000.0  # a thousandth of a core; few connections have less load
FIRST_LOAD_WITHIN_MS = 200.0  # after UP; a connection's first line in this time is its load
MAX_LOAD_DROP_FACTOR = 10.0  # between two reports: two deviations of a swing of 0.8
MAX_DELAY_MS = 5_000.0  # a server drops connections before its queue is this long
MAX_DELAY_GROWTH_FACTOR = 2.0  # ms per ms passed: a server at three times its capacity
MAX_AMBIGUOUS_SERVERS = 64  # servers whose latest ambiguous line is stored
# Maximum time between two reports of a lasting delay: they come each second, and one may be missed.
DELAY_REPEAT_MS = 2_500.0


class LastDelay(NamedTuple):
    """The latest delay that a server reported, and the time of the report."""

    at_ms: float
    delay_ms: float


class AmbiguousLine(NamedTuple):
    """A server's latest line that may be either note: its connection and time."""

    connection_id: int
    at_ms: float


NO_DELAY = LastDelay(-DELAY_REPEAT_MS, 0.0)
NO_AMBIGUOUS_LINE = AmbiguousLine(-1, 0.0)


class LoadNoteClassifier:
    """Tells loads from delays; an ambiguous value is a delay if its server's latest known delay allows it."""

    def __init__(self) -> None:
        """Start without known delays."""
        self.last_delay_by_server: dict[str, LastDelay] = {}  # ordered by time, oldest first
        self.ambiguous_by_server: dict[str, AmbiguousLine] = {}

    def classify(
        self,
        server: str,
        connection_id: int,
        value: float,
        now: float,
        *,
        last_load: float | None = None,
        age_ms: float = math.inf,
    ) -> MeasurementKind:
        """Return which note a LOAD line with this value is; it arrived on this connection at `now` (ms).

        `last_load`: the connection's last reported load in us/s, None if there is none; `age_ms`: since UP.
        """
        is_first_line = last_load is None and age_ms < FIRST_LOAD_WITHIN_MS
        if value >= MAX_DELAY_MS or is_first_line:
            return MeasurementKind.LOAD
        ambiguous = self.ambiguous_by_server.pop(server, NO_AMBIGUOUS_LINE)
        # A load changes at most every few seconds, so a second line this soon is a delay that was already
        # long in its first report.
        is_repeated = ambiguous.connection_id == connection_id and now - ambiguous.at_ms < DELAY_REPEAT_MS
        # Guards against taking the load of a light connection for a delay: each would migrate half of the
        # relay's clients.
        is_like_last_load = last_load is not None and value >= last_load / MAX_LOAD_DROP_FACTOR
        may_be_load = value >= MIN_LOAD_US_PER_SECOND or is_like_last_load
        if may_be_load and not is_repeated and not self._fits_last_delay(server, value, now):
            self.ambiguous_by_server[server] = AmbiguousLine(connection_id, now)
            if len(self.ambiguous_by_server) > MAX_AMBIGUOUS_SERVERS:
                del self.ambiguous_by_server[next(iter(self.ambiguous_by_server))]
            return MeasurementKind.LOAD
        self._record_delay(server, value, now)
        return MeasurementKind.MESSAGE_DELAY

    def _fits_last_delay(self, server: str, value: float, now: float) -> bool:
        """Return whether the server's last reported delay is recent and can have grown to this value."""
        last = self.last_delay_by_server.get(server, NO_DELAY)
        passed = now - last.at_ms
        return passed < DELAY_REPEAT_MS and value <= last.delay_ms + MAX_DELAY_GROWTH_FACTOR * passed

    def _record_delay(self, server: str, value: float, now: float) -> None:
        """Store a server's delay as the newest entry, and drop entries that are too old."""
        self.last_delay_by_server.pop(server, None)
        self.last_delay_by_server[server] = LastDelay(now, value)
        while True:
            oldest, last = next(iter(self.last_delay_by_server.items()))
            if now - last.at_ms <= DELAY_REPEAT_MS:
                return
            del self.last_delay_by_server[oldest]
