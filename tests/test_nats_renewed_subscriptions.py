"""Second copies of messages for a client that has renewed its subscription, or comes in a new session."""

from __future__ import annotations

from pathlib import Path

import pytest
from nats_peers import Client, start_nats_relay, write
from standins import NatsServer, relay, run, wait_until

from violetdoor.fronts.nats.message_ids import RETENTION_SECONDS, FirstDeliveries
from violetdoor.net.counters import Counters

JETSTREAM_REPLY = b"$JS.ACK.stream.consumer.1.1.1.1.0"


def publish(server: NatsServer, identity: str, reply: bytes = b"") -> None:
    """Deliver a message with an id to all that subscribe to its subject."""
    head = b"NATS/1.0\r\nNats-Msg-Id: %b\r\n\r\n" % identity.encode()
    server.publish(b"feed", head + identity.encode(), len(head), reply)


async def received(client: Client) -> list[bytes]:
    """Return the sids of the messages that the client has got by now."""
    return [line.split()[2] for line in await client.flush() if line.startswith((b"HMSG", b"MSG"))]


@pytest.mark.parametrize(
    ("first", "end", "renewed"),
    [
        ([b"SUB feed 1"], [b"UNSUB 1"], [b"SUB feed 2"]),
        ([b"SUB feed 1"], [b"UNSUB 1"], [b"SUB feed 1"]),
        ([b"SUB feed 1"], [b"UNSUB 1"], [b"SUB > 2"]),
        ([b"SUB feed 1"], [], [b"SUB feed 2", b"UNSUB 1"]),
        ([b"SUB feed 1", b"UNSUB 1 1"], [], [b"SUB feed 2", b"UNSUB 2 1"]),
        ([b"SUB feed workers 1"], [b"UNSUB 1"], [b"SUB feed workers 2", b"SUB feed workers 3"]),
    ],
    ids=["new-sid", "same-sid", "wildcard", "before-the-end", "count", "queue-group"],
)
def test_second_copy_after_a_renewal_is_dropped(
    tmp_path: Path, first: list[bytes], end: list[bytes], renewed: list[bytes]
) -> None:
    """Guards against duplicates for a client that ends its subscription and begins another."""

    async def test() -> None:
        async with NatsServer() as server, start_nats_relay(tmp_path, server) as it:
            client = await Client.connect(it)
            client.send(*first)
            await client.flush()
            publish(server, "id-1")
            assert await received(client) == [b"1"]
            client.send(*end)
            client.send(*renewed)
            await client.flush()
            publish(server, "id-1")
            assert not await received(client)
            await client.flush()  # a count that the second copy used up is restored
            publish(server, "id-2")
            assert len(await received(client)) == 1
            assert (await it.counters())["messages_repeated"] == 1

    run(test)


def test_second_copy_in_a_new_session_is_dropped(tmp_path: Path) -> None:
    """Guards against duplicates for a client that connects anew before a stopped server continues."""

    async def test() -> None:
        async with NatsServer() as server, start_nats_relay(tmp_path, server) as it:
            client = await Client.connect(it, user="app")
            client.send(b"SUB feed 1")
            await client.flush()
            publish(server, "id-1")
            assert await received(client) == [b"1"]
            client.writer.close()
            await wait_until(lambda: not server.subs)
            client = await Client.connect(it, user="app")
            client.send(b"SUB feed 1")
            stranger = await Client.connect(it, user="")
            stranger.send(b"SUB feed 1")
            await stranger.flush()
            await client.flush()
            publish(server, "id-1")
            assert not await received(client)
            assert await received(stranger) == [b"1"], "ids of other users do not count"

    run(test)


def test_publication_that_comes_again_in_a_new_session_is_delivered_once(tmp_path: Path) -> None:
    """Guards against duplicates of an id that comes again after its client has left without an answer."""

    async def test() -> None:
        async with NatsServer() as server, start_nats_relay(tmp_path, server) as it:
            subscriber = await Client.connect(it)
            subscriber.send(b"SUB feed 1")
            await subscriber.flush()
            for session in range(2):
                publisher = await Client.connect(it)
                publisher.publish("text", identity="id-1")
                await wait_until(lambda: len(server.published) == session + 1)  # noqa: B023
                publisher.writer.close()
            assert await received(subscriber) == [b"1"]

    run(test)


def test_second_copy_at_the_other_process_of_an_upgrade_is_dropped(tmp_path: Path) -> None:
    """Guards against duplicates for a client that comes to the process that takes over."""

    async def test() -> None:
        console = 'console = "127.0.0.1:0"'
        async with NatsServer() as server:
            arguments = ("--config", str(write(tmp_path, server, discovery=console)))
            async with relay(*arguments, TMPDIR=str(tmp_path)) as old:
                client = await Client.connect(old)
                client.send(b"SUB feed 1")
                await client.flush()
                for number in range(100):
                    publish(server, f"id-{number}")
                assert len(await received(client)) == 100
                client.writer.close()
                await wait_until(lambda: not server.subs)
                async with relay(*arguments, TMPDIR=str(tmp_path)) as new:
                    await new.wait_for_health()
                    await old.wait_for_health(False)
                    # What the old process has delivered is reported every 200 ms; each id is tried once.
                    copies = 1
                    tried = 0
                    while copies and tried < 100:
                        client = await Client.connect(new)
                        client.send(b"SUB feed 1")
                        await client.flush()
                        publish(server, f"id-{tried}")
                        copies = len(await received(client))
                        client.writer.close()
                        await wait_until(lambda: not server.subs)
                        tried += 1
                    assert not copies
                    assert (await new.counters())["messages_repeated"] == 1

    run(test)


def test_other_subscriptions_get_their_copies(tmp_path: Path) -> None:
    """Guards against losses: each subscription that stood at the first delivery is owed the message."""

    async def test() -> None:
        async with NatsServer() as server, start_nats_relay(tmp_path, server) as it:
            client = await Client.connect(it)
            client.send(b"SUB feed 1", b"UNSUB 1 1", b"SUB > 2", b"SUB feed 3")
            await client.flush()
            publish(server, "id-1")
            assert sorted(await received(client)) == [b"1", b"2", b"3"]
            client.send(b"SUB feed 4")
            await client.flush()
            publish(server, "id-1", JETSTREAM_REPLY)
            assert await received(client) == [b"4"], "a stored message, for a consumer that begins later"

    run(test)


def test_first_deliveries_are_kept_for_the_retention_time_and_bounded() -> None:
    counts = Counters()
    deliveries = FirstDeliveries(counts, max_per_generation=100)
    deliveries.record(-1, 0.0)
    deliveries.record(-2, 0.0)
    late = deliveries.begin_subscription()
    deliveries.record(-3, RETENTION_SECONDS)
    assert deliveries.precedes(-1, late)
    assert not deliveries.precedes(-3, late)
    deliveries.record(-4, 2 * RETENTION_SECONDS)
    assert not deliveries.precedes(-1, late), "forgotten"
    assert not counts["message_ids_forgotten_early"]
    for message in range(1000):
        deliveries.record(message, 2 * RETENTION_SECONDS)
    later = deliveries.begin_subscription()
    assert counts["message_ids_forgotten_early"] > 0
    known = [message for message in range(1000) if deliveries.precedes(message, later)]
    assert 100 <= len(known) <= 200
    assert known[-1] == 999
