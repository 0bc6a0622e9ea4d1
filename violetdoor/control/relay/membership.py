"""Who is alive in which region, as far as a relay knows, and which region a key belongs to."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from violetdoor.control.messages import RegionCount, ZoneCount
from violetdoor.control.roster import Roster, home_region

MAX_CACHED_HOME_REGIONS = 4096  # keys whose home region is cached: some hundred KB at the most


@dataclass(frozen=True, slots=True)
class RegionMemberCounts:
    """How many relays are alive in one region, and how old that knowledge is (0: current)."""

    total: int
    zones: Mapping[str, int]
    age_seconds: float


@dataclass(frozen=True, slots=True)
class FleetMemberCounts:
    """How many relays are alive, as far as is known here."""

    total: int
    by_region: Mapping[str, RegionMemberCounts]
    by_zone: Mapping[str, int]
    age_seconds: float  # of the oldest part of it; infinite where nothing is known


class FleetMembership:
    """The regions of the fleet and the counts of the relays alive in them."""

    def __init__(self, own_region: str) -> None:
        """Begin without any knowledge."""
        self.own_region = own_region
        self.regions: tuple[str, ...] = ()  # of the complete fleet, in the order of their names
        self.region_counts: dict[str, RegionCount] = {}  # of other regions
        self._received_at: dict[str, float] = {}  # by region
        self._home_regions: dict[str, str | None] = {}  # by key

    def set_regions(self, regions: tuple[str, ...]) -> None:
        """Learn the names of all regions; keys have new homes where these have changed."""
        if self.regions != regions:
            self.regions = regions
            self._home_regions.clear()

    def update(self, counts: Iterable[RegionCount], now: float) -> None:
        """Learn the counts of other regions."""
        for count in counts:
            self.region_counts[count.region] = count
            self._received_at[count.region] = now

    def restore(self, regions: tuple[str, ...], counts: Iterable[RegionCount], now: float) -> None:
        """Go on with what the process before this one knew."""
        self.regions = regions
        self.region_counts = {count.region: count for count in counts}
        self._received_at = dict.fromkeys(self.region_counts, now)
        self._home_regions.clear()

    def home_region(self, key: str) -> str | None:
        """Find the region that a key belongs to; None before the regions are known."""
        if key not in self._home_regions:
            if len(self._home_regions) >= MAX_CACHED_HOME_REGIONS:
                self._home_regions.clear()
            self._home_regions[key] = home_region(key, self.regions) if self.regions else None
        return self._home_regions[key]

    def member_counts(self, roster: Roster | None, idle_seconds: float, now: float) -> FleetMemberCounts:
        """Count the relays alive in all regions, those of the own one by its newest roster.

        `idle_seconds`: for which no control machine was heard; 0 while a session is open.
        """
        by_region = {
            region: self._region_member_counts(count, idle_seconds, now)
            for region, count in self.region_counts.items()
        }
        if roster is not None:
            by_region[self.own_region] = _member_counts(roster.zone_counts(), idle_seconds)
        by_zone: Counter[str] = Counter()
        for counts in by_region.values():
            by_zone.update(counts.zones)
        total = sum(counts.total for counts in by_region.values())
        age_seconds = max((counts.age_seconds for counts in by_region.values()), default=math.inf)
        return FleetMemberCounts(total, by_region, dict(by_zone), age_seconds)

    def _region_member_counts(
        self, count: RegionCount, idle_seconds: float, now: float
    ) -> RegionMemberCounts:
        age_seconds = count.age_seconds
        if age_seconds > 0:  # the control machine doesn't follow that region at present
            age_seconds += now - self._received_at[count.region]
        return _member_counts(count.zones, max(age_seconds, idle_seconds))


def _member_counts(zones: Iterable[ZoneCount], age_seconds: float) -> RegionMemberCounts:
    by_zone = {zone.zone: zone.relay_count for zone in zones}
    return RegionMemberCounts(sum(by_zone.values()), by_zone, round(max(0.0, age_seconds), 3))
