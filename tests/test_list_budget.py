"""A change must reach the relay within 6 s after discovery has it and is reachable, whatever failed before.

The core and the watch run on real connections, with the longest backoff that the decision module may choose.
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
from test_watch import FaultyDiscovery

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

SLOW_RESPONSE_SECONDS = LIST_TIMEOUT_SECONDS - 0.1  # duration of the first successful call
UNRESPONSIVE_AFTER_SECONDS = WATCH_HOLD_MS / 1000 + WATCH_GRACE_SECONDS


class SlowDiscovery(FaultyDiscovery):
    """Discovery that responds slowly from the call with number `slow_from` on."""

    def __init__(self, *servers: GateServer, slow_from: int = 1) -> None:
        super().__init__(*servers)
        self.slow_from = slow_from

    async def serve(self, reader: Reader, writer: Writer) -> None:
        if self.calls >= self.slow_from:
            await asyncio.sleep(SLOW_RESPONSE_SECONDS)
        await super().serve(reader, writer)


class WatchingRelay:
    """A relay's core and server list watch, with every random backoff at its maximum."""

    def __init__(self, address: str) -> None:
        settings = replace(
            RelayDriver().settings, polls_server_list=True, poll_deadline_ms=60_000.0, relay_count=200
        )
        self.core, self.counters = Controller(settings, 1, monotonic_ms), Counters()
        self.core.balancer.context.random.random = lambda: 1.0  # type: ignore[method-assign]
        self.watch = ServerListWatch(
            parse_address(address), ServerDirectory(), self.core.update_server_list, self.counters
        )
        self.core.watch_server_list = self.watch.start

    async def wait_for_failures(self, times: int) -> float:
        """Wait for this many failed calls; return the time then (s, loop clock)."""
        await wait_until(lambda: self.counters["discovery_failed"] >= times)
        return asyncio.get_running_loop().time()

    async def wait_for_list(self) -> float:
        """Wait for a server list; return the time then (s, loop clock)."""
        await wait_until(lambda: self.core.endpoints.entries)
        return asyncio.get_running_loop().time()


@contextlib.contextmanager
def closed_port() -> Iterator[tuple[str, int]]:
    """Yield an address that refuses connections and that no other process can bind."""
    with socket.socket() as reserved:
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        reserved.bind(("127.0.0.1", 0))
        yield reserved.getsockname()


async def connection_refused() -> float:
    """The call is refused just before discovery listens again."""
    with closed_port() as address:
        relay = WatchingRelay("{}:{}".format(*address))
        relay.watch.start()
        reachable = await relay.wait_for_failures(1)
        server = GateServer()
        async with server:
            recovered = SlowDiscovery(server, slow_from=0)
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
            async with await asyncio.start_server(recovered._take, sock=sock):
                return await relay.wait_for_list() - reachable


