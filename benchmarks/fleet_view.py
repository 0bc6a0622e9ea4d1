"""Measure how soon fleet views settle and their cost: `python -m benchmarks.fleet_view [--write] [--quick]`.

Four parts, which `--part` selects: settling times in virtual time by fleet size, from many seeds; wrongful
removals in an hour of virtual time under packet loss; bytes sent; and real processes on loopback under the
fault rig, with their processor time and memory and the effect on clients. Virtual fleets run in parallel, in a
pool of processes with one core left free.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import re
import sys
from collections import defaultdict
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from benchmarks.capacity.records import current_revision
from benchmarks.machine import describe_machine, quantile
from violetdoor.faults import checks, rig
from violetdoor.faults.history import History
from violetdoor.faults.scenario import FaultLine, Scenario
from violetdoor.faults.virtual import World

PAGE = Path(__file__).parent.parent / "docs" / "measurements" / "fleet_view.md"
SETTLE_TIMEOUT_SECONDS = 60.0  # of virtual time
SEED_COUNTS = {3: 40, 7: 40, 20: 40, 48: 16, 200: 4, 1000: 1}  # by fleet size; larger fleets run more slowly
LOSS_FRACTIONS = 0.05, 0.1, 0.2
ROUND_SECONDS = 62.0  # a returning relay is readmitted without delay at most once a minute
HOUR_SECONDS, SLICE_SECONDS = 3600.0, 450.0  # the hour is run as parallel slices
WORKER_PROCESSES = max(1, (os.cpu_count() or 2) - 1)


def relay_names(count: int, first: int = 0) -> list[str]:
    """Return `count` relay names of a virtual fleet, from number `first` on."""
    return [f"r{n:04d}" for n in range(first, first + count)]


def start_settled_fleet(size: int, seed: int, encode: bool = False) -> World:
    """Start a virtual fleet and run it until its view has settled."""
    world, members = World(seed, encode), relay_names(size)
    for name in members:
        world.start(name, members[:3], members[:5])
    if not world.run(90.0, lambda: is_settled(world, members)):
        raise RuntimeError(f"{size} relays do not found a fleet")
    return world


def is_settled(world: World, members: list[str]) -> bool:
    """Return whether the members have settled; cheap while the first member's view has the wrong size."""
    view = node.view if (node := world.hosts[members[0]].node) else None
    return view is not None and len(view.members) == len(members) and world.settled(members)


def kill_one(world: World, size: int) -> list[str]:
    """Kill one relay; return the relays that should settle on one view, as all fault functions do."""
    world.kill(relay_names(size)[1])
    return [n for n in relay_names(size) if n != relay_names(size)[1]]


