"""Publications that were acknowledged, and confirmed by a flush, are lost with their gate server."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from nats_settings import connect_apart, settings  # noqa: E402
from standins import NatsClient, NatsCluster, NatsServer, Record, Relay, SubscriberEndedError, main  # noqa: E402

SERVERS = 6  # one of them is lost: 17%
LOST_SECONDS = 5.0
PUBLICATIONS = 120
INTERVAL_SECONDS = 0.1
FLUSH_EVERY = 10  # publications: a PING, whose PONG confirms all that was sent before it
LOST_BEFORE = 20  # the publication before which the server is lost
SETTLE_SECONDS = 4.0


def publish(record: Record, publisher: NatsClient, server: NatsServer, *, has_trouble: bool) -> None:
    """Publish, and let the publisher's server be lost for a while."""
    lost_at = 0.0
    for number in range(PUBLICATIONS):
        if has_trouble and number == LOST_BEFORE:
            server.be_lost()
            lost_at = time.monotonic()
        if lost_at and time.monotonic() >= lost_at + LOST_SECONDS:
            server.return_cold()
            lost_at = 0.0
        payload = str(number).encode()
        record.add("publisher", f"sends PUB {number}")
        publisher.send(f"PUB feed {len(payload)}", payload)
        if (number + 1) % FLUSH_EVERY == 0:
            record.add("publisher", "sends PING")
            publisher.send("PING")
        time.sleep(INTERVAL_SECONDS)


def run(record: Record, *, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    cluster = NatsCluster(record, SERVERS)
    relay = Relay(record, settings(cluster))
    acknowledgements: list[bool] = []  # of the publications in their order: whether it was +OK
    flushed: list[int] = []  # of the PINGs in their order: the publications acknowledged before its PONG
    delivered: list[int] = []

    def subscriber_frame(line: str, payload: bytes) -> None:
        if line.startswith(("MSG", "HMSG")):
            delivered.append(int(payload))
            record.add("subscriber", f"got {payload.decode()}")

    def publisher_frame(line: str, _payload: bytes) -> None:
        record.add("publisher", f"got {line[:60]}")
        if line.startswith(("+OK", "-ERR")):
            acknowledgements.append(line == "+OK")
        elif line == "PONG":
            flushed.append(len(acknowledgements))

    try:
        subscriber, home = connect_apart(
            record, relay, cluster, "subscriber", None, verbose=False, on_frame=subscriber_frame
        )
        subscriber.send("SUB feed 1")
        publisher, server = connect_apart(
            record, relay, cluster, "publisher", home, verbose=True, on_frame=publisher_frame
        )
        time.sleep(1.0)
        acknowledgements.clear()  # that of CONNECT
        publish(record, publisher, server, has_trouble=has_trouble)
        time.sleep(SETTLE_SECONDS)
        if subscriber.ended.is_set():
            raise SubscriberEndedError
        # PING number N was sent behind FLUSH_EVERY * N publications.
        flushed_count = FLUSH_EVERY * len(flushed)
        confirmed = {
            number for number, is_ok in enumerate(acknowledgements) if is_ok and number < flushed_count
        }
        lost = sorted(confirmed - {int(payload) for payload in cluster.run_payloads})
        never_delivered = len(confirmed - set(delivered))
        text = f"{len(confirmed)} of {PUBLICATIONS} answered +OK and flushed, of these {len(lost)} never run"
        text += f" and {never_delivered} never delivered"
        record.add("case", f"{text}: {lost}")
        print(text)
        return not lost
    finally:
        relay.stop()


if __name__ == "__main__":
    sys.exit(main(FOLDER, run))
