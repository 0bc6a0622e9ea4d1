"""The rosters of all other regions, and what relays are sent of them.

Relays are sent how many relays are alive there by zone, at most once a second. What is known of a region
that can't be reached stays, with its age.
"""

from __future__ import annotations

import math

from violetdoor.control.context import MachineContext
from violetdoor.control.messages import RegionCount
from violetdoor.control.region_follower import RegionFollower

# Between two messages in which relays are sent the counts of other regions.
MIN_COUNTS_INTERVAL_SECONDS = 1.0


class RegionFollowers:
    """The followers of all other regions."""

    def __init__(self, context: MachineContext, now: float) -> None:
        """Start to follow all configured regions but the machine's own, in the order of their names."""
        config = context.config
        self.by_name = {
            region: RegionFollower(context, region, now)
            for region in sorted(config.regions)
            if region != config.region
        }
        self._send_counts_at = now

    def owner(self, region: str, key: str) -> str | None:
        """Return the owner of a key in another region, by the newest roster of it that is known here."""
        follower = self.by_name.get(region)
        return None if follower is None or follower.roster is None else follower.roster.owner(key)

    def counts(self, now: float) -> tuple[RegionCount, ...]:
        """Return what a new session is sent: the counts of all regions with a known roster."""
        counts = (follower.count(now) for follower in self.by_name.values())
        return tuple(count for count in counts if count is not None)

    def take_changes(self, now: float) -> tuple[RegionCount, ...]:
        """Return what all relays are to be sent now, and mark it as published."""
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
        """When `wake` is to be called next; infinite without other regions."""
        return min((follower.next_wake_at for follower in self.by_name.values()), default=math.inf)

    def resumed(self, now: float) -> None:
        """Note that this machine was stopped for a while."""
        for follower in self.by_name.values():
            follower.resumed(now)

    def wake(self, now: float) -> None:
        """Do what is due."""
        for follower in self.by_name.values():
            follower.wake(now)
