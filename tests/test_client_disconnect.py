"""A request whose client disconnected while it waited is not forwarded, after a close or a reset."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
from collections.abc import AsyncIterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
import uvloop
from standins import Discovery, GateServer, Reader, Relay, Standin, Writer, run, wait_until
from test_core import make_controller, open_request
from test_line import SETTINGS, open_client, read_counter, read_line, start_relay

from violetdoor.balancing.actions import StartAttempt
from violetdoor.balancing.events import (
    AttemptResult,
    ConnectionEstablished,
    Event,
    RequestAbandoned,
    RequestArrived,
)
from violetdoor.core import ClientDisconnected
from violetdoor.fronts.line.attempt import ServerAttempts
from violetdoor.fronts.line.client import ClientConnection
from violetdoor.fronts.line.session import Session
from violetdoor.net.counters import Counters
from violetdoor.net.line_socket import LineSocket

LATER_LINES = {
    "one line": b"",
    "lines behind it": b"M 1\r\nM 2\r\n",
    "half a line behind it": b"M 1\r\nM 2",
    "a full buffer": b"M 0123456789abc\r\n" * 400,  # more than the 4 KiB that the relay reads ahead
}
LONG_TIME_LEFT = b"c=checkin,t=acme,d=9000"
SLOW_CONNECT_LIMITS = SETTINGS["policyLimits"] | {"connectTimeout": 8000.0}


class HoldingServer(GateServer):
    """Reads the first line and answers once `answering` is set."""

    def __init__(self, answer: bytes) -> None:
        super().__init__(answer)
        self.answering = asyncio.Event()

    async def serve(self, reader: Reader, writer: Writer) -> None:
        if received := await reader.readline():  # a connection without data is not an attempt
            self.opened.append(received)
        await self.answering.wait()
        writer.write(self.first_answer)
        await reader.read(-1)


class LateServer(Standin):
    """A server whose accept queue is full until `come_up`, so that connections to it stay pending."""

    def __init__(self) -> None:
        super().__init__()
        self.received: list[bytes] = []

    async def __aenter__(self) -> LateServer:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.queue_filler = socket.create_connection(self.sock.getsockname())  # fills the accept queue of one
        return self

    async def __aexit__(self, *_: object) -> None:
        self.queue_filler.close()
        self.sock.close()

    async def come_up(self, seconds: float) -> None:
        """Accept connections for this time, longer than the kernel's second SYN, and record their first data."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while True:
                    sock, _ = await loop.sock_accept(self.sock)
                    with contextlib.suppress(ConnectionError, TimeoutError):
                        async with asyncio.timeout(0.2):
                            self.received.append(await loop.sock_recv(sock, 100))
                    sock.close()


def disconnect(writer: Writer, how: str) -> None:
    """Close a client's connection in order, or reset it."""
    if how == "reset":
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
    else:
        writer.close()


async def wait_for_early_disconnects(it: Relay, count: int = 1, within: float = 1) -> None:
    """Wait until this many disconnects are counted; 0.3 s are allowed, without waiting for a server."""
    async with asyncio.timeout(within):
        while await read_counter(it, "left_early") < count:
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def relay_around(
    tmp_path: Path, *servers: Standin, empty: bool = False, **settings: Any
) -> AsyncIterator[tuple[Relay, Discovery]]:
    """Run a relay with these servers; with `empty`, none is listed at the start."""
    async with contextlib.AsyncExitStack() as stack:
        for server in servers:
            await stack.enter_async_context(server)
        discovery = await stack.enter_async_context(Discovery(*servers))
        if empty:
            discovery.states = {}
        yield (
            await stack.enter_async_context(start_relay(tmp_path, discovery, settings=SETTINGS | settings)),
            discovery,
        )


DISCONNECT_CASES = list(itertools.product(("end", "reset"), LATER_LINES))


@pytest.mark.parametrize(("how", "lines"), DISCONNECT_CASES)
def test_disconnect_while_the_server_is_silent_cancels_the_attempt_and_starts_no_other(
    tmp_path: Path, how: str, lines: str
) -> None:
    async def test() -> None:
        one, two = HoldingServer(b"BUSY\r\n"), HoldingServer(b"BUSY\r\n")
        async with relay_around(tmp_path, one, two) as (it, _):
            _, writer = await open_client(it, LONG_TIME_LEFT)
            writer.write(LATER_LINES[lines])
            await wait_until(lambda: one.opened or two.opened)
            disconnect(writer, how)
            await wait_for_early_disconnects(it)
            one.answering.set()
            two.answering.set()
            assert await read_counter(it, "attempt_cancelled") == 1
            assert len(one.opened) + len(two.opened) == 1

    run(test)


