"""NATS sessions that stand while others are set up: they are not ended for what others, or the relay, do."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from nats_peers import Client, start_nats_relay
from standins import NatsServer, Reader, Relay, Writer, run, wait_until

SLOW_SETUP_SECONDS = 0.15  # above what counts as slow, and under what counts as unresponsive
SLOW_SETUPS = 4
BURST_CLIENTS = 100


class HeldGreeting(NatsServer):
    """Greets each connection once it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = asyncio.Semaphore(0)

    async def serve(self, reader: Reader, writer: Writer) -> None:
        await self.released.acquire()
        await super().serve(reader, writer)


async def connect_standing(it: Relay, server: HeldGreeting) -> Client:
    """Return a client with a subscription, whose set-up was quick."""
    client = await Client.connect(it)
    client.send(b"SUB feed 1")
    server.released.release()
    await client.flush()
    return client


def test_time_that_a_greeting_waits_for_the_relay_is_not_the_servers(tmp_path: Path) -> None:
    """Guards against sessions that are moved off a sound server, since the relay itself was slow to read it."""

    async def test() -> None:
        async with HeldGreeting() as server, start_nats_relay(tmp_path, server) as it:
            client = await connect_standing(it, server)
            others = []
            for number in range(SLOW_SETUPS):
                others.append(await Client.connect(it))
                others[-1].send(b"SUB others 1")
                await wait_until(lambda: server.accepted == number + 2)  # noqa: B023
                it.process.send_signal(signal.SIGSTOP)
                server.released.release()
                await asyncio.sleep(SLOW_SETUP_SECONDS)  # the relay's pause
                it.process.send_signal(signal.SIGCONT)
                await others[-1].flush()
            assert await client.flush() == []
            counters = await it.counters()
            assert "nats_moved" not in counters
            assert "nats_refused" not in counters

    run(test)


def test_session_that_is_moved_and_finds_no_place_waits_for_one(tmp_path: Path) -> None:
    """Guards against -ERR to a session that stood, as the relay decided to move it."""

    async def test() -> None:
        async with HeldGreeting() as server, start_nats_relay(tmp_path, server, deadline=1000) as it:
            client = await connect_standing(it, server)
            others = []
            counters: dict[str, int] = {}
            while not counters.get("nats_waited"):
                others.append(await Client.connect(it))
                others[-1].send(b"SUB others 1", b"PING")
                await asyncio.sleep(SLOW_SETUP_SECONDS)
                server.released.release()
                counters = await it.counters()
            for _ in range(100):
                server.released.release()
            assert await client.flush() == []
            for other in others:
                other.writer.close()
            client.publish("again", identity="id-1")
            assert (await client.flush())[-1] == b"again"

    run(test)


def test_clients_that_connect_at_once_end_no_other_session(tmp_path: Path) -> None:
    """Guards against sessions that are moved off idle servers by a burst of new clients, and then refused."""

    async def test() -> None:
        async with NatsServer() as one, NatsServer() as two, start_nats_relay(tmp_path, one, two) as it:
            standing = [await Client.connect(it) for _ in range(4)]
            for client in standing:
                await client.flush()
            burst = await asyncio.gather(*(Client.connect(it) for _ in range(BURST_CLIENTS)))
            for client in burst:
                client.send(b"PING")
            for _ in range(20):
                for client in standing:
                    assert await client.flush() == []

    run(test)
