"""The leader of a control group: takeover, settling, and session reports."""

from __future__ import annotations

import dataclasses

from control_rosters import group, relays, snapshot

from violetdoor.control.messages import (
    RelayKey,
    SessionEnded,
    SessionOpened,
    SnapshotRequest,
    TermStarted,
    TermState,
    Version,
)
from violetdoor.control.replica import Replica
from violetdoor.control.sequencer import Sequencer


def test_a_new_leader_continues_the_newest_roster_of_any_member() -> None:
    replica = Replica()
    replica.install_snapshot(snapshot(Version(7, 1, 0)), group(1))
    leader = Sequencer("c0", group(2), replica, 0.0)
    leader.state_received("c0", TermState(7, 2, Version(7, 1, 0), None, (), is_current=True), 0.0)
    leader.wake(0.0)
    assert {sent.member for sent in leader.outbox if isinstance(sent.message, TermStarted)} == {"c1", "c2"}
    leader.state_received("c1", TermState(7, 2, Version(7, 1, 3), Version(7, 1, 2), (), is_current=True), 0.1)
    # A member that joined again may have a roster that never settled and that the other members replaced.
    leader.state_received("c2", TermState(7, 2, Version(7, 1, 9), None, (), is_current=False), 0.1)
    leader.wake(0.1)
    assert not leader.is_started
    assert [sent.member for sent in leader.outbox if isinstance(sent.message, SnapshotRequest)] == ["c1"]
    leader.missing_roster_received("c1", snapshot(Version(7, 1, 3)), 0.2)
    assert leader.is_started
    assert replica.version == Version(7, 2, 0)
    assert replica.settled == Version(7, 1, 2)
    # No session was reported: all relays get a grace period to attach again.
    leader.wake(4.0)
    assert replica.roster is not None
    assert len(replica.roster) == 3
    leader.wake(4.3)
    leader.wake(4.4)
    assert len(replica.roster) == 0


def test_a_roster_settles_once_all_acknowledge_it_and_all_older_leases_have_expired() -> None:
    replica = Replica()
    replica.install_snapshot(snapshot(Version(7, 1, 0)), group(1))
    with_prior_leases = dataclasses.replace(group(2), prior_leases_expired=False)
    leader = Sequencer("c0", with_prior_leases, replica, 0.0)
    for member in ("c0", "c1", "c2"):
        leader.state_received(member, TermState(7, 2, Version(7, 1, 0), None, (), is_current=True), 0.0)
    leader.wake(0.0)
    assert leader.is_started
    assert replica.roster is not None
    for attempt, relay in enumerate(replica.roster.members.values()):
        leader.session_opened("c1", SessionOpened(relay, attempt), 0.0)
    version = Version(7, 2, 0)
    leader.acknowledged("c1", version, 1.0)
    leader.wake(20.0)
    assert replica.settled is None  # c2 may still grant leases under the previous roster
    leader.acknowledged("c2", version, 20.0)
    leader.wake(30.0)
    assert replica.settled is None  # and so may a machine that was removed from the view
    leader.group_changed(group(2), 30.0)
    leader.wake(36.4)
    assert replica.settled is None  # leases granted until then are valid for 6 s by the slowest clock
    leader.wake(36.5)
    assert replica.settled == version


def test_the_end_of_an_old_session_does_not_remove_a_relay_attached_elsewhere() -> None:
    replica = Replica()
    leader = Sequencer("c0", group(1, members=("c0", "c1")), replica, 0.0)
    for member in ("c0", "c1"):
        leader.state_received(member, TermState(7, 1, None, None, ()), 0.0)
    leader.wake(0.0)
    relay = relays(1)[0]
    leader.session_opened("c0", SessionOpened(relay, 1), 0.1)
    leader.wake(4.2)
    assert replica.roster is not None
    assert len(replica.roster) == 1
    leader.session_opened("c1", SessionOpened(relay, 2), 5.0)
    leader.session_ended("c0", SessionEnded(RelayKey("r0", 1), 1, "silent"), 5.1)
    leader.session_opened("c0", SessionOpened(relay, 1), 5.2)  # an older report that arrives late
    leader.wake(9.0)
    assert len(replica.roster) == 1
    assert leader.locations.by_name["r0"].member == "c1"
    leader.session_ended("c1", SessionEnded(RelayKey("r0", 1), 2, "closed"), 10.0)
    leader.wake(11.9)
    assert len(replica.roster) == 1
    leader.wake(12.1)
    leader.wake(12.2)
    assert len(replica.roster) == 0
