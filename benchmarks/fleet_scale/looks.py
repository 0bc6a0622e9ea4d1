"""Recorders that observe the relays of a host and write records of what has changed, one aspect per class."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

import xxhash

from benchmarks.fleet_scale import protocol as p
from benchmarks.fleet_scale.hollow import RunningRelay
from benchmarks.fleet_scale.traffic import Counts, model_wire
from violetdoor.control.messages import RelayKey, Version
from violetdoor.control.roster import Roster, relay_key

Write = Callable[[p.Record], None]
Relays = Sequence[RunningRelay]

RANDOM_QUERY_FRACTION = 0.02  # of the relays: each of these is asked about a random key per observation
FLUSH_INTERVAL_S = 2.0  # ownership that lasts is written so often, as a host may be killed at any time


class ServiceRecorder:
    """Records when relays come into service, and when they hold no lease after that."""

    def __init__(self, write: Write) -> None:
        self._write = write
        self._last_acting: dict[RelayKey, float] = {}  # last time that each relay in service held a lease

    def observe(self, now: float, relays: Relays) -> None:
        """Record relays that have come into service, and lease gaps that have ended."""
        for relay in relays:
            if not relay.may_act(now):
                continue
            if not relay.in_service:
                if not relay.in_own_roster:
                    continue
                relay.in_service = True
                self._write(p.RelayInService(now, relay.key))
            elif relay.without_lease:
                self._write(p.LeaseGap(self._last_acting[relay.key], now, relay.key))
            relay.without_lease = False
            self._last_acting[relay.key] = now
        for relay in relays:
            relay.without_lease = relay.in_service and self._last_acting[relay.key] < now

    def ended(self, now: float, relay: RunningRelay) -> None:
        """Record the lease gap of a relay that ends, if it has one."""
        last = self._last_acting.pop(relay.key, now)
        if relay.without_lease:
            self._write(p.LeaseGap(last, now, relay.key))


class RosterRecorder:
    """Records the newest roster, the oldest roster and the oldest relay counts known to the relays."""

    def __init__(self, plan: p.HostPlan, write: Write) -> None:
        self._region, self._write = plan.region, write
        self._others = tuple(region for region in plan.regions if region != plan.region)
        self._newest: Version | None = None
        self._members: dict[RelayKey, None] = {}
        self._floor: Version | None = None
        self._count_floors: dict[str, Version | None] = {}

    def observe(self, now: float, relays: Relays) -> None:
        """Record changes of the newest and of the oldest roster that relays in service know."""
        rosters = [relay.roster for relay in relays if relay.in_service]
        known = [roster for roster in rosters if roster is not None]
        if not known:
            return
        newest = max(known, key=lambda roster: roster.version)
        if self._newest is None or newest.version > self._newest:
            self._note_members(now, newest)
        floor = min(roster.version for roster in known) if len(known) == len(rosters) else None
        if floor != self._floor:
            self._floor = floor
            self._write(p.RosterFloor(now, self._region, floor))

    def _note_members(self, now: float, roster: Roster) -> None:
        self._newest = roster.version
        members = dict.fromkeys(relay_key(relay) for relay in roster.members.values())
        joined = tuple(key for key in members if key not in self._members)
        gone = tuple(key for key in self._members if key not in members)
        self._members = members
        self._write(p.Members(now, self._region, roster.version, digest(roster), joined, gone))

    def observe_counts(self, now: float, relays: Relays) -> None:
        """Record changes of the oldest relay counts of other regions that relays in service know."""
        serving = [relay for relay in relays if relay.in_service]
        if not serving:
            return
        for region in self._others:
            floor = _oldest(relay.count_version(region) for relay in serving)
            if floor != self._count_floors.get(region):
                self._count_floors[region] = floor
                self._write(p.CountFloor(now, region, floor))

    def audit(self, now: float, number: int, relays: Relays) -> None:
        """Record which rosters and relay counts all relays know."""
        rosters: dict[tuple[Version | None, int], int] = defaultdict(int)
        counts: dict[tuple[str, Version | None, int], int] = defaultdict(int)
        for relay in relays:
            roster = relay.roster
            rosters[(None, 0) if roster is None else (roster.version, digest(roster))] += 1
            for region in self._others:
                counts[region, relay.count_version(region), relay.counted_relays(region)] += 1
        self._write(
            p.Audit(
                now, number,
                tuple(p.VersionTally(self._region, version, seen, n) for (version, seen), n in rosters.items()),
                tuple(p.VersionTally(region, version, seen, n) for (region, version, seen), n in counts.items()),
            )
        )  # fmt: skip


def _oldest(versions: Iterable[Version | None]) -> Version | None:
    oldest: Version | None = None
    for version in versions:
        if version is None:
            return None
        if oldest is None or version < oldest:
            oldest = version
    return oldest


def digest(roster: Roster) -> int:
    """Return a hash of the members that does not depend on their order."""
    names = sorted(f"{relay.name}\0{relay.instance}" for relay in roster.members.values())
    return xxhash.xxh3_64_intdigest("\n".join(names).encode())


@dataclass(slots=True)
class _OpenInterval:
    begin: float
    end: float


class OwnershipRecorder:
    """Records the intervals in which relays claim keys."""

    def __init__(self, plan: p.HostPlan, write: Write, random: Random) -> None:
        self._keys, self._write, self._random = plan.keys, write, random
        self._open_intervals: dict[tuple[str, RelayKey], _OpenInterval] = {}

    def observe(self, now: Callable[[], float], relays: dict[str, RunningRelay]) -> None:
        """Ask the highest-ranked relays of each key, and a few random relays about one random key each."""
        seen: set[tuple[str, RelayKey]] = set()
        for watch in self._keys:
            for name in watch.relays:
                if (relay := relays.get(name)) is not None:
                    self._query(watch.key, relay, now(), seen)
        if self._keys:
            for relay in self._random.sample(
                list(relays.values()), math.ceil(len(relays) * RANDOM_QUERY_FRACTION)
            ):
                self._query(self._random.choice(self._keys).key, relay, now(), seen)
        for pair in [pair for pair in self._open_intervals if pair not in seen]:
            self._flush(pair)
            del self._open_intervals[pair]

    def _query(self, key: str, relay: RunningRelay, now: float, seen: set[tuple[str, RelayKey]]) -> None:
        if not relay.owns(key, now):
            return
        pair = key, relay.key
        seen.add(pair)
        interval = self._open_intervals.setdefault(pair, _OpenInterval(now, now))
        interval.end = now
        if interval.end - interval.begin > FLUSH_INTERVAL_S:
            self._flush(pair)
            interval.begin = now

    def _flush(self, pair: tuple[str, RelayKey]) -> None:
        interval, (key, relay) = self._open_intervals[pair], pair
        self._write(p.Ownership(interval.begin, interval.end, key, relay))

    def finish(self) -> None:
        """Record all ownership that still lasts."""
        for pair in self._open_intervals:
            self._flush(pair)


@dataclass(frozen=True, slots=True)
class _TrafficSample:
    """The counts of a connection at an observation."""

    connection: object
    kernel: Counts
    payload: Counts


class TrafficRecorder:
    """Records the bytes of all relays between two observations, by the kernel's counts."""

    def __init__(self, write: Write, now: float) -> None:
        self._write, self._observed_at = write, now
        self._previous: dict[RelayKey, _TrafficSample] = {}
        self._kernel_wire = self._model_wire = 0

    def observe(self, now: float, relays: Relays) -> None:
        """Record the bytes sent and received since the last observation."""
        seconds, self._observed_at = now - self._observed_at, now
        wire, peak, steady, joining, joining_wire = 0, 0, 0, 0, 0
        seen: dict[RelayKey, _TrafficSample] = {}
        for relay in relays:
            kernel = relay.kernel_counts()
            if kernel is None:
                continue
            current = seen[relay.key] = _TrafficSample(relay.connection, kernel, relay.payload_counts())
            before = self._previous.get(relay.key)
            if before is None or before.connection is not current.connection:
                joining += 1
                joining_wire += kernel.wire
                continue
            wire_delta = self._wire_between(before, current)
            wire, peak, steady = wire + wire_delta, max(peak, wire_delta), steady + 1
        self._previous = seen
        self._write(p.Traffic(now, seconds, steady, wire, peak / seconds, joining, joining_wire))

    def _wire_between(self, before: _TrafficSample, current: _TrafficSample) -> int:
        wire = current.kernel.since(before.kernel).wire
        payload = current.payload.since(before.payload)
        self._kernel_wire += wire
        self._model_wire += model_wire(payload)
        return wire

    def finish(self, now: float) -> None:
        """Record the totals by the kernel's counts and by the model of the headers."""
        self._write(p.TrafficModel(now, self._kernel_wire, self._model_wire))
