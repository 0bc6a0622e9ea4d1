"""Measure load shedding on the real program: `python -m benchmarks.overload [--write]`.

Results are in docs/measurements. The relay runs on one core of its own, clients and gate servers on others, all
on loopback. Arrivals are an open loop: their times don't depend on the answers. Capacity is the throughput of a
closed loop of clients in the same run; 1x is 0.85 of it, the highest load at which the queue stays short. The
run is bounded: some 90 s, at most 60,000 connections.
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
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.machine import describe_machine, quantile

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "measurements" / "overload.md"
RUN_SECONDS = 6.0
WARM_UP_SECONDS = 8.0  # at the usual load, in which load shedding learns the tenants' shares
DEADLINES = {"booking": 3.2, "checkin": 1.2}  # seconds
PRIORITY_WEIGHTS = {"booking": 3.0, "checkin": 1.0}
BOOKING_FRACTION = 0.25  # of all arrivals
TENANTS = ("qurum-fit", "nizwa-active", "sohar-strong", "salalah-swim")
LOAD_FACTORS = (1.0, 2.0, 4.0)
FULL_LOAD_FRACTION = 0.85  # of the capacity, at a load factor of 1
USUAL_LOAD_FRACTION = 0.6  # of the capacity
CLOSED_LOOP_CLIENTS = 6  # of each driver, to measure the capacity
DRIVERS = 4  # processes
SERVERS = 2  # processes
RELAY_CORE = 0
FIRST_SERVER_CORE = 1
FIRST_DRIVER_CORE = 3
SERVER_SECONDS = 600.0  # after which a gate server ends
CONSOLE_CALL_INTERVAL_SECONDS = 0.05
MS_PER_SECOND = 1000
KIB_PER_MIB = 1024

SPAWN = multiprocessing.get_context("spawn")  # forking beside running threads may copy a held lock


class Answer(NamedTuple):
    """The outcome of one client's request."""

    class_name: str
    word: str  # first word of the answer; without an answer: none (timeout), end (closed) or reset
    seconds: float  # until the outcome


class Run(NamedTuple):
    """Measurements of a relay under one load."""

    answers: list[Answer]
    call_seconds: list[float]  # response times of the console, ascending
    console: dict[str, str]  # values of `GET /overload`, empty without load shedding
    cores: float  # used by the relay
    memory_kib: int


