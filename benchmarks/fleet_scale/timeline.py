"""The phases of a run and the faults injected in each, in separate regions where there are enough of them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

from benchmarks.fleet_scale import protocol as p
from benchmarks.fleet_scale.fleet import Fleet, FleetStartError
from benchmarks.fleet_scale.layout import ControlMachine, Zone
from benchmarks.fleet_scale.measures import NEVER, Agreement, agreement
from benchmarks.fleet_scale.records import Window
from violetdoor.control.messages import RelayKey

log = logging.getLogger("fleet_scale")

RESTARTS_PER_DAY = 3900  # in a fleet of 5,600 relays (REFERENCE_RELAYS)
DAY_S = 86_400.0
RESTART_SPEEDUP = 100.0  # restarts come so many times as often as on an ordinary day
REFERENCE_RELAYS = 5600
MIN_RESTARTS = 4  # for small fleets, whose rate would give fewer
RESTART_DOWNTIME_S = 0.2  # between the end of a relay and its next start
ENDINGS: tuple[p.Ending, ...] = ("closed", "silent", "left")
AUDIT_INTERVAL_S = 0.5
MIN_HEALED_S = 4.0  # least duration of the phase after the healing, in which traffic is measured
FLEET_START_TIMEOUT_S = 90.0  # from the start until all relays are in service
MIN_GROUP_FOR_TWO_DEATHS = 5  # the smallest group that keeps its majority with two machines dead


@dataclass(frozen=True, slots=True)
class Schedule:
    """Durations of the phases, in seconds."""

    start: float  # within which all relays are started
    settle: float  # once all are in service, before the rest; a member owns its keys 7.5 s after it joined
    rest: float  # without faults
    churn: float  # with restarts
    single_ends: int  # a number, not a duration: relays ended in each way
    spacing: float  # between two such ends
    detection: float  # from the last end to the cut
    cut: float
    second_kill: float  # from the kill of one control machine to the next, or to the end of the window
    agreement_timeout: float = 15.0  # from the healing until all must know the same rosters


FULL = Schedule(12.0, 5.0, 12.0, 20.0, 14, 0.25, 15.0, 60.0, 20.0)
QUICK = Schedule(2.0, 5.0, 4.0, 4.0, 3, 0.2, 5.0, 6.0, 3.0)


@dataclass
class TimelineResult:
    """What was done in a run, as input to the measures."""

    single_ends: list[str] = field(default_factory=list)  # names of relays that were ended individually
    rack: tuple[RelayKey, ...] = ()  # stub relays that ended with the rack
    zone: tuple[RelayKey, ...] = ()  # stub relays that ended with the zone
    cut_at: float = 0.0  # time of the cut; 0.0 without one
    agreement: Agreement | None = None  # of the last audit after the healing
    agreed_after: float = NEVER  # seconds from the healing to the audit that found all in agreement
    first_kill: Window | None = None  # from the kill of the first control machine
    second_kill: Window | None = None
    killed_region: str = ""  # region of the killed control machines
    cut_region: str = ""
    steps: list[str] = field(default_factory=list)  # descriptions for the result page


class Timeline:
    """Runs the phases of a schedule on a fleet."""

    def __init__(self, fleet: Fleet, schedule: Schedule) -> None:
        self.fleet, self.schedule = fleet, schedule
        self.random = Random(fleet.seed)
        self.result = TimelineResult()
        regions = fleet.layout.regions
        # With ten regions each kind of fault has its own region; with two the first has all but the cut.
        self.rack_zone, self.dead_zone = self._choose_zones(regions)
        self.control_kill_region = self._largest_group(regions[2:-1] or regions[:1])
        self.cut_region = fleet.cut_region

    def _choose_zones(self, regions: Sequence[str]) -> tuple[Zone, Zone]:
        first = self.fleet.layout.zones_of(regions[0])[0]
        second = self.fleet.layout.zones_of(regions[1 if len(regions) > 2 else 0])[-1]
        return first, second

    def _largest_group(self, regions: Sequence[str]) -> str:
        return max(regions, key=lambda region: len(self.fleet.layout.group(region)))

    @asynccontextmanager
    async def _phase(self, name: str) -> AsyncIterator[None]:
        begin = p.shared_clock()
        log.info("phase: %s", name)
        try:
            yield
        finally:
            self.fleet.history.windows[name] = Window(begin, p.shared_clock())

    def _step(self, text: str) -> None:
        self.result.steps.append(text)
        log.info("%s", text)

    async def run(self) -> TimelineResult:
        """Run all phases. Raises FleetStartError if the fleet does not start."""
        await self.begin()
        async with self._phase("rest"):
            await asyncio.sleep(self.schedule.rest)
        async with self._phase("churn"):
            await self.churn()
        async with self._phase("ends"):
            await self.single_ends()
        async with self._phase("many ends"):
            await self.many_ends()
        if self.cut_region is not None:
            async with self._phase("cut"):
                await asyncio.gather(self.cut(), self.kill_controls())
            async with self._phase("healed"):
                await self.heal()
        return self.result

    async def run_rest_only(self) -> None:
        """Run the start and the phase of rest only."""
        await self.begin()
        async with self._phase("rest"):
            await asyncio.sleep(self.schedule.rest)

    async def begin(self) -> None:
        """Start the fleet, wait until all relays are in service, and let it settle."""
        begin = p.shared_clock()
        await self.fleet.start_controls()
        log.info("control machines run after %.1f s", p.shared_clock() - begin)
        await asyncio.gather(self.fleet.start_hosts(self.schedule.start), self.fleet.start_real())
        log.info("hosts and real relays run after %.1f s", p.shared_clock() - begin)
        if not await self.fleet.wait_for(self.fleet.all_started, FLEET_START_TIMEOUT_S):
            raise FleetStartError(
                f"not all relays are in service within {FLEET_START_TIMEOUT_S:g} s: {self._missing()}"
            )
        self._step(
            f"All started, over {self.schedule.start:g} s; in service after {p.shared_clock() - begin:.0f} s."
        )
        await asyncio.sleep(self.schedule.settle)

    def _missing(self) -> str:
        census = [host.census[-1] for host in self.fleet.history.hosts.values() if host.census]
        running, acting = sum(c.running for c in census), sum(c.acting for c in census)
        return (
            f"{running} stub relays run, {acting} hold a lease; {'; '.join(self.fleet.processes.failures())}"
        )

    async def churn(self) -> None:
        """Restart random relays in order, at RESTART_SPEEDUP times the rate of an ordinary day."""
        rate = RESTART_SPEEDUP * RESTARTS_PER_DAY / DAY_S * self.fleet.layout.size.relays / REFERENCE_RELAYS
        count = max(MIN_RESTARTS, round(rate * self.schedule.churn))
        names = sorted(self.fleet.history.running)
        chosen = self.random.sample(names, count)
        for name in chosen:
            self.fleet.restart_relay(name, RESTART_DOWNTIME_S)
            await asyncio.sleep(self.schedule.churn / count)
        self._step(f"{count} relays restarted one by one, over {self.schedule.churn:g} s.")

    async def single_ends(self) -> None:
        """End single relays in all regions in turn: their process dies, their machine dies, or they leave."""
        living = {region: self.fleet.running_stubs(region) for region in self.fleet.layout.regions}
        spared = {
            relay.name for zone in (self.rack_zone, self.dead_zone) for relay in (*zone.rack, *zone.stubs)
        }
        regions = [r for r, names in living.items() if set(names) - spared]
        for number in range(self.schedule.single_ends):
            for how in ENDINGS:
                region = regions[(number * len(ENDINGS) + ENDINGS.index(how)) % len(regions)]
                name = self.random.choice([n for n in living[region] if n not in spared])
                living[region].remove(name)
                self.fleet.end_relay(name, how)
                self.result.single_ends.append(name)
                await asyncio.sleep(self.schedule.spacing)
        self._step(
            f"{self.schedule.single_ends} relays each, in all regions in turn: the process died, the machine died, "
            f"left in order; one every {self.schedule.spacing:g} s."
        )

    async def many_ends(self) -> None:
        """End all relays of a rack (their machines die) and of a zone (their processes die) at once."""
        self.result.rack = self.fleet.stop_rack(self.rack_zone)
        self.result.zone = self.fleet.kill_zone(self.dead_zone)
        self._step(
            f"At once: a rack's {len(self.result.rack)} relays went silent in {self.rack_zone.region}, and the "
            f"{len(self.result.zone)} of a zone died in {self.dead_zone.region}; {self.schedule.detection:g} s to know."
        )
        await asyncio.sleep(self.schedule.detection)

    async def cut(self) -> None:
        """Cut a region off for the duration of the schedule."""
        assert self.cut_region is not None
        self.result.cut_region = self.cut_region
        self.result.cut_at = p.shared_clock()
        self.fleet.links.cut()
        await asyncio.sleep(self.schedule.cut)
        self._step(f"{self.cut_region} was cut off from all others for {self.schedule.cut:g} s.")

    async def kill_controls(self) -> None:
        """Kill a control machine of another region during the cut, and a second one in a group of five."""
        group = self.fleet.layout.group(self.control_kill_region)
        self.result.killed_region = self.control_kill_region
        self.result.first_kill = await self._kill_control(group[0], self.schedule.second_kill)
        text = f"One control machine of {len(group)} was killed in {self.control_kill_region}"
        if len(group) >= MIN_GROUP_FOR_TWO_DEATHS:
            self.result.second_kill = await self._kill_control(group[1], self.schedule.second_kill)
            text += f", a second one {self.schedule.second_kill:g} s later"
        self._step(text + ".")

    async def _kill_control(self, machine: ControlMachine, watch: float) -> Window:
        begin = p.shared_clock()
        self.fleet.kill_control(machine)
        await asyncio.sleep(watch)
        return Window(begin, p.shared_clock())

    async def heal(self) -> None:
        """Heal the links, and audit until all relays agree on the rosters or the timeout has passed."""
        self.fleet.links.heal()
        healed_at = p.shared_clock()
        while True:
            await asyncio.sleep(AUDIT_INTERVAL_S)
            audited = agreement(self.fleet.history, await self.fleet.audit())
            if (
                audited.disagreeing_regions == 0
                or p.shared_clock() - healed_at > self.schedule.agreement_timeout
            ):
                break
        await asyncio.sleep(max(0.0, healed_at + MIN_HEALED_S - p.shared_clock()))
        self.result.agreement = audited
        self.result.agreed_after = audited.last_at - healed_at if audited.disagreeing_regions == 0 else NEVER
        self._step(
            f"Healed; all relays were asked for their rosters and counts every {AUDIT_INTERVAL_S:g} s, for "
            f"{self.schedule.agreement_timeout:g} s at the most."
        )
