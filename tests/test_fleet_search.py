"""The search over interleavings finds each bug injected into the fleet's decisions, and none without one."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import pytest

from violetdoor.faults import explore, virtual
from violetdoor.fleet import founding, membership, prior_leases
from violetdoor.fleet.agreement import NO_BALLOT, Agreement, Proposal
from violetdoor.fleet.context import NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.failure_detector import FailureDetector
from violetdoor.fleet.lease import LEASE_DURATION_SECONDS, Lease
from violetdoor.fleet.messages import Accept, Message, Prepare, Promise
from violetdoor.fleet.stored_state import DurableState
from violetdoor.fleet.view import View

Bug = Callable[[pytest.MonkeyPatch], None]
SEARCH_RUNS = {explore.Schedule: 300, explore.Ballots: 8000}  # runs within which each bug must be found


def half_is_a_majority(patch: pytest.MonkeyPatch) -> None:
    """Half of the members count as a majority."""
    patch.setattr(View, "majority", property(lambda view: max(1, len(view.members) // 2)))


def proposer_prefers_its_own_change(patch: pytest.MonkeyPatch) -> None:
    """A proposer proposes its own change even if another one was accepted before."""
    start_ballot, receive = Agreement.start_ballot, Agreement.receive

    def start_ballot_without_accepted_change(self: Agreement, proposal: Proposal, now: float) -> None:
        accepted_change, self.accepted_change = self.accepted_change, None
        start_ballot(self, proposal, now)
        self.accepted_change = self.accepted_change or accepted_change

    def receive_empty_promises(
        self: Agreement, sender: int, message: Message, now: float, alive: set[int]
    ) -> None:
        if isinstance(message, Promise):
            message = Promise(message.base, message.ballot, NO_BALLOT, None)
        receive(self, sender, message, now, alive)

    patch.setattr(Agreement, "start_ballot", start_ballot_without_accepted_change)
    patch.setattr(Agreement, "receive", receive_empty_promises)


def acceptor_breaks_promises(patch: pytest.MonkeyPatch) -> None:
    """An acceptor accepts any ballot, even one lower than it has promised."""
    receive = Agreement.receive

    def receive_any_ballot(
        self: Agreement, sender: int, message: Message, now: float, alive: set[int]
    ) -> None:
        if isinstance(message, Prepare | Accept):
            self.promised_ballot = min(self.promised_ballot, message.ballot)
        receive(self, sender, message, now, alive)

    patch.setattr(Agreement, "receive", receive_any_ballot)


def restart_forgets_promises(patch: pytest.MonkeyPatch) -> None:
    """A restarted relay restores its view without its promises."""
    restore = Agreement.restore

    def restore_view_alone(state: DurableState, name: str, random: Random) -> Agreement:
        return restore(DurableState(state.view), name, random)

    patch.setattr(Agreement, "restore", restore_view_alone)


def nobody_waits_for_prior_leases(patch: pytest.MonkeyPatch) -> None:
    """Relays act under a new view before leases under earlier views have expired."""
    for module in (prior_leases, membership, founding):
        patch.setattr(module, "LEASE_EXPIRY_SECONDS", 0.0)


def lease_starts_when_round_completes(patch: pytest.MonkeyPatch) -> None:
    """A lease starts when its round completes, instead of when its holder joined the previous round."""
    renew = Lease.renew

    def renew_from_now(self: Lease, now: float) -> None:
        before = self.expires_at
        renew(self, now)
        if self.expires_at > before:
            self.expires_at = now + LEASE_DURATION_SECONDS

    patch.setattr(Lease, "renew", renew_from_now)


def heartbeats_continue_after_acceptance(patch: pytest.MonkeyPatch) -> None:
    """A member that has accepted the next view still supports leases under the current one."""
    patch.setattr(Agreement, "frozen", property(lambda _agreement: False))


def lease_is_not_checked_before_acting(patch: pytest.MonkeyPatch) -> None:
    """A lease is checked when the relay is woken, instead of when it acts."""
    patch.setattr(NodeContext, "may_act", lambda context, _now: context.had_lease)


def any_round_starter_supports_a_lease(patch: pytest.MonkeyPatch) -> None:
    """A heartbeat supports a lease even if the starter of the next round did not know of it."""
    renew = Lease.renew

    def renew_in_any_round(self: Lease, now: float) -> None:
        self.joined_previous |= 1 << self.index
        renew(self, now)

    patch.setattr(Lease, "renew", renew_in_any_round)


def every_suspicion_is_a_proof(patch: pytest.MonkeyPatch) -> None:
    """A member that any relay declares dead counts as provably dead."""
    confirm_dead = FailureDetector.confirm_dead

    def confirm_dead_as_proven(
        self: FailureDetector, name: str, now: float, *, is_proven: bool = False
    ) -> None:
        del is_proven
        confirm_dead(self, name, now, is_proven=True)

    def end_member_and_its_instance(self: Departures, name: str, now: float) -> None:
        self.failed_instances[self.context.view.member(name).instance] = None  # type: ignore[union-attr]
        self.ended_members.add(name)
        self.context.detector.confirm_dead(name, now, is_proven=True)

    patch.setattr(FailureDetector, "confirm_dead", confirm_dead_as_proven)
    patch.setattr(Departures, "mark_member_ended", end_member_and_its_instance)


BUGS: list[tuple[explore.RunType, Bug]] = [
    (explore.Schedule, half_is_a_majority),
    (explore.Schedule, nobody_waits_for_prior_leases),
    (explore.Schedule, lease_starts_when_round_completes),
    (explore.Schedule, lease_is_not_checked_before_acting),
    (explore.Schedule, every_suspicion_is_a_proof),
    (explore.Ballots, proposer_prefers_its_own_change),
    (explore.Ballots, acceptor_breaks_promises),
    (explore.Ballots, restart_forgets_promises),
    (explore.Ballots, heartbeats_continue_after_acceptance),
    (explore.Ballots, any_round_starter_supports_a_lease),
]


@pytest.mark.parametrize(("kind", "bug"), BUGS, ids=lambda parameter: str(parameter.__name__))
def test_injected_bug_is_found(kind: explore.RunType, bug: Bug, monkeypatch: pytest.MonkeyPatch) -> None:
    bug(monkeypatch)
    found = explore.search(kind, range(SEARCH_RUNS[kind]))
    assert found is not None
    # The same seed reproduces the failure, and passes without the bug.
    assert kind(found.seed).run() == found
    monkeypatch.undo()
    assert kind(found.seed).run() is None


@pytest.mark.parametrize(("kind", "runs"), [(explore.Schedule, 60), (explore.Ballots, 3000)])
def test_no_promise_breaks_without_a_bug(kind: explore.RunType, runs: int) -> None:
    assert explore.search(kind, range(10_000, 10_000 + runs)) is None


def test_schedules_that_once_broke_a_promise_hold() -> None:
    """Seeds that once failed.

    Causes: a delayed answer was taken for a proof of death, and a restarted relay acted on state that it had
    lost.
    """
    assert explore.search(explore.Schedule, (10011, 20077, 20203, 20725, 20811, 21816)) is None


def test_leases_overlap_beyond_the_bound_on_clock_drift() -> None:
    """The guarantee of one owner depends on the bound: with larger drift two relays own the same key."""
    found = explore.search(explore.Schedule, range(SEARCH_RUNS[explore.Schedule]), bounded_drift=False)
    assert found is not None
    assert found.invariant == "owners"


def test_a_schedule_is_deterministic() -> None:
    first, second = explore.Schedule(7), explore.Schedule(7)
    first.run()
    second.run()
    assert first.world.events == second.world.events
    assert not math.isinf(first.world.now)
    assert isinstance(first.world, virtual.World)
