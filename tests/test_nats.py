"""The NATS front as a process between stand-in servers and clients, some of them nats-py."""

from __future__ import annotations

import asyncio
import signal
import socket
import struct
from collections import Counter
from pathlib import Path

import nats
import pytest
from nats.aio.msg import Msg
from nats_peers import (
    CONFIG,
    Client,
    LateGreeting,
    start_nats_relay,
    write,
)
from standins import Discovery, NatsServer, Relay, relay, run, wait_until


def test_nats_py_subscribes_publishes_requests_and_drains(tmp_path: Path) -> None:
    async def test() -> None:
        async with NatsServer() as server, start_nats_relay(tmp_path, server) as it:
            client = await nats.connect(f"nats://app:secret@{it.address[0]}:{it.address[1]}")
            feed = await client.subscribe("feed.*")

            async def answer(message: Msg) -> None:
                await message.respond(b"yes " + message.data)

            answering = await client.subscribe("ask", cb=answer)
            for n in range(50):
                await client.publish("feed.a", b"%d" % n, headers={"K": "v"})
            await client.flush()
            assert [(await feed.next_msg(2)).data for _ in range(50)] == [b"%d" % n for n in range(50)]
            assert (await client.request("ask", b"?", timeout=2)).data == b"yes ?"
            await answering.unsubscribe()
            await client.drain()
            assert server.connects[0]["user"] == "app"
            assert server.connects[0]["verbose"] is False
            assert (await it.counters())["publications"] == 52

    run(test)


def test_subscription_survives_an_unresponsive_server_without_duplicates(tmp_path: Path) -> None:
    """Guards against a server that accepts and then goes silent: TCP reports no failure."""

    async def test() -> None:
        peers: list[NatsServer] = []
        async with (
            NatsServer(peers) as one,
            NatsServer(peers) as two,
            start_nats_relay(tmp_path, one, two) as it,
        ):
            client = await nats.connect(f"nats://{it.address[0]}:{it.address[1]}")
            got: Counter[bytes] = Counter()

            async def take(message: Msg) -> None:
                got[message.data] += 1

            await client.subscribe("feed", cb=take)
            await client.flush()
            first, other = (one, two) if one.subs else (two, one)
            for n in range(100):
                first.publish(b"feed", b"%d" % n)
            await wait_until(lambda: len(got) == 100)
            first.is_unresponsive = True
            for n in range(100, 110):  # no responsive server has the subscription: only these are lost
                other.publish(b"feed", b"%d" % n)
            await wait_until(lambda: any(other.subs.values()))
            first.is_unresponsive = False  # its further data must not reach the client
            for n in range(110, 200):
                other.publish(b"feed", b"%d" % n)
            await wait_until(lambda: got[b"199"])
            assert set(got.values()) == {1}, "duplicates"
            assert {int(n) for n in got} == set(range(100)) | set(range(110, 200))
            assert client.is_connected
            assert client.stats["reconnects"] == 0
            assert (await it.counters())["nats_silent"] == 1
            await client.close()

    run(test)


def test_unsub_counts_and_queue_groups_survive_a_change_of_server(tmp_path: Path) -> None:
    async def test() -> None:
        peers: list[NatsServer] = []
        async with (
            NatsServer(peers) as one,
            NatsServer(peers) as two,
            start_nats_relay(tmp_path, one, two) as it,
        ):
            client = await Client.connect(it)
            client.send(b"SUB feed workers 1", b"UNSUB 1 3", b"SUB feed 2", b"UNSUB 2")
            await client.flush()
            first, other = (one, two) if any(one.subs.values()) else (two, one)
            for n in range(2):
                first.publish(b"feed", b"%d" % n)
            assert [await client.line() for _ in range(4)][1::2] == [b"0", b"1"]
            first.abort_connections()
            await client.flush()
            subs = next(s for server in (one, two) for s in server.subs.values() if s)
            assert list(subs.values()) == [[b"feed", b"workers", 1, 0]]
            for n in range(2, 5):
                other.publish(b"feed", b"%d" % n)
            assert [await client.line(), await client.line()] == [b"MSG feed 1 1", b"2"]
            assert await client.flush() == []

    run(test)


def test_planned_migration_loses_nothing(tmp_path: Path) -> None:
    """Guards against losing messages in flight when the client migrates off a server in lame-duck mode."""

    async def test() -> None:
        peers: list[NatsServer] = []
        async with (
            NatsServer(peers) as one,
            NatsServer(peers) as two,
            start_nats_relay(tmp_path, one, two) as it,
        ):
            client = await Client.connect(it)
            client.send(b"SUB feed 1")
            await client.flush()
            first, other = (one, two) if one.subs else (two, one)
            first.send_to_all(b'INFO {"ldm":true}\r\n')
            for n in range(40):
                client.publish(f"m{n}")
                if n % 10 == 0:
                    first.publish(b"feed", b"d%d" % n)
            lines = await client.flush()
            assert Counter(line for line in lines if line[:1] in b"md") == Counter(
                [b"m%d" % n for n in range(40)] + [b"d%d" % n for n in range(0, 40, 10)]
            )
            await wait_until(lambda: not first.subs and any(other.subs.values()))
            assert (await it.counters())["nats_moved"] == 1

    run(test)


