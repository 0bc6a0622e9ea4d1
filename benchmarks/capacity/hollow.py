"""Compare hollow relays with real processes: bytes, processor time and memory of the fleet's view.

A hollow relay is the fleet code of a relay with real sockets but without clients; many run in one process. The
measurement runs in a network namespace of its own, where every byte is counted with its headers.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import orjson
import uvloop
from msgspec import Struct

from benchmarks.capacity import hosts, quiet_net
from benchmarks.capacity.processes import Relay, call_console
from benchmarks.capacity.records import ROOT, Figure, Series
from benchmarks.machine import rss_kib
from violetdoor.fleet.context import NodeConfig
from violetdoor.fleet.endpoint import FleetEndpoint

RELAY_COUNT, QUICK_RELAY_COUNT = 20, 5
ROUNDS, QUICK_ROUNDS = 2, 1
# Wait after the fleet is founded; duration of the measurement at rest.
SETTLE_SECONDS, REST_SECONDS, QUICK_REST_SECONDS = 3.0, 15.0, 5.0
FOUNDING_TIMEOUT_SECONDS = 40.0  # until all members have one view and hold a lease
PORT, CLIENT_PORT, CONSOLE_PORT = 7946, 8081, 8500
KEY = b"k" * 32
FOUNDERS = 3


class Cost(Struct):
    """Cost of a member at rest."""

    volume: float  # bytes per second, sent and received together
    processor: float  # fraction of a core
    memory: float  # bytes


class Round(Struct):
    """Costs of the same number of members run in four ways; `bare` are processes without a fleet."""

    hollow: Cost
    real: Cost
    bare: Cost
    virtual: Cost


def _host(number: int) -> str:
    return f"127.0.1.{number + 1}"


def _node_config(number: int, count: int) -> NodeConfig:
    seeds = tuple((_host(n), PORT) for n in range(min(FOUNDERS, count)) if n != number)
    founders = frozenset(f"relay-{n:05d}" for n in range(FOUNDERS))
    return NodeConfig(f"relay-{number:05d}", _host(number), PORT, "", seeds, founders)


async def _wait_until(condition: Callable[[], Any], what: str) -> None:
    deadline = time.monotonic() + FOUNDING_TIMEOUT_SECONDS
    while not await condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"{what} did not agree on one view in which all hold a lease in time")
        await asyncio.sleep(0.2)


async def _measure_at_rest(seconds: float, count: int, processor: Callable[[], float]) -> tuple[float, float]:
    """Return bytes per member and second, sent and received together, and the fraction of a core per member."""
    await asyncio.sleep(SETTLE_SECONDS)
    volume, processor_before, began = quiet_net.bytes_on_loopback(), processor(), time.monotonic()
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - began
    volume = quiet_net.bytes_on_loopback() - volume
    return 2 * volume / count / elapsed, (processor() - processor_before) / count / elapsed


async def hollow(count: int, seconds: float) -> Cost:
    """Measure `count` hollow members in this process."""
    memory_before_kib = rss_kib()
    fleets = [FleetEndpoint(_node_config(n, count), (_host(n), PORT), KEY) for n in range(count)]
    for fleet in fleets:
        fleet.start()

    async def settled() -> bool:
        return all(f.view is not None and len(f.view.members) == count and f.may_act() for f in fleets)

    await _wait_until(settled, "hollow relays")
    volume, core_fraction = await _measure_at_rest(seconds, count, time.process_time)
    memory = (rss_kib() - memory_before_kib) * 1024 / count
    for fleet in fleets:
        fleet.stop()
    await asyncio.gather(*(t for f in fleets for t in f.tasks), return_exceptions=True)
    return Cost(volume, core_fraction, memory)


def _settings(number: int, count: int, with_fleet: bool) -> dict[str, Any]:
    config, host = _node_config(number, count), _host(number)
    fleet = {
        "listen": f"{host}:{PORT}", "key": "fleet.key", "founders": sorted(config.founders),
        "seeds": [f"{at}:{port}" for at, port in config.seeds], "wait": 0.1,
    }  # fmt: skip
    return {
        "listen": f"{host}:{CLIENT_PORT}", "console": f"{host}:{CONSOLE_PORT}",
        "servers": [{"addr": "127.0.0.1:9001"}], **({"fleet": fleet} if with_fleet else {}),
    }  # fmt: skip


async def real(count: int, seconds: float, with_fleet: bool) -> Cost:
    """Measure `count` processes of the program."""
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        (folder / "fleet.key").write_bytes(KEY)
        made = [Relay(folder, _settings(n, count, with_fleet), f"relay-{n:05d}") for n in range(count)]
        relays = await asyncio.gather(*(stack.enter_async_context(relay) for relay in made))

        async def settled() -> bool:
            statuses = [orjson.loads(await call_console(relay.console, "/fleet")) for relay in relays]
            return all(status["size"] == count and status["may_act"] for status in statuses)

        if with_fleet:
            await _wait_until(settled, "real relays")

        def processor() -> float:
            return sum(relay.processor_seconds() for relay in relays)

        volume, core_fraction = await _measure_at_rest(seconds, count, processor)
        return Cost(volume, core_fraction, sum(relay.resident_bytes() for relay in relays) / count)


def virtual(count: int) -> Cost:
    """Measure `count` members in virtual time, as the slopes do."""
    world, seconds = hosts.settled_fleet(count), 60.0
    before = sum(world.sent_bytes.values()) + world.datagram_bytes_in + 2 * world.call_bytes
    spent = hosts.run_measured(world, seconds)
    volume = sum(world.sent_bytes.values()) + world.datagram_bytes_in + 2 * world.call_bytes - before
    return Cost(volume / count / seconds, spent / count / seconds, 0.0)


async def _measure_round(count: int, seconds: float) -> Round:
    return Round(
        await hollow(count, seconds), await real(count, seconds, True), await real(count, seconds, False),
        virtual(count),
    )  # fmt: skip


def main() -> int:
    """Measure one round in a network namespace of its own and print the result as JSON."""
    quiet_net.enter_network_namespace()
    quick = sys.argv[1:] == ["--quick"]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results = runner.run(
            _measure_round(
                QUICK_RELAY_COUNT if quick else RELAY_COUNT, QUICK_REST_SECONDS if quick else REST_SECONDS
            )
        )
    sys.stdout.write(msgspec.json.encode(results).decode())
    return 0


def _figure(name: str, title: str, unit: str, values: list[float]) -> Figure:
    ordered = sorted(values)
    return Figure(name, title, unit, ordered[len(ordered) // 2], ordered[0], ordered[-1], len(ordered))


def measure(quick: bool) -> list[Series | Figure]:
    """Return costs and their ratios from several rounds, each run in a process of its own."""
    command = [sys.executable, "-m", "benchmarks.capacity.hollow", *(["--quick"] if quick else [])]
    rounds: list[Round] = []
    for _ in range(QUICK_ROUNDS if quick else ROUNDS):
        done = subprocess.run(command, cwd=ROOT, env=os.environ, stdout=subprocess.PIPE, check=True)
        rounds.append(msgspec.json.decode(done.stdout, type=Round))
    count = QUICK_RELAY_COUNT if quick else RELAY_COUNT
    results: list[Series | Figure] = []
    for kind in ("hollow", "real", "bare", "virtual"):
        costs: list[Cost] = [getattr(round_result, kind) for round_result in rounds]
        rows = (
            ("bytes", "B/s", [c.volume for c in costs]),
            ("processor", "us/s", [c.processor * 1e6 for c in costs]),
            ("memory", "B", [c.memory for c in costs]),
        )
        for what, unit, values in rows:
            if any(values):
                results.append(
                    _figure(f"{kind}_{what}", f"{count} {kind} relays: {what} of each", unit, values)
                )
    ratios: dict[str, Callable[[Round], float]] = {
        "ratio_bytes": lambda k: k.hollow.volume / k.real.volume,
        "ratio_virtual_bytes": lambda k: k.virtual.volume / k.real.volume,
        "ratio_processor": lambda k: (k.real.processor - k.bare.processor) / k.hollow.processor,
        "ratio_virtual_processor": lambda k: (k.real.processor - k.bare.processor) / k.virtual.processor,
        "ratio_memory": lambda k: (k.real.memory - k.bare.memory) / k.hollow.memory,
    }
    titles = {
        "ratio_bytes": "bytes, hollow over real",
        "ratio_virtual_bytes": "bytes, virtual time over real",
        "ratio_processor": "processor of the fleet's part, real over hollow",
        "ratio_virtual_processor": "processor of the fleet's part, real over virtual time",
        "ratio_memory": "memory of the fleet's part, real over hollow",
    }
    results += [
        _figure(n, titles[n], "", [of(round_result) for round_result in rounds]) for n, of in ratios.items()
    ]
    return results


if __name__ == "__main__":
    sys.exit(main())
