"""A change counts as told 6 s after discovery had it and could be reached, whatever failed before.

The relay's core and its watch run here with the longest backoff that the module may draw, on real connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace

import pytest
import uvloop
from relay_driver import RelayDriver
from standins import GateServer, Reader, Writer, wait_until
from test_core import monotonic_ms
from test_watch import Breaking

from violetdoor.core import Controller
from violetdoor.net.addresses import parse_address
from violetdoor.net.counters import Counters
from violetdoor.net.server_directory import ServerDirectory
from violetdoor.net.server_list_watch import (
    LIST_TIMEOUT_SECONDS,
    NOTIFICATION_BUDGET_SECONDS,
    WATCH_GRACE_SECONDS,
    WATCH_HOLD_MS,
    ServerListWatch,
    latest_call_start,
)

SLOW_ANSWER_SECONDS = LIST_TIMEOUT_SECONDS - 0.1  # s that the answer takes which ends the trouble
UNRESPONSIVE_AFTER_SECONDS = WATCH_HOLD_MS / 1000 + WATCH_GRACE_SECONDS


class Slow(Breaking):
    """A discovery that is slow with its answers from the `slow_from`th call on."""

    def __init__(self, *servers: GateServer, slow_from: int = 1) -> None:
        super().__init__(*servers)
        self.slow_from = slow_from

    async def serve(self, reader: Reader, writer: Writer) -> None:
        if self.calls >= self.slow_from:
            await asyncio.sleep(SLOW_ANSWER_SECONDS)
        await super().serve(reader, writer)


class Relay:
    """The parts of a relay that follow the list; its backoff is the longest that may be drawn."""

    def __init__(self, address: str) -> None:
        settings = replace(
            RelayDriver().settings, polls_server_list=True, poll_deadline_ms=60_000.0, relay_count=200
        )
        self.core, self.counts = Controller(settings, 1, monotonic_ms), Counters()
        self.core.balancer.context.random.random = lambda: 1.0  # type: ignore[method-assign]
        self.watch = ServerListWatch(
            parse_address(address), ServerDirectory(), self.core.update_server_list, self.counts
        )
        self.core.watch_server_list = self.watch.start

    async def failed(self, times: int) -> float:
        """Wait for so many failed calls; when the last was seen, s of the loop."""
        await wait_until(lambda: self.counts["discovery_failed"] >= times)
        return asyncio.get_running_loop().time()

    async def has_list(self) -> float:
        """Wait for a list; when it was had, s of the loop."""
        await wait_until(lambda: self.core.endpoints.entries)
        return asyncio.get_running_loop().time()


@contextlib.contextmanager
def closed_port() -> Iterator[tuple[str, int]]:
    """An address that refuses connections and stays this test's own."""
    with socket.socket() as held:
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        held.bind(("127.0.0.1", 0))
        yield held.getsockname()


async def connection_refused() -> float:
    """The call is refused in the moment before discovery listens again."""
    with closed_port() as address:
        relay = Relay("{}:{}".format(*address))
        relay.watch.start()
        reachable = await relay.failed(1)
        server = GateServer()
        async with server:
            back = Slow(server, slow_from=0)
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
            async with await asyncio.start_server(back._take, sock=sock):
                return await relay.has_list() - reachable


