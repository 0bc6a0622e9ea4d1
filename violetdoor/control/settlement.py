"""When a roster version settles, which means that all leases granted under older rosters have expired.

That takes two steps. All members of the view acknowledge that they grant no leases under older rosters, and
all leases under earlier views of the group expire; after that, the longest lease of a relay has to expire.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from violetdoor.control.leases import LEASE_EXPIRY_SECONDS
from violetdoor.control.messages import Version

# Minimum interval between tracked versions, which limits how many are tracked.
MIN_TRACKED_INTERVAL_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class AcknowledgedVersion:
    """A version, and the time when all members had acknowledged it."""

    version: Version
    acknowledged_at: float


class Settlement:
    """The versions of one term that all members have acknowledged and that have not settled yet."""

    def __init__(self, prior_leases_expired_at: float) -> None:
        """Start a term; the time is infinite if leases under earlier views may still be valid."""
        self.prior_leases_expired_at = prior_leases_expired_at
        self.acknowledged_versions: deque[AcknowledgedVersion] = deque()  # oldest first

    def prior_leases_expired(self, now: float) -> None:
        """Record that all leases under earlier views have expired."""
        self.prior_leases_expired_at = min(self.prior_leases_expired_at, now)

    def record_acknowledged(self, version: Version | None, now: float) -> None:
        """Record that all members grant no leases under rosters older than `version`, if that is new."""
        versions = self.acknowledged_versions
        if version is None or (versions and version <= versions[-1].version):
            return
        if len(versions) > 1 and now < versions[-2].acknowledged_at + MIN_TRACKED_INTERVAL_SECONDS:
            versions.pop()
        versions.append(AcknowledgedVersion(version, now))

    def take_settled(self, now: float) -> Version | None:
        """Remove the versions that have settled, and return the newest of them."""
        settled = None
        while now >= self.next_settled_at:
            settled = self.acknowledged_versions.popleft().version
        return settled

    @property
    def next_settled_at(self) -> float:
        """The time at which the oldest acknowledged version settles; infinite without one."""
        if not self.acknowledged_versions:
            return math.inf
        oldest = self.acknowledged_versions[0]
        return max(oldest.acknowledged_at, self.prior_leases_expired_at) + LEASE_EXPIRY_SECONDS
