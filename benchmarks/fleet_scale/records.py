"""The history of a run: records from the hosts, and events that the harness itself caused or observed."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from benchmarks.fleet_scale import protocol as p
from benchmarks.fleet_scale.processes import Usage
from violetdoor.control.messages import RelayKey, Version


@dataclass(frozen=True, slots=True)
class Window:
    """A time interval of the run, both ends included; seconds of `shared_clock`."""

    begin: float
    end: float

    def __contains__(self, at: float) -> bool:
        return self.begin <= at <= self.end

    @property
    def seconds(self) -> float:
        return self.end - self.begin


@dataclass(frozen=True, slots=True)
class Floor:
    """From `at` on, all relays of a host know at least this version; None if one of them knows no version."""

    at: float
    version: Version | None


@dataclass(frozen=True, slots=True)
class UsageSample:
    """Resource usage of a process at a point in time."""

    at: float
    usage: Usage


@dataclass
class HostHistory:
    """All records of one host of stub relays."""

    region: str
    names: frozenset[str]
    ended_at: float = float("inf")  # when the harness killed or stopped the host
    census: list[p.Census] = field(default_factory=list)
    rosters: list[Floor] = field(default_factory=list)
    counts: dict[str, list[Floor]] = field(default_factory=lambda: defaultdict(list))
    traffic: list[p.Traffic] = field(default_factory=list)
    costs: list[p.Cost] = field(default_factory=list)
    models: list[p.TrafficModel] = field(default_factory=list)
    audits: list[p.Audit] = field(default_factory=list)


@dataclass
class History:
    """All records of a run."""

    hosts: dict[str, HostHistory] = field(default_factory=dict)
    members: list[p.Members] = field(default_factory=list)
    started: list[p.RelayStarted] = field(default_factory=list)
    in_service: list[p.RelayInService] = field(default_factory=list)
    ended: dict[RelayKey, p.RelayEnded] = field(default_factory=dict)
    real_ended: dict[str, float] = field(default_factory=dict)  # time of the end of real relays, by name
    running: dict[str, RelayKey] = field(default_factory=dict)  # stub relays by name
    gaps: list[p.LeaseGap] = field(default_factory=list)
    ownerships: list[p.Ownership] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    usage: dict[str, list[UsageSample]] = field(default_factory=lambda: defaultdict(list))
    windows: dict[str, Window] = field(default_factory=dict)  # of the phases, by phase name

    def add_line(self, host: str, line: bytes) -> None:
        """Decode and add a line that a host wrote."""
        try:
            record = p.records.decode(line)
        except (msgspec.MsgspecError, ValueError) as err:
            self.failures.append(f"{host} wrote a line that is not a valid record: {err}")
            return
        self._add(self.hosts[host], record)

    def _add(self, host: HostHistory, record: p.Record) -> None:
        match record:
            case p.Census():
                host.census.append(record)
            case p.Members():
                self.members.append(record)
            case p.RosterFloor():
                host.rosters.append(Floor(record.at, record.version))
            case p.CountFloor():
                host.counts[record.region].append(Floor(record.at, record.version))
            case p.RelayStarted():
                self.started.append(record)
                self.running[record.relay.name] = record.relay
            case p.RelayInService():
                self.in_service.append(record)
            case p.RelayEnded():
                self.add_end(record)
            case p.LeaseGap():
                self.gaps.append(record)
            case p.Ownership():
                self.ownerships.append(record)
            case p.Traffic():
                host.traffic.append(record)
            case p.TrafficModel():
                host.models.append(record)
            case p.Audit():
                host.audits.append(record)
            case p.Cost():
                host.costs.append(record)
            case p.HostFailure():
                self.failures.append(record.text)

    def add_end(self, record: p.RelayEnded) -> None:
        """Add the end of a relay, and remove the relay from the running ones."""
        self.ended[record.relay] = record
        if self.running.get(record.relay.name) == record.relay:
            del self.running[record.relay.name]

    def add_host_end(self, host: str, at: float, how: p.Ending) -> tuple[RelayKey, ...]:
        """Add the end of a host by the harness, and of all its relays; return these relays."""
        self.hosts[host].ended_at = at
        lost = tuple(self.running[n] for n in self.hosts[host].names if n in self.running)
        for relay in lost:
            self.add_end(p.RelayEnded(at, relay, how))
        return lost

    def living_hosts(self, at: float) -> Iterator[HostHistory]:
        """Return the hosts that had not been ended at time `at`."""
        return (host for host in self.hosts.values() if host.ended_at > at)
