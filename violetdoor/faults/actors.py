"""What is around the relays of a rig: gate servers, discovery and clients, small ones of our own."""

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
Note = Callable[..., None]  # writes into the history: actor, kind, values

GROUPS = 4  # that clients belong to
SETUP = 0.002  # s that a gate server takes to bring a connection up
LINE_EVERY = 0.25  # s between two lines of a client
LIFE = 1.0, 4.0  # s that a client wants its connection
PAUSE = 0.02, 0.15  # s until a client comes again
ANSWER_WITHIN = 1.2  # s: the class's deadline
SLACK = 0.5  # s past the deadline in which an answer is late but still one
LAST_LINE = 7.0  # s without any line after which a client calls its connection silent


class GateServer:
    """A gate server of the line protocol. It can be killed, stopped and brought back at its address."""

    def __init__(self, name: str, host: str, note: Note) -> None:
        self.name, self.host, self.note = name, host, note
        self.address: Address = (host, 0)
        self.server: asyncio.Server | None = None
        self.writers: dict[Writer, str] = {}
        self.going = asyncio.Event()
        self.going.set()

    async def start(self) -> None:
        """Listen, at the same address as before."""
        self.server = await asyncio.start_server(self._take, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    def kill(self) -> None:
        """End as a killed process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self, stopped: bool) -> None:
        """Answer nothing for a while, or again."""
        if stopped:
            self.going.clear()
        else:
            self.going.set()

    async def _take(self, reader: Reader, writer: Writer) -> None:
        opening = ""
        try:
            await self.going.wait()
            first = await reader.readline()
            if first == b"PING\r\n":
                writer.write(b"PONG\r\n")
                return
            if not first.startswith(b"OPEN "):
                return
            opening = first.split()[1].decode()
            self.writers[writer] = opening
            self.note(self.name, "attempt", id=opening)
            await asyncio.sleep(SETUP)
            await self.going.wait()
            writer.write(b"UP r\r\n")
            while line := await reader.readline():
                await self.going.wait()
                writer.write(b"re " + line)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if opening:
                self.writers.pop(writer, None)
                self.note(self.name, "attempt ended", id=opening)
            writer.close()


class Discovery:
    """Answers list calls; what a call waits for is told when the list changes."""

    def __init__(self, gates: list[GateServer]) -> None:
        self.gates, self.version = gates, 1
        self.started = dict.fromkeys((g.name for g in gates), 0)
        self.gone: set[str] = set()
        self.changed = asyncio.Event()
        self.address: Address = ("", 0)

    async def start(self, host: str) -> None:
        self.server = await asyncio.start_server(self._take, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def tell(self, gate: GateServer, up: bool, at_ms: int) -> None:
        """A gate server went, or is back."""
        if up:
            self.gone.discard(gate.name)
            self.started[gate.name] = at_ms
        else:
            self.gone.add(gate.name)
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def _listed(self) -> dict[str, Any]:
        rows = [
            {"id": g.name, "addr": "{}:{}".format(*g.address), "zone": "", "kind": "k", "cell": 0,
             "state": "up", "weight": 1.0, "started_ms": self.started[g.name]}
            for g in self.gates if g.name not in self.gone
        ]  # fmt: skip
        return {"version": self.version, "full": True, "servers": rows}

    async def _take(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while head := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                asked = re.search(rb"from=(\d+)&hold_ms=(\d+)", head)
                if asked and int(asked[1]) >= self.version:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), int(asked[2]) / 1000)
                body = json.dumps(self._listed()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()


class Client:
    """Comes again and again, at any relay that runs; notes every connection's one answer and its end."""

    numbers = itertools.count(1)

    def __init__(
        self, name: str, random: Random, places: Callable[[], dict[str, Address]], note: Note
    ) -> None:
        self.name, self.random, self.places, self.note = name, random, places, note

    async def run(self) -> None:
        """Come for ever."""
        while True:
            places = self.places()
            if places:
                relay = self.random.choice(sorted(places))
                with contextlib.suppress(OSError):
                    await self._connection(relay, places[relay])
            await asyncio.sleep(self.random.uniform(*PAUSE))

    async def _connection(self, relay: str, address: Address) -> None:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), ANSWER_WITHIN)
        opening = f"{next(self.numbers):016x}"
        how = "broke"
        try:
            key = f"{self.random.getrandbits(60):x}"
            group = int(self.name[1:]) % GROUPS
            line = f"OPEN {opening} {key} c=checkin,t=club,d={int(ANSWER_WITHIN * 1000)},g={group:x}"
            self.note(self.name, "open", id=opening, relay=relay)
            writer.write(line.encode() + b"\r\n")
            try:
                answer = await asyncio.wait_for(reader.readline(), ANSWER_WITHIN + SLACK)
            except TimeoutError:
                how = "no answer"
                return
            except OSError:
                answer = b""
            word = answer.split(b" ")[0].strip().decode("ascii", "replace")
            if not word:
                how = "no answer"
                return
            self.note(self.name, "answer", id=opening, relay=relay, word=word)
            how = await (self._stand(reader, writer) if word == "UP" else self._after(reader))
        except OSError:
            how = "broke"
        finally:
            self.note(self.name, "end", id=opening, relay=relay, how=how)
            writer.close()

    async def _after(self, reader: Reader) -> str:
        """Behind a refusal nothing may follow."""
        more = await asyncio.wait_for(reader.read(-1), 2.0)
        return "second answer" if more else "refused"

    async def _stand(self, reader: Reader, writer: Writer) -> str:
        until = asyncio.get_running_loop().time() + self.random.uniform(*LIFE)
        sent = 0
        while asyncio.get_running_loop().time() < until:
            sent += 1
            writer.write(b"line %d\r\n" % sent)
            try:
                got = await asyncio.wait_for(reader.readline(), LAST_LINE)
            except TimeoutError:
                return "silent"
            if got == b"MOVE\r\n":
                return "moved"
            if not got:
                return "broke"
            if got != b"re line %d\r\n" % sent:
                return f"wrong line {got[:40]!r}"
            await asyncio.sleep(LINE_EVERY)
        return "done"
