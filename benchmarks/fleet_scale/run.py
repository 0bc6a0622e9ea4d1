"""One run: lay out and start the fleet, run the timeline, end all processes, compare figures with bounds."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass, replace
from pathlib import Path

from benchmarks.fleet_scale import virtual
from benchmarks.fleet_scale.fleet import Fleet, FleetStartError
from benchmarks.fleet_scale.keys import KeyPlan
from benchmarks.fleet_scale.layout import Layout, Network, Size, build_layout
from benchmarks.fleet_scale.processes import Processes
from benchmarks.fleet_scale.report import Outcome
from benchmarks.fleet_scale.timeline import Schedule, Timeline
from benchmarks.fleet_scale.verdict import RestFigures, Verdict, rest_figures, virtual_bounds

SMALL_SIZE = Size(700, 7, 2, 4)  # the cost of a relay is compared with its cost in a fleet of this size
SMALL_REAL = 2  # real relays of the small fleet
SMALL_START_S = 8.0  # over which its relays are started
KEY_COUNT = 200  # keys whose owners are sampled
MIN_REGIONS_FOR_CUT = 2  # with fewer, no region is cut off

NOTES = (
    "Control machines and real relays are processes of the program; hollow relays are its attachment and its "
    "connection code, some hundred in a process, without clients. Looks at them come every 0.1 s, at counts every "
    "0.5 s and at owners every 0.25 s, so times are late by up to that much.",
    "A death is known in its region once the rosters of all living hollow relays there show it, and everywhere once "
    "all counts of that region have that version. A machine's death leaves the socket open without a word; a "
    "process's death closes it. A rack is a stopped process.",
    "Bytes are TCP_INFO's payload and segments both ways, 52 a segment (IPv4, TCP, timestamps), as many segments as "
    "Ethernet would need, acknowledgements in them. Ethernet's own 18 a frame are not.",
    "Processor and memory of a hollow relay are its part of its host's, less what the looks take of the processor. "
    "That part was smaller in larger fleets, which is not explained; so its growth shows no more than that there is "
    "none to see. Real relays are processes of their own.",
    "Owners: the relays that rank first for a key are asked, and one relay of 50 for a key at random at each look; clocks are shared, "
    "and intervals in which a relay said at each look that it owns a key are compared afterwards.",
)

VIRTUAL_NOTE = (
    f"Virtual time: {virtual.REGIONS} regions of {virtual.MACHINES} control machines; "
    f"{virtual.RELAYS_UNDER_LOSS} relays each under loss, in {virtual.SLICES} parts of their own seeds; "
    f"{virtual.RELAYS_IN_CUT} each in the cut, {virtual.KILLED_PER_REGION} of which die while it lasts."
)


@dataclass(frozen=True, slots=True)
class Request:
    """What to run."""

    size: Size
    schedule: Schedule
    real: int  # relays that run as violetdoor processes
    seed: int
    command: str
    compare: bool  # first measure a small fleet at rest, and compare
    virtual: bool  # also run the hour-long scenarios in virtual time


async def run(request: Request) -> Outcome:
    """Run the request; failures are reported in the outcome."""
    small = None
    if request.compare:
        small = await _run_small_fleet(request)
    outcome = Outcome(_title(request.size), request.command, notes=list(NOTES))
    with tempfile.TemporaryDirectory(prefix="violetdoor-fleet-scale-") as folder:
        await _run_fleet(request, Path(folder), small, outcome)
    if request.virtual:
        outcome.bounds += virtual_bounds(await asyncio.to_thread(virtual.run_both, request.seed))
        outcome.notes.append(VIRTUAL_NOTE)
    return outcome


def _title(size: Size) -> str:
    return (
        f"{size.relays:,} relays, {size.control} control machines, {size.regions} regions, {size.zones} zones"
    )


async def _run_fleet(request: Request, folder: Path, small: RestFigures | None, outcome: Outcome) -> None:
    network = Network()
    layout = build_layout(request.size, network, request.real)
    cut_region = layout.regions[-1] if len(layout.regions) >= MIN_REGIONS_FOR_CUT else None
    try:
        async with Processes() as processes:
            fleet = _fleet(layout, network, folder, processes, request.seed, cut_region)
            timeline = Timeline(fleet, request.schedule)
            try:
                await timeline.run()
            except FleetStartError as err:
                outcome.failures.append(str(err))
            finally:
                await fleet.close()
            outcome.failures += processes.failures() + fleet.history.failures
    finally:
        network.close()
    outcome.phases = timeline.result.steps
    if not outcome.failures:
        outcome.bounds = Verdict(fleet, timeline.result, small).bounds()


async def _run_small_fleet(request: Request) -> RestFigures:
    """Measure the cost of a relay at rest in a small fleet."""
    network = Network()
    layout = build_layout(SMALL_SIZE, network, SMALL_REAL)
    try:
        with tempfile.TemporaryDirectory(prefix="violetdoor-fleet-scale-") as folder:
            async with Processes() as processes:
                fleet = _fleet(layout, network, Path(folder), processes, request.seed, None)
                timeline = Timeline(fleet, replace(request.schedule, start=SMALL_START_S))
                try:
                    await timeline.run_rest_only()
                finally:
                    await fleet.close()
                return rest_figures(fleet)
    finally:
        network.close()


def _fleet(
    layout: Layout, network: Network, folder: Path, processes: Processes, seed: int, cut_region: str | None
) -> Fleet:
    return Fleet(layout, network, folder, processes, KeyPlan(layout, KEY_COUNT), seed, cut_region)
