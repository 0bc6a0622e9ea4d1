"""The overload controller: derives an admission plan from the pressure and the demand.

The control law has a feed-forward and a feedback part. Feed-forward: the budget for new requests is a target
fraction of the available processor time, minus the cost of unavoidable work (lines of established
connections, rejections and the backlog). It reacts at once, cannot oscillate, and would suffice if costs were
known exactly. Feedback: the target decreases in proportion to the pressure's excess over 1 and slowly
increases again, which corrects the remaining error.
docs/design/overload.md has the reasons.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from violetdoor.overload.demand import DemandTable
from violetdoor.overload.plan import AdmissionPlan, plan_admission
from violetdoor.overload.signals import LoadSignals, Reading
from violetdoor.overload.work_costs import LINE, REJECTION, SETUP, WorkCosts

# Bounds of the target utilization, a fraction of the available processor time.
MAX_TARGET = 0.92
MIN_TARGET = 0.55
TARGET_DECREASE_RATE = 0.5  # relative decrease per second for each unit of pressure over 1
MAX_TARGET_DECREASE = 0.2  # maximum relative decrease for one reading
MAX_EXCESS_PRESSURE = 1.0  # pressure over 1 is capped at this excess for the decrease
TARGET_INCREASE_RATE = 0.25  # absolute increase per second
TARGET_INCREASE_PRESSURE = 0.9  # the target increases below this pressure

BACKLOG_DRAIN_SECONDS = 0.15  # time in which to process a backlog
TOLERATED_DELAY_SECONDS = 0.004  # event loop delay up to which there is no backlog
MAX_BACKLOG_DELAY_SECONDS = 2.0  # a longer event loop delay counts as this much backlog

MIN_BUDGET_FRACTION = 0.01  # of the available processor time
# Minimum demand that is scaled down by limits other than the processor, as a fraction of the available
# processor time.
MIN_LIMITED_DEMAND_FRACTION = 0.05
# Fraction of the cores. Below it, most processor time goes to the process's own background work.
MIN_LEARNING_UTILIZATION = 0.2

CAUTIOUS_PRESSURE = 0.6  # the relay defers background work from this pressure on
SEVERE_PRESSURE = 2.0  # from this pressure on, even parsing requests costs too much

RELAXED_PRESSURE = 0.5  # shedding may end below this pressure
MIN_RELAXED_SECONDS = 0.4  # shedding ends after this time of low pressure and demand within the budget
MIN_IDLE_SECONDS = 1.0  # shedding ends after this time without pressure, whatever the estimated demand

MIN_ACCEPTED_CONNECTION_FRACTION = 0.05
MAX_REJECTION_FRACTION = 0.5  # of the available processor time for rejections
MIN_REJECTION_CORES = 1e-9  # avoids a division by zero


class LoadLevel(Enum):
    """Load level of the relay; the values appear on the console, in counters and in the log."""

    CALM = "calm"
    CAUTIOUS = "cautious"  # background work is deferred
    SHEDDING = "shedding"  # requests are rejected
    SEVERE = "severe"  # some connections are rejected before anything is read from them


class AdmissionDecision(NamedTuple):
    """Whether a request is admitted, and whether it is within its tenant's share."""

    is_admitted: bool
    is_within_share: bool


# All four decisions, allocated once because a decision is made for every request.
ADMITTED_WITHIN_SHARE = AdmissionDecision(is_admitted=True, is_within_share=True)
ADMITTED_BEYOND_SHARE = AdmissionDecision(is_admitted=True, is_within_share=False)
REJECTED_WITHIN_SHARE = AdmissionDecision(is_admitted=False, is_within_share=True)
REJECTED_BEYOND_SHARE = AdmissionDecision(is_admitted=False, is_within_share=False)


