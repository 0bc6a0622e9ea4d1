"""Regions of control machines and relays in virtual time, and queries about them, for tests."""

from __future__ import annotations

from violetdoor.control.machine import ControlMachine
from violetdoor.control.relay.attachment import Attachment
from violetdoor.faults.control_world import ControlWorld


def settled_world(
    relays: int, machines: int = 3, regions: tuple[str, ...] = ("a",), seed: int = 1
) -> ControlWorld:
    """Return a world in which all relays have a lease and the first roster has settled."""
    world = ControlWorld(seed)
    for region in regions:
        world.add_region(region, machines)
    for name in world.controls:
        world.start_control(name)
    for region in regions:
        for n in range(relays):
            world.start_relay(f"{region}-r{n}", region, f"{region}-z{n % 3}")
    assert world.run_until(lambda: all(has_agreed(world, region) for region in regions), 30) is not None
    world.run(8)
    return world


def running_names(world: ControlWorld, region: str = "a") -> list[str]:
    return [relay.name for relay in world.running(region)]


def has_agreed(world: ControlWorld, region: str = "a") -> bool:
    return world.relays_agree(region, running_names(world, region))


def attachment_of(world: ControlWorld, name: str) -> Attachment:
    attachment = world.relays[name].attachment
    assert attachment is not None
    return attachment


def all_relays_count(world: ControlWorld, region: str, count: int, by: str) -> bool:
    """Return whether all relays of the region `by` count `count` relays in `region`."""
    for relay in world.running(by):
        assert relay.attachment is not None
        known = relay.attachment.member_counts(world.relay_clock(relay)).by_region.get(region)
        if known is None or known.total != count:
            return False
    return True


def leader_of(world: ControlWorld, region: str = "a") -> str:
    machine = next(c.machine for c in world.controls.values() if c.region == region and c.machine is not None)
    assert machine.group is not None
    assert machine.group.leader is not None
    return machine.group.leader


def all_may_act(world: ControlWorld, region: str = "a") -> bool:
    return all(
        relay.attachment is not None and relay.attachment.may_act(world.relay_clock(relay))
        for relay in world.running(region)
    )


def machine_of(world: ControlWorld, name: str) -> ControlMachine:
    machine = world.controls[name].machine
    assert machine is not None
    return machine