def test_graceful_shutdown_warns_then_closes_behind_a_fence(tmp_path: Path) -> None:
    async def test() -> None:
        async with NatsServer() as server, start_nats_relay(tmp_path, server) as it:
            client = await Client.connect(it)
            client.send(b"SUB feed 1")
            await client.flush()
            it.process.terminate()
            assert b'"ldm":true' in await client.line()
            client.publish("late")
            assert [await client.line() for _ in range(3)] == [b"MSG feed 1 4", b"late", b""]
            assert await it.process.wait() == 0

    run(test)


def test_sighup_applies_servers_and_tenants_and_leaves_sessions_alone(tmp_path: Path) -> None:
    """Guards against a reload that ends sessions, and an invalid file that is applied in part."""

    async def test() -> None:
        async with NatsServer() as one, NatsServer() as two, start_nats_relay(tmp_path, one) as it:
            old = await Client.connect(it, user="app")
            await old.flush()
            path = write(tmp_path, two, options="max_payload = 100")
            text = path.read_text().replace('["app", ""]', '["else"]')
            path.write_text(text.replace('name = "booking"', 'name = "new"'))
            it.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: it.logged("reload failed, the current configuration stays in effect"))
            await (await Client.connect(it, user="app")).flush()
            assert len(one.connects) == 2
            path.write_text(text)
            it.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: it.logged("changed, but takes a restart: nats"))
            await (await Client.connect(it, user="else")).flush()
            denied = await Client.connect(it, user="app")
            assert await denied.line() == b"-ERR 'Authorization Violation'"
            assert len(one.connects) == 2
            assert len(two.connects) == 1
            await old.flush()

    run(test)


def test_rejection_deadline_and_no_server_end_in_one_error(tmp_path: Path) -> None:
    async def test() -> None:
        async with NatsServer() as server:
            server.refusal = b"-ERR 'maximum connections exceeded'\r\n"
            async with start_nats_relay(tmp_path, server, deadline=400) as it:
                client = await Client.connect(it)
                assert await client.line() == b"-ERR 'Maximum Connections Exceeded'"
                assert await client.line() == b""
                server.refusal = b"-ERR 'Authorization Violation'\r\n"
                client = await Client.connect(it)
                assert [await client.line(), await client.line()] == [b"-ERR 'Authorization Violation'", b""]
                client = await Client.connect(it, user="stranger")
                assert [await client.line(), await client.line()] == [b"-ERR 'Authorization Violation'", b""]
        async with NatsServer() as server:
            server.is_unresponsive = True
            async with start_nats_relay(tmp_path, server, deadline=300) as it:
                client = await Client.connect(it)
                assert [await client.line(), await client.line()] == [b"-ERR 'Placement Timeout'", b""]
        async with start_nats_relay(tmp_path, deadline=200, discovery='discovery = "127.0.0.1:9"') as it:
            client = await Client.connect(it)
            assert [await client.line(), await client.line()] == [b"-ERR 'No Servers Available'", b""]

    run(test)


@pytest.mark.parametrize(
    ("sent", "text"),
    [
        (b"NONSENSE 1", b"Unknown Protocol Operation"),
        (b"PUB feed", b"Parser Error"),
        (b"PUB feed x", b"Parser Error"),
        (b"HPUB feed 9 4\r\nabcd", b"Parser Error"),
        (b"PUB feed 2\r\nabcd", b"Parser Error"),
        (b"UNSUB 1 x", b"Parser Error"),
        (b"CONNECT {", b"Parser Error"),
        (b"PUB feed 65537", b"Maximum Payload Violation"),
        (b"SUB " + b"x" * 5000, b"Maximum Control Line Exceeded"),
    ],
)
def test_malformed_input_ends_one_client_only(tmp_path: Path, sent: bytes, text: bytes) -> None:
    async def test() -> None:
        async with NatsServer() as server, start_nats_relay(tmp_path, server) as it:
            bad, good = await Client.connect(it), await Client.connect(it)
            bad.send(b"SUB feed..x 1", b"PING", sent)
            lines = [await bad.line() for _ in range(4)]
            assert lines[0] == b"-ERR 'Invalid Subject'"
            assert lines[-1] == b""
            assert b"-ERR '" + text + b"'" in lines
            assert await good.flush() == []

    run(test)


