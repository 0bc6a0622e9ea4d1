"""NATS clients that leave with operations unread: none of these begins long after that."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from nats_peers import Client, start_nats_relay
from standins import NatsServer, Writer, run, wait_until
from test_client_disconnect import disconnect

PUBLICATIONS = 60_000
IDLE_SECONDS = 0.3  # longer than what a client sent is executed after its end


class TimedServer(NatsServer):
    """Counts publications, and does nothing else with them."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def operate(self, op: bytes, args: list[bytes], body: bytes, line: bytes, writer: Writer,
                subscriptions: dict[bytes, list[Any]]) -> None:  # fmt: skip
        if op == b"PUB":
            self.count += 1
            return
        super().operate(op, args, body, line, writer, subscriptions)


@pytest.mark.parametrize("how", ["end", "reset"])
def test_unread_publications_of_a_client_that_left_are_dropped(tmp_path: Path, how: str) -> None:
    """Guards against requests that begin over 0.1 s after their client has left."""

    async def test() -> None:
        async with TimedServer() as server, start_nats_relay(tmp_path, server) as it:
            client = await Client.connect(it)
            await client.flush()
            client.send(*[b"PUB feed 0", b""] * PUBLICATIONS)
            await client.writer.drain()
            disconnect(client.writer, how)
            await wait_until(lambda: not server.subs)
            counters = await it.counters()
            assert counters["nats_left_unread"] == 1
            assert counters["publications"] < PUBLICATIONS
            assert not counters.get("faults")

    run(test)


def test_publications_just_before_the_end_are_executed(tmp_path: Path) -> None:
    """Guards against publications that are lost as their client leaves at once behind them."""

    async def test() -> None:
        async with TimedServer() as server, start_nats_relay(tmp_path, server) as it:
            client = await Client.connect(it)
            await client.flush()
            await asyncio.sleep(IDLE_SECONDS)  # a client that was idle before
            client.send(*[b"PUB feed 0", b""] * 20)
            client.writer.close()
            await wait_until(lambda: server.count == 20)

    run(test)
