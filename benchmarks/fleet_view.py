"""How soon the fleet's view settles, and what it costs: `python -m benchmarks.fleet_view [--write] [--quick]`.

Four parts, which `--part` runs alone: times in virtual time by size of the fleet, from many seeds; wrongful
removals in an hour of virtual time under loss; bytes; and real processes on loopback under the fault rig, with
what they cost and what clients notice. Virtual fleets are played side by side, one process a core.
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

TARGET = Path(__file__).parent.parent / "docs" / "measurements" / "fleet_view.md"
PATIENCE = 60.0  # virtual s that a fault may take to settle
SEEDS = {3: 40, 7: 40, 20: 40, 48: 16, 200: 4, 1000: 1}  # runs by size: larger ones cost more
LOSSES = 0.05, 0.1, 0.2
ROUND = 62.0  # s: a relay that comes back is let in at once only once a minute
HOUR, SLICE = 3600.0, 450.0  # s; an hour is played as slices side by side
WORKERS = max(1, (os.cpu_count() or 2) - 1)


def names(count: int, first: int = 0) -> list[str]:
    """Relays of a virtual fleet."""
    return [f"r{n:04d}" for n in range(first, first + count)]


def fleet(size: int, seed: int, encode: bool = False) -> World:
    """A fleet that has settled."""
    world, everybody = World(seed, encode), names(size)
    for name in everybody:
        world.start(name, everybody[:3], everybody[:5])
    if not world.run(90.0, lambda: settled(world, everybody)):
        raise RuntimeError(f"{size} relays do not found a fleet")
    return world


def settled(world: World, members: list[str]) -> bool:
    """As the world's own, but looked at only where the first member's view has so many."""
    view = node.view if (node := world.hosts[members[0]].node) else None
    return view is not None and len(view.members) == len(members) and world.settled(members)


def crash(world: World, size: int) -> list[str]:
    """Kill one; who should be left, as with all that follow."""
    world.kill(names(size)[1])
    return [n for n in names(size) if n != names(size)[1]]


def minority(world: World, size: int) -> list[str]:
    """Kill just under a half, of many a fifth."""
    dead = names((size - 1) // 2 if size < 10 else size // 5)
    for name in dead:
        world.kill(name)
    return [n for n in names(size) if n not in dead]


def leave(world: World, size: int) -> list[str]:
    """Let one go by its own word."""
    host = world.hosts[names(size)[1]]
    assert host.node is not None
    host.node.leave(world.clock(host))
    world.carry_out_actions(host)
    return [n for n in names(size) if n != host.name]


def cut(world: World, size: int) -> list[str]:
    """A third is cut off: settled is the larger part."""
    small = names(size // 3)
    rest = [n for n in names(size) if n not in small]
    world.set_links(small, rest, cut=True)
    return rest


def heal(world: World, size: int) -> list[str]:
    """The same, healed after 20 s: settled is one view of all."""
    cut(world, size)
    world.run(20.0)
    world.heal()
    return names(size)


def halves(world: World, size: int) -> list[str]:
    """Cut in halves for 20 s, then healed."""
    world.set_links(names(size // 2), names(size - size // 2, size // 2), cut=True)
    world.run(20.0)
    world.heal()
    return names(size)


def joins(world: World, size: int) -> list[str]:
    """Twenty at once."""
    for name in names(20, size):
        world.start(name, names(3), names(5 if size >= 5 else size))
    return names(size + 20)


def restart(world: World, size: int) -> list[str]:
    """All are killed and started at once."""
    for name in names(size):
        world.kill(name)
    for name in names(size):
        world.start(name, names(3), names(5 if size >= 5 else size))
    return names(size)


FAULTS: dict[str, Callable[[World, int], list[str]]] = {
    "one dies": crash, "a minority dies": minority, "one leaves": leave, "a third is cut off": cut,
    "that is healed": heal, "halves are healed": halves, "twenty join": joins, "all restart": restart,
}  # fmt: skip


def timed(job: tuple[str, int, int]) -> tuple[str, int, float]:
    """One fault at one size with one seed: s until all that should stand at one view hold its lease."""
    kind, size, seed = job
    world = fleet(size, seed)
    members = FAULTS[kind](world, size)
    began = world.now
    done = world.run(PATIENCE, lambda: settled(world, members))
    return kind, size, world.now - began if done else float("inf")


def lossy(job: tuple[float, int, float]) -> tuple[float, int, int]:
    """A slice of an hour of 200 relays under loss: members that were taken out, and members gone stale."""
    loss, seed, seconds = job
    world = fleet(200, seed)
    world.default.loss = loss
    before = len(world.events)
    world.run(seconds)
    kinds = [what for _, _, what, _ in world.events[before:]]
    return loss, kinds.count("fleet.removed"), kinds.count("fleet.lease_expired")


def traffic(size: int) -> tuple[int, float, float]:
    """Bytes a second that a member sends in calm, mean and most; headers of IP and UDP in them."""
    world = fleet(size, 1, encode=True)
    world.bytes.clear()
    world.run(20.0)
    rates = [sent / 20.0 for sent in world.bytes.values()]
    return size, sum(rates) / len(rates), max(rates)


# Real processes.


class Measured(rig.Rig):
    """A run that looks at what its relays cost before the first fault."""

    calm = 0.0  # s at the start in which nothing happens
    cpu: list[float]
    memory: list[int]

    async def _time_line(self) -> None:
        before = {n: _cpu(one.process.pid) for n, one in self.running.items()}
        began = self.loop.time()
        sampling = self.loop.create_task(self._sample(before, began))
        await super()._time_line()
        await sampling

    async def _sample(self, before: dict[str, float], began: float) -> None:
        await asyncio.sleep(self.calm)
        took = self.loop.time() - began
        self.cpu = [(_cpu(one.process.pid) - before[n]) / took for n, one in self.running.items()]
        self.memory = [_rss(one.process.pid) for one in self.running.values()]


def _cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _rss(pid: int) -> int:
    return int(Path(f"/proc/{pid}/status").read_text().partition("VmRSS:")[2].split()[0])


def process_times(history: History) -> dict[str, list[float]]:
    """S from each change of faults until all that reach each other stand live at one view of just them."""
    found: dict[str, list[float]] = defaultdict(list)
    at_view: dict[str, frozenset[str]] = {}
    live: set[str] = set()
    waiting: tuple[str, float, list[frozenset[str]]] | None = None
    kind = ""
    for row in history.rows:
        match row.kind:
            case "fault" | "undone":
                kind = f"{row.values['fault']}{' undone' if row.kind == 'undone' else ''}"
            case "links" if row.values["groups"] and kind:
                waiting = kind, row.at, [frozenset(g) for g in row.values["groups"]]
            case "fleet.view":
                at_view[row.who] = frozenset(row.values["members"])
            case "fleet.lease_acquired":
                live.add(row.who)
            case "fleet.lease_expired" | "fleet.removed" | "fleet.left" | "started":
                live.discard(row.who)
        if waiting is not None:
            name, since, groups = waiting
            big = max(groups, key=len)
            if all(at_view.get(n) == big and n in live for n in big):
                found[name].append(max(0.0, row.at - since))
                waiting = None
    return found


def schedule(size: int, rounds: int) -> Scenario:
    """Kills, cuts and stops one after another, each settled before the next."""
    everybody, faults = [f"r{n}" for n in range(size)], list[FaultLine]()
    for n in range(rounds):
        at = 12.0 + n * ROUND
        faults.append(FaultLine(at, "kill", ["r0"], 8.0))
        faults.append(FaultLine(at + 20.0, "cut", [["r1"], [m for m in everybody if m != "r1"]], 8.0))
        faults.append(FaultLine(at + 40.0, "stop", ["r2"], 8.0))
    return Scenario(size, min(4, size), 12.0 + rounds * ROUND, 1, f"measured-{size}", fault=faults)


async def played(size: int, rounds: int) -> tuple[Measured, History]:
    """Play it."""
    import tempfile

    with tempfile.TemporaryDirectory(prefix="violetdoor-fleet-view-") as folder:
        run = Measured(schedule(size, rounds), Path(folder))
        run.calm = 10.0
        return run, await run.run()


def gaps(history: History) -> tuple[int, int, float]:
    """Clients that were served, those with no answer in time though their relay ran, and the longest answer."""
    opened: dict[str, float] = {}
    longest, served = 0.0, 0
    for row in history.rows:
        if row.kind == "open":
            opened[row.values["id"]] = row.at
        elif row.kind == "answer" and row.values["id"] in opened:
            served += row.values["word"] == "UP"
            longest = max(longest, row.at - opened[row.values["id"]])
    return served, sum(1 for wrong in checks.answers(history)), longest


def spread(values: Iterable[float]) -> str:
    """P50 / p99 / max."""
    ordered = sorted(values)
    if not ordered:
        return "-"
    return f"{quantile(ordered, 0.5):.2f} / {quantile(ordered, 0.99):.2f} / {ordered[-1]:.2f}"


def times_section(quick: bool, most: int) -> list[str]:
    """How soon each fault is settled, by size of the fleet."""
    sizes = [s for s in SEEDS if s <= most and (not quick or s < 1000)]
    jobs = [(k, s, n) for s in reversed(sizes) for k in FAULTS for n in range(2 if quick else SEEDS[s])]
    times: dict[tuple[str, int], list[float]] = defaultdict(list)
    with ProcessPoolExecutor(WORKERS) as pool:
        for kind, size, took in pool.map(timed, jobs):
            times[kind, size].append(took)
    lines = [
        "Seconds from the fault until all that should stand at one view stand there and hold its lease, p50 / p99 / max; "
        "the seeds of a row: " + ", ".join(f"{2 if quick else SEEDS[s]} at {s}" for s in sizes) + ". One way "
        "takes 0.4 to 1.2 ms.", "",
        "| fault | " + " | ".join(f"{s} relays" for s in sizes) + " |", "| --- |" + " --- |" * len(sizes),
    ]  # fmt: skip
    return lines + [
        f"| {kind} | " + " | ".join(spread(times[kind, s]) for s in sizes) + " |" for kind in FAULTS
    ]


def loss_section(quick: bool, most: int) -> list[str]:
    """Members that are taken out wrongly where datagrams are lost."""
    seconds = SLICE / 8 if quick else SLICE
    slices = [(loss, n, seconds) for loss in LOSSES for n in range(int(HOUR / SLICE))]
    removed: dict[float, list[int]] = {loss: [0, 0] for loss in LOSSES}
    with ProcessPoolExecutor(WORKERS) as pool:
        for loss, out, stale in pool.map(lossy, slices):
            removed[loss][0] += out
            removed[loss][1] += stale
    played = int(HOUR / SLICE) * seconds / 60
    lines = [f"{played:g} minutes of 200 relays at each loss, none of which dies:", "",
             "| datagrams lost | members taken out | members without a lease for a while |", "| --- | --- | --- |"]  # fmt: skip
    return lines + [f"| {loss:.0%} | {out} | {stale} |" for loss, (out, stale) in removed.items()]


def traffic_section(quick: bool, most: int) -> list[str]:
    """What members send while nothing happens."""
    with ProcessPoolExecutor(WORKERS) as pool:
        rates = list(pool.map(traffic, [s for s in SEEDS if s <= most and s < 1000]))
    lines = ["Bytes a second that a member sends in calm as datagrams, with the headers of IP and UDP. Calls over TCP are "
             "not in them: `docs/CAPACITY.md` has both.", "", "| relays | mean | most |", "| --- | --- | --- |"]  # fmt: skip
    return lines + [f"| {size} | {mean:.0f} | {most:.0f} |" for size, mean, most in rates]


def processes_section(quick: bool, most: int) -> list[str]:
    """Real processes under the rig."""
    return asyncio.run(processes(quick))


SECTIONS: dict[str, tuple[str, Callable[[bool, int], list[str]]]] = {
    "times": ("Faults in virtual time", times_section),
    "loss": ("Lost datagrams in virtual time", loss_section),
    "traffic": ("Bytes in virtual time", traffic_section),
    "processes": ("Processes on loopback", processes_section),
}


def page(sections: dict[str, str]) -> str:
    """The page of what was measured so far; what was not says so."""
    lines = ["# The fleet's view, measured", ""]
    for part, (title, _) in SECTIONS.items():
        body = sections.get(part, "Not run.\n")
        lines += [f"## {title}", "", f"<!-- generated: {part} -->", f"{body}<!-- end: {part} -->", ""]
    return "\n".join(lines[:-1]) + "\n"


def kept() -> dict[str, str]:
    """The sections that the page has."""
    text = TARGET.read_text() if TARGET.exists() else ""
    return {
        m[1]: m[2] for m in re.finditer(r"<!-- generated: (\w+) -->\n(.*?)<!-- end: \1 -->", text, re.DOTALL)
    }


def main() -> int:
    """Measure and print; `--write` keeps the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", help="renew the sections that were run")
    parser.add_argument(
        "--quick", action="store_true", help="few seeds, a quarter of an hour for an hour, no 1,000"
    )
    parser.add_argument("--part", action="append", choices=SECTIONS, help="a section; may be given again")
    parser.add_argument("--most", type=int, default=max(SEEDS), help="the largest fleet in virtual time")
    args = parser.parse_args()
    sections = kept()
    for part in args.part or SECTIONS:
        limit = f" --most {args.most}" * (args.most < max(SEEDS))
        command = f"python -m benchmarks.fleet_view{' --quick' * args.quick} --part {part}{limit}"
        lines = [f"By `{command}` at `{current_revision()}`, on {describe_machine()}.", ""]
        lines += SECTIONS[part][1](args.quick, args.most)
        sections[part] = "\n".join(lines) + "\n"
        print(sections[part], flush=True)
        if args.write:
            TARGET.write_text(page(sections))
    return 0


