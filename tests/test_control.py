"""Control machines and relays in virtual time: members of the roster, leases, and the effects of faults."""

from __future__ import annotations

import msgspec
import pytest
from control_regions import (
    all_may_act,
    all_relays_count,
    attachment_of,
    has_agreed,
    leader_of,
    machine_of,
    running_names,
    settled_world,
)

from violetdoor.control.messages import Heartbeat, encode
from violetdoor.control.relay import control_selection
from violetdoor.control.relay.actions import Action, Send
from violetdoor.control.relay.snapshot import AttachmentSnapshot
from violetdoor.faults.control_checks import ControlChecks
from violetdoor.faults.control_world import Relay

KEYS = tuple(f"k{n}" for n in range(16))


def test_each_key_has_one_owner_that_may_act() -> None:
    world = settled_world(8)
    for key in KEYS:
        owners = [
            r.name for r in world.running() if attachment_of(world, r.name).owns(key, world.relay_clock(r))
        ]
        assert len(owners) == 1
        assert attachment_of(world, "a-r0").owner(key) == owners[0]


@pytest.mark.parametrize(("silent", "within"), [(False, 3.0), (True, 5.0)])
def test_a_failed_relay_leaves_the_roster_and_its_keys_get_another_owner(
    *, silent: bool, within: float
) -> None:
    world = settled_world(8)
    owner = attachment_of(world, "a-r0").owner("k1")
    assert owner is not None
    world.kill_relay(owner, silent)
    checks = ControlChecks(world, 1, KEYS)
    world.after_step = checks.check_world
    assert (elapsed_seconds := world.run_until(lambda: has_agreed(world), within)) is not None
    assert elapsed_seconds > 1.9
    assert world.run_until(lambda: any(
        attachment_of(world, r.name).owns("k1", world.relay_clock(r)) for r in world.running()
    ), 8.0) is not None  # fmt: skip
    assert checks.broken is None


def test_a_relay_that_leaves_is_out_of_the_roster_within_a_second() -> None:
    world = settled_world(8, regions=("a", "b"))
    world.leave("a-r3")
    assert world.run_until(lambda: has_agreed(world), 1.0) is not None
    assert world.run_until(lambda: all_relays_count(world, "a", 7, by="b"), 4.0) is not None


def test_a_failed_rack_is_removed_in_few_versions_and_no_other_relay_is() -> None:
    world = settled_world(60)
    version = attachment_of(world, "a-r59").roster.version  # type: ignore[union-attr]
    for n in range(40):
        world.kill_relay(f"a-r{n}", silent=True)
    assert world.run_until(lambda: has_agreed(world), 6.0) is not None
    after = attachment_of(world, "a-r59").roster.version  # type: ignore[union-attr]
    assert 1 <= after.index - version.index <= 30
    assert not [e for r in world.running() for e in r.events if e[1] == "attach.lease_expired"]


def test_a_restarted_relay_replaces_its_previous_incarnation_at_once() -> None:
    world = settled_world(6)
    before = attachment_of(world, "a-r2").relay
    world.kill_relay("a-r2")
    world.start_relay("a-r2", "a", "a-z2")
    assert world.run_until(
        lambda: all(
            attachment_of(world, name).roster.members["a-r2"].instance != before.instance  # type: ignore[union-attr]
            for name in running_names(world)
        ),
        3.0,
    ) is not None  # fmt: skip
    checks = ControlChecks(world, 1, KEYS)
    world.after_step = checks.check_world
    world.run(10)
    assert checks.broken is None
    assert all_may_act(world)


def test_the_second_of_two_live_relays_of_one_name_is_rejected() -> None:
    world = settled_world(4)
    first = world.relays.pop("a-r1")
    world.relays["first"] = first
    second = world.start_relay("a-r1", "a")
    world.run(12)
    assert first.attachment is not None
    assert first.attachment.may_act(world.relay_clock(first))
    assert second.attachment is not None
    assert not second.attachment.may_act(world.relay_clock(second))
    assert second.attachment.counters["refused_name"] > 0


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("is_leader", [False, True])
def test_no_relay_loses_its_lease_when_a_control_machine_fails(*, is_leader: bool, silent: bool) -> None:
    world = settled_world(12)
    leader = leader_of(world)
    victim = leader if is_leader else next(name for name in world.groups["a"] if name != leader)
    checks = ControlChecks(world, 1, KEYS)
    world.after_step = checks.check_world
    world.kill_control(victim, silent)
    started_at = world.now
    world.run(20)
    lost = [
        e for r in world.running() for e in r.events if e[0] > started_at and e[1] == "attach.lease_expired"
    ]
    assert not lost
    assert checks.broken is None
    assert has_agreed(world)
    # A leader exists and writes rosters: a later change reaches all relays.
    world.kill_relay("a-r4")
    assert world.run_until(lambda: has_agreed(world), 5.0) is not None


