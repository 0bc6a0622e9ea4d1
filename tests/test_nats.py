"""The NATS front as a process between stand-in servers and clients, some of them nats-py."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator, Callable
from functools import partial
from pathlib import Path
from typing import Any

import nats
import pytest
from nats.aio.msg import Msg
from standins import Discovery, NatsServer, Reader, Relay, Writer, relay, run, wait_until

from violetdoor.fronts.nats.client_operations import MAX_PENDING_ANSWERS

CONFIG = """
listen = "127.0.0.1:0"
{discovery}
retry_after_ms = 50
[nats]
ping_interval = 0.1
silence = 1
connect_deadline = 2
leave = 2
{options}
[[classes]]
name = "booking"
aim_ms = 500
deadline_ms = {deadline}
[[tenants]]
name = "qurum-fit"
class = "booking"
users = ["app", ""]
"""


def write(
    tmp_path: Path, *servers: NatsServer, options: str = "", deadline: int = 3000, discovery: str = "",
    ping_interval: float = 0.1, silence: float = 1,
) -> Path:  # fmt: skip
    text = CONFIG.format(options=options, deadline=deadline, discovery=discovery)
    text = text.replace("ping_interval = 0.1", f"ping_interval = {ping_interval}")
    text = text.replace("silence = 1", f"silence = {silence}")
    text += "".join(f'[[servers]]\naddr = "{s.address}"\n' for s in servers)
    path = tmp_path / "nats.toml"
    path.write_text(text)
    return path


@contextlib.asynccontextmanager
async def start_nats_relay(tmp_path: Path, *servers: NatsServer, **settings: Any) -> AsyncIterator[Relay]:
    path = write(tmp_path, *servers, **settings)
    async with relay("--config", str(path)) as it:
        yield it


class Client:
    """A client that sends raw protocol lines."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader, self.writer = reader, writer
        self.info: dict[str, object] = {}

    @classmethod
    async def connect(cls, it: Relay, **values: object) -> Client:
        self = cls(*await it.open())
        self.info = json.loads((await self.line())[5:])
        self.send(b"CONNECT " + json.dumps({"verbose": False, "headers": True} | values).encode())
        return self

    def send(self, *lines: bytes) -> None:
        self.writer.write(b"".join(line + b"\r\n" for line in lines))

    async def line(self) -> bytes:
        """Return the next line; b"" at the end of the stream, b" " for an empty line."""
        async with asyncio.timeout(10):
            line = await self.reader.readline()
        return line and (line.rstrip() or b" ")

    async def flush(self) -> list[bytes]:
        """Send PING; return all lines before its PONG."""
        self.send(b"PING")
        lines: list[bytes] = []
        while (line := await self.line()) != b"PONG":
            assert line, f"the relay closed after {lines}"
            lines.append(line)
        return lines

    def publish(self, text: str, identity: str = "", reply: str = "") -> None:
        head = f"NATS/1.0\r\nNats-Msg-Id: {identity}\r\n\r\n" if identity else ""
        sizes = f"{len(head)} {len(head) + len(text)}" if head else f"{len(text)}"
        self.send(f"{'HPUB' if head else 'PUB'} feed {reply} {sizes}".encode(), (head + text).encode())


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


def test_retried_publications_reach_a_subscriber_once(tmp_path: Path) -> None:
    """Guards against duplicates: the first server delivers the messages but never confirms them."""

    async def test() -> None:
        peers: list[NatsServer] = []
        async with (
            NatsServer(peers) as one,
            NatsServer(peers) as two,
            start_nats_relay(tmp_path, one, two) as it,
        ):
            reader, writer = await Client.connect(it), await Client.connect(it)
            reader.send(b"SUB feed 7")
            writer.send(b"SUB inbox 9")
            await reader.flush()
            await writer.flush()
            first = next(s for s in (one, two) if any(b"9" in subs for subs in s.subs.values()))
            other = two if first is one else one
            first.withholds_pongs = True
            for n in range(30):
                writer.publish(f"with-{n}", identity=f"id-{n}")
            writer.publish("asks", reply="inbox")
            writer.send(b"PING")
            writer.publish("plain")
            await wait_until(lambda: len(first.published) == 32)
            await wait_until(lambda: len(other.published) == 30)
            first.withholds_pongs = False
            # The PONG to the first PING confirms the publications before it. One to the next would confirm "plain".
            lines = [await writer.line() for _ in range(4)]
            assert lines == [b"HMSG inbox 9 16 16", b"NATS/1.0 503", b" ", b" "]
            assert await writer.line() == b"PONG"
            writer.send(b"PING")
            assert [await writer.line(), await writer.line()] == [b"-ERR 'Stale Connection'", b""]
            other.publish(b"feed", b"last")
            first.publish(b"none", b"")
            lines = []
            while b"last" not in lines:
                lines.append(await reader.line())
            seen = Counter(line for line in lines if line.startswith((b"with-", b"plain", b"asks")))
            counts = await it.counters()
            assert set(seen.values()) == {1}, "duplicates"
            assert len(seen) == 32, "lost"
            assert counts["messages_repeated"] == 30
            assert counts["publications_resent"] == 30
            assert counts["publications_given_up"] == 1
            assert counts["publications_503"] == 1

    run(test)


