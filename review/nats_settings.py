"""The relay's file in the cases: that of deploy/nats.toml with the cases' servers, and its clients."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from standins import NatsClient, NatsCluster, NatsServer, Record, Relay, wait_for

CLASSES = """
[[classes]]
name = "checkin"
worth = 1.0
aim_ms = 300
deadline_ms = 1200
message_aim_ms = 250
[[tenants]]
name = "others"
class = "checkin"
users = ["*"]
"""


def settings(cluster: NatsCluster) -> str:
    """Return a relay's file; what deploy/nats.toml sets to its default is left out."""
    text = (
        'listen = "127.0.0.1:0"\nrelays = 1\nsockets = 1024\nattempts = 3\nretry_after_ms = 1500\n' + CLASSES
    )
    rows = [f'[[servers]]\nid = "{server.name}"\naddr = "{server.address}"\n' for server in cluster.servers]
    return text + "".join(rows)


def connect_apart(
    record: Record, relay: Relay, cluster: NatsCluster, name: str, apart_from: NatsServer | None, *,
    verbose: bool, on_frame: Callable[[str, bytes], None],
) -> tuple[NatsClient, NatsServer]:  # fmt: skip
    """Connect a client that the relay places on another server than `apart_from`."""
    assert relay.address is not None
    for number in itertools.count(1):
        user = f"{name}-{number}"
        client = NatsClient(record, relay.address, user, verbose=verbose, on_frame=on_frame)
        wait_for(lambda user=user: cluster.server_of(user), 5, f"{user} is placed nowhere")
        server = cluster.server_of(user)
        if server is not None and server is not apart_from:
            record.add(user, f"is placed on {server.name}")
            return client, server
        client.close()
    raise AssertionError
