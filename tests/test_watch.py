"""The watch on discovery under faults: no response, closed connections, truncated or slow responses, bad entries."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from standins import Discovery, GateServer, Reader, Writer, run, wait_until
from test_line import SETTINGS, open_client, read_counter, read_line, start_relay

LONG_POLL_DEADLINE = {"rules": {"askWithin": 40_000.0}}  # ms; else the module polls again after 1 s or more


class FaultyDiscovery(Discovery):
    """Discovery whose responses fail for the calls, numbered from 0, that a test chooses."""

    def __init__(self, *servers: GateServer) -> None:
        super().__init__(*servers)
        self.call_times: list[float] = []  # s, loop clock
        # By call number: "silent" never responds, "cut" truncates the response, "trickles" sends it slowly, and
        # "closes" closes the connection after it.
        self.faults: dict[int, str] = {}
        self.extra_entries: list[Any] = []  # sent before and after the valid ones
        self.json_options: dict[str, Any] = {}
        self.hides_initial_list = False  # relays start without a list, so they first fetch the complete one

    def listed(self) -> dict[str, Any]:
        return {} if self.hides_initial_list else self.complete_list()

    def complete_list(self) -> dict[str, Any]:
        valid = super().listed()
        return valid | {"servers": self.extra_entries[:1] + valid["servers"] + self.extra_entries[1:]}

    async def serve(self, reader: Reader, writer: Writer) -> None:
        while request := await reader.readline():
            while (await reader.readline()).strip():
                pass
            number = self.calls
            self.calls += 1
            self.call_times.append(asyncio.get_running_loop().time())
            fault = self.faults.get(number, "")
            if fault == "silent":
                await reader.read(-1)
                return
            if b"from=%d&" % self.version in request:
                await self.changed.wait()
            body = json.dumps(self.complete_list(), **self.json_options).encode()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            if fault == "trickles":
                for byte in answer:
                    writer.write(bytes((byte,)))
                    await asyncio.sleep(0.05)
            writer.write(answer[: len(answer) // 2] if fault == "cut" else answer)
            if fault in ("cut", "closes"):
                await writer.drain()
                return


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
def test_unresponsive_watch_is_reopened_within_the_notification_budget(tmp_path: Path, mode: str) -> None:
    """Changes count as notified 6 s after the start of the unresponsive call, which discovery may hold 4 s."""

    async def test() -> None:
        draining, remaining = GateServer(), GateServer()
        async with draining, remaining, FaultyDiscovery(draining, remaining) as discovery:
            discovery.hides_initial_list, discovery.faults = (
                True,
                {1: "silent"},
            )  # the complete list comes first, then the watch
            async with start_relay(
                tmp_path, discovery, settings=SETTINGS | LONG_POLL_DEADLINE | {"discovery": mode}
            ) as it:
                await wait_until(lambda: discovery.calls == 2)
                discovery.set_state(draining, "draining")
                async with asyncio.timeout(8):
                    await wait_until(lambda: discovery.calls >= 3)
                first, unresponsive, reopened = discovery.call_times[:3]
                assert reopened - unresponsive < 5.5, (first, unresponsive, reopened)
                while await read_counter(it, "discovery_changes") < 4:  # two lists of two servers each
                    await asyncio.sleep(0.01)
                before = len(draining.opened)
                for _ in range(20):
                    reader, _ = await open_client(it)
                    assert await read_line(reader) == b"UP r1\r\n"
                assert len(draining.opened) == before

    run(test)


def test_connection_closed_after_an_answer_is_no_failure(tmp_path: Path) -> None:
    async def test() -> None:
        server = GateServer()
        async with server, FaultyDiscovery(server) as discovery:
            discovery.hides_initial_list, discovery.faults = True, dict.fromkeys(range(6), "closes")
            async with start_relay(tmp_path, discovery, settings=SETTINGS | LONG_POLL_DEADLINE):
                for calls in range(1, 7):
                    await wait_until(lambda calls=calls: discovery.calls >= calls)  # type: ignore[misc]
                    changed_at = asyncio.get_running_loop().time()
                    discovery.set_state(server, "up")
                    await wait_until(lambda calls=calls: discovery.calls > calls)  # type: ignore[misc]
                    assert discovery.call_times[calls] - changed_at < 0.2  # else the watch has ended

    run(test)


@pytest.mark.parametrize("fault", ["cut", "trickles", "silent"])
def test_faulty_response_is_abandoned_in_time_and_retried(tmp_path: Path, fault: str) -> None:
    async def test() -> None:
        server = GateServer()
        async with server, FaultyDiscovery(server) as discovery:
            discovery.hides_initial_list, discovery.faults = True, {0: fault}
            async with start_relay(tmp_path, discovery) as it:
                async with asyncio.timeout(5):
                    await wait_until(lambda: discovery.calls >= 2)
                assert (
                    discovery.call_times[1] - discovery.call_times[0] < 2.0 + 0.5
                )  # the timeout and the backoff
                assert await read_counter(it, "discovery_failed") == 1
                reader, _ = await open_client(it)
                assert await read_line(reader) == b"UP r1\r\n"

    run(test)


INVALID_ENTRIES: dict[str, Any] = {
    "no object": 7,
    "no id": {"addr": "127.0.0.1:9"},
    "an address without a port": {"id": "s-wrong", "addr": "127.0.0.1"},
    "a weight of words": {"id": "s-wrong", "addr": "127.0.0.1:9", "weight": "heavy"},
    "an unknown state": {"id": "s-wrong", "addr": "127.0.0.1:9", "state": "resting"},
}


@pytest.mark.parametrize("invalid", INVALID_ENTRIES)
def test_invalid_entries_get_no_requests_and_leave_valid_ones_in_use(tmp_path: Path, invalid: str) -> None:
    async def test() -> None:
        server, other = GateServer(), GateServer()
        async with server, other, FaultyDiscovery() as discovery, start_relay(tmp_path, discovery) as it:
            discovery.extra_entries = [INVALID_ENTRIES[invalid], INVALID_ENTRIES[invalid]]
            discovery.json_options = {"indent": 2}
            discovery.set_state(server, "up")
            while not await read_counter(it, "discovery_wrong_entries"):
                await asyncio.sleep(0.01)
            for _ in range(5):
                reader, _ = await open_client(it)
                assert await read_line(reader) == b"UP r1\r\n"
            assert len(server.opened) == 5

    run(test)


def test_server_whose_entry_becomes_invalid_gets_no_new_requests(tmp_path: Path) -> None:
    async def test() -> None:
        invalid, valid = GateServer(), GateServer()
        async with (
            invalid,
            valid,
            FaultyDiscovery(invalid, valid) as discovery,
            start_relay(tmp_path, discovery) as it,
        ):
            await wait_until(lambda: discovery.calls == 2)
            discovery.set_state(invalid, "up and down")
            while not await read_counter(it, "discovery_wrong_entries"):
                await asyncio.sleep(0.01)
            for _ in range(20):
                reader, _ = await open_client(it)
                assert await read_line(reader) == b"UP r1\r\n"
            assert not invalid.opened

    run(test)
