"""Measures shedding on the real program: `python -m benchmarks.overload [--write]`, results in docs/measurements.

The relay runs on one core of its own, clients and gate servers on others, all on loopback. Arrivals are open loop:
they come at their times whatever the answers. Capacity is what a closed loop of clients gets through in the same
run; 1x is 0.85 of it, the most that a queue bears. Bounded: some 90 s, at most 60,000 connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import multiprocessing
import multiprocessing.dummy
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.machine import described, quantile

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "measurements" / "overload.md"
SECONDS, WARM = 6.0, 8.0
DEADLINES = {"booking": 3.2, "checkin": 1.2}
WORTH = {"booking": 3.0, "checkin": 1.0}
BOOKINGS = 0.25  # of all arrivals
TENANTS = ("qurum-fit", "nizwa-active", "sohar-strong", "salalah-swim")
DRIVERS = 4

SPAWN = multiprocessing.get_context("spawn")  # a fork beside the threads here could copy a lock that is held

Row = tuple[str, str, float]  # class, answer, s until it came


async def gate(ready: Any) -> None:
    """A gate server that takes all and answers at once."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            first = await reader.readline()
            writer.write(b"PONG\r\n" if first == b"PING\r\n" else b"UP r1\r\n")
            while line := await reader.readline():
                writer.write(line)
        except ConnectionError:
            pass
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=4096)
    ready.send(server.sockets[0].getsockname()[1])
    await asyncio.sleep(600)


def gate_process(ready: Any, core: int) -> None:
    """Run one gate server."""
    os.sched_setaffinity(0, {core})
    asyncio.run(gate(ready))


async def one(port: int, cls: str, tenant: str, number: int) -> Row:
    """One client: opens, says a line if it is up, leaves."""
    began = time.perf_counter()
    answer = "none"
    try:
        async with asyncio.timeout(DEADLINES[cls]):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                left = int(DEADLINES[cls] * 1000)
                writer.write(
                    b"OPEN %032x %016x c=%b,t=%b,d=%d\r\n"
                    % (number, number, cls.encode(), tenant.encode(), left)
                )
                line = await reader.readline()
                answer = line.split()[0].decode() if line.split() else "end"
                if answer == "UP":
                    writer.write(b"M 1\r\n")
                    await reader.readline()
            finally:
                writer.close()
    except TimeoutError:
        answer = "none"
    except OSError:
        answer = "reset"
    return cls, answer, time.perf_counter() - began


async def drive(port: int, rate: float, seconds: float, seed: int, closed: int) -> list[Row]:
    """Open loop at a rate, or a closed loop of so many clients."""
    rng, tasks, rows = random.Random(seed), set[asyncio.Task[Row]](), list[Row]()
    numbers = iter(range(seed << 40, (seed + 1) << 40))

    def arrive() -> asyncio.Task[Row]:
        cls = "booking" if rng.random() < BOOKINGS else "checkin"
        return asyncio.create_task(one(port, cls, rng.choice(TENANTS), next(numbers)))

    async def loop(until: float) -> None:
        while time.perf_counter() < until:
            rows.append(await arrive())

    until = time.perf_counter() + seconds
    if closed:
        await asyncio.gather(*(loop(until) for _ in range(closed)))
        return rows
    due = time.perf_counter()
    while due < until:
        due += rng.expovariate(rate)
        wait = due - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        task = arrive()
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        task.add_done_callback(lambda t: rows.append(t.result()))
    while tasks:
        await asyncio.sleep(0.05)
    return rows


def drive_process(out: Any, core: int, *args: Any) -> None:
    """Run one driver."""
    os.sched_setaffinity(0, {core})
    out.send(asyncio.run(drive(*args)))


def drivers(port: int, rate: float, seconds: float, seed: int, closed: int = 0) -> list[Row]:
    """Drive from several processes."""
    pipes = []
    for n in range(DRIVERS):
        mine, theirs = SPAWN.Pipe()
        args = (theirs, 3 + n, port, rate / DRIVERS, seconds, seed * 10 + n + 1, closed)
        SPAWN.Process(target=drive_process, args=args, daemon=True).start()
        pipes.append(mine)
    return [row for pipe in pipes for row in pipe.recv()]


