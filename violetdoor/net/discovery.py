"""The watch on discovery: one call after another on one connection, answers handed to the core."""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections.abc import Callable, Iterable
from typing import Any

import httptools
import orjson

from lynxdeck import interface as i
from violetdoor.net.counters import Counters
from violetdoor.net.sockets import Address, connect, end, parse_address, send_parts

log = logging.getLogger("violetdoor.discovery")

HOLD_MS = 4_000  # a silent discovery is noticed this long after, plus GRACE
GRACE = 1.9  # s past the hold until a call has failed: 2 s past it all counts as told
CONNECT_TIMEOUT = 1.0
# s until an agent on the own machine, whose calls cost nothing, is asked again after a failure: so soon that
# the watch goes on (200 ms), then longer, or one that is gone would keep this process busy.
PUSHED_AGAIN, PUSHED_AGAIN_MOST = 0.05, 0.5
BODY_MOST = 1 << 20
LEAVING_MOST = 4096  # servers remembered as draining or gone; a site has some tens, each restart a few more
STATES = {"up": i.ServerState.READY, "draining": i.ServerState.DRAINING, "removed": i.ServerState.GONE}


class DiscoveryError(Exception):
    """A call brought no list."""


CALL_FAILED = (OSError, DiscoveryError, httptools.HttpParserError, ValueError, KeyError, TypeError,
               AttributeError)  # fmt: skip


class Directory:
    """The addresses of the servers that the list has named."""

    def __init__(self) -> None:
        self.addresses: dict[str, Address] = {}
        self.version: int | None = None  # of the list as it is known; 0 is a version too
        self.newest = 0  # the highest version known; an agent that starts anew can be behind it
        self.leaving: dict[str, i.ServerEntry] = {}  # the servers last told as draining or gone

    def go_on(self, version: int | None, entries: Iterable[i.ServerEntry]) -> None:
        """Begin from the list that the process before this one had."""
        self.version, self.newest = version, version or 0
        self.leaving = {e.server: e for e in entries if e.state is not i.ServerState.READY}

    def read(self, data: dict[str, Any], kind: i.ListKind | None = None) -> i.ServerList:
        """Read one answer, keep its addresses and version."""
        if kind is None:
            kind = i.ListKind.COMPLETE if data.get("full") else i.ListKind.CHANGES
        entries = []
        version = int(data["version"]) if "version" in data else None
        older, self.newest = (version or 0) < self.newest, max(version or 0, self.newest)
        for line in data.get("servers") or ():
            entry = i.ServerEntry(
                str(line["id"]), line.get("zone") or "", line.get("kind") or "", line.get("cell") or 0,
                STATES[line.get("state", "up")], float(line.get("weight", 1.0)),
                float(line.get("started_ms") or 0),
            )  # fmt: skip
            if line.get("addr"):
                self.addresses[entry.server] = parse_address(line["addr"])
            entries.append(self._known(entry, older))
        self.version = version
        return i.ServerList(kind, tuple(entries), version or 0)

    def _known(self, entry: i.ServerEntry, older: bool) -> i.ServerEntry:
        """A line as it is to be taken, and what is to be remembered of it.

        Guards against an agent that starts anew behind the list that is known: an older line must not bring
        work back to a server that was told to drain since.
        """
        if entry.state is not i.ServerState.READY:
            self.leaving[entry.server] = entry
            if len(self.leaving) > LEAVING_MOST:
                del self.leaving[next(iter(self.leaving))]
        elif (told := self.leaving.get(entry.server)) and older and entry.started <= told.started:
            return told
        else:
            self.leaving.pop(entry.server, None)
        return entry