@dataclass(slots=True)
class OverloadController:
    """Decides which requests to admit; updated by each reading."""

    priority_weights: Mapping[str, float]  # by class
    cores: float = 1.0  # processor cores that the process may use
    signals: LoadSignals = field(init=False)
    demand: DemandTable = field(default_factory=DemandTable)
    costs: WorkCosts = field(default_factory=WorkCosts)
    level: LoadLevel = LoadLevel.CALM
    cause: str = ""  # signal that last caused load shedding
    pressure: float = 0.0
    target_utilization: float = MAX_TARGET
    budget_cores: float = math.inf  # processor time for new requests
    plan: AdmissionPlan = field(default_factory=AdmissionPlan)
    # Times in s, monotonic clock.
    relaxed_since: float = math.inf  # low pressure and demand within the budget; infinite if not so
    idle_since: float = math.inf  # no pressure; infinite if there is any
    updated_at: float = math.nan
    previous_delay: float = 0.0  # event loop delay of the previous reading, in seconds

    def __post_init__(self) -> None:
        """Create the signals for the configured number of cores."""
        self.signals = LoadSignals(self.cores)

    def update(self, reading: Reading) -> LoadLevel:
        """Process a reading; return the level until the next one."""
        now = reading.measured_at
        elapsed = 0.0 if math.isnan(self.updated_at) else now - self.updated_at
        self.updated_at = now
        if not self.signals.update(reading) or elapsed <= 0.0:
            return self.level
        self.pressure, cause = self.signals.pressure(now)
        lines = self.costs.counts[LINE]
        rejections = self.costs.counts[REJECTION]
        delay = min(reading.loop_delay_seconds, MAX_BACKLOG_DELAY_SECONDS)
        self._learn_costs(reading, elapsed, delay)
        learn_usual = self.pressure < CAUTIOUS_PRESSURE and self.level is not LoadLevel.SHEDDING
        self.demand.update(now, elapsed, learn_usual=learn_usual)
        self._trim_target(elapsed)
        self.previous_delay = delay
        self._set_budget(now, lines / elapsed, rejections / elapsed, delay)
        self._set_level(now, cause)
        return self.level

    def _learn_costs(self, reading: Reading, elapsed: float, delay: float) -> None:
        """Learn work costs from a reading if the process used enough processor time."""
        if reading.used_cores > MIN_LEARNING_UTILIZATION * self.cores:
            # Correct for the backlog: work that was counted but still waits has used no processor time yet.
            backlog_growth = (delay - self.previous_delay) * self.signals.available_cores
            self.costs.update(reading.used_cores * elapsed + backlog_growth)
        else:
            self.costs.discard_counts()

    def _trim_target(self, elapsed: float) -> None:
        """Adjust the target utilization to the pressure."""
        excess = min(MAX_EXCESS_PRESSURE, self.pressure - 1.0)
        if excess > 0:
            decrease = min(MAX_TARGET_DECREASE, TARGET_DECREASE_RATE * excess * elapsed)
            self.target_utilization *= 1.0 - decrease
        elif self.pressure < TARGET_INCREASE_PRESSURE:
            self.target_utilization += TARGET_INCREASE_RATE * elapsed
        self.target_utilization = min(MAX_TARGET, max(MIN_TARGET, self.target_utilization))

    def _set_budget(self, now: float, line_rate: float, rejection_rate: float, delay: float) -> None:
        """Set the processor time for new requests; rates are per second, the delay is in seconds."""
        available = self.signals.available_cores
        required = line_rate * self.costs.seconds[LINE] + rejection_rate * self.costs.seconds[REJECTION]
        # The backlog takes precedence over new requests.
        drain = max(0.0, delay - TOLERATED_DELAY_SECONDS) * available / BACKLOG_DRAIN_SECONDS
        budget = self.target_utilization * available - required - drain
        self.budget_cores = max(MIN_BUDGET_FRACTION * available, budget)
        capacity_fraction = self.signals.capacity_fraction(now)
        if capacity_fraction < 1.0:  # a limit other than the processor: admit less of the demand
            demanded = max(self.demanded_cores(), MIN_LIMITED_DEMAND_FRACTION * available)
            self.budget_cores = min(self.budget_cores, demanded * capacity_fraction)

    def _set_level(self, now: float, cause: str) -> None:
        """Set the level for the current pressure and plan the admission at that level."""
        demanded = self.demanded_cores()
        is_relaxed = self.pressure < RELAXED_PRESSURE and demanded <= self.budget_cores
        self.relaxed_since = min(self.relaxed_since, now) if is_relaxed else math.inf
        self.idle_since = min(self.idle_since, now) if self.pressure <= 0.0 else math.inf
        if not self._is_shedding_next(now, cause):
            is_cautious = self.pressure >= CAUTIOUS_PRESSURE
            self.level = LoadLevel.CAUTIOUS if is_cautious else LoadLevel.CALM
            self.plan = AdmissionPlan()
            return
        self.level = LoadLevel.SEVERE if self.pressure >= SEVERE_PRESSURE else LoadLevel.SHEDDING
        self.plan = plan_admission(
            self.budget_cores, self.classes_by_weight(), self.demand.rates, self.costs.seconds[SETUP]
        )
        if self.level is LoadLevel.SEVERE and demanded > 0:
            self.plan.accepted_connection_fraction = self._accepted_connection_fraction(demanded)

    def _is_shedding_next(self, now: float, cause: str) -> bool:
        """Return whether to shed load until the next reading."""
        if self.pressure >= 1.0:
            self.cause = cause
            return True
        if now - self.relaxed_since >= MIN_RELAXED_SECONDS or now - self.idle_since >= MIN_IDLE_SECONDS:
            return False
        return self.level in (LoadLevel.SHEDDING, LoadLevel.SEVERE)

    def _accepted_connection_fraction(self, demanded: float) -> float:
        """Return the fraction of new connections to read from, which limits the cost of rejections."""
        rejection_cores = demanded / self.costs.seconds[SETUP] * self.costs.seconds[REJECTION]
        allowed_cores = MAX_REJECTION_FRACTION * self.signals.available_cores
        fraction = allowed_cores / max(rejection_cores, MIN_REJECTION_CORES)
        return min(1.0, max(MIN_ACCEPTED_CONNECTION_FRACTION, fraction))

    def demanded_cores(self) -> float:
        """Return the processor time, in cores, that admitting all current demand would use."""
        return sum(rate.current for rate in self.demand.rates.values()) * self.costs.seconds[SETUP]

    def classes_by_weight(self) -> list[str]:
        """Return the classes by descending priority weight; a request costs the same in each class."""
        weights = self.priority_weights
        return sorted(weights, key=lambda class_name: (-weights[class_name], class_name))

    def decide(self, tenant: str, class_name: str, position: float) -> AdmissionDecision:
        """Decide whether to admit a request of the client with a position in [0, 1).

        The position is a hash of the client that is constant for a period. A rejected client gets the same
        decision during that period, so retrying more often gains nothing.
        """
        if self.level not in (LoadLevel.SHEDDING, LoadLevel.SEVERE):
            return ADMITTED_WITHIN_SHARE
        plan = self.plan
        fraction = plan.within_share_fractions.get((tenant, class_name), 1.0)
        # Rescale the position to [0, 1) within the share or beyond it, which keeps the order of clients.
        if position < fraction:
            rank = position / fraction
            is_admitted = rank < plan.admitted_within_share.get(class_name, 1.0)
            return ADMITTED_WITHIN_SHARE if is_admitted else REJECTED_WITHIN_SHARE
        rank = (position - fraction) / (1.0 - fraction)
        is_admitted = rank < plan.admitted_beyond_share.get(class_name, 1.0)
        return ADMITTED_BEYOND_SHARE if is_admitted else REJECTED_BEYOND_SHARE
