"""Hour-long scenarios in virtual time: wrongful removals under packet loss, and a region cut off for an hour.

Control machines and relays run violetdoor's decision code; `violetdoor.faults.control_world` simulates links,
clocks and processes.
"""

from __future__ import annotations

import os
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from benchmarks.fleet_scale import measures
from benchmarks.fleet_scale.protocol import Ownership
from violetdoor.control.messages import RelayKey, Version
from violetdoor.control.roster import home_region, relay_key
from violetdoor.faults.control_world import ControlWorld, Relay

HOUR_S = 3600.0
SLICES = 8  # parts of the hour under loss, which run in parallel
LOSS = 0.01  # of all segments and datagrams
REGIONS, MACHINES = 3, 3  # control machines per region
# Per region; fewer in the cut, which can't be split into parallel parts.
RELAYS_UNDER_LOSS, RELAYS_IN_CUT = 20, 8
KILLED_PER_REGION = 3  # per region, during the cut
KEYS = tuple(f"key-{n}" for n in range(30))
START_TIMEOUT_S = 60.0  # until all relays of a world are in service
SETTLE_S = 10.0  # after that, for the first rosters to settle
OBSERVE_INTERVAL_S = 1.0
AGREE_TIMEOUT_S = 60.0  # from the healing; without agreement by then the figure is NEVER


class WorldStartError(Exception):
    """The relays of a simulated fleet did not come into service in time."""


@dataclass(frozen=True, slots=True)
class LossFigures:
    """Figures of a time with packet loss."""

    seconds: float
    removed: int  # living members that were removed from a roster
    lost_leases: int  # relays that were seen without a lease


@dataclass(frozen=True, slots=True)
class CutFigures:
    """Figures of a region that was cut off and connected again."""

    seconds: float
    agreed_after: float  # seconds from the healing until all relays know the same roster of each region
    two_owners: int  # overlaps of two relays' ownership of a key
    ownerships: int  # intervals of ownership that were compared
    lost_leases: int  # relays that were seen without a lease


def build(seed: int, relays: int) -> ControlWorld:
    """Build a fleet, and run it until all relays are in service."""
    world = ControlWorld(seed)
    regions = [f"region-{n}" for n in range(REGIONS)]
    for region in regions:
        world.add_region(region, MACHINES)
    for machine in [machine for region in regions for machine in world.groups[region]]:
        world.start_control(machine)
    for region in regions:
        for number in range(relays):
            world.start_relay(f"{region}-relay-{number:02d}", region, f"{region}-zone-{number % 2}")
    if (
        world.run_until(lambda: all(_in_service(world, region) for region in regions), START_TIMEOUT_S)
        is None
    ):
        raise WorldStartError(f"not all simulated relays came into service within {START_TIMEOUT_S:g} s")
    world.run(SETTLE_S)
    return world


def _in_service(world: ControlWorld, region: str) -> bool:
    return world.relays_agree(region, [relay.name for relay in world.running(region)])


def _members(relay: Relay) -> frozenset[RelayKey]:
    roster = None if relay.attachment is None else relay.attachment.roster
    return frozenset() if roster is None else frozenset(map(relay_key, roster.members.values()))


def _without_lease(world: ControlWorld) -> set[str]:
    return {
        relay.name
        for relay in world.running()
        if relay.attachment is not None and not relay.attachment.may_act(world.relay_clock(relay))
    }


def under_loss(seed: int, seconds: float) -> LossFigures:
    """Run a fleet in which 1 % of segments and datagrams are lost and no process dies."""
    world = build(seed, RELAYS_UNDER_LOSS)
    world.default_link.loss = LOSS
    begun, removed, lost = world.now, 0, set[str]()
    known = {relay.name: _members(relay) for relay in world.running()}
    while world.now - begun < seconds:
        world.run(OBSERVE_INTERVAL_S)
        gone = set[RelayKey]()
        for relay in world.running():
            members = _members(relay)
            gone |= known[relay.name] - members
            known[relay.name] = members
        removed += len(gone)
        lost |= _without_lease(world)
    return LossFigures(world.now - begun, removed, len(lost))


def cut_off(seed: int, seconds: float) -> CutFigures:
    """Cut a region's control machines off from those of all others for `seconds`, then heal the links."""
    world = build(seed, RELAYS_IN_CUT)
    regions = sorted(world.groups)
    cut, others = world.groups[regions[-1]], [m for r in regions[:-1] for m in world.groups[r]]
    owners = _Owners(world)
    world.set_links(cut, others, cut=True)
    begun, lost = world.now, set[str]()
    victims = [relay.name for region in regions for relay in world.running(region)[:KILLED_PER_REGION]]
    while world.now - begun < seconds:
        world.run(OBSERVE_INTERVAL_S)
        owners.observe()
        lost |= _without_lease(world)
        if victims and world.now - begun > seconds / 2:
            world.kill_relay(victims.pop())  # so that rosters change on both sides of the cut
    cut_for = world.now - begun
    world.heal()
    agreed_after = world.run_until(lambda: _one_roster(world, regions), AGREE_TIMEOUT_S)
    owners.observe()
    two = measures.keys_with_two_owners(owners.intervals)
    return CutFigures(
        cut_for,
        measures.NEVER if agreed_after is None else agreed_after,
        len(two),
        len(owners.intervals),
        len(lost),
    )


def _one_roster(world: ControlWorld, regions: list[str]) -> bool:
    versions: dict[str, set[Version | None]] = {region: set() for region in regions}
    for relay in world.running():
        attachment = relay.attachment
        assert attachment is not None
        roster = attachment.roster
        versions[relay.region].add(None if roster is None else roster.version)
        for region in regions:
            if region != relay.region:
                count = attachment.membership.region_counts.get(region)
                versions[region].add(None if count is None else count.version)
    return all(len(found) == 1 and None not in found for found in versions.values())


class _Owners:
    """Intervals in which relays claimed a key, from one observation to a later one."""

    def __init__(self, world: ControlWorld) -> None:
        self.world = world
        self.intervals: list[Ownership] = []
        self._open_since: dict[tuple[str, RelayKey], float] = {}
        self._keys = {
            region: [key for key in KEYS if home_region(key, world.groups) == region]
            for region in world.groups
        }

    def observe(self) -> None:
        """Ask each relay about all keys of its region."""
        still_owned = {}
        for relay in self.world.running():
            attachment = relay.attachment
            assert attachment is not None
            for key in self._keys[relay.region]:
                if attachment.owns(key, self.world.relay_clock(relay)):
                    pair = key, relay_key(attachment.relay)
                    begin = self._open_since.get(pair, self.world.now)
                    still_owned[pair] = self.world.now
                    self.intervals.append(Ownership(begin, self.world.now, *pair))
        self._open_since = still_owned


@dataclass(frozen=True, slots=True)
class VirtualFigures:
    """Figures of both scenarios."""

    loss: LossFigures
    cut: CutFigures


def run_both(seed: int) -> VirtualFigures:
    """Run both scenarios in parallel processes."""
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1)) as pool:
        cut = pool.submit(cut_off, seed, HOUR_S)
        parts = [HOUR_S / SLICES] * SLICES
        slices = list(pool.map(under_loss, range(seed, seed + SLICES), parts))
        loss = LossFigures(
            sum(one.seconds for one in slices),
            sum(one.removed for one in slices),
            sum(one.lost_leases for one in slices),
        )
        return VirtualFigures(loss, cut.result())