class _Answer:
    """Collects one HTTP answer from the parser's callbacks."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.complete = False

    def on_body(self, data: bytes) -> None:
        if len(self.body) + len(data) > BODY_MOST:
            raise DiscoveryError("the answer is too long")
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True


class _Connection:
    """One connection to discovery, opened when a call needs it."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._sock: socket.socket | None = None
        self._buffer = bytearray(16 * 1024)

    async def call(self, query: str) -> bytes:
        """Ask for the list; the answer's body."""
        host = f"{self.address[0]}:{self.address[1]}"
        if self._sock is None:
            self._sock = await connect(self.address, CONNECT_TIMEOUT)
        head = f"GET /api/targets{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
        await send_parts(self._sock, [head.encode()])
        answer = _Answer()
        parser = httptools.HttpResponseParser(answer)
        loop = asyncio.get_running_loop()
        while not answer.complete:
            got = await loop.sock_recv_into(self._sock, self._buffer)
            if not got:
                raise DiscoveryError("the connection ended before the answer")
            parser.feed_data(memoryview(self._buffer)[:got])
        if not parser.should_keep_alive():
            self.drop()
        if (status := parser.get_status_code()) != 200:
            raise DiscoveryError(f"status {status}")
        return bytes(answer.body)

    def drop(self) -> None:
        """Close it; the next call opens it again."""
        if self._sock is not None:
            end(self._sock)
            self._sock = None


class Watch:
    """Asks discovery while the module wants to follow it; a failure ends the watch and is told.

    Where the settings say that lists are pushed, the address is an agent on the own machine. The module never
    asks there, so the watch is this class's from the start, and goes on after a failure by itself.
    """

    def __init__(
        self, address: Address, directory: Directory, deliver: Callable[[i.ServerList], None],
        counts: Counters, pushed: bool = False,
    ) -> None:  # fmt: skip
        self.address, self.directory, self.deliver, self.counts = address, directory, deliver, counts
        self.pushed = pushed
        self._whole = False  # the next call is for the whole list, though a version is known
        self._task: asyncio.Task[None] | None = None

    def push(self, pushed: bool) -> None:
        """Whether lists are pushed; then the watch runs from now on."""
        self.pushed = pushed
        if pushed:
            self.follow()

    def follow(self) -> None:
        """Start to watch, unless that runs already."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run(_Connection(self.address)))

    def go_over(self, address: Address) -> None:
        """Leave the old address at once and ask this one for the whole list.

        Guards against what a changed address leaves behind: a version that means nothing there, a call that
        waits at the old one, and the back-off that the old one's failures have earned.
        """
        if self._task is not None:
            self._task.cancel()  # it closes its own connection, and delivers nothing any more
            self._task = None
        self.address, self.directory.version, self.directory.newest = address, None, 0
        self.deliver(i.ServerList(i.ListKind.CHANGES))  # no change, and no failure either: back-off ends
        self.follow()

    async def stop(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self, connection: _Connection) -> None:
        wait = PUSHED_AGAIN
        try:
            while True:
                if await self._once(connection):
                    wait = PUSHED_AGAIN
                    continue
                if not self.pushed:
                    return
                connection.drop()
                await asyncio.sleep(wait * random.uniform(0.5, 1.0))
                wait = min(PUSHED_AGAIN_MOST, 2 * wait)
        finally:
            connection.drop()

    async def _once(self, connection: _Connection) -> bool:
        """Call once and deliver the answer; whether the watch goes on."""
        self.counts["discovery_calls"] += 1
        version = self.directory.version
        # Guards against asking for the whole list again and again while its version is 0.
        query = "" if version is None or self._whole else f"?from={version}&hold_ms={HOLD_MS}"
        try:
            # A call for the whole list has no wait in it: a new address that says nothing is found out soon.
            async with asyncio.timeout(GRACE + (HOLD_MS / 1000 if query else 0.0)):
                data = orjson.loads(await connection.call(query))
            servers, self._whole = self.directory.read(data), False
        except CALL_FAILED as err:
            self.counts["discovery_failed"] += 1
            log.warning("discovery call failed: %s %s", type(err).__name__, err)
            # The module asks again in its own time: it spreads the calls of many relays and backs off.
            if not self.pushed:
                self.deliver(i.ServerList(i.ListKind.REFUSED))
            return False
        if version is not None and servers.version < version and not servers.kind.whole:
            # Guards against one that started anew behind the list that is known: its changes since then are
            # not all that it has to tell, so the whole list is asked for.
            self.directory.version, self._whole = version, True
        if servers.entries:
            self.counts["discovery_changes"] += len(servers.entries)
        try:
            self.deliver(servers)
        except Exception:  # one entry that the module can't take must not end the watch for good
            self.counts["faults"] += 1
            log.exception("the list could not be taken in")
        return True
