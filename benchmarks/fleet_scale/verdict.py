"""Compares the figures of a run with their bounds."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from benchmarks.fleet_scale import measures as m
from benchmarks.fleet_scale.bounds import (
    COUNT,
    KILOBYTES_PER_SECOND,
    MEBIBYTES,
    PERCENT,
    SECONDS,
    Bound,
    Unit,
)
from benchmarks.fleet_scale.fleet import Fleet
from benchmarks.fleet_scale.records import Window
from benchmarks.fleet_scale.timeline import RESTART_SPEEDUP, TimelineResult
from benchmarks.fleet_scale.virtual import LOSS, VirtualFigures
from violetdoor.control.messages import RelayKey

# Budgets of one relay.
RELAY_BYTES_PER_S, RELAY_CPU_CORES, RELAY_MEMORY_MIB = 6000.0, 0.049, 128.0
AIM_FRACTION = 0.25  # desired part of the budgets of a relay
MAX_GROWTH = 0.15  # relative growth of a relay's usage from the small fleet to the large one
HEALED_PEAK_FACTOR = 5.0  # times RELAY_BYTES_PER_S: the limit for one relay after the healing
DEATH_IN_REGION_S, DEATH_EVERYWHERE_S = 5.0, 17.0  # p99 of the detection of a death
LEFT_IN_REGION_S, LEFT_EVERYWHERE_S = 1.0, 5.0  # p99 of the detection of an orderly end
MANY_IN_REGION_S = 10.0  # until the last of many deaths is known in its region
IN_SERVICE_S = 3.0  # p99 from the start of a relay until it is in service
AGREED_WITHIN_S = 10.0  # from the healing until all relays know the same rosters
GAP_AFTER_TWO_S = 6.0  # longest time without a lease after the death of two control machines of a group
CONTROL_CPU_CORES, CONTROL_MEMORY_MIB = 1.0, 512.0
RECORD_LAG_S = 0.5  # most by which the time of a record may lag behind its event
MAX_MODEL_ERROR = 0.25  # relative error of the model of the headers against the kernel's counts


@dataclass(frozen=True, slots=True)
class RestFigures:
    """Resource usage of a relay at rest, for one size of the fleet."""

    relays: int
    bytes_per_second: float
    stub: m.StubCost
    real: m.ProcessCost


def rest_figures(fleet: Fleet) -> RestFigures:
    """Return the figures of a fleet from its phase of rest."""
    history, rest = fleet.history, fleet.history.windows["rest"]
    return RestFigures(
        fleet.layout.size.relays,
        m.relay_traffic(history, rest).mean,
        m.stub_cost(history, rest),
        m.process_cost(history, [relay.name for relay in fleet.layout.real], rest),
    )


def virtual_bounds(figures: VirtualFigures) -> list[Bound]:
    """Return the bounds of the scenarios in virtual time."""
    loss, cut = figures.loss, figures.cut
    hour = f"{loss.seconds / 60:.0f} min of {LOSS:.0%} loss, virtual"
    cut_for = f"a cut of {cut.seconds / 60:.0f} min, virtual"
    return [
        Bound(f"wrongful removals in {hour}", COUNT, 0, loss.removed),
        Bound(f"relays that lost a lease in {hour}", COUNT, 0, loss.lost_leases),
        Bound(
            f"all relays know one roster of each region after {cut_for}",
            SECONDS,
            AGREED_WITHIN_S,
            cut.agreed_after,
        ),
        Bound(f"keys with two owners in {cut_for}", COUNT, 0, cut.two_owners, cut.ownerships),
        Bound(f"relays that lost a lease in {cut_for}", COUNT, 0, cut.lost_leases),
    ]


class Verdict:
    """All bounds of a run in real time."""

    def __init__(self, fleet: Fleet, result: TimelineResult, small: RestFigures | None) -> None:
        self.fleet, self.history, self.result, self.small = fleet, fleet.history, result, small

    def bounds(self) -> list[Bound]:
        """Return all bounds in the order of the table."""
        return [
            *self._relay_cost(),
            *self._growth(),
            *self._single_ends(),
            *self._many_ends(),
            *self._restarts(),
            *self._control_deaths(),
            *self._cut(),
            *self._always(),
            *self._control_cost(),
        ]

    # Cost of a relay.

    def _relay_cost(self) -> Iterable[Bound]:
        history = self.history
        rest, churn = history.windows["rest"], history.windows["churn"]
        traffic, busy = m.relay_traffic(history, rest), m.relay_traffic(history, churn)
        cost, busy_cost = m.stub_cost(history, rest), m.stub_cost(history, churn)
        samples = sum(len(host.traffic) for host in history.hosts.values())
        yield _relay_bound(
            "bytes of a relay at rest", KILOBYTES_PER_SECOND, RELAY_BYTES_PER_S, traffic.mean, samples
        )
        yield _relay_bound(
            "bytes of a relay on an ordinary day", KILOBYTES_PER_SECOND, RELAY_BYTES_PER_S,
            _ordinary_day(traffic.mean, busy.mean), samples, "rest, and a hundredth of what restarts at 100 times the pace add",
        )  # fmt: skip
        yield _relay_bound("processor of a relay at rest", PERCENT, RELAY_CPU_CORES, cost.cpu)
        yield _relay_bound(
            "processor of a relay on an ordinary day",
            PERCENT,
            RELAY_CPU_CORES,
            _ordinary_day(cost.cpu, busy_cost.cpu),
        )
        yield _relay_bound("memory of a hollow relay", MEBIBYTES, RELAY_MEMORY_MIB, cost.rss_mib)
        yield from self._real_relays(rest)

    def _real_relays(self, rest: Window) -> Iterable[Bound]:
        names = [relay.name for relay in self.fleet.layout.real]
        cost = m.process_cost(self.history, names, rest)
        alone = m.process_cost(self.history, [self.fleet.unattached], rest)
        yield _relay_bound(
            "memory of a real relay, all its parts", MEBIBYTES, RELAY_MEMORY_MIB, cost.rss_max_mib, len(names)
        )
        added = cost.rss_max_mib - alone.rss_max_mib
        yield _relay_bound(
            "memory that the attachment adds to a real relay", MEBIBYTES, RELAY_MEMORY_MIB, added, len(names)
        )
        yield _relay_bound(
            "processor of a real relay, all its parts", PERCENT, RELAY_CPU_CORES, cost.cpu_max, len(names)
        )

    def _growth(self) -> Iterable[Bound]:
        if self.small is None:
            return
        large = rest_figures(self.fleet)
        span = f"from {self.small.relays:,} to {large.relays:,} relays"
        yield Bound(
            f"growth of a relay's bytes {span}", PERCENT, MAX_GROWTH,
            large.bytes_per_second / self.small.bytes_per_second - 1.0,
        )  # fmt: skip
        yield Bound(
            f"growth of a relay's processor {span}",
            PERCENT,
            MAX_GROWTH,
            large.stub.cpu / self.small.stub.cpu - 1.0,
        )
        yield Bound(
            f"growth of a real relay's memory {span}", PERCENT, MAX_GROWTH,
            large.real.rss_max_mib / self.small.real.rss_max_mib - 1.0,
        )  # fmt: skip

    # Detection of ended relays.

    def _single_ends(self) -> Iterable[Bound]:
        singles = frozenset(self.result.single_ends)
        before_cut = self.result.cut_at or m.NEVER
        ends = [e for e in self.history.ended.values() if e.at < before_cut]
        deaths = [e for e in ends if e.relay.name in singles and e.how != "left"]
        left = [e for e in ends if e.how == "left"]
        known = m.detection_delays(self.history, deaths, frozenset())
        yield _p99_bound("a death known in its region, p99", DEATH_IN_REGION_S, [k.region for k in known])
        yield _p99_bound("a death known everywhere, p99", DEATH_EVERYWHERE_S, [k.everywhere for k in known])
        known = m.detection_delays(self.history, left, frozenset())
        yield _p99_bound(
            "an orderly end known in its region, p99", LEFT_IN_REGION_S, [k.region for k in known]
        )
        yield _p99_bound(
            "an orderly end known everywhere, p99", LEFT_EVERYWHERE_S, [k.everywhere for k in known]
        )

    def _many_ends(self) -> Iterable[Bound]:
        yield self._all_known("a rack", self.result.rack)
        yield self._all_known("a zone", self.result.zone)

    def _all_known(self, what: str, relays: Sequence[RelayKey]) -> Bound:
        ends = [self.history.ended[relay] for relay in relays]
        delays = [known.region for known in m.detection_delays(self.history, ends, frozenset())]
        title = f"{what} of {len(relays)} gone at once, known in its region, the last one"
        return Bound(title, SECONDS, MANY_IN_REGION_S, max(delays, default=m.NEVER), len(delays))

    # Restarts.

    def _restarts(self) -> Iterable[Bound]:
        churn = self.history.windows["churn"]
        window = Window(churn.begin, churn.end + RECORD_LAG_S)
        times = m.service_times(self.history, window)
        yield _p99_bound(
            f"a restart is in, at {RESTART_SPEEDUP:g} times the day's pace, p99", IN_SERVICE_S, times
        )
        late = sum(1 for took in times if took > 2 * IN_SERVICE_S)
        yield Bound(f"restarts that were not in after {2 * IN_SERVICE_S:g} s", COUNT, 0, late, len(times))

    # Control machines.

    def _control_deaths(self) -> Iterable[Bound]:
        regions = frozenset({self.result.killed_region})
        observed = len(m.hosts_of(self.history, self.result.killed_region))
        if self.result.first_kill is not None:
            gaps = m.lease_gaps(self.history, self.result.first_kill, regions)
            yield Bound("leases lost when a control machine is killed", COUNT, 0, len(gaps), observed)
        if self.result.second_kill is not None:
            gaps = m.lease_gaps(self.history, self.result.second_kill, regions)
            longest = max((gap.end - gap.begin for gap in gaps), default=0.0)
            title = "longest time without a lease when a second of five is killed"
            yield Bound(
                title, SECONDS, GAP_AFTER_TWO_S, longest, observed, note=f"{len(gaps)} relays lost theirs"
            )

    def _control_cost(self) -> Iterable[Bound]:
        names = [machine.name for machine in self.fleet.layout.machines]
        windows = self.history.windows
        from_ends = Window(windows["ends"].begin, max(window.end for window in windows.values()))
        costs = [
            m.process_cost(self.history, names, w) for w in (windows["rest"], windows["churn"], from_ends)
        ]
        cpu, rss = max(c.cpu_max for c in costs), max(c.rss_max_mib for c in costs)
        yield Bound(
            "processor of a control machine, the most at rest, in restarts or from then on",
            PERCENT,
            CONTROL_CPU_CORES,
            cpu,
            len(names),
        )
        yield Bound("memory of a control machine, the most", MEBIBYTES, CONTROL_MEMORY_MIB, rss, len(names))

    # Cut region.

    def _cut(self) -> Iterable[Bound]:
        agreement = self.result.agreement
        if agreement is None:
            return
        history, region = self.history, self.result.cut_region
        title = "all relays know one roster of each region after the healing"
        note = f"{agreement.disagreeing_regions} regions apart" if agreement.disagreeing_regions else ""
        yield Bound(title, SECONDS, AGREED_WITHIN_S, self.result.agreed_after, agreement.relays, note=note)
        cut = history.windows["cut"]
        gaps = m.lease_gaps(history, cut, frozenset({region}))
        yield Bound(
            "leases lost in the region that was cut off",
            COUNT,
            0,
            len(gaps),
            len(m.hosts_of(history, region)),
        )
        healed = m.relay_traffic(history, history.windows["healed"])
        yield Bound(
            "most bytes of one relay after the healing", KILOBYTES_PER_SECOND, HEALED_PEAK_FACTOR * RELAY_BYTES_PER_S,
            healed.peak, len(history.hosts),
        )  # fmt: skip

    # Invariants of the whole run.

    def _always(self) -> Iterable[Bound]:
        history = self.history
        two = m.keys_with_two_owners(history.ownerships)
        yield Bound("keys with two owners, in the whole run", COUNT, 0, len(two), len(history.ownerships))
        # The first restart follows the end of the rest at once.
        at = history.windows["rest"].end - RECORD_LAG_S
        stub_names = {name for host in history.hosts.values() for name in host.names}
        wanted = {key for key in self.fleet.keys.keys if self.fleet.keys.preferred_owner(key) in stub_names}
        missing = wanted - m.keys_owned_at(history.ownerships, at)
        yield Bound("keys without an owner at rest", COUNT, 0, len(missing), len(wanted))
        wrong = m.wrongful_removals(history, RECORD_LAG_S)
        yield Bound("relays taken out that had not ended", COUNT, 0, len(wrong), len(history.members))
        differ = m.conflicting_roster_versions(history)
        yield Bound("versions under which two rosters were seen", COUNT, 0, len(differ), len(history.members))
        at_rest = m.lease_gaps(
            history, Window(history.windows["rest"].begin, history.windows["many ends"].end)
        )
        yield Bound(
            "leases lost before a control machine is killed", COUNT, 0, len(at_rest), len(history.in_service)
        )
        error = abs(m.model_error(history))
        yield Bound("the model of the headers against the kernel's counts", PERCENT, MAX_MODEL_ERROR, error)


def _relay_bound(
    title: str, unit: Unit, limit: float, value: float, samples: int = 1, note: str = ""
) -> Bound:
    return Bound(title, unit, limit, value, samples, limit * AIM_FRACTION, note)


def _p99_bound(title: str, limit: float, values: Sequence[float]) -> Bound:
    longest = f"longest {SECONDS.show(max(values))}" if values else ""
    return Bound(title, SECONDS, limit, m.p99(values), len(values), note=longest)


def _ordinary_day(rest: float, busy: float) -> float:
    """Return the figure of an ordinary day, from rest and a time with RESTART_SPEEDUP times its restarts."""
    return rest + max(0.0, busy - rest) / RESTART_SPEEDUP
