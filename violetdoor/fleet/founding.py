"""Founding of epochs: the first one of a fleet, or one that an operator forces. No I/O.

The first epoch needs the votes of a majority of the founders, none of which has an epoch in its durable state
or knows of a live one. A forced epoch needs the votes of all reachable members. A voter holds no lease, makes
no further promise in its old view, and votes for no other epoch for `VOTE_TTL_SECONDS`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from violetdoor import events
from violetdoor.fleet.context import MemberState, NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.lease import LEASE_EXPIRY_SECONDS
from violetdoor.fleet.membership import Membership
from violetdoor.fleet.messages import (
    EpochVoteRequest,
)
from violetdoor.fleet.view import EPOCH_RANDOM_BITS, MAX_MEMBERS, Peer, View, ViewId, sorted_by_name

CANDIDATE_TTL_SECONDS = 3.0  # after its last message another relay counts as a candidate for this time
# After a report that another relay holds a lease this relay neither founds an epoch nor votes for one.
LEASE_HOLDER_TTL_SECONDS = 2.0
VOTE_RETRY_DELAY_SECONDS = 0.15  # after which missing votes are requested again
FOUNDING_TIMEOUT_SECONDS = 1.5  # after which an attempt to found an epoch is abandoned
VOTE_TTL_SECONDS = 2 * FOUNDING_TIMEOUT_SECONDS  # during which a voter votes for no other epoch
BLOCKING_BALLOT = 1 << 62  # above all ballots: a member that promised it rejects every ballot of its view


class ForceRefusedError(Exception):
    """An epoch cannot be forced; the message tells operators the reason."""


class NoViewError(ForceRefusedError):
    """An epoch cannot be forced because this relay is not in any view."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("this relay is not in any view")


class MajorityReachedError(ForceRefusedError):
    """An epoch cannot be forced because a majority of the view is reachable and can decide by itself."""

    def __init__(self, reached: int, size: int) -> None:
        """Store the numbers of reachable members and of all members."""
        super().__init__(f"a majority is reached: {reached} of {size}")
        self.reached = reached
        self.size = size


@dataclass(slots=True, frozen=True)
class Candidate:
    """Another relay that is not in any view."""

    peer: Peer
    is_founder: bool
    started_at: float  # when its process started, by this relay's clock
    last_received_at: float


@dataclass(slots=True, frozen=True)
class FoundingVote:
    """The epoch that this relay has voted for, and the time of the vote."""

    epoch: int
    granted_at: float


@dataclass(slots=True)
class FoundingAttempt:
    """An attempt of this relay to found an epoch. Votes are requested over TCP, as a view may be long."""

    view: View  # the first view of the epoch
    base: ViewId | None  # the view that the founding relay and its voters leave; None for a first epoch
    voters: frozenset[str]  # names of the relays whose votes count
    quorum: int  # required number of their votes
    forced: bool
    started_at: float
    votes_requested_at: float = -math.inf
    votes: set[str] = field(default_factory=set)  # names of the relays that have voted for the epoch

    @property
    def has_quorum(self) -> bool:
        """Whether enough voters have voted for the epoch."""
        return len(self.votes & self.voters) >= self.quorum


