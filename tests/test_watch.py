"""The watch on discovery where it breaks: silent, closed as it rested, cut, slow, with wrong entries among right ones."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from standins import Discovery, GateServer, Reader, Writer, run, wait_until
from test_line import SETTINGS, open_client, read_counter, read_line, start_relay

PATIENT = {"rules": {"askWithin": 40_000.0}}  # by itself the module would ask again after a second or later


class Breaking(Discovery):
    """Answers as the list stands, but for the calls that a test spoils by their number."""

    def __init__(self, *servers: GateServer) -> None:
        super().__init__(*servers)
        self.called: list[float] = []  # s, of the loop
        self.spoil: dict[int, str] = {}
        self.entries: list[Any] = []  # that stand among the right ones
        self.form: dict[str, Any] = {}
        self.fresh = False  # relays start with no list: their first call is for the whole one

    def listed(self) -> dict[str, Any]:
        return {} if self.fresh else self.whole()

    def whole(self) -> dict[str, Any]:
        whole = super().listed()
        return whole | {"servers": self.entries[:1] + whole["servers"] + self.entries[1:]}

    async def serve(self, reader: Reader, writer: Writer) -> None:
        while request := await reader.readline():
            while (await reader.readline()).strip():
                pass
            number = self.calls
            self.calls += 1
            self.called.append(asyncio.get_running_loop().time())
            way = self.spoil.get(number, "")
            if way == "silent":
                await reader.read(-1)
                return
            if b"from=%d&" % self.version in request:
                await self.changed.wait()
            body = json.dumps(self.whole(), **self.form).encode()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            if way == "trickles":
                for byte in answer:
                    writer.write(bytes((byte,)))
                    await asyncio.sleep(0.05)
            writer.write(answer[: len(answer) // 2] if way == "cut" else answer)
            if way in ("cut", "closes"):
                await writer.drain()
                return


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
def test_unresponsive_watch_is_reopened_within_the_notification_budget(tmp_path: Path, mode: str) -> None:
    """It counts as told 6 s after the silence began; the wait of a call is 4 s and counts from its start."""

    async def test() -> None:
        gone, stays = GateServer(), GateServer()
        async with gone, stays, Breaking(gone, stays) as discovery:
            discovery.fresh, discovery.spoil = (
                True,
                {1: "silent"},
            )  # the whole list comes first, then the watch
            async with start_relay(
                tmp_path, discovery, settings=SETTINGS | PATIENT | {"discovery": mode}
            ) as it:
                await wait_until(lambda: discovery.calls == 2)
                discovery.set_state(gone, "draining")
                async with asyncio.timeout(8):
                    await wait_until(lambda: discovery.calls >= 3)
                first, silent, anew = discovery.called[:3]
                assert anew - silent < 5.5, (first, silent, anew)
                while await read_counter(it, "discovery_changes") < 4:  # the two lists, of two servers each
                    await asyncio.sleep(0.01)
                before = len(gone.opened)
                for _ in range(20):
                    reader, _ = await open_client(it)
                    assert await read_line(reader) == b"UP r1\r\n"
                assert len(gone.opened) == before

    run(test)


def test_connection_closed_after_an_answer_is_no_failure(tmp_path: Path) -> None:
    async def test() -> None:
        server = GateServer()
        async with server, Breaking(server) as discovery:
            discovery.fresh, discovery.spoil = True, dict.fromkeys(range(6), "closes")
            async with start_relay(tmp_path, discovery, settings=SETTINGS | PATIENT):
                for calls in range(1, 7):
                    await wait_until(lambda calls=calls: discovery.calls >= calls)  # type: ignore[misc]
                    told = asyncio.get_running_loop().time()
                    discovery.set_state(server, "up")
                    await wait_until(lambda calls=calls: discovery.calls > calls)  # type: ignore[misc]
                    assert discovery.called[calls] - told < 0.2  # else it is no watch that goes on

    run(test)


@pytest.mark.parametrize("way", ["cut", "trickles", "silent"])
def test_spoilt_answer_is_abandoned_in_time_and_retried(tmp_path: Path, way: str) -> None:
    async def test() -> None:
        server = GateServer()
        async with server, Breaking(server) as discovery:
            discovery.fresh, discovery.spoil = True, {0: way}
            async with start_relay(tmp_path, discovery) as it:
                async with asyncio.timeout(5):
                    await wait_until(lambda: discovery.calls >= 2)
                assert (
                    discovery.called[1] - discovery.called[0] < 2.0 + 0.5
                )  # the whole wait, and the back-off
                assert await read_counter(it, "discovery_failed") == 1
                reader, _ = await open_client(it)
                assert await read_line(reader) == b"UP r1\r\n"

    run(test)


WRONG: dict[str, Any] = {
    "no object": 7,
    "no id": {"addr": "127.0.0.1:9"},
    "an address without a port": {"id": "s-wrong", "addr": "127.0.0.1"},
    "a weight of words": {"id": "s-wrong", "addr": "127.0.0.1:9", "weight": "heavy"},
    "an unknown state": {"id": "s-wrong", "addr": "127.0.0.1:9", "state": "resting"},
}


@pytest.mark.parametrize("wrong", WRONG)
def test_invalid_entries_get_no_requests_and_leave_valid_ones_in_use(tmp_path: Path, wrong: str) -> None:
    async def test() -> None:
        server, other = GateServer(), GateServer()
        async with server, other, Breaking() as discovery, start_relay(tmp_path, discovery) as it:
            discovery.entries = [WRONG[wrong], WRONG[wrong]]
            discovery.form = {"indent": 2}
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
        spoilt, sound = GateServer(), GateServer()
        async with (
            spoilt,
            sound,
            Breaking(spoilt, sound) as discovery,
            start_relay(tmp_path, discovery) as it,
        ):
            await wait_until(lambda: discovery.calls == 2)
            discovery.set_state(spoilt, "up and down")
            while not await read_counter(it, "discovery_wrong_entries"):
                await asyncio.sleep(0.01)
            for _ in range(20):
                reader, _ = await open_client(it)
                assert await read_line(reader) == b"UP r1\r\n"
            assert not spoilt.opened

    run(test)
