"""The rosters of all other regions, and the relay counts of these regions that are sent to relays.

Relays are sent the number of living relays of each zone, at most once a second. The counts of a region that
can't be reached are kept, with their age.
"""

from __future__ import annotations

import math

from violetdoor.control.context import MachineContext
from violetdoor.control.messages import RegionCount
from violetdoor.control.region_follower import RegionFollower

# Minimum interval between messages with the counts of other regions.
MIN_COUNTS_INTERVAL_SECONDS = 1.0


class RegionFollowers:
    """The followers of all other regions."""

    def __init__(self, context: MachineContext, now: float) -> None:
        """Start to follow all configured regions except the machine's own, sorted by name."""
        config = context.config
        self.by_name = {
            region: RegionFollower(context, region, now)
            for region in sorted(config.regions)
            if region != config.region
        }
        self._send_counts_at = now

    def owner(self, region: str, key: str) -> str | None:
        """Return the owner of a key in another region, by the newest known roster of that region."""
        follower = self.by_name.get(region)
        return None if follower is None or follower.roster is None else follower.roster.owner(key)

    def counts(self, now: float) -> tuple[RegionCount, ...]:
        """Return the counts of all regions with a known roster, for a new session."""
        counts = (follower.count(now) for follower in self.by_name.values())
        return tuple(count for count in counts if count is not None)

    def take_due_counts(self, now: float) -> tuple[RegionCount, ...]:
        """Return the counts that are due to be sent to all relays, and mark them as published."""
        if now < self._send_counts_at:
            return ()
        changed = [follower for follower in self.by_name.values() if follower.has_changes(now)]
        if changed:
            self._send_counts_at = now + MIN_COUNTS_INTERVAL_SECONDS
        for follower in changed:
            follower.mark_published()
        counts = (follower.count(now) for follower in changed)
        return tuple(count for count in counts if count is not None)

    @property
    def next_wake_at(self) -> float:
        """The time at which to call `wake`; infinite without other regions."""
        return min((follower.next_wake_at for follower in self.by_name.values()), default=math.inf)

    def resumed(self, now: float) -> None:
        """Handle the end of a process pause."""
        for follower in self.by_name.values():
            follower.resumed(now)

    def wake(self, now: float) -> None:
        """Perform the work that is due."""
        for follower in self.by_name.values():
            follower.wake(now)