@pytest.mark.parametrize(("how", "lines"), DISCONNECT_CASES)
def test_disconnect_between_two_attempts_sends_no_byte_to_the_next_server(
    tmp_path: Path, how: str, lines: str
) -> None:
    """Guards against a retry for a gone client: its disconnect and the server's BUSY arrive together."""

    async def test() -> None:
        one, two = HoldingServer(b"BUSY\r\n"), HoldingServer(b"BUSY\r\n")
        async with relay_around(tmp_path, one, two) as (it, _):
            _, writer = await open_client(it, LONG_TIME_LEFT)
            writer.write(LATER_LINES[lines])
            await wait_until(lambda: one.opened or two.opened)
            first, second = (one, two) if one.opened else (two, one)
            await writer.drain()
            disconnect(writer, how)
            await asyncio.sleep(0)  # the transport closes its socket in the next round of this loop
            first.answering.set()
            await wait_for_early_disconnects(it)
            assert len(first.opened) == 1
            assert not second.opened

    run(test)


@pytest.mark.parametrize(("how", "lines"), DISCONNECT_CASES)
def test_disconnect_while_queued_abandons_the_request(tmp_path: Path, how: str, lines: str) -> None:
    async def test() -> None:
        server = GateServer()
        async with relay_around(tmp_path, server, empty=True) as (it, discovery):
            _, writer = await open_client(it, LONG_TIME_LEFT)
            writer.write(LATER_LINES[lines])
            await wait_until(lambda: discovery.calls)
            disconnect(writer, how)
            await wait_for_early_disconnects(it)
            discovery.set_state(server, "up")
            reader, _ = await open_client(it, LONG_TIME_LEFT)
            assert await read_line(reader) == b"UP r1\r\n"
            assert len(server.opened) == 1  # only the later client's

    run(test)


@pytest.mark.parametrize(("how", "lines"), DISCONNECT_CASES)
def test_disconnect_before_a_late_connection_is_up_sends_no_byte(
    tmp_path: Path, how: str, lines: str
) -> None:
    async def test() -> None:
        late = LateServer()
        async with relay_around(tmp_path, late, policyLimits=SLOW_CONNECT_LIMITS) as (it, _):
            _, writer = await open_client(it, LONG_TIME_LEFT)
            writer.write(LATER_LINES[lines])
            await wait_until(lambda: late.sock)
            async with asyncio.timeout(5):
                while not await read_counter(it, "opens"):
                    await asyncio.sleep(0.01)
            disconnect(writer, how)
            await wait_for_early_disconnects(it)
            await late.come_up(1.5)
            assert not any(late.received)

    run(test)


def test_many_simultaneous_disconnects(tmp_path: Path) -> None:
    async def test() -> None:
        one, two = HoldingServer(b"BUSY\r\n"), HoldingServer(b"BUSY\r\n")
        async with relay_around(tmp_path, one, two) as (it, _):
            clients = [await open_client(it, LONG_TIME_LEFT) for _ in range(60)]
            await wait_until(lambda: len(one.opened) + len(two.opened) == 60)
            for (_, writer), (how, lines) in zip(clients, itertools.cycle(DISCONNECT_CASES), strict=False):
                writer.write(LATER_LINES[lines])
                await writer.drain()
                disconnect(writer, how)
            await asyncio.sleep(0)
            one.answering.set()  # each request would be retried
            two.answering.set()
            await wait_for_early_disconnects(it, 60, within=2)
            assert len(one.opened) + len(two.opened) == 60

    run(test)


def test_lines_that_came_with_the_first_one_are_forwarded_as_soon_as_the_server_is_up(tmp_path: Path) -> None:
    """Guards against lost or delayed lines while the relay checks for a disconnect with full buffers."""

    async def test() -> None:
        server = HoldingServer(b"UP r1\r\n")
        async with relay_around(tmp_path, server) as (it, _):
            for sent in LATER_LINES.values():
                server.answering.clear()
                got = asyncio.get_running_loop().create_future()

                async def serve(reader: Reader, writer: Writer, sent: bytes = sent, got: Any = got) -> None:
                    server.opened.append(await reader.readline())
                    await server.answering.wait()
                    writer.write(b"UP r1\r\n")
                    got.set_result(await reader.readexactly(len(sent) + 5))

                server.serve = serve  # type: ignore[method-assign]
                before = len(server.opened)
                reader, writer = await open_client(it, LONG_TIME_LEFT)
                writer.write(sent)
                await wait_until(lambda before=before: len(server.opened) > before)  # type: ignore[misc]
                server.answering.set()
                assert await read_line(reader) == b"UP r1\r\n"
                writer.write(b"end\r\n")
                async with asyncio.timeout(5):
                    assert await got == sent + b"end\r\n"
                writer.close()

    run(test)