async def serve_gate(ready: Any) -> None:
    """Serve as a gate server that accepts everything and answers at once; send its port to the parent."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            first = await reader.readline()
            writer.write(b"PONG\r\n" if first == b"PING\r\n" else b"UP r1\r\n")
            while line := await reader.readline():
                writer.write(line)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=4096)
    ready.send(server.sockets[0].getsockname()[1])
    await asyncio.sleep(SERVER_SECONDS)


def run_gate(ready: Any, core: int) -> None:
    """Run one gate server, as a process pinned to the core."""
    os.sched_setaffinity(0, {core})
    asyncio.run(serve_gate(ready))


async def run_client(port: int, class_name: str, tenant: str, number: int) -> Answer:
    """Run one client: it connects, exchanges one message if the answer is UP, and disconnects."""
    started_at = time.perf_counter()
    word = "none"
    try:
        async with asyncio.timeout(DEADLINES[class_name]):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                deadline_ms = int(DEADLINES[class_name] * MS_PER_SECOND)
                writer.write(
                    b"OPEN %032x %016x c=%b,t=%b,d=%d\r\n"
                    % (number, number, class_name.encode(), tenant.encode(), deadline_ms)
                )
                line = await reader.readline()
                word = line.split()[0].decode() if line.split() else "end"
                if word == "UP":
                    writer.write(b"M 1\r\n")
                    await reader.readline()
            finally:
                writer.close()
    except TimeoutError:
        word = "none"
    except OSError:
        word = "reset"
    return Answer(class_name, word, time.perf_counter() - started_at)


class Driver:
    """Load generator: the clients of one process."""

    def __init__(self, port: int, seed: int) -> None:
        """Drive the relay at a port; the seed determines classes, tenants, arrival times and ids."""
        self.port = port
        self.rng = random.Random(seed)
        self.numbers = iter(range(seed << 40, (seed + 1) << 40))

    def start_client(self) -> asyncio.Task[Answer]:
        """Start a client of a random class and tenant."""
        class_name = "booking" if self.rng.random() < BOOKING_FRACTION else "checkin"
        tenant = self.rng.choice(TENANTS)
        return asyncio.create_task(run_client(self.port, class_name, tenant, next(self.numbers)))

    async def closed_loop(self, clients: int, seconds: float) -> list[Answer]:
        """Keep `clients` clients running for `seconds`; each starts anew when it ends."""
        answers: list[Answer] = []
        until = time.perf_counter() + seconds

        async def repeat() -> None:
            while time.perf_counter() < until:
                answers.append(await self.start_client())

        await asyncio.gather(*(repeat() for _ in range(clients)))
        return answers

    async def open_loop(self, rate: float, seconds: float) -> list[Answer]:
        """Start `rate` clients a second for `seconds`, independently of the answers."""
        tasks: list[asyncio.Task[Answer]] = []
        due_at = time.perf_counter()
        until = due_at + seconds
        while due_at < until:
            due_at += self.rng.expovariate(rate)
            wait = due_at - time.perf_counter()
            if wait > 0:
                await asyncio.sleep(wait)
            tasks.append(self.start_client())
        return list(await asyncio.gather(*tasks))


def run_open_loop(result: Any, core: int, port: int, seed: int, load: tuple[float, float]) -> None:
    """Run an open-loop driver, as a process; the load is clients a second and duration in seconds."""
    os.sched_setaffinity(0, {core})
    rate, seconds = load
    result.send(asyncio.run(Driver(port, seed).open_loop(rate, seconds)))


def run_closed_loop(result: Any, core: int, port: int, seed: int, load: tuple[int, float]) -> None:
    """Run a closed-loop driver, as a process; the load is concurrent clients and duration in seconds."""
    os.sched_setaffinity(0, {core})
    clients, seconds = load
    result.send(asyncio.run(Driver(port, seed).closed_loop(clients, seconds)))


def drive(target: Any, port: int, seed: int, load: tuple[float, float]) -> list[Answer]:
    """Run all drivers in parallel, each with this load; return all answers."""
    pipes = []
    for number in range(DRIVERS):
        receiver, sender = SPAWN.Pipe()
        args = (sender, FIRST_DRIVER_CORE + number, port, seed * 10 + number + 1, load)
        SPAWN.Process(target=target, args=args, daemon=True).start()
        pipes.append(receiver)
    return [answer for pipe in pipes for answer in pipe.recv()]


def drive_rate(port: int, seed: int, rate: float, seconds: float) -> list[Answer]:
    """Run all drivers in an open loop; the rate (clients a second) is their total."""
    return drive(run_open_loop, port, seed, (rate / DRIVERS, seconds))


def relay_config(ports: list[int], *, sheds_load: bool) -> dict[str, Any]:
    """Return an operator's configuration with gate servers at these ports."""
    classes = [
        {"name": name, "aim_ms": 500, "deadline_ms": seconds * MS_PER_SECOND, "worth": PRIORITY_WEIGHTS[name]}
        for name, seconds in DEADLINES.items()
    ]
    config: dict[str, Any] = {
        "listen": "127.0.0.1:0",
        "console": "127.0.0.1:0",
        "front": "line",
        "sockets": 16384,
        "classes": classes,
        "servers": [{"addr": f"127.0.0.1:{port}"} for port in ports],
    }
    if sheds_load:
        config["overload"] = {"cores": 1.0, "memory_mb": 400}
    return config


