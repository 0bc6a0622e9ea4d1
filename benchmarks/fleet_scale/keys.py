"""Keys whose owners are sampled, and who could come to own them.

Asking each of some thousand relays for each key, many times a second, would take more than the fleet does. A
key's owner is the living relay that ranks first for it by rendezvous hashing; so the first few are asked at
each look, and some of all others for a key at random, which would find an owner that the ranking doesn't explain.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from benchmarks.fleet_scale.layout import Layout
from benchmarks.fleet_scale.protocol import SampledKey
from violetdoor.control.roster import home_region
from violetdoor.fleet.view import rendezvous_weight

CANDIDATES_PER_KEY = (
    12  # relays asked for each key: by one in 4,000 all of these stand in the half of a region that dies
)


class KeyPlan:
    """The keys of a run by their regions."""

    def __init__(self, layout: Layout, count: int) -> None:
        self.keys = tuple(f"key-{n:04d}" for n in range(count))
        names = _names_by_region(layout)
        self._ranked: dict[str, dict[str, tuple[str, ...]]] = defaultdict(dict)
        for key in self.keys:
            region = home_region(key, layout.regions)
            self._ranked[region][key] = _highest_ranked(key, names[region])

    def sampled_keys(self, region: str, relays: frozenset[str]) -> tuple[SampledKey, ...]:
        """The keys of a region, and which of these relays rank high for them."""
        return tuple(
            SampledKey(key, tuple(name for name in ranked if name in relays))
            for key, ranked in self._ranked[region].items()
        )

    def preferred_owner(self, key: str) -> str:
        """The relay that owns a key while all live."""
        return next(ranked[key][0] for ranked in self._ranked.values() if key in ranked)


def _names_by_region(layout: Layout) -> dict[str, list[str]]:
    found: dict[str, list[str]] = defaultdict(list)
    for zone in layout.zones:
        found[zone.region] += [relay.name for relay in (*zone.stubs, *zone.rack)]
        found[zone.region] += [relay.name for relay in zone.real]
    return found


def _highest_ranked(key: str, names: Iterable[str]) -> tuple[str, ...]:
    return tuple(
        sorted(names, key=lambda name: (rendezvous_weight(key, name), name), reverse=True)[
            :CANDIDATES_PER_KEY
        ]
    )
