"""Determines the next view change and when this member proposes it. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from violetdoor.fleet.agreement import Agreement
from violetdoor.fleet.context import NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.member_health import Health
from violetdoor.fleet.membership import Membership
from violetdoor.fleet.messages import MAX_CHANGE_BYTES, encode
from violetdoor.fleet.view import MAX_JOINS_PER_CHANGE, MAX_MEMBERS, Peer, View, ViewChange

BATCH_DELAY_SECONDS = 0.15  # delay of a proposal, so that simultaneous changes share one view
# Additional delay of a member for each preceding member that may propose.
PROPOSER_STAGGER_SECONDS = 0.4
JOIN_REQUEST_TTL_SECONDS = 3.0  # after which a join request expires; the joining relay repeats it earlier
# For this time after its last join request a restarted member counts as one that may propose.
RESTARTED_TTL_SECONDS = 2.0
# While a change is too long for a packet, its number of joins divided by this, but at least one, is deferred.
DEFERRED_JOINS_DIVISOR = 8


@dataclass(slots=True, frozen=True)
class PendingJoin:
    """A relay that requested to join, and when the request expires."""

    peer: Peer
    expires_at: float


class Proposer:
    """Collects joining, leaving and dead relays, and proposes their change to the agreement."""

    def __init__(self, context: NodeContext, departures: Departures, membership: Membership) -> None:
        """Initialize without a change to propose."""
        self.context = context
        self.departures = departures
        self.membership = membership
        self.pending_joins: dict[str, PendingJoin] = {}
        self.leaving_members: set[str] = set()  # names of members that announced that they leave
        # When the last join request of a later instance of a member was received, by the member's name.
        self.restart_received_at: dict[str, float] = {}
        self.change_pending_since = math.inf  # infinite while there is no change to propose

    @property
    def next_wake_at(self) -> float:
        """When `wake` is next due."""
        agreement = self.context.agreement
        return math.inf if agreement is None else agreement.next_wake_at

    @property
    def has_pending_change(self) -> bool:
        """Whether there is a change to propose."""
        return self.context.agreement is not None and self.change_pending_since < math.inf

    # Requests.

    def add_join_request(self, peer: Peer, now: float) -> None:
        """Record a relay's request to join."""
        if peer.name in self.pending_joins or len(self.pending_joins) < MAX_MEMBERS:
            self.pending_joins[peer.name] = PendingJoin(peer, now + JOIN_REQUEST_TTL_SECONDS)
            self.context.wake_by(now)

    def request_rejoin(self) -> None:
        """Record that this relay, which has restarted, is to join the view that it restored."""
        local_peer = self.context.local_peer
        self.pending_joins[local_peer.name] = PendingJoin(local_peer, math.inf)

    def record_leave(self, name: str, instance: int, now: float) -> None:
        """Record a member's announcement that it leaves."""
        self.leaving_members.add(name)
        self.departures.record_departure(instance)
        self.context.wake_by(now)

    # Proposing.

    def wake(self, now: float) -> None:
        """Propose the pending change once the delay of this member's rank has passed."""
        agreement = self.context.agreement
        view = self.context.view
        if agreement is None or view is None:
            return
        agreement.wake(now)
        change = self._pending_change(view, now)
        if not change and not agreement.frozen:
            self.change_pending_since = math.inf
            return
        if self.change_pending_since == math.inf:
            self.change_pending_since = now
        self._probe_reported_alive(agreement, view, now)
        propose_at = (
            self.change_pending_since + BATCH_DELAY_SECONDS + PROPOSER_STAGGER_SECONDS * self._rank(now)
        )
        if now >= propose_at and agreement.proposal is None:
            ended = tuple(sorted(self._ended_indices(view)))
            agreement.propose(change or agreement.accepted_change or change, now, ended)

    def _probe_reported_alive(self, agreement: Agreement, view: View, now: float) -> None:
        """Probe the members that voters of the last expired proposal reported alive."""
        for index in agreement.reported_alive:
            self.context.detector.probe_now(view.members[index].name, now)
        agreement.reported_alive = set()

    def apply_decision(self, now: float) -> None:
        """Queue the agreement's messages, and install the view that it has decided, if any."""
        agreement = self.context.agreement
        view = self.context.view
        if agreement is None or view is None:
            return
        for index, message in agreement.outgoing:
            self.context.outbox.queue(view.members[index].name, message)
        agreement.outgoing.clear()
        if agreement.decided_change is not None:
            self.membership.install(view.apply(agreement.decided_change), now, view)

    def _rank(self, now: float) -> int:
        """Return how many preceding members of the view may propose."""
        return sum(1 for peer in self.context.members_before_local() if self._may_propose(peer.name, now))

    def _may_propose(self, name: str, now: float) -> bool:
        """Return whether a member is alive, or has restarted and recently requested to join."""
        if self.context.detector.is_alive(name):
            return True
        return now < self.restart_received_at.get(name, -math.inf) + RESTARTED_TTL_SECONDS

    def _pending_change(self, view: View, now: float) -> ViewChange:
        """Return the change to propose according to what this relay knows."""
        departed = _indices(view, self.leaving_members)
        dead = _indices(view, self.context.detector.dead_names()) | self._ended_indices(view)
        dead -= departed
        self.pending_joins = {
            name: pending for name, pending in self.pending_joins.items() if now < pending.expires_at
        }
        joins = [
            pending.peer for pending in self.pending_joins.values() if self._may_join(pending.peer, view)
        ]
        replaced = _indices(view, [peer.name for peer in joins])
        free_slots = MAX_MEMBERS - len(view.members) + len(dead | departed)
        joins = joins[: max(0, min(MAX_JOINS_PER_CHANGE, free_slots))]
        # The earlier instance of every joining relay is removed now, even if its join is deferred.
        dead = (dead | replaced) - departed
        change = _change(dead, departed, joins)
        while joins and len(encode(change)) > MAX_CHANGE_BYTES:
            del joins[-max(1, len(joins) // DEFERRED_JOINS_DIVISOR) :]
            change = _change(dead, departed, joins)
        return change

    def _may_join(self, peer: Peer, view: View) -> bool:
        """Return whether an instance may join: it is not a member, and no earlier instance can be alive."""
        member = view.member(peer.name)
        if member is None:
            return True
        if member.instance == peer.instance:
            return False
        if peer.name in self.departures.ended_members or peer.name in self.leaving_members:
            return True
        monitored = self.context.detector.members.get(peer.name)
        return monitored is None or monitored.health is Health.DEAD

    def _ended_indices(self, view: View) -> set[int]:
        return _indices(view, self.departures.ended_members)

    # Views.

    def on_view_installed(self, _old: View | None, view: View, _now: float) -> None:
        """Drop requests that the new view fulfills, and records of relays that are no longer members."""
        self.leaving_members &= view.index_by_name.keys()
        self.restart_received_at = {
            name: at for name, at in self.restart_received_at.items() if name in view.index_by_name
        }
        self.pending_joins = {
            name: pending for name, pending in self.pending_joins.items() if not view.contains(pending.peer)
        }
        self.change_pending_since = math.inf

    def on_view_left(self, _now: float) -> None:
        """Drop all state that belongs to the view."""
        self.pending_joins = {}
        self.leaving_members = set()
        self.restart_received_at = {}


def _indices(view: View, names: Iterable[str]) -> set[int]:
    """Return the indices of the members with these names; other names are ignored."""
    return {view.index_by_name[name] for name in names if name in view.index_by_name}


def _change(dead: set[int], departed: set[int], joins: list[Peer]) -> ViewChange:
    return ViewChange(tuple(sorted(dead)), tuple(sorted(departed)), tuple(joins))