class StoppableNatsServer(NatsServer):
    """While it is stopped it does nothing; what reached its sockets by then is executed when it continues."""

    def __init__(self, peers: list[NatsServer]) -> None:
        super().__init__(peers)
        self.is_stopped = False
        self.backlog: list[Callable[[], None]] = []

    def operate(self, op: bytes, args: list[bytes], body: bytes, line: bytes, writer: Writer,
                subscriptions: dict[bytes, list[Any]]) -> None:  # fmt: skip
        execute = partial(super().operate, op, args, body, line, writer, subscriptions)
        if self.is_stopped:
            self.backlog.append(execute)
        else:
            execute()

    def resume(self) -> None:
        self.is_stopped = False
        for execute in self.backlog:
            execute()


def test_server_that_continues_late_delivers_no_message_twice(tmp_path: Path) -> None:
    """Guards against duplicates from a stopped server that runs its copies after many other messages."""

    async def test() -> None:
        peers: list[NatsServer] = []
        async with (
            StoppableNatsServer(peers) as one,
            StoppableNatsServer(peers) as two,
            start_nats_relay(tmp_path, one, two) as it,
        ):
            reader, writer = await Client.connect(it), await Client.connect(it)
            reader.send(b"SUB feed 7")
            writer.send(b"SUB inbox 9")
            await reader.flush()
            await writer.flush()
            first = next(s for s in (one, two) if any(b"9" in subs for subs in s.subs.values()))
            other = two if first is one else one
            first.is_stopped = True
            for n in range(30):
                writer.publish(f"m{n}", identity=f"id-{n}")
            await wait_until(lambda: len(other.published) == 30)
            for n in range(30, 1030):
                writer.publish(f"m{n}", identity=f"id-{n}")
            await writer.flush()
            first.resume()
            assert len(first.published) == 30
            other.publish(b"feed", b"last")
            lines: list[bytes] = []
            while b"last" not in lines:
                lines.append(await reader.line())
            seen = Counter(line for line in lines if line.startswith(b"m"))
            assert set(seen.values()) == {1}, "duplicates"
            assert len(seen) == 1030, "lost"

    run(test)


class UnreadNatsServer:
    """A server with small buffers that completes handshakes and then reads nothing until it continues."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def shake_hands(self) -> socket.socket:
        loop = asyncio.get_running_loop()
        sock, _ = await loop.sock_accept(self.listener)
        await loop.sock_sendall(sock, b'INFO {"server_id":"S","headers":true,"max_payload":1048576}\r\n')
        received = b""
        while b"PING\r\n" not in received:
            received += await loop.sock_recv(sock, 4096)
        await loop.sock_sendall(sock, b"PONG\r\n")
        return sock


async def read_until_closed(sock: socket.socket) -> int:
    """Return the number of bytes that the peer's kernel still delivers."""
    count = 0
    with contextlib.suppress(ConnectionError):
        while received := await asyncio.get_running_loop().sock_recv(sock, 65_536):
            count += len(received)
    sock.close()
    return count


def test_publications_that_an_abandoned_server_has_not_received_are_taken_back(tmp_path: Path) -> None:
    """Guards against duplicates: after a graceful close the system would go on to send the first copies."""

    async def test() -> None:
        unread = UnreadNatsServer()
        path = tmp_path / "nats.toml"
        text = CONFIG.format(options="", deadline=3000, discovery='console = "127.0.0.1:0"')
        path.write_text(text + f'[[servers]]\nid = "unread"\naddr = "{unread.address}"\n')
        async with NatsServer() as other, relay("--config", str(path)) as it:
            client = await Client.connect(it)
            sock = await unread.shake_hands()
            path.write_text(path.read_text() + f'[[servers]]\naddr = "{other.address}"\n')
            it.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: it.logged("reloaded"))
            for n in range(30):
                client.publish("x" * 8000, identity=f"id-{n}")
            await wait_until(lambda: len(other.published) == 30)
            await client.flush()
            assert await read_until_closed(sock) < 30 * 8000 / 2
            unread.listener.close()

    run(test)


def verbose_answers(lines: list[bytes]) -> list[bytes]:
    """Return the answers to publications among a verbose client's lines."""
    return [line for line in lines if line == b"+OK" or line.startswith(b"-ERR")]


