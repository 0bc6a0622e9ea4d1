"""The search over fault schedules of control groups finds each injected bug, and no violation without one."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from violetdoor.control import leases, machine, sequencer, settlement
from violetdoor.control.messages import HeartbeatAck
from violetdoor.control.relay import session
from violetdoor.control.relay.roster_history import RosterHistory
from violetdoor.control.session import Session
from violetdoor.faults import control_explore

Patch = Callable[[pytest.MonkeyPatch], None]


def rosters_settle_while_older_leases_hold(patch: pytest.MonkeyPatch) -> None:
    """A roster settles once it is acknowledged, even if older leases are still valid."""
    patch.setattr(settlement, "LEASE_EXPIRY_SECONDS", 0.0)


def rosters_settle_by_the_leader_alone(patch: pytest.MonkeyPatch) -> None:
    """A roster settles without the acknowledgements of the other members."""

    def record_by_leader(self: sequencer.Sequencer, now: float) -> None:
        version = self.replica.version
        versions = self.settlement.acknowledged_versions
        if version is not None and (not versions or version > versions[-1].version):
            versions.append(settlement.AcknowledgedVersion(version, now))

    patch.setattr(sequencer.Sequencer, "_record_acknowledged", record_by_leader)


def leases_are_granted_without_quorum(patch: pytest.MonkeyPatch) -> None:
    """A control machine grants leases although it has no lease in its group."""

    def may_act(self: leases.LeaseGranter, _now: float) -> bool:
        return self.group is not None

    def check_nothing(_self: machine.ControlMachine, _now: float) -> None:
        pass

    patch.setattr(leases.LeaseGranter, "may_act", may_act)
    patch.setattr(machine.ControlMachine, "_check_lease", check_nothing)


def lease_starts_with_its_acknowledgement(patch: pytest.MonkeyPatch) -> None:
    """A relay's lease starts when the acknowledgement arrives, not when the heartbeat was sent."""
    handle_heartbeat_ack = session.Session._handle_heartbeat_ack

    def handle_late_ack(self: session.Session, ack: HeartbeatAck, now: float) -> None:
        self._lease._sent_at = dict.fromkeys(self._lease._sent_at, now)
        handle_heartbeat_ack(self, ack, now)

    patch.setattr(session.Session, "_handle_heartbeat_ack", handle_late_ack)


def departed_relays_are_forgotten(patch: pytest.MonkeyPatch) -> None:
    """A relay acts on the keys that it owns in the newest roster, without regard to departed relays."""

    def newest(self: RosterHistory, key: str) -> bool:
        return self.roster is not None and self.roster.owner(key) == self.own_key.name

    patch.setattr(RosterHistory, "_outranks_all", newest)


def joined_relays_act_before_they_have_settled(patch: pytest.MonkeyPatch) -> None:
    """A relay acts before the roster in which it joined has settled."""

    def wins(self: RosterHistory, key: str) -> bool:
        return self.is_member and self._outranks_all(key)

    patch.setattr(RosterHistory, "is_owner", wins)


def leases_are_granted_under_a_roster_not_sent(patch: pytest.MonkeyPatch) -> None:
    """A session gets a lease although it was not sent the newest roster."""

    def may_grant(self: leases.LeaseGranter, session: Session, now: float) -> bool:
        return session.relay is not None and self.may_act(now)

    patch.setattr(leases.LeaseGranter, "may_grant", may_grant)


RELAYS_RESTART = "kill relay", "restart", "restart", "cut relay", "heal"
RELAYS_PAUSE = "kill relay", "restart", "stop relay", "cut relay", "go on", "heal"
CONNECTIONS_STALL = "clog", "clog", "kill relay", "restart"
MEMBERS_ARE_PARTITIONED = "cut pair", "cut pair", "kill relay", "restart", "heal"
MACHINES_ARE_PARTITIONED = "cut control", "cut control", "heal", "kill relay", "restart"
MACHINES_PAUSE = "stop control", "stop control", "go on", "go on", "kill control", "restart"
BUGS: list[tuple[Patch, tuple[str, ...]]] = [  # each with the faults that the search injects
    (rosters_settle_while_older_leases_hold, RELAYS_PAUSE),
    (rosters_settle_by_the_leader_alone, MEMBERS_ARE_PARTITIONED),
    (leases_are_granted_without_quorum, MACHINES_ARE_PARTITIONED),
    (leases_are_granted_under_a_roster_not_sent, CONNECTIONS_STALL),
    (lease_starts_with_its_acknowledgement, MACHINES_PAUSE),
    (departed_relays_are_forgotten, RELAYS_PAUSE),
    (joined_relays_act_before_they_have_settled, RELAYS_RESTART),
]
SEEDS = range(40)  # runs in which each bug is searched for


@pytest.mark.parametrize(("bug", "fault_kinds"), BUGS, ids=lambda value: getattr(value, "__name__", ""))
def test_an_injected_bug_is_found(
    bug: Patch, fault_kinds: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    found = control_explore.search(SEEDS, fault_kinds)
    assert found is not None
    # The same run reproduces the violation, and has none without the bug.
    assert control_explore.Schedule(found.seed, fault_kinds).run() == found
    monkeypatch.undo()
    assert control_explore.Schedule(found.seed, fault_kinds).run() is None


def test_without_a_bug_no_promise_breaks() -> None:
    assert control_explore.search(range(1000, 1006)) is None


def test_relays_act_in_these_schedules() -> None:
    schedule = control_explore.Schedule(2)
    assert schedule.run() is None
    assert schedule.checks.ownerships_seen > 1000


def test_leases_outlive_their_end_beyond_the_bound_on_clock_drift() -> None:
    """The guarantees rest on that bound, so the search finds a violation beyond it."""
    assert control_explore.search(SEEDS, RELAYS_PAUSE, bounded_drift=False) is not None


def test_a_schedule_is_the_same_each_time() -> None:
    first, again = control_explore.Schedule(7), control_explore.Schedule(7)
    first.run()
    again.run()
    assert first.world.control_events == again.world.control_events
    assert first.checks.ownerships_seen == again.checks.ownerships_seen
