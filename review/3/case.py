"""A subscriber sees publications twice that the relay sent again while their gate server hung."""

from __future__ import annotations

import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from nats_settings import connect_apart, settings  # noqa: E402
from standins import NatsCluster, Record, Relay, SubscriberEndedError, main  # noqa: E402

SERVERS = 6  # one of them hangs: 17%
HANG_SECONDS = 20.0
PUBLICATIONS = 250
INTERVAL_SECONDS = 0.1
HANG_BEFORE = 20  # the publication before which the server hangs
SETTLE_SECONDS = 4.0


def run(record: Record, *, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    cluster = NatsCluster(record, SERVERS)
    relay = Relay(record, settings(cluster))
    delivered: list[int] = []

    def subscriber_frame(line: str, payload: bytes) -> None:
        if line.startswith(("MSG", "HMSG")):
            delivered.append(int(payload))
            record.add("subscriber", f"got {payload.decode()}")

    try:
        subscriber, home = connect_apart(
            record, relay, cluster, "subscriber", None, verbose=False, on_frame=subscriber_frame
        )
        subscriber.send("SUB feed 1")
        publisher, server = connect_apart(
            record, relay, cluster, "publisher", home, verbose=False, on_frame=lambda _line, _payload: None
        )
        time.sleep(1.0)
        hung_at = 0.0
        for number in range(PUBLICATIONS):
            if has_trouble and number == HANG_BEFORE:
                server.hang()
                hung_at = time.monotonic()
            if hung_at and time.monotonic() >= hung_at + HANG_SECONDS:
                server.go_on()
                hung_at = 0.0
            head = f"NATS/1.0\r\nNats-Msg-Id: feed-{number}\r\n\r\n".encode()
            payload = head + str(number).encode()
            record.add("publisher", f"sends HPUB {number}")
            publisher.send(f"HPUB feed {len(head)} {len(payload)}", payload)
            time.sleep(INTERVAL_SECONDS)
        time.sleep(SETTLE_SECONDS)
        if subscriber.ended.is_set():
            raise SubscriberEndedError
        repeated = sorted(number for number, times in Counter(delivered).items() if times > 1)
        text = f"{len(set(delivered))} of {PUBLICATIONS} delivered, of these {len(repeated)} more than once"
        record.add("case", f"{text}: {repeated}")
        print(text)
        return not repeated
    finally:
        relay.stop()


if __name__ == "__main__":
    sys.exit(main(FOLDER, run))