def test_relays_return_to_a_restarted_control_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control_selection, "INITIAL_RETURN_DELAY_SECONDS", 6.0)
    world = settled_world(12)
    world.run(60)  # after the founding, until all relays are at their preferred control machine
    before = {name: len(machine_of(world, name).sessions.by_name) for name in world.groups["a"]}
    victim = max(before, key=lambda name: before[name])
    world.kill_control(victim)
    world.run(20)
    world.start_control(victim)
    started_at = world.now
    world.run(60)
    assert {name: len(machine_of(world, name).sessions.by_name) for name in world.groups["a"]} == before
    assert before[victim] > 0
    assert not [e for e in world.control_events if e[0] > started_at and e[2] == "control.members_changed"]
    assert not [
        e for r in world.running() for e in r.events if e[0] > started_at and e[1] == "attach.lease_expired"
    ]
    world.leave("a-r3")
    world.run(1)
    assert [e[3]["departed"] for e in world.control_events if e[2] == "control.members_changed"] == [["a-r3"]]


def test_all_relays_hold_a_lease_again_soon_after_two_of_five_machines_fail() -> None:
    world = settled_world(10, machines=5)
    leader = leader_of(world)
    for name in [leader, next(n for n in world.groups["a"] if n != leader)]:
        world.kill_control(name, silent=True)
    world.run(6)
    assert world.run_until(lambda: all_may_act(world), 6.0) is not None
    assert world.run_until(lambda: has_agreed(world), 6.0) is not None


def test_a_paused_leader_writes_no_roster_that_takes_effect() -> None:
    world = settled_world(8)
    leader = leader_of(world)
    checks = ControlChecks(world, 1, KEYS)
    world.after_step = checks.check_world
    world.stop(leader)
    world.run(12)
    world.kill_relay("a-r5")
    world.run(0.5)
    world.resume(leader)
    world.run(20)
    assert checks.broken is None
    assert has_agreed(world)
    versions = {machine_of(world, name).replica.version for name in world.groups["a"]}
    assert len(versions) == 1


def test_a_relay_retains_its_roster_without_any_control_machine() -> None:
    world = settled_world(6)
    relay = world.relays["a-r0"]
    attachment = attachment_of(world, "a-r0")
    connects = attachment.counters["connects"]
    for name in world.groups["a"]:
        world.kill_control(name)
    world.run(30)
    now = world.relay_clock(relay)
    counts = attachment.member_counts(now)
    assert counts.total == 6
    assert 28 < counts.age_seconds < 32
    assert not attachment.may_act(now)
    assert not any(attachment.owns(key, now) for key in KEYS)
    # At each of the three machines: five attempts in the first 8 s, and then one every 2 to 4 s.
    assert attachment.counters["connects"] - connects <= 3 * (5 + 22 / 2)
    for name in world.groups["a"]:
        world.start_control(name)
    # The group was founded again: its roster is a new history, in which no key is owned before it settles.
    assert world.run_until(lambda: has_agreed(world), 20.0) is not None
    assert attachment.roster is not None
    assert attachment.member_counts(world.relay_clock(relay)).total == 6
    assert not any(attachment.owns(key, world.relay_clock(relay)) for key in KEYS)
    world.run(9)
    assert any(attachment_of(world, r.name).owns("k0", world.relay_clock(r)) for r in world.running())