def test_slow_consumer_stale_client_and_connection_limit(tmp_path: Path) -> None:
    """Guards against clients that stop reading, are silent, or exceed the limit."""

    async def test() -> None:
        async with (
            NatsServer() as server,
            start_nats_relay(tmp_path, server, options="client_ping = 0.5") as it,
        ):
            stale = await Client.connect(it)
            await stale.flush()
            assert [await stale.line() for _ in range(3)] == [b"PING", b"-ERR 'Stale Connection'", b""]
        options = "max_pending = 65536\nwrite_deadline = 0.3"
        async with NatsServer() as server, start_nats_relay(tmp_path, server, options=options) as it:
            slow = await Client.connect(it)
            slow.send(b"SUB feed 1")
            await slow.flush()
            sent = 0
            while "nats_errors" not in await it.counters():
                server.publish(b"feed", b"x" * 60_000)
                sent += 1
            rest = await slow.reader.read(-1)
            assert rest.endswith(b"-ERR 'Slow Consumer'\r\n")
            assert rest.count(b"MSG") < sent
        async with NatsServer() as server, start_nats_relay(tmp_path, server, discovery="sockets = 50") as it:
            first = await Client.connect(it)
            await first.flush()
            second = await Client.connect(it)
            assert await second.line() == b"-ERR 'maximum connections exceeded'"

    run(test)


DISCONNECT_CASES = (
    "end",
    "reset",
    "half",
    "end behind operations",
    "reset behind operations",
    "half behind operations",
)


def disconnect(client: Client, how: str) -> None:
    """Disconnect a client by a close, a half-close or a reset."""
    sock = client.writer.get_extra_info("socket")
    if how.startswith("half"):
        client.writer.write_eof()
    elif how.startswith("reset"):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
    else:
        client.writer.close()


async def open_waiting_client(it: Relay, *servers: LateGreeting, how: str) -> Client:
    """Return a client that is being placed on one of these servers, with unread operations if `how` says so."""
    client = await Client.connect(it, user="app")
    if "behind" in how:
        client.publish("one")
        client.publish("two")
    await client.writer.drain()
    await wait_until(lambda: any(s.accepted for s in servers))
    return client


@pytest.mark.parametrize("how", DISCONNECT_CASES)
def test_disconnected_client_is_not_presented_to_a_server_that_greets_late(tmp_path: Path, how: str) -> None:
    async def test() -> None:
        async with LateGreeting() as server, start_nats_relay(tmp_path, server) as it:
            client = await open_waiting_client(it, server, how=how)
            disconnect(client, how)
            await asyncio.sleep(0)  # the transport closes its socket in the next round of this loop
            server.greeting.set()
            async with asyncio.timeout(1):
                while (await it.counters()).get("nats_attempt_cancelled", 0) < 1:
                    await asyncio.sleep(0.01)
            assert not server.connects

    run(test)


def test_server_that_greets_after_it_was_told_to_drain_gets_no_client(tmp_path: Path) -> None:
    """Guards against a drain that is checked before the server's INFO arrives, and not before the first byte."""

    async def test() -> None:
        async with LateGreeting() as server, Discovery(server) as discovery:
            where = f'discovery = "{discovery.address}"'
            path = tmp_path / "nats.toml"
            path.write_text(CONFIG.format(options="", deadline=3000, discovery=where))
            async with relay("--config", str(path)) as it:
                client = await open_waiting_client(it, server, how="waits")
                changes = (await it.counters())["discovery_changes"]
                discovery.set_state(server, "draining")
                async with asyncio.timeout(5):
                    while (await it.counters())["discovery_changes"] == changes:
                        await asyncio.sleep(0.01)
                server.greeting.set()
                assert (await client.line()).startswith(b"-ERR")
                assert not server.connects
                assert (await it.counters())["begun_too_late"] == 1

    run(test)


@pytest.mark.parametrize("how", DISCONNECT_CASES)
def test_disconnected_client_is_not_presented_to_the_next_server(tmp_path: Path, how: str) -> None:
    async def test() -> None:
        rejection = b"INFO {}\r\n-ERR 'maximum connections exceeded'\r\n"
        async with (
            LateGreeting(rejection) as one, LateGreeting(rejection) as two,
            start_nats_relay(tmp_path, one, two, discovery='console = "127.0.0.1:0"') as it,
        ):  # fmt: skip
            client = await open_waiting_client(it, one, two, how=how)
            first, second = (one, two) if one.accepted else (two, one)
            disconnect(client, how)
            await asyncio.sleep(0)
            first.greeting.set()
            second.greeting.set()
            async with asyncio.timeout(10):
                while (await it.read_metrics())["active"]:
                    await asyncio.sleep(0.01)
            assert not second.accepted

    run(test)


@pytest.mark.parametrize("how", DISCONNECT_CASES)
def test_disconnect_while_no_server_is_listed_is_seen_in_time(tmp_path: Path, how: str) -> None:
    """Guards against a session that outlives its client until the deadline, as its server never answers."""

    async def test() -> None:
        async with LateGreeting() as server, start_nats_relay(tmp_path, server, deadline=30_000) as it:
            client = await open_waiting_client(it, server, how=how)
            left = asyncio.get_running_loop().time()
            disconnect(client, how)
            while (await it.counters()).get("nats_attempt_cancelled", 0) < 1:
                await asyncio.sleep(0.005)
            assert asyncio.get_running_loop().time() - left < 0.3

    run(test)
