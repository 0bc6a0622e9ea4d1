"""Admission gate: rejects clients because of the relay's own load.

Checks run before a connection is read from, after its first request, and before the balancer is called.
"""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

import xxhash

from violetdoor.overload.controller import CAUTIOUS_PRESSURE, LoadLevel, OverloadController
from violetdoor.overload.work_costs import LINE, REJECTION, SETUP

POSITION_PERIOD_SECONDS = 2.0  # a client's position is constant during a period
POSITION_SHIFT = 11  # keeps 53 of the hash's 64 bits, which a float represents exactly
POSITION_COUNT = 1 << 53

# Retry-After is a fraction of the settings' maximum that grows with the pressure.
MIN_RETRY_AFTER_FRACTION = 0.4
RETRY_AFTER_FRACTION_PER_PRESSURE = 0.3
RETRY_AFTER_PRESSURE = 0.5  # Retry-After grows above this pressure
JITTER_FRACTION = 0.5  # part of a Retry-After that varies by client
JITTER_FACTOR = 7919.0  # a prime, which makes the jitter independent of the position

MAX_COUNTED_ROWS = 512  # in each table of rejection counts; further rows are not counted

RECONNECT_TIME_CONSTANT_SECONDS = 3.0  # decay of the counts of migrations and reconnects
MAX_RECONNECT_RATIO = 2.0  # more reconnects per migration than this count as a reconnect storm
RECONNECT_POSITION_FACTOR = 0.5  # admits migrated clients before new ones of the same class and share


# Why a client was rejected, as shown on the console and in the log. Strings rather than an enum, because they
# are dictionary keys and an enum's hash is slow.
RejectionReason = Literal["surplus", "beyond share", "late", "accept"]


class RejectionKey(NamedTuple):
    """Key of the rejection counts; class and tenant are empty if they are not known yet."""

    class_name: str
    tenant: str
    reason: RejectionReason


@dataclass(slots=True, frozen=True)
class Rejection:
    """A final answer; the client may retry after the given time."""

    retry_after_ms: int
    reason: RejectionReason


@dataclass(slots=True)
class AdmissionGate:
    """Rejects clients as the overload controller decides, and counts what it rejects."""

    controller: OverloadController
    max_retry_after: Callable[[], float]  # ms, from the current settings; 0 disables Retry-After
    clock: Callable[[], float] = time.monotonic
    rejections: Counter[RejectionKey] = field(default_factory=Counter)  # since the process started
    recent_rejections: Counter[RejectionKey] = field(default_factory=Counter)  # since the last report
    recent_migrations: float = 0.0  # connections that were migrated or failed, decaying
    recent_reconnects: float = 0.0  # clients that announced a reconnect, decaying
    decayed_at: float = math.nan  # s, by `clock`

    @property
    def defers_background_work(self) -> bool:
        """Whether the relay should defer health checks and other background work."""
        controller = self.controller
        return controller.pressure >= CAUTIOUS_PRESSURE or controller.level is not LoadLevel.CALM

    def set_priority_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the classes and their priority weights."""
        self.controller.priority_weights = dict(weights)

    def position(self, client: str) -> float:
        """Return a client's position in [0, 1) for the current period."""
        period = int(self.clock() / POSITION_PERIOD_SECONDS)
        digest = xxhash.xxh3_64_intdigest(f"{period} {client}".encode("utf-8", "replace"))
        return float(digest >> POSITION_SHIFT) / POSITION_COUNT

    def check_connection(self, client: str) -> Rejection | None:
        """Reject a connection before reading from it, which happens only under severe load."""
        fraction = self.controller.plan.accepted_connection_fraction
        if fraction >= 1.0:
            return None
        position = self.position(client)
        if position < fraction:
            return None
        return self._reject("", "", "accept", position)

    def check_request(
        self, tenant: str, class_name: str, client: str, *, is_reconnect: bool = False
    ) -> Rejection | None:
        """Reject a request once its class and tenant are known, before any expensive work."""
        controller = self.controller
        row_tenant = controller.demand.record_request(tenant, class_name)
        position = self.position(client)
        if is_reconnect and self._counts_as_migrated():
            position *= RECONNECT_POSITION_FACTOR
        decision = controller.decide(row_tenant, class_name, position)
        if decision.is_admitted:
            controller.costs.record(SETUP)
            return None
        controller.costs.record(REJECTION)
        reason: RejectionReason = "surplus" if decision.is_within_share else "beyond share"
        return self._reject(class_name, row_tenant, reason, position)

    def check_deadline(
        self, class_name: str, tenant: str, client: str, waited: float, time_left: float
    ) -> Rejection | None:
        """Reject a request that waited longer than its remaining time; both are in the same unit."""
        is_in_time = waited < time_left or self.controller.level is LoadLevel.CALM
        if time_left > 0.0 and is_in_time:
            return None
        row_tenant = self.controller.demand.row_tenant(tenant)
        return self._reject(class_name, row_tenant, "late", self.position(client))

    def record_forwarded(self, lines: int = 1) -> None:
        """Count forwarded lines or messages of established connections."""
        self.controller.costs.record(LINE, lines)

    def record_migrated(self, count: int = 1) -> None:
        """Count established connections that were migrated or failed; their clients will reconnect."""
        self._decay()
        self.recent_migrations += count

    def _counts_as_migrated(self) -> bool:
        """Return whether a reconnecting client may be a migrated one, not part of a reconnect storm."""
        self._decay()
        self.recent_reconnects += 1
        return self.recent_reconnects <= MAX_RECONNECT_RATIO * max(1.0, self.recent_migrations)

    def _decay(self) -> None:
        now = self.clock()
        if not math.isnan(self.decayed_at):
            remaining = math.exp(-(now - self.decayed_at) / RECONNECT_TIME_CONSTANT_SECONDS)
            self.recent_migrations *= remaining
            self.recent_reconnects *= remaining
        self.decayed_at = now

    def retry_after_ms(self, position: float) -> int:
        """Return a client's Retry-After in ms, which grows with the pressure; 0 if it is disabled."""
        max_retry_after_ms = self.max_retry_after()
        if max_retry_after_ms <= 0:
            return 0
        excess = max(0.0, self.controller.pressure - RETRY_AFTER_PRESSURE)
        fraction = min(1.0, MIN_RETRY_AFTER_FRACTION + RETRY_AFTER_FRACTION_PER_PRESSURE * excess)
        jitter = (position * JITTER_FACTOR) % 1.0
        spread = 1.0 - JITTER_FRACTION + JITTER_FRACTION * jitter
        return max(1, round(max_retry_after_ms * fraction * spread))

    def _reject(self, class_name: str, tenant: str, reason: RejectionReason, position: float) -> Rejection:
        key = RejectionKey(class_name, tenant, reason)
        for counter in (self.rejections, self.recent_rejections):
            if key in counter or len(counter) < MAX_COUNTED_ROWS:
                counter[key] += 1
        return Rejection(self.retry_after_ms(position), reason)

    def take_recent_rejections(self) -> list[tuple[RejectionKey, int]]:
        """Return the rejection counts since the last call, most frequent first, and reset them."""
        rejections = sorted(self.recent_rejections.items(), key=lambda item: -item[1])
        self.recent_rejections.clear()
        return rejections
