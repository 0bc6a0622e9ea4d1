"""Publications on the NATS front when their server is lost or hangs: none acknowledged and lost, none twice."""

from __future__ import annotations

import signal
from collections import Counter
from pathlib import Path

import nats
import pytest
from nats_peers import (
    CONFIG,
    Client,
    PingCounter,
    StoppableNatsServer,
    UnreadNatsServer,
    read_until_closed,
    start_nats_relay,
)
from standins import NatsServer, relay, run, wait_until

from violetdoor.fronts.nats.client_operations import MAX_PENDING_ANSWERS


def test_retried_publications_reach_a_subscriber_once(tmp_path: Path) -> None:
    """Guards against duplicates: the first server delivers the messages but never confirms them."""

    async def test() -> None:
        peers: list[NatsServer] = []
        async with (
            NatsServer(peers) as one,
            NatsServer(peers) as two,
            start_nats_relay(tmp_path, one, two) as it,
        ):
            reader, writer = await Client.connect(it), await Client.connect(it, no_responders=True)
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


def test_second_copy_for_another_member_of_a_queue_group_is_dropped(tmp_path: Path) -> None:
    """Guards against a client that has several members of a group and gets the copies on two of them."""

    async def test() -> None:
        async with NatsServer() as server, start_nats_relay(tmp_path, server) as it:
            client = await Client.connect(it)
            client.send(b"SUB feed workers 1", b"SUB feed workers 2", b"SUB feed others 3", b"SUB feed 4")
            await client.flush()
            subscriptions = next(iter(server.subs.values()))
            first = subscriptions.pop(b"1")
            head = b"NATS/1.0\r\nNats-Msg-Id: id-1\r\n\r\n"
            server.publish(b"feed", head + b"copy", len(head))
            subscriptions.pop(b"2")
            subscriptions[b"1"] = first
            server.publish(b"feed", head + b"copy", len(head))
            lines = await client.flush()
            sids = sorted(line.split()[2] for line in lines if line.startswith(b"HMSG"))
            assert sids == [b"2", b"3", b"4"]
            client.send(b"UNSUB 2")  # the ids stay with the other member
            await client.flush()
            server.publish(b"feed", head + b"copy", len(head))
            assert not [line for line in await client.flush() if line.startswith(b"HMSG")]

    run(test)


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
