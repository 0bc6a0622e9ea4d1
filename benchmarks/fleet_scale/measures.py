"""Figures out of a history. Each function looks at one thing; none knows the bounds."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from benchmarks.fleet_scale import protocol as p
from benchmarks.fleet_scale.records import Floor, History, HostHistory, UsageSample, Window
from benchmarks.machine import quantile
from violetdoor.control.messages import RelayKey, Version

NEVER = float("inf")


def p99(values: Iterable[float]) -> float:
    """The 99th of a hundred; never, where there are none to judge by."""
    ordered = sorted(values)
    return quantile(ordered, 0.99) if ordered else NEVER


# Who knows of what, and when.


@dataclass(frozen=True, slots=True)
class DetectionDelays:
    """Seconds from the end of a relay until all relays of its region, and all everywhere, knew."""

    relay: RelayKey
    how: p.Ending
    region: float
    everywhere: float


def removal_versions(history: History) -> dict[RelayKey, Version]:
    """The first roster in which a relay is seen to be gone."""
    found: dict[RelayKey, Version] = {}
    for change in history.members:
        for relay in change.gone:
            if relay not in found or change.version < found[relay]:
                found[relay] = change.version
    return found


def time_reached(floors: Sequence[Floor], version: Version, after: float) -> float:
    """When all relays of a host knew this version or a later one."""
    for floor in floors[bisect_left(floors, after, key=lambda one: one.at) :]:
        if floor.version is not None and floor.version >= version:
            return floor.at
    return NEVER


def detection_delays(
    history: History, ends: Iterable[p.RelayEnded], cut_off: frozenset[str]
) -> list[DetectionDelays]:
    """For each end the seconds until it was known; regions that are cut off need not know of others."""
    versions = removal_versions(history)
    region_of = {name: host.region for host in history.hosts.values() for name in host.names}
    found = []
    for end in ends:
        region = region_of[end.relay.name]
        version = versions.get(end.relay)
        within = elsewhere = NEVER
        if version is not None:
            within = _last_host_reached(history, end.at, version, region, region, cut_off)
            elsewhere = max(
                within, _last_host_reached(history, end.at, version, region, None, cut_off | {region})
            )
        found.append(DetectionDelays(end.relay, end.how, within - end.at, elsewhere - end.at))
    return found


def _last_host_reached(
    history: History,
    after: float,
    version: Version,
    region: str,
    observers: str | None,
    cut_off: frozenset[str],
) -> float:
    """When the last host knew this roster of a region: hosts of that region by their rosters, others by counts."""
    last = after
    for host in history.living_hosts(after):
        if host.region != observers and (observers is not None or host.region in cut_off):
            continue
        floors = host.rosters if host.region == region else host.counts[region]
        at = time_reached(floors, version, after)
        if at > host.ended_at:
            continue  # it was ended itself before it could know
        last = max(last, at)
    return last


def wrongful_removals(history: History, slack: float) -> list[RelayKey]:
    """Relays that were taken out of a roster over `slack` seconds before they ended, or that never ended."""
    first_gone: dict[RelayKey, float] = {}
    for change in history.members:
        for relay in change.gone:
            first_gone[relay] = min(change.at, first_gone.get(relay, NEVER))
    return [relay for relay, at in first_gone.items() if at < _end_of(history, relay) - slack]


def _end_of(history: History, relay: RelayKey) -> float:
    if relay in history.ended:
        return history.ended[relay].at
    return history.real_ended.get(relay.name, NEVER)


# Starts.


def service_times(history: History, window: Window) -> list[float]:
    """Seconds from the start of each relay that was started in a window until it was in service."""
    serving = {record.relay: record.at for record in history.in_service}
    return [
        serving.get(record.relay, NEVER) - record.at
        for record in history.started
        if record.at in window and (record.relay in serving or not _ended_soon(history, record))
    ]


def _ended_soon(history: History, started: p.RelayStarted) -> bool:
    """Whether the run ended a relay before it could be in service."""
    end = history.ended.get(started.relay)
    return end is not None and end.at - started.at < 1.0


# Leases and keys.


def lease_gaps(history: History, window: Window, regions: frozenset[str] | None = None) -> list[p.LeaseGap]:
    """Gaps that lie in part in a window, of relays of some regions or of all."""
    region_of = {name: host.region for host in history.hosts.values() for name in host.names}
    return [
        gap
        for gap in history.gaps
        if gap.end >= window.begin and gap.begin <= window.end
        and (regions is None or region_of[gap.relay.name] in regions)
    ]  # fmt: skip


@dataclass(frozen=True, slots=True)
class TwoOwners:
    """Two relays that said at the same time that they own a key."""

    key: str
    one: RelayKey
    other: RelayKey
    seconds: float


def keys_with_two_owners(ownerships: Iterable[p.Ownership]) -> list[TwoOwners]:
    """Intervals of two relays that overlap. Ends are looks at which the relay still said so."""
    by_key: dict[str, list[p.Ownership]] = defaultdict(list)
    for one in ownerships:
        by_key[one.key].append(one)
    found = []
    for key, intervals in by_key.items():
        intervals.sort(key=lambda one: one.begin)
        latest: dict[RelayKey, p.Ownership] = {}
        for interval in intervals:
            for relay, before in latest.items():
                if relay != interval.relay and before.end >= interval.begin:
                    overlap = min(before.end, interval.end) - interval.begin
                    found.append(TwoOwners(key, relay, interval.relay, overlap))
            known = latest.get(interval.relay)
            if known is None or interval.end > known.end:
                latest[interval.relay] = interval
    return found


def keys_owned_at(ownerships: Iterable[p.Ownership], at: float) -> set[str]:
    """The keys that some relay owns at a moment."""
    return {one.key for one in ownerships if one.begin <= at <= one.end}


# What it costs.


@dataclass(frozen=True, slots=True)
class RelayTraffic:
    """Bytes on the wire of relays, both ways."""

    mean: float  # bytes a second of a relay that was connected throughout
    peak: float  # the most of one relay between two looks, bytes a second
    join: float  # bytes of a start, with its roster


def relay_traffic(history: History, window: Window, regions: frozenset[str] | None = None) -> RelayTraffic:
    """Traffic of the relays of some regions, or of all, in a window."""
    records = [
        record
        for host in history.hosts.values()
        if regions is None or host.region in regions
        for record in host.traffic
        if record.at in window
    ]
    relay_seconds = sum(r.relays * r.seconds for r in records)
    joining = sum(r.joining for r in records)
    return RelayTraffic(
        sum(r.wire for r in records) / relay_seconds if relay_seconds else NEVER,
        max((r.peak for r in records), default=NEVER),
        sum(r.joining_wire for r in records) / joining if joining else 0.0,
    )


def model_error(history: History) -> float:
    """By which part the model of the headers differs from what the kernel has counted."""
    kernel = model = 0
    for host in history.hosts.values():
        if host.models:
            kernel += host.models[-1].kernel_wire
            model += host.models[-1].model_wire
    return model / kernel - 1.0 if kernel else NEVER


@dataclass(frozen=True, slots=True)
class StubCost:
    """What a hollow relay takes: its share of its host."""

    cpu: float  # part of a core, without what the looks of the measurement take
    cpu_max: float  # of the host whose relays take most
    rss_mib: float


def stub_cost(history: History, window: Window) -> StubCost:
    """Processor and memory of a hollow relay in a window."""
    used, relay_seconds, rss, relays, most = 0.0, 0.0, 0.0, 0, 0.0
    for host in history.hosts.values():
        costs = [cost for cost in host.costs if cost.at in window]
        if len(costs) < 2 or not costs[-1].relays:
            continue
        first, last = costs[0], costs[-1]
        of_host = last.cpu - first.cpu - (last.looking - first.looking)
        seconds = (last.at - first.at) * last.relays
        used, relay_seconds = used + of_host, relay_seconds + seconds
        most = max(most, of_host / seconds)
        rss, relays = rss + last.rss_kib / 1024, relays + last.relays
    if not relays:
        return StubCost(NEVER, NEVER, NEVER)
    return StubCost(used / relay_seconds, most, rss / relays)


@dataclass(frozen=True, slots=True)
class ProcessCost:
    """What the processes of one kind take."""

    cpu_mean: float  # part of a core
    cpu_max: float  # of one process over the window
    rss_max_mib: float


def process_cost(history: History, names: Iterable[str], window: Window) -> ProcessCost:
    """Processor and memory of processes in a window."""
    rates, rss = [], 0.0
    for name in names:
        samples = [sample for sample in history.usage[name] if sample.at in window]
        if len(samples) < 2:
            continue
        rates.append(_cpu_rate(samples))
        rss = max(rss, *(sample.usage.rss_peak_kib / 1024 for sample in samples))
    if not rates:
        return ProcessCost(NEVER, NEVER, NEVER)
    return ProcessCost(sum(rates) / len(rates), max(rates), rss)


def _cpu_rate(samples: Sequence[UsageSample]) -> float:
    first, last = samples[0], samples[-1]
    return (last.usage.cpu - first.usage.cpu) / (last.at - first.at)


# One roster.


@dataclass(frozen=True, slots=True)
class Agreement:
    """Where all relays stand at an audit."""

    relays: int
    rosters: dict[str, set[tuple[Version | None, int]]]  # by region: versions and digests
    counts: dict[str, set[tuple[Version | None, int]]]  # of a region, as relays of others have them
    last_at: float

    @property
    def disagreeing_regions(self) -> int:
        """Regions of which not all relays know the same."""
        return sum(
            1
            for region, known in self.rosters.items()
            if len(known) != 1
            or {version for version, _ in self.counts.get(region, known)} != {version for version, _ in known}
        )


def agreement(history: History, number: int) -> Agreement:
    """What the hosts have answered to an audit."""
    rosters: dict[str, set[tuple[Version | None, int]]] = defaultdict(set)
    counts: dict[str, set[tuple[Version | None, int]]] = defaultdict(set)
    relays, last_at = 0, 0.0
    for audit in (a for host in history.hosts.values() for a in host.audits if a.number == number):
        last_at = max(last_at, audit.at)
        for one in audit.rosters:
            rosters[one.region].add((one.version, one.digest))
            relays += one.relays
        for one in audit.counts:
            counts[one.region].add((one.version, one.digest))
    return Agreement(relays, dict(rosters), dict(counts), last_at)


def conflicting_roster_versions(history: History) -> list[Version]:
    """Versions under which two hosts have seen two different rosters."""
    digests: dict[tuple[str, Version], set[int]] = defaultdict(set)
    for change in history.members:
        digests[change.region, change.version].add(change.digest)
    return [version for (_, version), found in digests.items() if len(found) > 1]


def hosts_of(history: History, region: str) -> list[HostHistory]:
    """The hosts of one region."""
    return [host for host in history.hosts.values() if host.region == region]