async def connection_never_established() -> float:
    """Its first packet is lost in the moment before discovery is reachable; it is refused afterwards."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        filling = socket.create_connection(full.getsockname())  # the queue's one place
        relay = Relay("{}:{}".format(*full.getsockname()))
        reachable = asyncio.get_running_loop().time()
        relay.watch.start()
        await relay.failed(1)
        filling.close()
        full.accept()[0].close()
        full.setblocking(False)
        back = Slow(slow_from=0)
        async with GateServer() as server:
            back.states = {server.address: "up"}
            async with await asyncio.start_server(back._take, sock=full.dup()):
                return await relay.has_list() - reachable


async def answer_spoilt(way: str) -> float:
    """A call for the whole list falls silent, or its answer is cut; the next takes all its time."""
    async with GateServer() as server, Slow(server) as discovery:
        discovery.spoil = {0: way}
        relay = Relay(discovery.address)
        reachable = asyncio.get_running_loop().time()
        relay.watch.start()
        return await relay.has_list() - reachable


async def address_switched_then_cut() -> float:
    """New settings move discovery while a backoff runs, and its first answer there is cut."""
    async with GateServer() as server, Slow(server) as discovery:
        discovery.spoil = {0: "cut"}
        with closed_port() as address:
            relay = Relay("{}:{}".format(*address))
            relay.watch.start()
            await relay.failed(1)
            reachable = asyncio.get_running_loop().time()
            relay.watch.switch_address(parse_address(discovery.address))
            return await relay.has_list() - reachable


FAULTS: dict[str, Callable[[], Awaitable[float]]] = {
    "refused": connection_refused,
    "never established": connection_never_established,
    "silent": lambda: answer_spoilt("silent"),
    "cut": lambda: answer_spoilt("cut"),
    "switched, then cut": address_switched_then_cut,
}


@pytest.mark.parametrize("fault", FAULTS)
def test_longest_backoff_and_a_slow_answer_stay_within_the_budget(fault: str) -> None:
    async def test() -> None:
        async with asyncio.timeout(30):
            took = await FAULTS[fault]()
        assert took <= NOTIFICATION_BUDGET_SECONDS
        assert took > LIST_TIMEOUT_SECONDS + 1.0  # the backoff is spread as wide as the budget allows

    uvloop.run(test())


async def relay_with_open_watch(discovery: Breaking, spoil: dict[int, str]) -> Relay:
    """A relay whose watch is open on a list of one version; calls from the second on are spoilt."""
    discovery.spoil = spoil
    relay = Relay(discovery.address)
    relay.watch.start()
    await wait_until(lambda: len(discovery.called) >= 2)
    return relay


def test_watch_that_is_unresponsive_twice_is_reopened_at_once_each_time() -> None:
    async def test() -> None:
        async with GateServer() as server, Breaking(server) as discovery:
            await relay_with_open_watch(discovery, {1: "silent", 2: "silent"})
            await wait_until(lambda: len(discovery.called) >= 4)
            _, first, second, third = discovery.called[:4]
            assert second - first < UNRESPONSIVE_AFTER_SECONDS + 0.5
            assert third - second < UNRESPONSIVE_AFTER_SECONDS + 0.5

    uvloop.run(test())


def test_cut_answer_after_an_unresponsive_watch_is_retried_within_the_budget() -> None:
    """What the silent watch missed counts 6 s after it fell silent: there is no time for a backoff."""

    async def test() -> None:
        async with GateServer() as server, Breaking(server) as discovery:
            relay = await relay_with_open_watch(discovery, {1: "silent", 2: "cut"})
            discovery.set_state(server, "draining")
            await wait_until(
                lambda: any(e.state.value == "draining" for e in relay.core.endpoints.entries.values())
            )
            assert asyncio.get_running_loop().time() - discovery.called[1] <= NOTIFICATION_BUDGET_SECONDS
            assert len(discovery.called) >= 4

    uvloop.run(test())


def test_discovery_that_cuts_every_answer_is_not_called_in_a_loop() -> None:
    """One call at once behind a silent watch, then the backoff."""

    async def test() -> None:
        async with GateServer() as server, Breaking(server) as discovery:
            relay = await relay_with_open_watch(
                discovery, {1: "silent"} | dict.fromkeys(range(2, 100), "cut")
            )
            discovery.set_state(server, "draining")  # so that no call waits
            await relay.failed(3)
            await asyncio.sleep(0.3)
            assert len(discovery.called) == 4

    uvloop.run(test())


def test_notification_budget_has_time_for_every_step() -> None:
    since = 100.0
    latest = latest_call_start(since)
    assert latest + LIST_TIMEOUT_SECONDS < since + NOTIFICATION_BUDGET_SECONDS
    assert latest > since + LIST_TIMEOUT_SECONDS  # a call that was given up leaves time for a spread
    assert (
        UNRESPONSIVE_AFTER_SECONDS < NOTIFICATION_BUDGET_SECONDS - 0.5
    )  # a silent watch is known in time for another call