class Relay:
    """A relay process on a core of its own."""

    def __init__(self, folder: str, config: dict[str, Any]) -> None:
        """Start it and wait until it listens."""
        path = Path(folder, "relay.json")
        path.write_text(json.dumps(config))
        env = {name: value for name, value in os.environ.items() if name != "TMPDIR"}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "violetdoor", "--config", str(path)],
            cwd=ROOT,
            env=env,
            stderr=subprocess.PIPE,
            text=True,
        )
        os.sched_setaffinity(self.process.pid, {RELAY_CORE})
        self.port = self.console_port = 0
        assert self.process.stderr is not None
        for line in self.process.stderr:
            if "listening on" in line:
                self.port = int(line.rsplit(":", 1)[1])
            if "console on" in line:
                self.console_port = int(line.rsplit(":", 1)[1])
                break
        self.log_reader = multiprocessing.dummy.Process(target=self.process.stderr.read)
        self.log_reader.start()

    def call(self, path: str) -> str:
        """Return the console's answer."""
        url = f"http://127.0.0.1:{self.console_port}{path}"
        with urllib.request.urlopen(url, timeout=10) as answer:
            return str(answer.read().decode())

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def stop(self) -> int:
        """Kill the process; return its peak resident memory in KiB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        return int(status.partition("VmHWM:")[2].split()[0])


@contextlib.contextmanager
def console_calls(relay: Relay) -> Iterator[list[float]]:
    """Call the console periodically in a thread; yield a list that receives the seconds of each call."""
    call_seconds: list[float] = []
    is_done = False

    def call_repeatedly() -> None:
        while not is_done:
            started_at = time.perf_counter()
            with contextlib.suppress(OSError):
                relay.call("/healthcheck")
            call_seconds.append(time.perf_counter() - started_at)
            time.sleep(CONSOLE_CALL_INTERVAL_SECONDS)

    caller = multiprocessing.dummy.Process(target=call_repeatedly)
    caller.start()
    try:
        yield call_seconds
    finally:
        is_done = True
        caller.join()


def run_relay(folder: str, config: dict[str, Any], seed: int, rate: float, usual_rate: float) -> Run:
    """Run a relay at a rate; with load shedding, first at the usual rate, for it to learn tenants' shares."""
    relay = Relay(folder, config)
    sheds_load = "overload" in config
    console: dict[str, str] = {}
    try:
        if sheds_load:
            drive_rate(relay.port, seed, usual_rate, WARM_UP_SECONDS)
        with console_calls(relay) as call_seconds:
            cpu_seconds = relay.cpu_seconds()
            started_at = time.perf_counter()
            answers = drive_rate(relay.port, seed + 1, rate, RUN_SECONDS)
            cores = (relay.cpu_seconds() - cpu_seconds) / (time.perf_counter() - started_at)
        if sheds_load:
            console = dict(row.split(" ", 1) for row in relay.call("/overload").splitlines())
    finally:
        memory_kib = relay.stop()
    return Run(answers, sorted(call_seconds), console, cores, memory_kib)


def weight_fraction(answers: list[Answer], capacity: float) -> float:
    """Return the served fraction of the highest priority weight possible at this capacity (connections/s)."""
    served = sum(PRIORITY_WEIGHTS[answer.class_name] for answer in answers if answer.word == "UP")
    bookings = sum(answer.class_name == "booking" for answer in answers)
    checkins = sum(answer.class_name == "checkin" for answer in answers)
    servable = capacity * RUN_SECONDS
    best_bookings = PRIORITY_WEIGHTS["booking"] * min(bookings, servable)
    best_checkins = PRIORITY_WEIGHTS["checkin"] * min(checkins, max(0.0, servable - bookings))
    return served / (best_bookings + best_checkins)


def rejected_fraction(answers: list[Answer], class_name: str) -> float:
    """Return the fraction of a class's clients that got BUSY."""
    words = [answer.word for answer in answers if answer.class_name == class_name]
    return words.count("BUSY") / max(1, len(words))


