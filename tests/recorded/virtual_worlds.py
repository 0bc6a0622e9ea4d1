"""Digests of all messages that virtual networks carry, in the order in which they are sent.

Every message sent is encoded: datagrams, requests and responses, messages within a control group and on
sessions. A message that a cut link or random loss drops when it is sent is not included. No random draw
depends on hash order: the digests were the same under PYTHONHASHSEED 0, 1, 2, 7 and 4711.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from msgspec import Struct

from violetdoor.faults import control_explore, explore
from violetdoor.faults.control_world import ControlWorld
from violetdoor.faults.virtual import World
from violetdoor.fleet.messages import encode

SEEDS = (1, 2, 3)


class SentMessages:
    """A digest and count of the messages sent."""

    def __init__(self) -> None:
        self.hash, self.count = hashlib.blake2b(digest_size=16), 0

    def add(self, at: float, message: Any) -> None:
        data = encode(message)
        self.hash.update(f"{at:.6f} {len(data)} ".encode() + data)
        self.count += 1

    def result(self) -> dict[str, Any]:
        return {"messages": self.count, "digest": self.hash.hexdigest()}


@contextmanager
def recording() -> Iterator[SentMessages]:
    """Record all messages that worlds send."""
    sent, schedule, send = SentMessages(), World._schedule, ControlWorld._send_on_connection

    def recorded_schedule(world: World, at: float, callback: Any, *values: Any) -> None:
        for value in values:
            if isinstance(value, Struct):
                sent.add(at, value)
        schedule(world, at, callback, *values)

    def recorded_send(world: ControlWorld, connection: Any, queue: Any, message: Any) -> None:
        if isinstance(message, Struct):
            sent.add(world.now, message)
        send(world, connection, queue, message)

    with (
        mock.patch.object(World, "_schedule", recorded_schedule),
        mock.patch.object(ControlWorld, "_send_on_connection", recorded_send),
    ):
        yield sent


def fleet_run(seed: int) -> dict[str, Any]:
    """Run a random fault schedule of a fleet; return the messages sent and each node's durable state."""
    with recording() as sent:
        schedule = explore.Schedule(seed)
        assert schedule.run() is None
    durable_states = {
        host.name: hashlib.blake2b(encode(host.stored_state), digest_size=16).hexdigest()
        for host in schedule.world.hosts.values()
    }
    return sent.result() | {"kept": durable_states}


def control_run(seed: int) -> dict[str, Any]:
    """Run a random fault schedule of control groups and relays; return the messages sent."""
    with recording() as sent:
        assert control_explore.Schedule(seed).run() is None
    return sent.result()


def handed_over_by_fleet() -> str:
    """Return the handover state of a member of an idle fleet of three."""
    world = World(11)
    names = ["n0", "n1", "n2"]
    for name in names:
        world.start(name, names, names)
    world.run(8.0)
    node = world.hosts["n1"].node
    assert node is not None
    assert world.settled(names)
    node.set_entry("ban:server-1", 0.5, world.clock(world.hosts["n1"]))
    return encode(node.export_state()).hex()


def handed_over_by_attachment() -> str:
    """Return the handover state of an attached relay of one region."""
    world = ControlWorld(12)
    world.add_region("a", 3)
    for name in world.controls:
        world.start_control(name)
    for number in range(3):
        world.start_relay(f"r{number}", "a", f"z{number}")
    world.run(20.0)
    world.set_shared_value("r1", "ban:server-1", 0.5)
    world.kill_relay("r2")
    world.run(3.0)
    relay = world.relays["r1"]
    assert relay.attachment is not None
    assert relay.attachment.roster is not None
    return encode(relay.attachment.export_snapshot()).hex()
