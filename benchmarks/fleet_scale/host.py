"""A process that hosts many stub relays: `python -m benchmarks.fleet_scale.host PLAN`.

It reads commands from stdin and writes records to stdout (`protocol`). It exits on the command to stop, or at
the end of stdin.
"""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec
import uvloop

from benchmarks.fleet_scale import protocol as p
from benchmarks.fleet_scale.hollow import RunningRelay
from benchmarks.fleet_scale.looks import OwnershipRecorder, RosterRecorder, ServiceRecorder, TrafficRecorder
from benchmarks.machine import rss_kib
from violetdoor.fleet.key_file import read_key

OBSERVE_INTERVAL_S = 0.1  # also the precision of the times in records
OWNERS_INTERVAL_S = 0.25
COUNTS_INTERVAL_S = 0.5
TRAFFIC_INTERVAL_S = 1.0
DRAIN_TIMEOUT_S = 5.0  # for the harness to read the last records
MAX_COMMAND_BYTES = 1 << 20  # the longest command has the names of all relays of a zone


class Host:
    """The stub relays of one zone, or of one rack of a zone, in one process."""

    def __init__(self, plan: p.HostPlan, write: Callable[[p.Record], None]) -> None:
        self.plan, self.write = plan, write
        self.key = read_key(Path(plan.key_file))
        self.random = Random(plan.seed)
        self.relay_plans = {relay.name: relay for relay in plan.relays}
        self.running: dict[str, RunningRelay] = {}
        self.loop = asyncio.get_running_loop()
        self.observation_cpu_s = 0.0  # CPU seconds spent observing the relays
        self.stopped = asyncio.Event()
        self.service = ServiceRecorder(write)
        self.rosters = RosterRecorder(plan, write)
        self.owners = OwnershipRecorder(plan, write, self.random)
        self.traffic = TrafficRecorder(write, p.shared_clock())

    # Commands.

    def handle_command(self, command: p.Command) -> None:
        """Execute a command from the harness."""
        match command:
            case p.Begin(over=over):
                self.begin(over)
            case p.EndRelays(names=names, how=how):
                for name in names:
                    self.end(name, how)
            case p.RestartRelay(name=name, down=down):
                self.end(name, "left")
                self.loop.call_later(down, self.start, name)
            case p.TakeAudit(number=number):
                self.rosters.audit(p.shared_clock(), number, self.relays)
            case p.StopHost():
                self.stop()

    def begin(self, over: float) -> None:
        """Schedule the starts of all relays at random times within `over` seconds, and begin to observe."""
        for name in self.relay_plans:
            self.loop.call_later(self.random.uniform(0.0, over), self.start, name)
        self._repeat(OBSERVE_INTERVAL_S, lambda now: self.service.observe(now, self.relays))
        self._repeat(OBSERVE_INTERVAL_S, lambda now: self.rosters.observe(now, self.relays))
        self._repeat(OWNERS_INTERVAL_S, lambda now: self.owners.observe(p.shared_clock, self.running))
        self._repeat(COUNTS_INTERVAL_S, self._record_counts)
        self._repeat(TRAFFIC_INTERVAL_S, lambda now: self.traffic.observe(now, self.relays))
        self._repeat(TRAFFIC_INTERVAL_S, self._record_cost)

    def start(self, name: str) -> None:
        """Start a relay as a new instance."""
        if name in self.running or self.stopped.is_set():
            return
        relay = RunningRelay(self.relay_plans[name], self.plan, self.key)
        self.running[name] = relay
        self.write(p.RelayStarted(p.shared_clock(), relay.key))

    def end(self, name: str, how: p.Ending) -> None:
        """End a running relay, and record how it ended."""
        relay = self.running.pop(name, None)
        if relay is None:
            self.write(p.HostFailure(p.shared_clock(), f"can't end relay {name}: it is not running"))
            return
        now = p.shared_clock()
        relay.end(how)
        self.service.ended(now, relay)
        self.write(p.RelayEnded(now, relay.key, how))

    def stop(self) -> None:
        """Write all pending records, and end all relays."""
        now = p.shared_clock()
        self.owners.finish()
        self.traffic.finish(now)
        for relay in self.relays:
            self.service.ended(now, relay)
            relay.end("closed")
        self.running.clear()
        self.stopped.set()

    # Observation.

    @property
    def relays(self) -> list[RunningRelay]:
        return list(self.running.values())

    def _repeat(self, every: float, observe: Callable[[float], None]) -> None:
        def run() -> None:
            if self.stopped.is_set():
                return
            before = time.thread_time()
            observe(p.shared_clock())
            self.observation_cpu_s += time.thread_time() - before
            self.loop.call_later(every, run)

        run()

    def _record_counts(self, now: float) -> None:
        self.rosters.observe_counts(now, self.relays)
        acting = sum(relay.may_act(now) for relay in self.relays)
        in_roster = sum(relay.in_own_roster for relay in self.relays)
        self.write(p.Census(now, len(self.running), in_roster, acting))

    def _record_cost(self, now: float) -> None:
        self.write(p.Cost(now, time.process_time(), self.observation_cpu_s, rss_kib(), len(self.running)))


async def serve(plan: p.HostPlan) -> None:
    """Execute commands until the one to stop, or until stdin ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    transport, protocol = await loop.connect_write_pipe(asyncio.streams.FlowControlMixin, sys.stdout)
    writer = asyncio.StreamWriter(transport, protocol, None, loop)
    host = Host(plan, lambda record: writer.write(p.encode(record) + b"\n"))
    loop.set_exception_handler(
        lambda _, context: host.write(
            p.HostFailure(p.shared_clock(), f"{plan.name}: {_describe_exception(context)}")
        )
    )
    while not host.stopped.is_set() and (line := await reader.readline()):
        host.handle_command(p.commands.decode(line))
    async with asyncio.timeout(DRAIN_TIMEOUT_S):
        await writer.drain()
        writer.close()
        await writer.wait_closed()


def _describe_exception(context: dict[str, object]) -> str:
    return f"{context.get('message')}: {context.get('exception')!r}"


def main() -> int:
    """Host the relays of the plan whose file is the first argument."""
    try:
        plan = p.host_plans.decode(Path(sys.argv[1]).read_bytes())
    except (IndexError, OSError, msgspec.MsgspecError) as err:
        print(f"can't read the host plan, expected its file as the first argument: {err}", file=sys.stderr)
        return 2
    gc.freeze()
    uvloop.run(serve(plan))
    return 0


if __name__ == "__main__":
    sys.exit(main())
