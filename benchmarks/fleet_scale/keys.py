"""Keys whose owners are sampled, and the relays that are candidates to own them.

Asking each of some thousand relays about each key many times a second would take more CPU time than the fleet
itself. The owner of a key is the living relay that ranks first for it by rendezvous hashing. So each sample
asks the highest-ranked relays, and a few random relays about a random key to find owners that the ranking
rules out.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from benchmarks.fleet_scale.layout import Layout
from benchmarks.fleet_scale.protocol import SampledKey
from violetdoor.control.roster import home_region
from violetdoor.fleet.view import rendezvous_weight

CANDIDATES_PER_KEY = 12  # for about 1 key in 4,000 all of them are in the half of a region that dies


class KeyPlan:
    """The keys of a run, by home region, with the relays that rank highest for each."""

    def __init__(self, layout: Layout, count: int) -> None:
        self.keys = tuple(f"key-{n:04d}" for n in range(count))
        names = _names_by_region(layout)
        self._ranked: dict[str, dict[str, tuple[str, ...]]] = defaultdict(dict)
        for key in self.keys:
            region = home_region(key, layout.regions)
            self._ranked[region][key] = _highest_ranked(key, names[region])

    def sampled_keys(self, region: str, relays: frozenset[str]) -> tuple[SampledKey, ...]:
        """Return the keys of a region, each with those of `relays` that are candidates to own it."""
        return tuple(
            SampledKey(key, tuple(name for name in ranked if name in relays))
            for key, ranked in self._ranked[region].items()
        )

    def preferred_owner(self, key: str) -> str:
        """Return the relay that owns a key while all relays are alive."""
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
