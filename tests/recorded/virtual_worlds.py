"""Digests of all that virtual networks carry, in its order.

Every message that is put on its way is encoded: datagrams, calls and their answers, messages within a control
group and on sessions. What a cut link or chance drops at its start is not put on its way. No draw goes by the
order of hashes: the digests were the same under PYTHONHASHSEED 0, 1, 2, 7 and 4711.
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


class Carried:
    """What was put on its way: a digest of its bytes, and how many messages there were."""

    def __init__(self) -> None:
        self.hash, self.count = hashlib.blake2b(digest_size=16), 0

    def add(self, at: float, message: Any) -> None:
        data = encode(message)
        self.hash.update(f"{at:.6f} {len(data)} ".encode() + data)
        self.count += 1

    def result(self) -> dict[str, Any]:
        return {"messages": self.count, "digest": self.hash.hexdigest()}


@contextmanager
def recording() -> Iterator[Carried]:
    """Take down all that worlds carry."""
    carried, schedule, send = Carried(), World._schedule, ControlWorld._send_on_connection

    def recorded_schedule(world: World, at: float, what: Any, *values: Any) -> None:
        for value in values:
            if isinstance(value, Struct):
                carried.add(at, value)
        schedule(world, at, what, *values)

    def recorded_send(world: ControlWorld, connection: Any, way: Any, message: Any) -> None:
        if isinstance(message, Struct):
            carried.add(world.now, message)
        send(world, connection, way, message)

    with (
        mock.patch.object(World, "_schedule", recorded_schedule),
        mock.patch.object(ControlWorld, "_send_on_connection", recorded_send),
    ):
        yield carried


def fleet_run(seed: int) -> dict[str, Any]:
    """A hostile schedule of a fleet: what was carried, and what each node keeps at its end."""
    with recording() as carried:
        schedule = explore.Schedule(seed)
        assert schedule.run() is None
    kept = {
        host.name: hashlib.blake2b(encode(host.stored_state), digest_size=16).hexdigest()
        for host in schedule.world.hosts.values()
    }
    return carried.result() | {"kept": kept}


def control_run(seed: int) -> dict[str, Any]:
    """A hostile schedule of control groups and relays: what was carried."""
    with recording() as carried:
        assert control_explore.Schedule(seed).run() is None
    return carried.result()


def handed_over_by_fleet() -> str:
    """What a member of a quiet fleet of three hands to its next process."""
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
    """What an attached relay of one region hands to its next process."""
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
