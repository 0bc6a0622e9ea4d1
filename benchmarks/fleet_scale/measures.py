"""Figures computed from the history of a run. Bounds are applied elsewhere (`verdict`)."""

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
    """Return the 99th percentile, or NEVER without values."""
    ordered = sorted(values)
    return quantile(ordered, 0.99) if ordered else NEVER


# Detection of ended relays.


@dataclass(frozen=True, slots=True)
class DetectionDelays:
    """Seconds from the end of a relay until all relays of its region, and all relays anywhere, knew of it."""

    relay: RelayKey
    how: p.Ending
    region: float
    everywhere: float


def removal_versions(history: History) -> dict[RelayKey, Version]:
    """Return the version of the first roster without each relay that was removed."""
    found: dict[RelayKey, Version] = {}
    for change in history.members:
        for relay in change.gone:
            if relay not in found or change.version < found[relay]:
                found[relay] = change.version
    return found


def time_reached(floors: Sequence[Floor], version: Version, after: float) -> float:
    """Return the time from `after` on when all relays of a host knew this version or a later one."""
    for floor in floors[bisect_left(floors, after, key=lambda one: one.at) :]:
        if floor.version is not None and floor.version >= version:
            return floor.at
    return NEVER


def detection_delays(
    history: History, ends: Iterable[p.RelayEnded], cut_off: frozenset[str]
) -> list[DetectionDelays]:
    """Return the delay until each end was known; regions in `cut_off` need not know of ends elsewhere."""
    versions = removal_versions(history)
    region_of = {name: host.region for host in history.hosts.values() for name in host.names}
    found = []
    for end in ends:
        region = region_of[end.relay.name]
        version = versions.get(end.relay)
        region_reached_at = all_reached_at = NEVER
        if version is not None:
            region_reached_at = _last_host_reached(history, end.at, version, region, region, cut_off)
            all_reached_at = max(
                region_reached_at,
                _last_host_reached(history, end.at, version, region, None, cut_off | {region}),
            )
        found.append(DetectionDelays(end.relay, end.how, region_reached_at - end.at, all_reached_at - end.at))
    return found


def _last_host_reached(
    history: History,
    after: float,
    version: Version,
    region: str,
    observers: str | None,
    cut_off: frozenset[str],
) -> float:
    """Return when the last host knew this roster version of a region.

    Hosts of the region know it by their rosters, others by their relay counts. `observers` limits the hosts
    to those of one region; without it, hosts of the regions in `cut_off` are left out.
    """
    last = after
    for host in history.living_hosts(after):
        if host.region != observers and (observers is not None or host.region in cut_off):
            continue
        floors = host.rosters if host.region == region else host.counts[region]
        at = time_reached(floors, version, after)
        if at > host.ended_at:
            continue  # the host was ended before its relays could know
        last = max(last, at)
    return last


def wrongful_removals(history: History, slack: float) -> list[RelayKey]:
    """Return relays removed from a roster more than `slack` seconds before their end, or without an end."""
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
    """Return the seconds that each relay started in a window took to come into service."""
    serving = {record.relay: record.at for record in history.in_service}
    return [
        serving.get(record.relay, NEVER) - record.at
        for record in history.started
        if record.at in window and (record.relay in serving or not _ended_soon(history, record))
    ]


def _ended_soon(history: History, started: p.RelayStarted) -> bool:
    """Return whether the harness ended a relay before it could come into service."""
    end = history.ended.get(started.relay)
    return end is not None and end.at - started.at < 1.0


# Leases and keys.


def lease_gaps(history: History, window: Window, regions: frozenset[str] | None = None) -> list[p.LeaseGap]:
    """Return lease gaps that overlap a window, of relays in `regions` or in all regions."""
    region_of = {name: host.region for host in history.hosts.values() for name in host.names}
    return [
        gap
        for gap in history.gaps
        if gap.end >= window.begin and gap.begin <= window.end
        and (regions is None or region_of[gap.relay.name] in regions)
    ]  # fmt: skip


@dataclass(frozen=True, slots=True)
class TwoOwners:
    """Two relays that claimed the same key at the same time."""

    key: str
    one: RelayKey
    other: RelayKey
    seconds: float