def test_the_shared_map_reaches_all_relays_and_survives_a_restart_of_the_group() -> None:
    world = settled_world(4, regions=("a", "b"))
    world.set_shared_value("a-r0", "ban:s1", 7.0)

    def known() -> bool:
        return all(attachment_of(world, r.name).shared_map.get("ban:s1") == 7.0 for r in world.running())

    assert world.run_until(known, 1.0) is not None
    for name in world.groups["a"]:
        world.kill_control(name)
    world.run(1)
    world.set_shared_value("a-r1", "ban:s1", None)
    for name in world.groups["a"]:
        world.start_control(name)
    assert world.run_until(
        lambda: all(attachment_of(world, r.name).shared_map.get("ban:s1") is None for r in world.running()), 20.0
    ) is not None  # fmt: skip
    assert all("ban:s1" in world.controls[name].host.node.map.entries for name in world.groups["a"])  # type: ignore[union-attr]


def test_a_partitioned_region_continues_and_is_followed_once_the_network_heals() -> None:
    world = settled_world(5, regions=("a", "b", "c"))
    inside = [*world.groups["c"], *running_names(world, "c")]
    outside = [
        name for region in ("a", "b") for name in [*world.groups[region], *running_names(world, region)]
    ]
    world.set_links(inside, outside, cut=True)
    world.kill_relay("c-r1")
    assert world.run_until(lambda: has_agreed(world, "c"), 5.0) is not None
    world.kill_relay("a-r1")
    world.run(60)
    relay = world.relays["a-r0"]
    counts = attachment_of(world, "a-r0").member_counts(world.relay_clock(relay))
    assert counts.by_region["c"].total == 5
    assert 55 < counts.by_region["c"].age_seconds < 70
    assert counts.by_region["b"].age_seconds == 0
    assert all_may_act(world, "c")
    assert all_may_act(world, "a")
    world.heal()
    assert world.run_until(
        lambda: all_relays_count(world, "c", 4, by="a") and all_relays_count(world, "a", 4, by="c") and all_relays_count(world, "c", 4, by="b"),
        10.0,
    ) is not None  # fmt: skip


def test_a_failed_relay_is_counted_out_in_all_regions() -> None:
    world = settled_world(5, regions=("a", "b", "c"))
    world.kill_relay("b-r2", silent=True)
    assert (
        world.run_until(
            lambda: all_relays_count(world, "b", 4, by="a") and all_relays_count(world, "b", 4, by="c"), 17.0
        )
        is not None
    )


def test_a_relay_looks_up_the_owner_of_another_regions_key_at_its_control_machine() -> None:
    world = settled_world(4, regions=("a", "b"))
    attachment, relay = attachment_of(world, "a-r0"), world.relays["a-r0"]
    key = next(f"x{n}" for n in range(50) if attachment.owner(f"x{n}") is None)
    assert attachment.lookup(key) is not None
    world.carry_out_relay_actions(relay)
    world.run(0.1)
    lookup_event = relay.events[-1]
    assert lookup_event[1] == "looked up"
    assert lookup_event[2]["region"] == "b"
    assert lookup_event[2]["owner"] == attachment_of(world, "b-r0").owner(key)


def test_an_idle_relay_sends_one_short_heartbeat_a_second() -> None:
    world = settled_world(20)
    sent: list[object] = []
    carry_out_relay_action = world.carry_out_relay_action

    def record_and_carry_out(relay: Relay, action: Action) -> None:
        if relay.name == "a-r0" and isinstance(action, Send):
            sent.append(action.message)
        carry_out_relay_action(relay, action)

    world.carry_out_relay_action = record_and_carry_out  # type: ignore[method-assign]
    world.run(10)
    assert 9 <= len(sent) <= 11
    assert all(isinstance(message, Heartbeat) for message in sent)
    assert all(len(encode(message)) <= 26 for message in sent)


def test_an_upgrade_continues_the_incarnation_without_its_lease() -> None:
    world = settled_world(4)
    relay = world.relays["a-r0"]
    old = attachment_of(world, "a-r0")
    state = old.export_snapshot()
    world.carry_out_relay_actions(relay)
    assert not old.may_act(world.relay_clock(relay))
    relay = world.start_relay("a-r0", "a", "a-z0")
    new = attachment_of(world, "a-r0")
    new.import_snapshot(
        msgspec.msgpack.decode(encode(state), type=AttachmentSnapshot), world.relay_clock(relay)
    )
    assert new.relay.instance == old.relay.instance
    assert world.run_until(lambda: all_may_act(world), 2.0) is not None
    world.run(3)
    assert has_agreed(world)
    assert new.counters["snapshots"] == 0
