"""Sessions at one control machine: admission, leases, bounds and requests out of place."""

from __future__ import annotations

from random import Random

import pytest

from violetdoor.control.actions import CloseSession, MachineConfig, MachineLimits, SendToSession
from violetdoor.control.group import GroupState
from violetdoor.control.machine import ControlMachine
from violetdoor.control.messages import (
    Attach,
    Heartbeat,
    HeartbeatAck,
    Leave,
    Lookup,
    PutEntries,
    Rejected,
    Relay,
    Resync,
    RosterDeltas,
    SessionRequest,
    SessionResponse,
    SnapshotChunk,
    Version,
)
from violetdoor.fleet.shared_map import SharedMap


def settled_machine(limits: MachineLimits | None = None, now: float = 0.0) -> ControlMachine:
    """A control machine that is alone in its group, and has written its first roster."""
    plan = MachineConfig("c", "a", {"a": (("h", 1),)}, limits or MachineLimits())
    machine = ControlMachine(plan, Random(1), now, SharedMap("c"))
    alone = GroupState(
        epoch=7,
        term=1,
        incarnation=1,
        members=("c",),
        leader="c",
        is_leader=True,
        lease_expires_at=1e9,
        prior_leases_expired=True,
    )
    machine.group_changed(alone, now)
    for _ in range(40):
        now += 0.25
        machine.wake(now)
    assert machine.replica.version is not None
    machine.take_actions()
    return machine


def attach(
    name: str = "r", instance: int = 1, attempt: int = 1, region: str = "a", protocol_version: int = 1
) -> Attach:
    return Attach(protocol_version, region, Relay(name, instance, "h", 1), attempt)


def responses_to(machine: ControlMachine, session: int) -> list[SessionResponse]:
    actions = machine.take_actions()
    sent = [action for action in actions if isinstance(action, SendToSession)]
    return [action.message for action in sent if action.session == session]


def closed_reasons(machine: ControlMachine) -> list[str]:
    return [action.reason for action in machine.take_actions() if isinstance(action, CloseSession)]


@pytest.mark.parametrize(
    ("message", "reason"),
    [
        (attach(region="b"), "region"),
        (attach(protocol_version=2), "version"),
        (Attach(1, "a", Relay("r", 1, "h", 1), 1, Version(7, 9, 0)), "behind"),
    ],
)
def test_an_attach_that_does_not_match_the_machine_is_rejected(message: Attach, reason: str) -> None:
    machine = settled_machine()
    machine.session_opened(1, "x", 20.0)
    machine.session_message_received(1, message, 20.0)
    rejected = responses_to(machine, 1)[0]
    assert isinstance(rejected, Rejected)
    assert rejected.reason == reason
    assert not machine.sessions.by_number


def test_attaches_beyond_the_rate_are_rejected_with_retry_after() -> None:
    machine = settled_machine(MachineLimits(attaches_per_second=10, attach_burst=5))
    responses = []
    for n in range(20):
        machine.session_opened(n, "x", 20.0)
        machine.session_message_received(n, attach(f"r{n}"), 20.0)
        responses.append(responses_to(machine, n)[0])
    rejected = [message for message in responses if isinstance(message, Rejected)]
    assert len(rejected) == 15
    assert all(message.reason == "busy" for message in rejected)
    assert all(1.0 <= message.retry_after_seconds <= 2.0 for message in rejected)
    assert machine.status(20.0).counters["refused_busy"] == 15


def test_a_session_beyond_the_limit_is_rejected() -> None:
    machine = settled_machine(MachineLimits(max_sessions=2))
    for n in range(3):
        machine.session_opened(n, "x", 20.0)
    assert [message.reason for message in responses_to(machine, 2) if isinstance(message, Rejected)] == [
        "full"
    ]
    assert len(machine.sessions.by_number) == 2


@pytest.mark.parametrize(
    ("message", "reason"),
    [
        (Heartbeat(1, None), "unexpected"),
        (attach("r" * 90), "relay"),
        (Leave(), "unexpected"),
        (Lookup(1, "k"), "unexpected"),
        (PutEntries(()), "unexpected"),
        (Resync(), "unexpected"),
    ],
)
def test_a_request_out_of_place_closes_its_session_alone(message: SessionRequest, reason: str) -> None:
    machine = settled_machine()
    machine.session_opened(1, "x", 20.0)
    machine.session_opened(2, "y", 20.0)
    machine.session_message_received(1, message, 20.0)
    assert closed_reasons(machine) == [reason]
    assert list(machine.sessions.by_number) == [2]
    assert machine.status(20.0).counters[f"closed_{reason}"] == 1


def test_a_session_that_is_behind_gets_no_lease_and_then_one_snapshot() -> None:
    machine = settled_machine()
    machine.session_opened(1, "x", 20.0)
    machine.session_message_received(1, attach(), 20.0)
    machine.wake(20.3)
    machine.session_message_received(1, Heartbeat(1, machine.replica.version), 20.4)
    acks = [message for message in responses_to(machine, 1) if isinstance(message, HeartbeatAck)]
    assert acks[-1].lease_seconds > 0
    machine.session_backlog_changed(1, 300_000, 20.5)
    before = machine.replica.version
    now = 20.5
    for n in range(2, 90):
        machine.session_opened(n, "x", now)
        machine.session_message_received(n, attach(f"r{n}"), now)
        now += 0.1
        machine.wake(now)
        machine.session_message_received(1, Heartbeat(n, before), now)
    responses = responses_to(machine, 1)
    assert [message.lease_seconds for message in responses if isinstance(message, HeartbeatAck)] == [0.0] * 88
    assert not any(isinstance(message, RosterDeltas | SnapshotChunk) for message in responses)
    machine.session_backlog_changed(1, 0, now)
    machine.session_message_received(1, Heartbeat(90, before), now)
    responses = responses_to(machine, 1)
    assert isinstance(responses[0], SnapshotChunk)
    assert machine.replica.roster is not None
    assert responses[0].members == tuple(machine.replica.roster.members.values())
    ack = responses[-1]
    assert isinstance(ack, HeartbeatAck)
    assert ack.lease_seconds > 0
    assert ack.version == responses[0].version


def test_a_session_with_too_large_a_backlog_is_closed() -> None:
    machine = settled_machine(MachineLimits(max_backlog_bytes=1000))
    machine.session_opened(1, "x", 20.0)
    machine.session_message_received(1, attach(), 20.0)
    machine.session_backlog_changed(1, 1001, 20.1)
    assert closed_reasons(machine) == ["slow"]