def keys_with_two_owners(ownerships: Iterable[p.Ownership]) -> list[TwoOwners]:
    """Return overlapping intervals of two relays. An interval ends at the last observation of the claim."""
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
    """Return the keys that some relay owns at a time."""
    return {one.key for one in ownerships if one.begin <= at <= one.end}


# Resource usage.


@dataclass(frozen=True, slots=True)
class RelayTraffic:
    """Bytes on the wire of relays, sent and received."""

    mean: float  # bytes per second of a relay that kept its connection
    peak: float  # bytes per second of the busiest relay between two observations
    join: float  # bytes of a new connection up to its first observation, with the roster


def relay_traffic(history: History, window: Window, regions: frozenset[str] | None = None) -> RelayTraffic:
    """Return the traffic in a window of relays in `regions` or in all regions."""
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
    """Return the relative error of the model of the headers against the kernel's counts."""
    kernel = model = 0
    for host in history.hosts.values():
        if host.models:
            kernel += host.models[-1].kernel_wire
            model += host.models[-1].model_wire
    return model / kernel - 1.0 if kernel else NEVER


@dataclass(frozen=True, slots=True)
class StubCost:
    """Resource usage of a stub relay, as its share of its host's."""

    cpu: float  # cores per relay, without the CPU time of the observation
    cpu_max: float  # cores per relay, on the host whose relays use most
    rss_mib: float


def stub_cost(history: History, window: Window) -> StubCost:
    """Return the CPU and memory usage of a stub relay in a window."""
    used, relay_seconds, rss, relays, cpu_per_relay_max = 0.0, 0.0, 0.0, 0, 0.0
    for host in history.hosts.values():
        costs = [cost for cost in host.costs if cost.at in window]
        if len(costs) < 2 or not costs[-1].relays:
            continue
        first, last = costs[0], costs[-1]
        relays_cpu = last.cpu - first.cpu - (last.looking - first.looking)
        seconds = (last.at - first.at) * last.relays
        used, relay_seconds = used + relays_cpu, relay_seconds + seconds
        cpu_per_relay_max = max(cpu_per_relay_max, relays_cpu / seconds)
        rss, relays = rss + last.rss_kib / 1024, relays + last.relays
    if not relays:
        return StubCost(NEVER, NEVER, NEVER)
    return StubCost(used / relay_seconds, cpu_per_relay_max, rss / relays)


@dataclass(frozen=True, slots=True)
class ProcessCost:
    """Resource usage of the processes of one kind."""

    cpu_mean: float  # cores
    cpu_max: float  # cores, mean over the window of the busiest process
    rss_max_mib: float  # highest peak of a process


def process_cost(history: History, names: Iterable[str], window: Window) -> ProcessCost:
    """Return the CPU and memory usage of processes in a window."""
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


# Agreement on rosters.


@dataclass(frozen=True, slots=True)
class Agreement:
    """Which rosters and relay counts all relays knew at an audit."""

    relays: int  # that were audited
    rosters: dict[str, set[tuple[Version | None, int]]]  # by region: versions and digests
    # By region: versions and numbers of living relays that relays of other regions know.
    counts: dict[str, set[tuple[Version | None, int]]]
    last_at: float  # time of the last host's answer

    @property
    def disagreeing_regions(self) -> int:
        """The number of regions about which relays know different rosters or counts."""
        return sum(
            1
            for region, known in self.rosters.items()
            if len(known) != 1
            or {version for version, _ in self.counts.get(region, known)} != {version for version, _ in known}
        )


def agreement(history: History, number: int) -> Agreement:
    """Combine the hosts' answers to an audit."""
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
    """Return roster versions under which hosts have seen different rosters."""
    digests: dict[tuple[str, Version], set[int]] = defaultdict(set)
    for change in history.members:
        digests[change.region, change.version].add(change.digest)
    return [version for (_, version), found in digests.items() if len(found) > 1]


def hosts_of(history: History, region: str) -> list[HostHistory]:
    """Return the hosts of a region."""
    return [host for host in history.hosts.values() if host.region == region]
