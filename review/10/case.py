"""A server hangs with publications that are sent again, and a subscriber renews its subscription.

The publisher's server, one of six, takes its messages and answers nothing for 9 s. The relay sends them again
on another server, and the subscriber gets them. The subscriber ends its subscription and begins a new one of
the same subject in the same session. Then the first server goes on and runs what it had taken.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

from peers_line import HAS_TROUBLE, CannotRunError, Record, play, temporary_folder
from peers_nats import Bus, Client, NatsRelay, Server, start_servers

MESSAGES = 5
HANG_SECONDS = 9.0  # the pages' hangs last 5.6 to 25 s
RESENT_WITHIN_SECONDS = 7.0
WATCHED_SECONDS = 3.0
TRIES = 30


def server_of(bus: Bus, subject: bytes) -> Server:
    """Return the server that has a subscription of this subject."""
    found = next((server for server in bus.servers if server.holds(subject)), None)
    if found is None:
        message = f"no server has the subscription of {subject.decode()}"
        raise CannotRunError(message)
    return found


async def connect_publisher(relay: NatsRelay, bus: Bus, elsewhere: Server, record: Record) -> Client:
    """Connect a publisher that stands at another server than the subscriber."""
    for number in range(TRIES):
        publisher = Client(f"publisher{number}", relay.listen, record)
        await publisher.connect()
        subject = f"own.{number}".encode()
        publisher.send(b"SUB " + subject + b" 1")
        await publisher.flush()
        if server_of(bus, subject) is not elsewhere:
            return publisher
        publisher.close()
    message = "all publishers stand at the subscriber's server"
    raise CannotRunError(message)


def received(subscriber: Client) -> Counter[bytes]:
    """Return how often each message came."""
    return Counter(message.payload for message in subscriber.messages if message.subject == b"spots")


async def case(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    async with temporary_folder() as folder:
        bus = await start_servers(record)
        relay = NatsRelay(folder, bus)
        await relay.start()
        try:
            await relay.wait_until_healthy()
            subscriber = Client("subscriber", relay.listen, record)
            await subscriber.connect()
            subscriber.send(b"SUB spots 1")
            await subscriber.flush()
            publisher = await connect_publisher(relay, bus, server_of(bus, b"spots"), record)
            hanging = next(s for s in bus.servers if any(s.holds(b"own.%d" % n) for n in range(TRIES)))
            await asyncio.sleep(1)
            hung_at = time.monotonic()
            if HAS_TROUBLE:
                hanging.hang()
            for number in range(MESSAGES):
                publisher.publish(b"spots", b"id-%d" % number, b"spot %d" % number)
            while len(received(subscriber)) < MESSAGES:
                if time.monotonic() > hung_at + RESENT_WITHIN_SECONDS:
                    message = "the subscriber has not got all messages"
                    raise CannotRunError(message)
                await asyncio.sleep(0.05)
            subscriber.send(b"UNSUB 1", b"SUB spots 2")
            await subscriber.flush()
            await asyncio.sleep(max(0.0, hung_at + HANG_SECONDS - time.monotonic()))
            if HAS_TROUBLE:
                hanging.go_on()
            await asyncio.sleep(WATCHED_SECONDS)
            counts = received(subscriber)
        finally:
            await relay.stop()
        for payload, count in sorted(counts.items()):
            record.write(f"the subscriber got {payload.decode()} {count} times")
        return max(counts.values()) == 1


def main() -> None:
    """Play the case; exit with 0, 1 or 2."""
    play(case, Path(__file__).resolve().parent)


if __name__ == "__main__":
    main()