# Orders of events that no peer can force, so they are produced inside the test's process.


def test_undelivered_decision_is_dropped_when_the_client_disconnects() -> None:
    async def test() -> None:
        core = make_controller(2)
        seen: list[Event] = []
        handle = core.balancer.handle
        core.balancer.handle = lambda now, event: (seen.append(event), handle(now, event))[1]  # type: ignore
        request = open_request(core)  # a decision is ready, but its session has not run yet
        request.client_disconnected()
        assert isinstance(await request.next_decision(), ClientDisconnected)
        request.attempt_ended(AttemptResult.CANCELLED)
        request.close()
        assert [type(event) for event in seen] == [RequestArrived, RequestAbandoned]
        assert not core.balancer.requests
        assert not core.requests

    uvloop.run(test())


def test_client_that_disconnects_as_its_server_accepts_is_not_established() -> None:
    async def test() -> None:
        core = make_controller(1)
        seen: list[Event] = []
        handle = core.balancer.handle
        core.balancer.handle = lambda now, event: (seen.append(event), handle(now, event))[1]  # type: ignore
        ours, _theirs = socket.socketpair()
        ours.setblocking(False)
        front = SimpleNamespace(core=core, counts=Counters(), gate=None)

        class SuddenAttempts(ServerAttempts):
            async def run(self, *_: Any, **__: Any) -> AttemptResult:
                self.client.disconnected.set_result(None)
                return AttemptResult.OK

        session = Session(front, LineSocket(ours))
        session.attempts = SuddenAttempts(front, session.client)
        opening: Any = SimpleNamespace(
            request_class="feed",
            time_left_ms=300.0,
            tenant="t",
            idempotency_key=1,
            load=None,
            group=None,
            is_retry=False,
            is_reconnect=False,
        )
        await session.request(opening, core.now())
        assert ConnectionEstablished not in [type(event) for event in seen]
        assert not core.established
        assert front.counts["left_early"] == 1
        assert not front.counts["answered_up"]

    uvloop.run(test())


def test_no_attempt_starts_for_a_disconnected_client() -> None:
    async def test() -> None:
        ours, _theirs = socket.socketpair()
        ours.setblocking(False)
        front = SimpleNamespace(core=make_controller(1), counts=Counters())

        class WatchedAttempts(ServerAttempts):
            async def attempt_server(self, *_: Any, **__: Any) -> AttemptResult:
                raise AssertionError("an attempt started")

        client = ClientConnection(front, LineSocket(ours))
        client.disconnected.set_result(None)
        attempts = WatchedAttempts(front, client)
        opening: Any = None  # never read
        assert await attempts.run(opening, StartAttempt(1, "s0", 0.0)) is AttemptResult.CANCELLED

    uvloop.run(test())


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of one TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far = listener.accept()[0]
    near.setblocking(False)
    return near, far


@pytest.mark.parametrize("lines", LATER_LINES)
@pytest.mark.parametrize("how", ["end", "reset", "half"])
def test_disconnect_is_checked_right_before_the_first_byte(how: str, lines: str) -> None:
    """Guards against sending for a gone client: the disconnect and a late connection come in one step."""

    async def test() -> None:
        ours, client = tcp_pair()
        up, server = tcp_pair()
        core = make_controller(1)
        front = SimpleNamespace(core=core, counts=Counters())
        attempts = ServerAttempts(front, ClientConnection(front, LineSocket(ours)))
        client.sendall(LATER_LINES[lines])
        if how == "half":
            client.shutdown(socket.SHUT_WR)
        else:
            if how == "reset":
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()
        attempt = StartAttempt(1, "s0", core.now() + 1000)
        opening: Any = None  # never read
        result = await attempts.exchange(opening, LineSocket(up), attempt, is_adoption=False)
        assert result is AttemptResult.CANCELLED
        server.setblocking(False)
        with pytest.raises(BlockingIOError):
            server.recv(1)
        for sock in (ours, client, up, server):
            sock.close()

    uvloop.run(test())