def table_row(run: Run, factor: float, capacity: float, *, sheds_load: bool) -> str:
    """Return a run as a row of the page's table."""
    answers = run.answers
    up_seconds = sorted(answer.seconds for answer in answers if answer.word == "UP")
    p50_ms = quantile(up_seconds, 0.5) * MS_PER_SECOND if up_seconds else 0.0
    p99_ms = quantile(up_seconds, 0.99) * MS_PER_SECOND if up_seconds else 0.0
    missed = sum(answer.word not in ("UP", "BUSY") for answer in answers) / len(answers)
    cells = [
        f"{factor:g}x",
        "on" if sheds_load else "off",
        f"{weight_fraction(answers, capacity):.2f}",
        f"{rejected_fraction(answers, 'booking'):.1%}",
        f"{rejected_fraction(answers, 'checkin'):.1%}",
        f"{missed:.1%}",
        f"{p50_ms:.0f} / {p99_ms:.0f}",
        f"{quantile(run.call_seconds, 0.99) * MS_PER_SECOND:.0f}",
        f"{run.console.get('delay_ms_p99', '-')} / {run.console.get('delay_ms_max', '-')}",
        f"{run.memory_kib / KIB_PER_MIB:.0f}",
        f"{run.cores:.2f}",
    ]
    return f"| {' | '.join(cells)} |"


def start_servers() -> list[int]:
    """Start the gate servers; return their ports."""
    ports = []
    for number in range(SERVERS):
        receiver, sender = SPAWN.Pipe()
        args = (sender, FIRST_SERVER_CORE + number)
        SPAWN.Process(target=run_gate, args=args, daemon=True).start()
        ports.append(receiver.recv())
    return ports


def measure_capacity(folder: str, ports: list[int]) -> float:
    """Return the throughput of a closed loop of clients in connections a second."""
    relay = Relay(folder, relay_config(ports, sheds_load=False))
    answers = drive(run_closed_loop, relay.port, 1, (CLOSED_LOOP_CLIENTS, RUN_SECONDS))
    relay.stop()
    return sum(answer.word == "UP" for answer in answers) / RUN_SECONDS


def page_head(capacity: float) -> list[str]:
    """Return the lines above the table's rows."""
    return [
        "# Shedding, measured",
        "",
        f"On {describe_machine()}, by `python -m benchmarks.overload --write`.",
        "",
        f"Capacity on one core, closed loop of {DRIVERS * CLOSED_LOOP_CLIENTS} clients: {capacity:.0f} connections a second (set up, one line, end). 1x is "
        f"{FULL_LOAD_FRACTION} of it. {BOOKING_FRACTION:.0%} bookings, worth 3 to 1; the best possible takes capacity for what can be served and "
        "bookings first. Answers are UP within the deadline or BUSY; missed are all others.",
        "",
        "| load | shedding | worth of the best | bookings refused | check-ins refused | missed | answer p50 / p99 ms "
        "| health call p99 ms | loop delay p99 / max ms | RSS MiB | core |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]


def main() -> int:
    """Run all loads and print the page; `--write` also stores it."""
    ports = start_servers()
    with tempfile.TemporaryDirectory() as folder:
        capacity = measure_capacity(folder, ports)
        lines = page_head(capacity)
        for factor in LOAD_FACTORS:
            for sheds_load in (False, True):
                config = relay_config(ports, sheds_load=sheds_load)
                rate = FULL_LOAD_FRACTION * capacity * factor
                run = run_relay(folder, config, int(factor * 10), rate, USUAL_LOAD_FRACTION * capacity)
                lines.append(table_row(run, factor, capacity, sheds_load=sheds_load))
                print(lines[-1], flush=True)
    text = "\n".join(lines) + "\n"
    print(text)
    if "--write" in sys.argv[1:]:
        PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