async def connection_never_established() -> float:
    """The connection times out because the listen queue is full just before discovery is reachable."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        filling = socket.create_connection(full.getsockname())  # takes the only place in the listen queue
        relay = WatchingRelay("{}:{}".format(*full.getsockname()))
        reachable = asyncio.get_running_loop().time()
        relay.watch.start()
        await relay.wait_for_failures(1)
        filling.close()
        full.accept()[0].close()
        full.setblocking(False)
        recovered = SlowDiscovery(slow_from=0)
        async with GateServer() as server:
            recovered.states = {server.address: "up"}
            async with await asyncio.start_server(recovered._take, sock=full.dup()):
                return await relay.wait_for_list() - reachable


async def faulty_response(response_fault: str) -> float:
    """A call for the complete list gets no response or a truncated one; the next call is slow."""
    async with GateServer() as server, SlowDiscovery(server) as discovery:
        discovery.faults = {0: response_fault}
        relay = WatchingRelay(discovery.address)
        reachable = asyncio.get_running_loop().time()
        relay.watch.start()
        return await relay.wait_for_list() - reachable


async def address_switched_then_truncated() -> float:
    """New settings change the discovery address during a backoff; the first response there is truncated."""
    async with GateServer() as server, SlowDiscovery(server) as discovery:
        discovery.faults = {0: "cut"}
        with closed_port() as address:
            relay = WatchingRelay("{}:{}".format(*address))
            relay.watch.start()
            await relay.wait_for_failures(1)
            reachable = asyncio.get_running_loop().time()
            relay.watch.switch_address(parse_address(discovery.address))
            return await relay.wait_for_list() - reachable


FAULTS: dict[str, Callable[[], Awaitable[float]]] = {
    "refused": connection_refused,
    "never established": connection_never_established,
    "silent": lambda: faulty_response("silent"),
    "cut": lambda: faulty_response("cut"),
    "switched, then cut": address_switched_then_truncated,
}


@pytest.mark.parametrize("fault", FAULTS)
def test_longest_backoff_and_a_slow_answer_stay_within_the_budget(fault: str) -> None:
    async def test() -> None:
        async with asyncio.timeout(30):
            elapsed = await FAULTS[fault]()
        assert elapsed <= NOTIFICATION_BUDGET_SECONDS
        assert elapsed > LIST_TIMEOUT_SECONDS + 1.0  # the backoff uses the time that the budget leaves

    uvloop.run(test())


async def relay_with_open_watch(discovery: FaultyDiscovery, faults: dict[int, str]) -> WatchingRelay:
    """Return a relay whose watch is open after one complete list; `faults` are by call number from 0."""
    discovery.faults = faults
    relay = WatchingRelay(discovery.address)
    relay.watch.start()
    await wait_until(lambda: len(discovery.call_times) >= 2)
    return relay


def test_watch_that_is_unresponsive_twice_is_reopened_at_once_each_time() -> None:
    async def test() -> None:
        async with GateServer() as server, FaultyDiscovery(server) as discovery:
            await relay_with_open_watch(discovery, {1: "silent", 2: "silent"})
            await wait_until(lambda: len(discovery.call_times) >= 4)
            _, first, second, third = discovery.call_times[:4]
            assert second - first < UNRESPONSIVE_AFTER_SECONDS + 0.5
            assert third - second < UNRESPONSIVE_AFTER_SECONDS + 0.5

    uvloop.run(test())


def test_cut_answer_after_an_unresponsive_watch_is_retried_within_the_budget() -> None:
    """Changes missed by the unresponsive watch are due 6 s after its start: no time for a backoff."""

    async def test() -> None:
        async with GateServer() as server, FaultyDiscovery(server) as discovery:
            relay = await relay_with_open_watch(discovery, {1: "silent", 2: "cut"})
            discovery.set_state(server, "draining")
            await wait_until(
                lambda: any(e.state.value == "draining" for e in relay.core.endpoints.entries.values())
            )
            assert asyncio.get_running_loop().time() - discovery.call_times[1] <= NOTIFICATION_BUDGET_SECONDS
            assert len(discovery.call_times) >= 4

    uvloop.run(test())


def test_discovery_that_cuts_every_answer_is_not_called_in_a_loop() -> None:
    """After an unresponsive watch one call follows at once, then the backoff applies."""

    async def test() -> None:
        async with GateServer() as server, FaultyDiscovery(server) as discovery:
            relay = await relay_with_open_watch(
                discovery, {1: "silent"} | dict.fromkeys(range(2, 100), "cut")
            )
            discovery.set_state(server, "draining")  # so that discovery holds no call
            await relay.wait_for_failures(3)
            await asyncio.sleep(0.3)
            assert len(discovery.call_times) == 4

    uvloop.run(test())


def test_notification_budget_has_time_for_every_step() -> None:
    since = 100.0
    latest = latest_call_start(since)
    assert latest + LIST_TIMEOUT_SECONDS < since + NOTIFICATION_BUDGET_SECONDS
    assert latest > since + LIST_TIMEOUT_SECONDS  # a call that timed out leaves time for jitter
    assert (
        UNRESPONSIVE_AFTER_SECONDS < NOTIFICATION_BUDGET_SECONDS - 0.5
    )  # an unresponsive watch is detected in time for another call
