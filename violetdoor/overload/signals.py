"""Load signals of the relay, each converted to a pressure: 0 at its low threshold, 1 at its high one."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

# Names of the signals on the console and in the log.
DELAY = "delay"
CPU = "cpu"
MEMORY = "memory"
DESCRIPTORS = "descriptors"
BACKLOG = "backlog"
QUEUED = "queued"

MAX_PRESSURE = 3.0  # upper bound of a pressure, so that one extreme value decays soon
STALE_AFTER_SECONDS = 1.0  # a signal without a reading for this long is ignored

# Signals of limits that more processor time would not relieve, so they reduce admission directly.
LIMIT_SIGNALS = (MEMORY, DESCRIPTORS, QUEUED)
LIMITING_PRESSURE = 0.8  # above this pressure of a limit signal, the admitted fraction decreases
LIMITING_PRESSURE_SPAN = 0.4  # pressure range over which it decreases to the minimum
MIN_CAPACITY_FRACTION = 0.02  # always admitted, so that recovery is noticed

MEMORY_LOOKAHEAD_SECONDS = 2.0  # the memory signal extrapolates the current growth this far

CPU_SHARE_TIME_CONSTANT_SECONDS = 0.2  # smoothing of `cpu_share`
MIN_CPU_SHARE = 0.1
MIN_READY_FRACTION = 0.05  # of the cores; below this ready time, `cpu_share` is not updated
MIN_ELAPSED_SECONDS = 0.01  # for smoothing

# A reading shows a process pause, not load, if it covers more than this time and the process was ready to run
# for less than this fraction of it.
MIN_PAUSE_SECONDS = 0.4
MAX_PAUSE_READY_FRACTION = 0.5  # of the cores


@dataclass(slots=True, frozen=True)
class Thresholds:
    """Values of a signal at pressure 0 and 1, and the time constant of its decay; increases apply at once."""

    low: float
    high: float
    decay_seconds: float


THRESHOLDS = {
    DELAY: Thresholds(0.006, 0.020, 0.3),  # seconds; the latency objective is 30 ms at the 99th percentile
    CPU: Thresholds(0.75, 0.97, 0.3),  # fraction of the available processor time
    # Fractions of the respective limits.
    MEMORY: Thresholds(0.80, 0.95, 0.5),
    DESCRIPTORS: Thresholds(0.85, 1.0, 0.5),
    BACKLOG: Thresholds(0.25, 0.90, 0.3),
    QUEUED: Thresholds(0.50, 1.0, 0.5),
}


@dataclass(slots=True, frozen=True)
class Reading:
    """One measurement of the process.

    Times are in seconds, processor time is in cores, and all other values are fractions of their limits.
    """

    measured_at: float  # monotonic clock
    loop_delay_seconds: float  # maximum delay of a due callback since the previous reading
    used_cores: float  # used by the process and its children since then
    waiting_cores: float  # time in which the process was ready to run but did not get a core
    memory_fraction: float = 0.0
    memory_growth_per_second: float = 0.0
    descriptor_fraction: float = 0.0
    backlog_fraction: float = 0.0  # of the listening socket's queue
    queued_fraction: float = 0.0  # of the limit of bytes queued for clients
    span_seconds: float = 0.0  # time that the reading covers; 0 means since the previous one


class Pressure(NamedTuple):
    """The highest pressure and its signal."""

    value: float  # the relay is overloaded at 1 and above
    signal: str


@dataclass(slots=True)
class LoadSignal:
    """One smoothed signal."""

    thresholds: Thresholds
    value: float = 0.0
    updated_at: float = -math.inf

    def update(self, value: float, now: float) -> None:
        """Update with a new value: an increase applies at once, up to a cap; a decrease is smoothed."""
        low = self.thresholds.low
        value = min(value, low + MAX_PRESSURE * (self.thresholds.high - low))
        if value >= self.value or now - self.updated_at > STALE_AFTER_SECONDS:
            self.value = value
        else:
            elapsed = max(0.0, now - self.updated_at)
            weight = 1.0 - math.exp(-elapsed / self.thresholds.decay_seconds)
            self.value += (value - self.value) * weight
        self.updated_at = now

    def pressure(self, now: float) -> float:
        """Return the pressure: 0 at the low threshold, 1 at the high one, negative below; 0 if stale."""
        if now - self.updated_at > STALE_AFTER_SECONDS:
            return 0.0
        thresholds = self.thresholds
        return min(MAX_PRESSURE, (self.value - thresholds.low) / (thresholds.high - thresholds.low))


def _new_signals() -> dict[str, LoadSignal]:
    return {name: LoadSignal(thresholds) for name, thresholds in THRESHOLDS.items()}


@dataclass(slots=True)
class LoadSignals:
    """All load signals of one process and the resulting pressure."""

    cores: float = 1.0  # processor cores that the process may use
    signals: dict[str, LoadSignal] = field(default_factory=_new_signals)
    last_reading: Reading | None = None
    cpu_share: float = 1.0  # fraction of its ready time in which the process runs
    skipped_readings: int = 0  # readings ignored because of a process pause

    def update(self, reading: Reading) -> bool:
        """Update all signals with a reading; return False if it is skipped because of a process pause.

        A process that was stopped for two seconds finds its event loop two seconds late, although it neither
        ran nor waited for the processor. Counting that as load would reject many clients after one reading.
        """
        span = self._span(reading)
        self.last_reading = reading
        ready_cores = reading.used_cores + reading.waiting_cores
        if span > MIN_PAUSE_SECONDS and ready_cores < MAX_PAUSE_READY_FRACTION * self.cores:
            self.skipped_readings += 1
            return False
        if ready_cores > MIN_READY_FRACTION * self.cores:
            weight = 1.0 - math.exp(-max(MIN_ELAPSED_SECONDS, span) / CPU_SHARE_TIME_CONSTANT_SECONDS)
            self.cpu_share += (max(MIN_CPU_SHARE, reading.used_cores / ready_cores) - self.cpu_share) * weight
        for name, value in self._values(reading).items():
            self.signals[name].update(value, reading.measured_at)
        return True

    def _span(self, reading: Reading) -> float:
        """Return the time that a reading covers, in seconds."""
        if reading.span_seconds:
            return reading.span_seconds
        if self.last_reading is None:
            return 0.0
        return reading.measured_at - self.last_reading.measured_at

    def _values(self, reading: Reading) -> dict[str, float]:
        growth = max(0.0, reading.memory_growth_per_second) * MEMORY_LOOKAHEAD_SECONDS
        return {
            DELAY: reading.loop_delay_seconds,
            CPU: reading.used_cores / self.available_cores,
            MEMORY: reading.memory_fraction + growth,
            DESCRIPTORS: reading.descriptor_fraction,
            BACKLOG: reading.backlog_fraction,
            QUEUED: reading.queued_fraction,
        }

    def pressure(self, now: float) -> Pressure:
        """Return the highest pressure of all signals, at least 0."""
        pressures = {name: signal.pressure(now) for name, signal in self.signals.items()}
        name = max(pressures, key=pressures.__getitem__)
        return Pressure(max(0.0, pressures[name]), name)

    def pressure_of(self, name: str, now: float) -> float:
        """Return one signal's pressure."""
        return self.signals[name].pressure(now)

    @property
    def available_cores(self) -> float:
        """Cores currently available to the process; other programs may use a part of them."""
        return self.cores * self.cpu_share

    def capacity_fraction(self, now: float) -> float:
        """Return the fraction of the demand to admit according to the limits other than the processor."""
        highest = max(self.signals[name].pressure(now) for name in LIMIT_SIGNALS)
        fraction = 1.0 - (highest - LIMITING_PRESSURE) / LIMITING_PRESSURE_SPAN
        return min(1.0, max(MIN_CAPACITY_FRACTION, fraction))