def kill_minority(world: World, size: int) -> list[str]:
    """Kill just under a half of fewer than 10 relays, else a fifth."""
    dead = relay_names((size - 1) // 2 if size < 10 else size // 5)
    for name in dead:
        world.kill(name)
    return [n for n in relay_names(size) if n not in dead]


def leave_one(world: World, size: int) -> list[str]:
    """Let one relay leave voluntarily."""
    host = world.hosts[relay_names(size)[1]]
    assert host.node is not None
    host.node.leave(world.clock(host))
    world.carry_out_actions(host)
    return [n for n in relay_names(size) if n != host.name]


def cut_off_third(world: World, size: int) -> list[str]:
    """Cut off a third; the larger part should settle."""
    minority = relay_names(size // 3)
    majority = [n for n in relay_names(size) if n not in minority]
    world.set_links(minority, majority, cut=True)
    return majority


def heal_third(world: World, size: int) -> list[str]:
    """Cut off a third for 20 s; all should settle on one view."""
    cut_off_third(world, size)
    world.run(20.0)
    world.heal()
    return relay_names(size)


def heal_halves(world: World, size: int) -> list[str]:
    """Cut the fleet in halves for 20 s; all should settle on one view."""
    world.set_links(relay_names(size // 2), relay_names(size - size // 2, size // 2), cut=True)
    world.run(20.0)
    world.heal()
    return relay_names(size)


def join_twenty(world: World, size: int) -> list[str]:
    """Let twenty relays join at once."""
    for name in relay_names(20, size):
        world.start(name, relay_names(3), relay_names(5 if size >= 5 else size))
    return relay_names(size + 20)


def restart_all(world: World, size: int) -> list[str]:
    """Kill all relays and start them again at once."""
    for name in relay_names(size):
        world.kill(name)
    for name in relay_names(size):
        world.start(name, relay_names(3), relay_names(5 if size >= 5 else size))
    return relay_names(size)


FAULTS: dict[str, Callable[[World, int], list[str]]] = {
    "one dies": kill_one, "a minority dies": kill_minority, "one leaves": leave_one,
    "a third is cut off": cut_off_third, "that is healed": heal_third, "halves are healed": heal_halves,
    "twenty join": join_twenty, "all restart": restart_all,
}  # fmt: skip


def measure_settling(job: tuple[str, int, int]) -> tuple[str, int, float]:
    """Run one fault at a fleet size with a seed.

    Return the fault, the size and the s until all that should settle hold a lease of one view.
    """
    kind, size, seed = job
    world = start_settled_fleet(size, seed)
    members = FAULTS[kind](world, size)
    started_at = world.now
    done = world.run(SETTLE_TIMEOUT_SECONDS, lambda: is_settled(world, members))
    return kind, size, world.now - started_at if done else float("inf")


def measure_loss(job: tuple[float, int, float]) -> tuple[float, int, int]:
    """Run 200 relays for a slice of the hour; return the loss, and counts of removals and expired leases."""
    loss, seed, seconds = job
    world = start_settled_fleet(200, seed)
    world.default_link.loss = loss
    event_count_before = len(world.events)
    world.run(seconds)
    event_names = [event_name for _, _, event_name, _ in world.events[event_count_before:]]
    return loss, event_names.count("fleet.removed"), event_names.count("fleet.lease_expired")


def measure_traffic(size: int) -> tuple[int, float, float]:
    """Return the size, and mean and maximum bytes/s sent by members of an idle fleet, with IP/UDP headers."""
    world = start_settled_fleet(size, 1, encode=True)
    world.sent_bytes.clear()
    world.run(20.0)
    rates = [sent / 20.0 for sent in world.sent_bytes.values()]
    return size, sum(rates) / len(rates), max(rates)


# Fleets of real processes.


class MeasuredRig(rig.Rig):
    """A run that measures its relays' processor time and memory before the first fault."""

    calm_seconds = 0.0  # at the start, before the first fault
    core_fractions: list[float]
    memory_kib: list[int]

    async def _play_timeline(self) -> None:
        cpu_seconds_before = {n: _cpu_seconds(relay.process.pid) for n, relay in self.running.items()}
        started_at = self.loop.time()
        sampling = self.loop.create_task(self._sample(cpu_seconds_before, started_at))
        await super()._play_timeline()
        await sampling

    async def _sample(self, cpu_seconds_before: dict[str, float], started_at: float) -> None:
        await asyncio.sleep(self.calm_seconds)
        elapsed_seconds = self.loop.time() - started_at
        self.core_fractions = [
            (_cpu_seconds(relay.process.pid) - cpu_seconds_before[n]) / elapsed_seconds
            for n, relay in self.running.items()
        ]
        self.memory_kib = [_rss_kib(relay.process.pid) for relay in self.running.values()]


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _rss_kib(pid: int) -> int:
    return int(Path(f"/proc/{pid}/status").read_text().partition("VmRSS:")[2].split()[0])


def settle_seconds_by_fault(history: History) -> dict[str, list[float]]:
    """Return the settling times in s by fault, and by end of a fault.

    A change has settled when all of the largest connected group hold a lease of a view of just that group.
    """
    settle_seconds: dict[str, list[float]] = defaultdict(list)
    view_members: dict[str, frozenset[str]] = {}
    lease_holders: set[str] = set()
    pending: tuple[str, float, list[frozenset[str]]] | None = None
    fault = ""
    for row in history.rows:
        match row.kind:
            case "fault" | "undone":
                fault = f"{row.values['fault']}{' undone' if row.kind == 'undone' else ''}"
            case "links" if row.values["groups"] and fault:
                pending = fault, row.at, [frozenset(g) for g in row.values["groups"]]
            case "fleet.view":
                view_members[row.who] = frozenset(row.values["members"])
            case "fleet.lease_acquired":
                lease_holders.add(row.who)
            case "fleet.lease_expired" | "fleet.removed" | "fleet.left" | "started":
                lease_holders.discard(row.who)
        if pending is not None:
            pending_fault, changed_at, groups = pending
            largest_group = max(groups, key=len)
            if all(view_members.get(n) == largest_group and n in lease_holders for n in largest_group):
                settle_seconds[pending_fault].append(max(0.0, row.at - changed_at))
                pending = None
    return settle_seconds


def fault_schedule(size: int, rounds: int) -> Scenario:
    """Return a scenario of kills, cuts and stops in turn, with time for each to settle before the next."""
    members, faults = [f"r{n}" for n in range(size)], list[FaultLine]()
    for n in range(rounds):
        start_seconds = 12.0 + n * ROUND_SECONDS
        faults.append(FaultLine(start_seconds, "kill", ["r0"], 8.0))
        faults.append(
            FaultLine(start_seconds + 20.0, "cut", [["r1"], [m for m in members if m != "r1"]], 8.0)
        )
        faults.append(FaultLine(start_seconds + 40.0, "stop", ["r2"], 8.0))
    return Scenario(size, min(4, size), 12.0 + rounds * ROUND_SECONDS, 1, f"measured-{size}", fault=faults)


async def play(size: int, rounds: int) -> tuple[MeasuredRig, History]:
    """Run the scenario of a fleet of this size."""
    import tempfile

    with tempfile.TemporaryDirectory(prefix="violetdoor-fleet-view-") as folder:
        rig_run = MeasuredRig(fault_schedule(size, rounds), Path(folder))
        rig_run.calm_seconds = 10.0
        return rig_run, await rig_run.run()


def client_figures(history: History) -> tuple[int, int, float]:
    """Return the counts of clients served and of failed checks of answers, and the longest answer time in s."""
    opened_at: dict[str, float] = {}
    longest_seconds, served = 0.0, 0
    for row in history.rows:
        if row.kind == "open":
            opened_at[row.values["id"]] = row.at
        elif row.kind == "answer" and row.values["id"] in opened_at:
            served += row.values["word"] == "UP"
            longest_seconds = max(longest_seconds, row.at - opened_at[row.values["id"]])
    return served, sum(1 for failure in checks.check_answers(history)), longest_seconds


def percentiles_text(values: Iterable[float]) -> str:
    """Return the text "p50 / p99 / max", or "-" without values."""
    sorted_values = sorted(values)
    if not sorted_values:
        return "-"
    return (
        f"{quantile(sorted_values, 0.5):.2f} / {quantile(sorted_values, 0.99):.2f} / {sorted_values[-1]:.2f}"
    )


def times_section(quick: bool, max_size: int) -> list[str]:
    """Return a table of settling times by fault and fleet size."""
    sizes = [s for s in SEED_COUNTS if s <= max_size and (not quick or s < 1000)]
    jobs = [(k, s, n) for s in reversed(sizes) for k in FAULTS for n in range(2 if quick else SEED_COUNTS[s])]
    times: dict[tuple[str, int], list[float]] = defaultdict(list)
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        for kind, size, elapsed_seconds in pool.map(measure_settling, jobs):
            times[kind, size].append(elapsed_seconds)
    lines = [
        "Seconds from the fault until all that should stand at one view stand there and hold its lease, p50 / p99 / max; "
        "the seeds of a row: " + ", ".join(f"{2 if quick else SEED_COUNTS[s]} at {s}" for s in sizes) + ". One way "
        "takes 0.4 to 1.2 ms.", "",
        "| fault | " + " | ".join(f"{s} relays" for s in sizes) + " |", "| --- |" + " --- |" * len(sizes),
    ]  # fmt: skip
    return lines + [
        f"| {kind} | " + " | ".join(percentiles_text(times[kind, s]) for s in sizes) + " |" for kind in FAULTS
    ]


def loss_section(quick: bool, max_size: int) -> list[str]:
    """Return a table of members removed wrongly while datagrams are lost."""
    seconds = SLICE_SECONDS / 8 if quick else SLICE_SECONDS
    slices = [(loss, n, seconds) for loss in LOSS_FRACTIONS for n in range(int(HOUR_SECONDS / SLICE_SECONDS))]
    counts_by_loss: dict[float, list[int]] = {loss: [0, 0] for loss in LOSS_FRACTIONS}
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        for loss, removed_count, expired_count in pool.map(measure_loss, slices):
            counts_by_loss[loss][0] += removed_count
            counts_by_loss[loss][1] += expired_count
    played_minutes = int(HOUR_SECONDS / SLICE_SECONDS) * seconds / 60
    lines = [f"{played_minutes:g} minutes of 200 relays at each loss, none of which dies:", "",
             "| datagrams lost | members taken out | members without a lease for a while |", "| --- | --- | --- |"]  # fmt: skip
    return lines + [
        f"| {loss:.0%} | {removed_count} | {expired_count} |"
        for loss, (removed_count, expired_count) in counts_by_loss.items()
    ]


def traffic_section(quick: bool, max_size: int) -> list[str]:
    """Return a table of the bytes/s that members of idle fleets send."""
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        rates = list(pool.map(measure_traffic, [s for s in SEED_COUNTS if s <= max_size and s < 1000]))
    lines = ["Bytes a second that a member sends in calm as datagrams, with the headers of IP and UDP. Calls over TCP are "
             "not in them: `docs/CAPACITY.md` has both.", "", "| relays | mean | most |", "| --- | --- | --- |"]  # fmt: skip
    return lines + [f"| {size} | {mean:.0f} | {max_rate:.0f} |" for size, mean, max_rate in rates]


def processes_section(quick: bool, max_size: int) -> list[str]:
    """Return the tables of real processes under the fault rig."""
    return asyncio.run(process_tables(quick))


SECTIONS: dict[str, tuple[str, Callable[[bool, int], list[str]]]] = {
    "times": ("Faults in virtual time", times_section),
    "loss": ("Lost datagrams in virtual time", loss_section),
    "traffic": ("Bytes in virtual time", traffic_section),
    "processes": ("Processes on loopback", processes_section),
}


def render_page(sections: dict[str, str]) -> str:
    """Render the page with all sections; those without a measurement say that they were not run."""
    lines = ["# The fleet's view, measured", ""]
    for part, (title, _) in SECTIONS.items():
        body = sections.get(part, "Not run.\n")
        lines += [f"## {title}", "", f"<!-- generated: {part} -->", f"{body}<!-- end: {part} -->", ""]
    return "\n".join(lines[:-1]) + "\n"


def stored_sections() -> dict[str, str]:
    """Return the sections of the stored page by part."""
    text = PAGE.read_text() if PAGE.exists() else ""
    return {
        m[1]: m[2] for m in re.finditer(r"<!-- generated: (\w+) -->\n(.*?)<!-- end: \1 -->", text, re.DOTALL)
    }


def main() -> int:
    """Measure and print the sections; `--write` also stores them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", help="renew the sections that were run")
    parser.add_argument(
        "--quick", action="store_true", help="2 seeds, 1/8 of the hour under loss, no fleet of 1,000"
    )
    parser.add_argument("--part", action="append", choices=SECTIONS, help="a section; may be given again")
    parser.add_argument(
        "--most", type=int, default=max(SEED_COUNTS), help="the largest fleet in virtual time"
    )
    args = parser.parse_args()
    sections = stored_sections()
    for part in args.part or SECTIONS:
        limit = f" --most {args.most}" * (args.most < max(SEED_COUNTS))
        command = f"python -m benchmarks.fleet_view{' --quick' * args.quick} --part {part}{limit}"
        lines = [f"By `{command}` at `{current_revision()}`, on {describe_machine()}.", ""]
        lines += SECTIONS[part][1](args.quick, args.most)
        sections[part] = "\n".join(lines) + "\n"
        print(sections[part], flush=True)
        if args.write:
            PAGE.write_text(render_page(sections))
    return 0


async def process_tables(quick: bool) -> list[str]:
    """Run fleets of real processes of several sizes in parallel; return their tables."""
    lines = ["| relays | fault | s until one view, p50 / p99 / max |", "| --- | --- | --- |"]
    cost_lines = ["", "| relays | part of a core, mean / most | MiB, mean / most | clients served | without an answer | "
             "longest answer ms |", "| --- | --- | --- | --- | --- | --- |"]  # fmt: skip
    sizes = (3, 7) if quick else (3, 7, 20)
    runs = await asyncio.gather(*(play(size, 1 if quick else 6) for size in sizes))
    for size, (run, history) in zip(sizes, runs, strict=True):
        for kind, seconds in sorted(settle_seconds_by_fault(history).items()):
            lines.append(f"| {size} | {kind} ({len(seconds)}) | {percentiles_text(seconds)} |")
        served, unanswered, longest_seconds = client_figures(history)
        core_fractions, memory_mib = run.core_fractions, [kib / 1024 for kib in run.memory_kib]
        cost_lines.append(
            f"| {size} | {sum(core_fractions) / len(core_fractions):.4f} / {max(core_fractions):.4f} | "
            f"{sum(memory_mib) / len(memory_mib):.1f} / "
            f"{max(memory_mib):.1f} | {served} | {unanswered} | {longest_seconds * 1000:.0f} |"
        )
        failures: list[Any] = checks.run(history)
        if failures:
            cost_lines.append(
                f"\n{size} relays: {len(failures)} checks did not hold, the first: {failures[0]}\n"
            )
    return lines + cost_lines


if __name__ == "__main__":
    sys.exit(main())