def test_publications_acknowledged_to_a_verbose_client_have_run(tmp_path: Path) -> None:
    """Guards against a +OK for a publication that is lost with its server, and a PONG that confirms it."""

    async def test() -> None:
        peers: list[NatsServer] = []
        async with (
            NatsServer(peers) as one,
            NatsServer(peers) as two,
            start_nats_relay(tmp_path, one, two) as it,
        ):
            client = await Client.connect(it, verbose=True)
            client.send(b"SUB inbox 9")
            await client.flush()
            first, other = (one, two) if one.subs else (two, one)
            for n in range(20):
                client.publish(f"{n}")
            answers = verbose_answers(await client.flush())
            first.is_unresponsive = True
            for n in range(20, 30):
                client.publish(f"{n}")
                client.send(b"PING")
            client.send(b"UNSUB 5")
            lines: list[bytes] = []
            while lines.count(b"PONG") < 10:
                lines.append(await client.line())
            answers += verbose_answers([*lines, *await client.flush()])
            for n in range(30, 40):
                client.publish(f"{n}")
            answers += verbose_answers(await client.flush())
            run_texts = {int(text) for text in one.published + two.published}
            assert answers[:20] == [b"+OK"] * 20
            assert answers[20:30] == [b"-ERR 'Stale Connection'"] * 10
            assert answers[30:] == [b"+OK"] * 11, "the UNSUB and ten publications"
            assert run_texts == set(range(20)) | set(range(30, 40))
            # Each answer stands before the PONG that confirms its publication.
            assert [line for line in lines if line != b"+OK"] == [b"-ERR 'Stale Connection'", b"PONG"] * 10
            assert any(other.subs.values()), "the client's subscription"

    run(test)


def test_verbose_client_that_waits_for_each_answer_is_not_slowed(tmp_path: Path) -> None:
    """Guards against a +OK that waits for the relay's next periodic PING."""

    async def test() -> None:
        async with (
            NatsServer() as server,
            start_nats_relay(tmp_path, server, ping_interval=3600, silence=3600) as it,
        ):
            client = await Client.connect(it, verbose=True)
            await client.flush()
            for n in range(100):
                client.publish(f"{n}")
                client.publish(f"again {n}")
                assert [await client.line(), await client.line()] == [b"+OK", b"+OK"]
            assert len(server.published) == 200

    run(test)


def test_nats_py_client_connects_anew_after_a_publication_was_lost(tmp_path: Path) -> None:
    """Guards against a flush that confirms a lost publication, and an error on which the library closes."""

    async def test() -> None:
        peers: list[NatsServer] = []
        async with (
            NatsServer(peers) as one,
            NatsServer(peers) as two,
            start_nats_relay(tmp_path, one, two) as it,
        ):
            client = await nats.connect(f"nats://{it.address[0]}:{it.address[1]}", reconnect_time_wait=0.05)
            feed = await client.subscribe("feed")
            await client.flush()
            first = one if any(one.subs.values()) else two
            first.is_unresponsive = True
            await client.publish("feed", b"lost")
            await client.flush(8)  # the library may send this PING before the publication
            with pytest.raises(nats.errors.FlushTimeoutError):
                await client.flush(2)
            await wait_until(lambda: client.stats["reconnects"] == 1 and client.is_connected)
            first.is_unresponsive = False
            await client.publish("feed", b"new")
            assert (await feed.next_msg(5)).data == b"new"
            await client.close()

    run(test)


class PingCounter(NatsServer):
    """Answers PINGs until it is unresponsive; counts those that come after."""

    def __init__(self) -> None:
        super().__init__()
        self.unanswered_pings = 0

    def operate(self, op: bytes, args: list[bytes], body: bytes, line: bytes, writer: Writer,
                subscriptions: dict[bytes, list[Any]]) -> None:  # fmt: skip
        if op == b"PING" and self.withholds_pongs:
            self.unanswered_pings += 1
        super().operate(op, args, body, line, writer, subscriptions)


def test_answers_owed_to_a_client_are_bounded(tmp_path: Path) -> None:
    """Guards against memory that grows with the PINGs of a client whose server does not answer."""

    async def test() -> None:
        async with PingCounter() as server, start_nats_relay(tmp_path, server, silence=30) as it:
            client = await Client.connect(it)
            await client.flush()
            server.withholds_pongs = True
            client.send(*[b"PING"] * 20_000)
            await wait_until(lambda: server.unanswered_pings >= MAX_PENDING_ANSWERS)
            await client.writer.drain()
            await it.counters()
            assert server.unanswered_pings <= MAX_PENDING_ANSWERS + 1, "one PING is the relay's"

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


class LateGreeting(NatsServer):
    """Sends INFO once `greeting` is set, or `rejection` instead if that is given."""

    def __init__(self, rejection: bytes = b"") -> None:
        super().__init__()
        self.rejection, self.greeting = rejection, asyncio.Event()

    async def serve(self, reader: Reader, writer: Writer) -> None:
        await self.greeting.wait()
        if self.rejection:
            writer.write(self.rejection)
            return
        await super().serve(reader, writer)


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