class Relay:
    """The program on a core of its own."""

    def __init__(self, folder: str, ports: list[int], shedding: bool) -> None:
        config: dict[str, Any] = {
            "listen": "127.0.0.1:0", "console": "127.0.0.1:0", "front": "line", "sockets": 16384,
            "classes": [{"name": c, "aim_ms": 500, "deadline_ms": d * 1000, "worth": WORTH[c]} for c, d in DEADLINES.items()],
            "servers": [{"addr": f"127.0.0.1:{p}"} for p in ports],
        }  # fmt: skip
        if shedding:
            config["overload"] = {"cores": 1.0, "memory_mb": 400}
        path = Path(folder, "relay.json")
        path.write_text(json.dumps(config))
        env = {k: v for k, v in os.environ.items() if k != "TMPDIR"}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "violetdoor", "--config", str(path)],
            cwd=ROOT,
            env=env,
            stderr=subprocess.PIPE,
            text=True,
        )
        os.sched_setaffinity(self.process.pid, {0})
        self.port = self.console = 0
        assert self.process.stderr is not None
        for line in self.process.stderr:
            if "listening on" in line:
                self.port = int(line.rsplit(":", 1)[1])
            if "console on" in line:
                self.console = int(line.rsplit(":", 1)[1])
                break
        self.drain = multiprocessing.dummy.Process(target=self.process.stderr.read)
        self.drain.start()

    def call(self, path: str) -> str:
        """What the console says."""
        import urllib.request

        with urllib.request.urlopen(f"http://127.0.0.1:{self.console}{path}", timeout=10) as answer:
            return str(answer.read().decode())

    def stop(self) -> int:
        """End it; the memory that it held, KiB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        return int(status.partition("VmHWM:")[2].split()[0])


def cpu(pid: int) -> float:
    """Seconds of a core that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(
    folder: str, ports: list[int], shedding: bool, rate: float, usual: float, seed: int, capacity: float
) -> dict[str, Any]:
    """One run: usual load first, so that shares are learned, then this rate."""
    relay = Relay(folder, ports, shedding)
    try:
        if shedding:
            drivers(relay.port, usual, WARM, seed)
        calls: list[float] = []
        done = False

        def ask() -> None:
            while not done:
                began = time.perf_counter()
                with contextlib.suppress(OSError):
                    relay.call("/healthcheck")
                calls.append(time.perf_counter() - began)
                time.sleep(0.05)

        asking = multiprocessing.dummy.Process(target=ask)
        asking.start()
        before, began = cpu(relay.process.pid), time.perf_counter()
        rows = drivers(relay.port, rate, SECONDS, seed + 1)
        used = (cpu(relay.process.pid) - before) / (time.perf_counter() - began)
        done = True
        asking.join()
        told = dict(row.split(" ", 1) for row in relay.call("/overload").splitlines()) if shedding else {}
    finally:
        memory = relay.stop()
    ups = [(c, s) for c, a, s in rows if a == "UP"]
    asked = {c: sum(r[0] == c for r in rows) for c in DEADLINES}
    worth = sum(WORTH[c] for c, _ in ups)
    able = capacity * SECONDS
    best = 3.0 * min(asked["booking"], able) + min(asked["checkin"], max(0.0, able - asked["booking"]))
    times, calls = sorted(s for _, s in ups), sorted(calls)
    refused = {c: sum(r[0] == c and r[1] == "BUSY" for r in rows) / max(1, asked[c]) for c in DEADLINES}
    missed = sum(r[1] not in ("UP", "BUSY") for r in rows)
    return {
        "asked": len(rows), "worth": worth / best, "booking": refused["booking"], "checkin": refused["checkin"],
        "missed": missed / len(rows), "p50": quantile(times, 0.5) * 1000 if times else 0.0,
        "p99": quantile(times, 0.99) * 1000 if times else 0.0, "call": quantile(calls, 0.99) * 1000,
        "delay": told.get("delay_ms_p99", "-"), "most": told.get("delay_ms_max", "-"), "rss": memory / 1024, "cpu": used,
    }  # fmt: skip


def main() -> int:
    """Run all, print the page, and write it where that is asked for."""
    ports = []
    for n in range(2):
        mine, theirs = SPAWN.Pipe()
        SPAWN.Process(target=gate_process, args=(theirs, 1 + n), daemon=True).start()
        ports.append(mine.recv())
    lines = ["# Shedding, measured", "", f"On {described()}, by `python -m benchmarks.overload --write`.", ""]
    with tempfile.TemporaryDirectory() as folder:
        relay = Relay(folder, ports, False)
        rows = drivers(relay.port, 1.0, 6.0, 1, closed=6)
        relay.stop()
        capacity = sum(a == "UP" for _, a, _ in rows) / 6.0
        lines += [
            f"Capacity on one core, closed loop of 24 clients: {capacity:.0f} connections a second (set up, one line, end). 1x is "
            f"0.85 of it. {BOOKINGS:.0%} bookings, worth 3 to 1; the best possible takes capacity for what can be served and "
            "bookings first. Answers are UP within the deadline or BUSY; missed are all others.",
            "",
            "| load | shedding | worth of the best | bookings refused | check-ins refused | missed | answer p50 / p99 ms "
            "| health call p99 ms | loop delay p99 / max ms | RSS MiB | core |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        ]
        for times in (1.0, 2.0, 4.0):
            for shedding in (False, True):
                found = measure(
                    folder,
                    ports,
                    shedding,
                    0.85 * capacity * times,
                    0.6 * capacity,
                    int(times * 10),
                    capacity,
                )
                lines.append(
                    f"| {times:g}x | {'on' if shedding else 'off'} | {found['worth']:.2f} | {found['booking']:.1%} | "
                    f"{found['checkin']:.1%} | {found['missed']:.1%} | {found['p50']:.0f} / {found['p99']:.0f} | "
                    f"{found['call']:.0f} | {found['delay']} / {found['most']} | {found['rss']:.0f} | {found['cpu']:.2f} |"
                )
                print(lines[-1], flush=True)
    text = "\n".join(lines) + "\n"
    print(text)
    if "--write" in sys.argv[1:]:
        PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
