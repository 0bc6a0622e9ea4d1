"""Simulated plant for the overload controller: one processor core with a queue of work.

Admitted requests use processor time, and rejected ones use a fraction of it.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from violetdoor.overload.controller import LoadLevel, OverloadController
from violetdoor.overload.gate import AdmissionGate
from violetdoor.overload.signals import Reading
from violetdoor.overload.work_costs import LINE

READING_INTERVAL_SECONDS = 0.06  # between two readings
MAX_RETRY_AFTER_MS = 1500.0
REJECTION_PER_SETUP = 0.12  # default cost of a rejection, relative to an admitted request
SETUP_SPREAD = 0.3  # maximum relative deviation of a request's cost from the mean
BUSY_UTILIZATION = 0.8  # callbacks wait for each other above this utilization
BUSY_DELAY_SECONDS = 0.004
QUIET_DELAY_SECONDS = 0.0005
ROUNDING_SECONDS = 1e-9

Arrivals = Callable[[float], dict[tuple[str, str], float]]  # requests per second by (tenant, class) at a time


class Plant:
    """One simulated core with its controller and gate; costs are in seconds of the core."""

    def __init__(
        self,
        setup: float = 0.001,
        rejection: float = 0.0,
        line: float = 0.00004,
        base: float = 0.02,
        seed: int = 1,
    ) -> None:
        """`base` is the utilization without clients; a `rejection` of 0 selects the default cost."""
        self.now = 100.0
        self.setup = setup
        self.rejection = rejection or REJECTION_PER_SETUP * setup
        self.line = line
        self.base = base
        self.rng = random.Random(seed)
        self.controller = OverloadController({"booking": 3.0, "checkin": 1.0})
        self.gate = AdmissionGate(self.controller, lambda: MAX_RETRY_AFTER_MS, lambda: self.now)
        self.backlog = 0.0  # seconds of queued work
        self.stolen_fraction = 0.0  # of the core, used by other programs
        self.line_rate = 0.0  # lines of established connections per second
        self.memory_fraction = 0.0
        # Fractions of a request that are carried over to the next reading, by (tenant, class).
        self.carried_arrivals: dict[tuple[str, str], float] = {}
        self.requested: Counter[tuple[str, str]] = Counter()
        self.rejected: Counter[tuple[str, str]] = Counter()
        self.delays: list[tuple[float, float]] = []  # time and event loop delay, both in s
        self.levels: list[tuple[float, LoadLevel]] = []
        self.client_count = 0

    def step(self, arrivals: dict[tuple[str, str], float]) -> None:
        """Simulate the time of one reading; the controller decides by the previous readings."""
        work = self.base * READING_INTERVAL_SECONDS
        lines = int(self.line_rate * READING_INTERVAL_SECONDS)
        self.controller.costs.record(LINE, lines)
        work += lines * self.line
        for (tenant, class_name), rate in arrivals.items():
            due = rate * READING_INTERVAL_SECONDS + self.carried_arrivals.get((tenant, class_name), 0.0)
            self.carried_arrivals[tenant, class_name] = due - int(due)
            for _ in range(int(due)):
                work += self.request(tenant, class_name)
        available = (1.0 - self.stolen_fraction) * READING_INTERVAL_SECONDS
        done = min(available, self.backlog + work)
        self.backlog += work - done
        self.now += READING_INTERVAL_SECONDS
        own_delay = BUSY_DELAY_SECONDS if work / available > BUSY_UTILIZATION else QUIET_DELAY_SECONDS
        delay = self.backlog / (1.0 - self.stolen_fraction) + own_delay
        waited = done / READING_INTERVAL_SECONDS * self.stolen_fraction / (1.0 - self.stolen_fraction)
        self.read(delay, done / READING_INTERVAL_SECONDS, waited)

    def request(self, tenant: str, class_name: str) -> float:
        """Send a new client's request; return the processor time that it uses, in seconds."""
        self.client_count += 1
        self.requested[tenant, class_name] += 1
        if self.gate.check_request(tenant, class_name, f"{self.client_count}") is None:
            return self.setup * self.rng.uniform(1.0 - SETUP_SPREAD, 1.0 + SETUP_SPREAD)
        self.rejected[tenant, class_name] += 1
        return self.rejection

    def read(self, delay: float, used_cores: float, waiting_cores: float) -> None:
        """Pass a reading to the controller."""
        reading = Reading(self.now, delay, used_cores, waiting_cores, memory_fraction=self.memory_fraction)
        level = self.controller.update(reading)
        self.delays.append((self.now, delay))
        self.levels.append((self.now, level))

    def run(self, seconds: float, arrivals: Arrivals) -> None:
        """Simulate this many seconds."""
        until = self.now + seconds
        while self.now < until - ROUNDING_SECONDS:
            self.step(arrivals(self.now))

    def reset_counts(self) -> None:
        """Reset the request and rejection counts and the measurements."""
        self.requested.clear()
        self.rejected.clear()
        self.delays.clear()
        self.levels.clear()

    def rejected_fraction(self, tenant: str, class_name: str) -> float:
        """Return the fraction of a tenant's requests of a class that were rejected."""
        requested = self.requested[tenant, class_name]
        return self.rejected[tenant, class_name] / requested if requested else 0.0

    def current_level(self) -> LoadLevel:
        """Return the level set by the last reading."""
        return self.levels[-1][1]