class Founder:
    """Founds epochs, and votes on epochs that other relays found."""

    def __init__(self, context: NodeContext, departures: Departures, membership: Membership) -> None:
        """Initialize with the components that it depends on."""
        self.context = context
        self.departures = departures
        self.membership = membership
        self.attempt: FoundingAttempt | None = None
        self.vote: FoundingVote | None = None  # the last vote that this relay granted
        self.candidates: dict[str, Candidate] = {}  # by name

    @property
    def is_founder(self) -> bool:
        """Whether this relay may found the first epoch: it is a founder, and has never been in an epoch."""
        return self.context.config.name in self.context.config.founders and self.context.last_epoch == 0

    @property
    def next_wake_at(self) -> float:
        """When `wake` is next due."""
        if self.attempt is None:
            return math.inf
        return self.attempt.votes_requested_at + VOTE_RETRY_DELAY_SECONDS

    def add_candidate(self, peer: Peer, uptime: float, now: float, *, is_founder: bool) -> None:
        """Record a relay that is not in any view, and its uptime in s."""
        self.candidates[peer.name] = Candidate(peer, is_founder, now - uptime, now)
        while len(self.candidates) > MAX_MEMBERS:
            del self.candidates[next(iter(self.candidates))]

    def found_epoch_if_possible(self, now: float) -> None:
        """Found the first epoch, if a majority of founders is ready and this is the first of them by name."""
        context = self.context
        if self.attempt is not None or now < context.lease_holder_reported_at + LEASE_HOLDER_TTL_SECONDS:
            return
        self._drop_old_candidates(now)
        if context.state is not MemberState.OUTSIDE:
            return
        if not self.is_founder or not _forgotten_leases_expired(context.started_at, now):
            return
        ready = {
            name
            for name, candidate in self.candidates.items()
            if candidate.is_founder and _forgotten_leases_expired(candidate.started_at, now)
        }
        ready.add(context.config.name)
        majority = len(context.config.founders) // 2 + 1
        if len(ready) >= majority and min(ready) == context.config.name:
            self._start_attempt([], context.config.founders, majority, now)

    def _drop_old_candidates(self, now: float) -> None:
        self.candidates = {
            name: candidate
            for name, candidate in self.candidates.items()
            if now < candidate.last_received_at + CANDIDATE_TTL_SECONDS
        }

    def force_epoch(self, now: float) -> None:
        """Found an epoch with all reachable members, although they are not a majority of the view.

        Raises ForceRefusedError if a majority is reachable, or this relay is not in any view.
        """
        context = self.context
        view = self.context.view
        if context.state not in (MemberState.MEMBER, MemberState.RECOVERING) or view is None:
            raise NoViewError
        ended = self.departures.ended_members
        alive = context.detector.is_alive
        reached = [peer for peer in view.members if peer.name not in ended and alive(peer.name)]
        if context.may_act(now) or len(reached) >= view.majority:
            raise MajorityReachedError(len(reached), len(view.members))
        self._start_attempt(reached, frozenset(peer.name for peer in reached), len(reached), now, forced=True)

    def _start_attempt(
        self, peers: Iterable[Peer], voters: frozenset[str], quorum: int, now: float, *, forced: bool = False
    ) -> None:
        """Start an attempt to found an epoch whose members are these peers, this relay and the candidates.

        If these are more than MAX_MEMBERS, voters take precedence.
        """
        context = self.context
        members = {context.config.name: context.local_peer}
        members |= {peer.name: peer for peer in peers}
        members |= {name: candidate.peer for name, candidate in self.candidates.items()}
        members[context.config.name] = context.local_peer
        voters_first = sorted(members.values(), key=lambda peer: peer.name not in voters)
        admitted = voters_first[:MAX_MEMBERS]
        epoch = self._new_epoch()
        first_members = (msgspec.structs.replace(peer, joined_seq=1) for peer in admitted)
        view = View(epoch, 1, sorted_by_name(first_members))
        base = None if context.view is None else context.view.id
        if self.grant_vote(EpochVoteRequest(view, base, forced), now):
            self.attempt = FoundingAttempt(
                view, base, voters, quorum, forced, now, votes={context.config.name}
            )
            self.wake(now)

    def _new_epoch(self) -> int:
        context = self.context
        started_at_ms = int(context.unix_ms())
        if context.view is not None:  # the new epoch must be higher even if the clock was set back
            started_at_ms = max(started_at_ms, (context.view.epoch >> EPOCH_RANDOM_BITS) + 1)
        return started_at_ms << EPOCH_RANDOM_BITS | context.random.getrandbits(EPOCH_RANDOM_BITS)

    def grant_vote(self, request: EpochVoteRequest, now: float) -> bool:
        """Vote for an epoch if this relay may, and return whether it did.

        With its vote this relay gives up its lease and stops voting on changes of its old view.
        """
        context = self.context
        epoch = request.view.epoch
        if (
            self.vote is not None
            and self.vote.epoch != epoch
            and now < self.vote.granted_at + VOTE_TTL_SECONDS
        ):
            return False
        lease_holder_is_recent = now < context.lease_holder_reported_at + LEASE_HOLDER_TTL_SECONDS
        if not request.view.contains(context.local_peer) or lease_holder_is_recent or context.may_act(now):
            return False
        if context.state is MemberState.OUTSIDE:
            if context.last_epoch or not _forgotten_leases_expired(context.started_at, now):
                return False
        elif not request.forced or context.view is None or request.base != context.view.id:
            return False
        self.vote = FoundingVote(epoch, now)
        if context.lease is not None:
            context.lease.frozen = True
            context.lease.expires_at = -math.inf
        if context.agreement is not None:
            context.agreement.promised_ballot = BLOCKING_BALLOT
        return True

    def has_voted_for(self, epoch: int) -> bool:
        """Return whether this relay's last vote was for this epoch."""
        return self.vote is not None and self.vote.epoch == epoch

    def record_vote(self, name: str, epoch: int, now: float) -> None:
        """Count another relay's vote for an epoch."""
        if self.attempt is not None and epoch == self.attempt.view.epoch:
            self.attempt.votes.add(name)
            self.wake(now)

    def wake(self, now: float) -> None:
        """Complete the attempt if it has its quorum; otherwise abandon it, or request missing votes again."""
        attempt = self.attempt
        if attempt is None:
            return
        if attempt.has_quorum:
            self._complete(attempt, now)
        elif now >= attempt.started_at + FOUNDING_TIMEOUT_SECONDS:
            self.attempt = None
        elif now >= attempt.votes_requested_at + VOTE_RETRY_DELAY_SECONDS:
            attempt.votes_requested_at = now
            self._request_votes(attempt)

    def _complete(self, attempt: FoundingAttempt, now: float) -> None:
        self.attempt = None
        view = attempt.view
        self.context.outbox.emit(events.FLEET_FOUNDED, view=str(view.id), forced=attempt.forced)
        self.membership.install(view, now, None)
        self.membership.ping_new_members(view.members)

    def _request_votes(self, attempt: FoundingAttempt) -> None:
        request = EpochVoteRequest(attempt.view, attempt.base, attempt.forced)
        for peer in attempt.view.members:
            if peer.name not in attempt.votes and peer.name != self.context.config.name:
                self.context.outbox.start_call(peer.address, request, peer.name)

    def on_view_installed(self, _old: View | None, _view: View, _now: float) -> None:
        """Abandon the attempt and drop the candidates: an epoch is live."""
        self.attempt = None
        self.candidates = {}

    def on_view_left(self, _now: float) -> None:
        """Abandon the attempt."""
        self.attempt = None


def _forgotten_leases_expired(started_at: float, now: float) -> bool:
    """Return whether all leases have expired that heartbeats from before a relay's start may support.

    The relay does not remember those heartbeats.
    """
    return now >= started_at + LEASE_EXPIRY_SECONDS
