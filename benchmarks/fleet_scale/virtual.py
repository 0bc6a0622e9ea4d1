"""What takes an hour, in virtual time: wrongful removals under loss, and a region that is cut off for an hour.

The decisions are those of the program; links, clocks and processes are `violetdoor.faults.control_world`'s.
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

HOUR = 3600.0  # s
SLICES = 8  # parts of the hour under loss, played side by side
LOSS = 0.01
REGIONS, MACHINES = 3, 3  # control machines of each region
RELAYS_UNDER_LOSS, RELAYS_IN_CUT = 20, 8  # of each region: the cut is one run, and can't be played in parts
KILLED_PER_REGION = 3  # relays of each region that die during the cut
KEYS = tuple(f"key-{n}" for n in range(30))
START_TIMEOUT_S = 60.0  # s until all relays of a world are in service
SETTLE_S = 10.0  # s after that, for the first rosters to settle
OBSERVE_INTERVAL_S = 1.0  # s
AGREE_TIMEOUT_S = 60.0  # s after the healing, before it is called never


class WorldStartError(Exception):
    """A virtual fleet did not come up."""


@dataclass(frozen=True, slots=True)
class LossFigures:
    """Some time under loss."""

    seconds: float
    removed: int  # members of a roster that were taken out, though all lived
    lost_leases: int


@dataclass(frozen=True, slots=True)
class CutFigures:
    """A region cut off for long."""

    seconds: float
    agreed_after: float  # s from the healing until all relays know one roster of each region
    two_owners: int
    ownerships: int  # intervals of ownership that were looked at
    lost_leases: int


def build(seed: int, relays: int) -> ControlWorld:
    """A fleet in which all relays are in service."""
    world = ControlWorld(seed)
    regions = [f"region-{n}" for n in range(REGIONS)]
    for region in regions:
        world.add_region(region, MACHINES)
    for machine in [machine for region in regions for machine in world.groups[region]]:
        world.start_control(machine)
    for region in regions:
        for number in range(relays):
            world.start_relay(f"{region}-relay-{number:02d}", region, f"{region}-zone-{number % 2}")
    if world.until(lambda: all(_in_service(world, region) for region in regions), START_TIMEOUT_S) is None:
        raise WorldStartError(f"not all virtual relays are in service within {START_TIMEOUT_S:g} s")
    world.run(SETTLE_S)
    return world


def _in_service(world: ControlWorld, region: str) -> bool:
    return world.agreed(region, [relay.name for relay in world.running(region)])


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
    """Every hundredth segment and datagram is lost, and nobody dies."""
    world = build(seed, RELAYS_UNDER_LOSS)
    world.default.loss = LOSS
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
    """A region's control machines are cut off from all others' for so long, then connected again."""
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
            world.kill_relay(victims.pop())  # so that the rosters go on, on both sides
    cut_for = world.now - begun
    world.heal()
    agreed_after = world.until(lambda: _one_roster(world, regions), AGREE_TIMEOUT_S)
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
    """Which relays say that they own a key, as intervals between looks."""

    def __init__(self, world: ControlWorld) -> None:
        self.world = world
        self.intervals: list[Ownership] = []
        self._open_since: dict[tuple[str, RelayKey], float] = {}
        self._keys = {
            region: [key for key in KEYS if home_region(key, world.groups) == region]
            for region in world.groups
        }

    def observe(self) -> None:
        """Ask all relays for all keys of their region."""
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
    """Both hours."""

    loss: LossFigures
    cut: CutFigures


def run_both(seed: int) -> VirtualFigures:
    """Both, side by side in processes."""
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1)) as pool:
        cut = pool.submit(cut_off, seed, HOUR)
        parts = [HOUR / SLICES] * SLICES
        slices = list(pool.map(under_loss, range(seed, seed + SLICES), parts))
        loss = LossFigures(
            sum(one.seconds for one in slices),
            sum(one.removed for one in slices),
            sum(one.lost_leases for one in slices),
        )
        return VirtualFigures(loss, cut.result())