async def processes(quick: bool) -> list[str]:
    """The tables of real processes, fleets of three sizes beside each other."""
    lines = ["| relays | fault | s until one view, p50 / p99 / max |", "| --- | --- | --- |"]
    costs = ["", "| relays | part of a core, mean / most | MiB, mean / most | clients served | without an answer | "
             "longest answer ms |", "| --- | --- | --- | --- | --- | --- |"]  # fmt: skip
    sizes = (3, 7) if quick else (3, 7, 20)
    runs = await asyncio.gather(*(played(size, 1 if quick else 6) for size in sizes))
    for size, (run, history) in zip(sizes, runs, strict=True):
        for kind, found in sorted(process_times(history).items()):
            lines.append(f"| {size} | {kind} ({len(found)}) | {spread(found)} |")
        served, without, longest = gaps(history)
        cpu, memory = run.cpu, [kib / 1024 for kib in run.memory]
        costs.append(
            f"| {size} | {sum(cpu) / len(cpu):.4f} / {max(cpu):.4f} | {sum(memory) / len(memory):.1f} / "
            f"{max(memory):.1f} | {served} | {without} | {longest * 1000:.0f} |"
        )
        wrongs: list[Any] = checks.run(history)
        if wrongs:
            costs.append(f"\n{size} relays: {len(wrongs)} checks did not hold, the first: {wrongs[0]}\n")
    return lines + costs


if __name__ == "__main__":
    sys.exit(main())
