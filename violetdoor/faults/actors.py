"""Minimal peers of the relays in a rig: gate servers, discovery and clients."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import re
from collections.abc import Callable
from random import Random
from typing import Any

Address = tuple[str, int]
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
RecordEvent = Callable[..., None]  # adds a row to the history: who, kind, **values

GROUP_COUNT = 4  # number of affinity groups of the clients
SETUP_SECONDS = 0.002  # that a gate server takes to establish a connection
LINE_INTERVAL_SECONDS = 0.25  # between two lines of a client
CONNECTION_SECONDS = 1.0, 4.0  # range of the time that a client keeps its connection
RECONNECT_DELAY_SECONDS = 0.02, 0.15  # range of the time until a client reconnects
ANSWER_DEADLINE_SECONDS = 1.2  # deadline of the request class
ANSWER_SLACK_SECONDS = 0.5  # after the deadline, in which a late answer still counts
LINE_TIMEOUT_SECONDS = 7.0  # without a line, after which a client reports its connection as silent


class GateServer:
    """A gate server of the line protocol that can be killed, stopped and restarted at the same address."""

    def __init__(self, name: str, host: str, record: RecordEvent) -> None:
        self.name, self.host, self.record = name, host, record
        self.address: Address = (host, 0)
        self.server: asyncio.Server | None = None
        self.writers: dict[Writer, str] = {}
        self.not_stopped = asyncio.Event()
        self.not_stopped.set()

    async def start(self) -> None:
        """Listen; after a restart, at the same address as before."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    def kill(self) -> None:
        """Abort all connections and stop listening, as a killed process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self, stopped: bool) -> None:
        """Stop answering, as a stopped process does, or resume."""
        if stopped:
            self.not_stopped.clear()
        else:
            self.not_stopped.set()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        opening = ""
        try:
            await self.not_stopped.wait()
            first = await reader.readline()
            if first == b"PING\r\n":
                writer.write(b"PONG\r\n")
                return
            if not first.startswith(b"OPEN "):
                return
            opening = first.split()[1].decode()
            self.writers[writer] = opening
            self.record(self.name, "attempt", id=opening)
            await asyncio.sleep(SETUP_SECONDS)
            await self.not_stopped.wait()
            writer.write(b"UP r\r\n")
            while line := await reader.readline():
                await self.not_stopped.wait()
                writer.write(b"re " + line)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if opening:
                self.writers.pop(writer, None)
                self.record(self.name, "attempt ended", id=opening)
            writer.close()


class Discovery:
    """A discovery service with long polling: a call waits until the server list changes or its wait ends."""

    def __init__(self, gates: list[GateServer]) -> None:
        self.gates, self.version = gates, 1
        self.started = dict.fromkeys((g.name for g in gates), 0)
        self.removed_gates: set[str] = set()
        self.changed = asyncio.Event()
        self.address: Address = ("", 0)

    async def start(self, host: str) -> None:
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def set_running(self, gate: GateServer, up: bool, started_ms: int) -> None:
        """List a gate server as up, with its start time, or remove it; answer the waiting calls."""
        if up:
            self.removed_gates.discard(gate.name)
            self.started[gate.name] = started_ms
        else:
            self.removed_gates.add(gate.name)
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def _server_list(self) -> dict[str, Any]:
        rows = [
            {"id": g.name, "addr": "{}:{}".format(*g.address), "zone": "", "kind": "k", "cell": 0,
             "state": "up", "weight": 1.0, "started_ms": self.started[g.name]}
            for g in self.gates if g.name not in self.removed_gates
        ]  # fmt: skip
        return {"version": self.version, "full": True, "servers": rows}

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while request_line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                query = re.search(rb"from=(\d+)&hold_ms=(\d+)", request_line)
                if query and int(query[1]) >= self.version:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), int(query[2]) / 1000)
                body = json.dumps(self._server_list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()


class Client:
    """Connects again and again to random running relays; records each connection's answer and its end."""

    opening_numbers = itertools.count(1)

    def __init__(
        self,
        name: str,
        random: Random,
        relay_addresses: Callable[[], dict[str, Address]],
        record: RecordEvent,
    ) -> None:
        self.name, self.random, self.relay_addresses, self.record = name, random, relay_addresses, record

    async def run(self) -> None:
        """Connect, exchange lines and reconnect until cancelled."""
        while True:
            relay_addresses = self.relay_addresses()
            if relay_addresses:
                relay = self.random.choice(sorted(relay_addresses))
                with contextlib.suppress(OSError):
                    await self._use_connection(relay, relay_addresses[relay])
            await asyncio.sleep(self.random.uniform(*RECONNECT_DELAY_SECONDS))

    async def _use_connection(self, relay: str, address: Address) -> None:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), ANSWER_DEADLINE_SECONDS)
        opening = f"{next(self.opening_numbers):016x}"
        outcome = "broke"
        try:
            key = f"{self.random.getrandbits(60):x}"
            group = int(self.name[1:]) % GROUP_COUNT
            line = (
                f"OPEN {opening} {key} c=checkin,t=club,d={int(ANSWER_DEADLINE_SECONDS * 1000)},g={group:x}"
            )
            self.record(self.name, "open", id=opening, relay=relay)
            writer.write(line.encode() + b"\r\n")
            try:
                answer = await asyncio.wait_for(
                    reader.readline(), ANSWER_DEADLINE_SECONDS + ANSWER_SLACK_SECONDS
                )
            except TimeoutError:
                outcome = "no answer"
                return
            except OSError:
                answer = b""
            word = answer.split(b" ")[0].strip().decode("ascii", "replace")
            if not word:
                outcome = "no answer"
                return
            self.record(self.name, "answer", id=opening, relay=relay, word=word)
            outcome = await (
                self._exchange_lines(reader, writer) if word == "UP" else self._expect_end_of_stream(reader)
            )
        except OSError:
            outcome = "broke"
        finally:
            self.record(self.name, "end", id=opening, relay=relay, how=outcome)
            writer.close()

    async def _expect_end_of_stream(self, reader: Reader) -> str:
        """Return the outcome of a refused request: nothing may follow the refusal."""
        more = await asyncio.wait_for(reader.read(-1), 2.0)
        return "second answer" if more else "refused"

    async def _exchange_lines(self, reader: Reader, writer: Writer) -> str:
        end_time = asyncio.get_running_loop().time() + self.random.uniform(*CONNECTION_SECONDS)
        sent = 0
        while asyncio.get_running_loop().time() < end_time:
            sent += 1
            writer.write(b"line %d\r\n" % sent)
            try:
                got = await asyncio.wait_for(reader.readline(), LINE_TIMEOUT_SECONDS)
            except TimeoutError:
                return "silent"
            if got == b"MOVE\r\n":
                return "moved"
            if not got:
                return "broke"
            if got != b"re line %d\r\n" % sent:
                return f"wrong line {got[:40]!r}"
            await asyncio.sleep(LINE_INTERVAL_SECONDS)
        return "done"
