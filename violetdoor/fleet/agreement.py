"""Agreement on the successor of a view: one instance of single-decree Paxos (Lamport 2001) per view.

The members of a view are the acceptors of its successor, so the views of one epoch form a chain in which each
view was accepted by a majority of its predecessor. Ballot 0 belongs to the first member and skips the prepare
phase.

Before a change that removes dead members is proposed, a pre-vote (Raft's term) asks the other members whether
they still receive packets from those members. A pre-vote is not binding, and the safety of Paxos does not
depend on it. It prevents the removal of all other members by a relay that receives nothing, and the removal
of a member that only the proposer cannot reach.

This module does no I/O: the caller writes `durable_state` to disk and only then sends `outgoing`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple

from violetdoor.fleet.messages import (
    Accept,
    Accepted,
    Decided,
    Message,
    Prepare,
    PreVoteRequest,
    PreVoteResponse,
    Promise,
    Rejected,
)
from violetdoor.fleet.stored_state import DurableState
from violetdoor.fleet.view import View, ViewChange

RETRY_INTERVAL_SECONDS = 0.15  # after which a request is sent again to members that have not answered
# A proposer abandons a ballot after this time, and a member that receives another proposer's ballot backs off
# for this time, each multiplied by a random factor from the ranges below, so that two proposers do not stay
# synchronized.
BALLOT_TIMEOUT_SECONDS = 1.0
BALLOT_TIMEOUT_FACTORS = (1.0, 2.0)
BACKOFF_FACTORS = (1.0, 1.5)
NO_BALLOT = -1  # lower than every ballot


class Phase(Enum):
    """What a proposal needs from a majority before it advances."""

    PRE_VOTE = "pre_vote"  # confirmation that they receive nothing from the members to be removed
    PREPARE = "prepare"  # promises to reject lower ballots
    ACCEPT = "accept"  # acceptances


@dataclass(slots=True)
class Proposal:
    """The change that this relay proposes, and its progress. Members are given by their index."""

    change: ViewChange
    started_at: float
    last_sent_at: float
    ballot: int = NO_BALLOT
    phase: Phase = Phase.PRE_VOTE
    voters: set[int] = field(default_factory=set)  # members that agreed in this phase
    # Members listed in `change.dead` from which some voter still receives packets.
    reported_alive: set[int] = field(default_factory=set)
    highest_accepted_ballot: int = NO_BALLOT  # in the promises received; `change` was accepted in that ballot
    expires_at: float = 0.0  # when this ballot is abandoned
    ended: tuple[int, ...] = ()  # members that have been replaced by a later instance, which has answered


class Outgoing(NamedTuple):
    """A message to the member at this index of the view."""

    member_index: int
    message: Message


class Agreement:
    """The proposer and acceptor of one relay for the successor of `view`."""

    def __init__(self, view: View, name: str, random: Random) -> None:
        """Participate as the member `name` of the view."""
        self.view = view
        self.index = view.index_by_name[name]
        self.random = random
        # State of the acceptor: these three values must survive a restart.
        self.promised_ballot = NO_BALLOT
        self.accepted_ballot = NO_BALLOT
        self.accepted_change: ViewChange | None = None
        self.decided_change: ViewChange | None = None
        self.proposal: Proposal | None = None
        self.ballot_round = 0  # round of this relay's next ballot; each round has one ballot per member
        self.pre_vote_number = 0  # number of this relay's last pre-vote
        self.outgoing: list[Outgoing] = []
        self.reported_alive: set[int] = set()  # `Proposal.reported_alive` of the last proposal that expired
        self.backoff_until = -math.inf  # no own proposal before this time, as another proposer is active

    @classmethod
    def restore(cls, state: DurableState, name: str, random: Random) -> Agreement:
        """Restore the acceptor that a previous process of this relay was."""
        agreement = cls(state.view, name, random)
        agreement.promised_ballot = state.promised_ballot
        agreement.accepted_ballot = state.accepted_ballot
        agreement.accepted_change = state.accepted_change
        return agreement

    @property
    def durable_state(self) -> DurableState:
        """The view and the acceptor's state, which must survive a restart."""
        return DurableState(self.view, self.promised_ballot, self.accepted_ballot, self.accepted_change)

    @property
    def frozen(self) -> bool:
        """Whether this relay has accepted a change: then it must not join further heartbeat rounds."""
        return self.accepted_change is not None

    @property
    def next_wake_at(self) -> float:
        """When `wake` is next due."""
        proposal = self.proposal
        if proposal is None:
            return math.inf
        return min(proposal.last_sent_at + RETRY_INTERVAL_SECONDS, proposal.expires_at)

    # Proposer.

    def propose(self, change: ViewChange, now: float, ended: tuple[int, ...] = ()) -> None:
        """Propose a change. If this relay has accepted another change, it proposes that one instead.

        `ended` has the indices of members that have been replaced by a later instance, which has answered.
        """
        if self.proposal is not None or self.decided_change is not None:
            return
        if not change or now < self.backoff_until:
            return
        self.pre_vote_number += 1
        proposal = Proposal(change, now, now, expires_at=now + BALLOT_TIMEOUT_SECONDS, ended=ended)
        self.proposal = proposal
        if change.dead and self.accepted_change is None:
            proposal.voters.add(self.index)
            self._advance(proposal, now)
        else:
            self.start_ballot(proposal, now)

    def wake(self, now: float) -> None:
        """Repeat the request to members that have not agreed, or abandon a proposal that has expired."""
        proposal = self.proposal
        if proposal is None:
            return
        if now >= proposal.expires_at:
            self.proposal = None
            self.reported_alive = proposal.reported_alive
        elif now >= proposal.last_sent_at + RETRY_INTERVAL_SECONDS:
            self._send_phase_request(proposal, now)

    def _advance(self, proposal: Proposal, now: float) -> None:
        """Enter the next phase if a majority has agreed in this one, else send this phase's request."""
        if len(proposal.voters) < self.view.majority:
            self._send_phase_request(proposal, now)
        elif proposal.phase is Phase.PRE_VOTE:
            self.start_ballot(proposal, now)
        elif proposal.phase is Phase.PREPARE:
            self._start_accept_phase(proposal, now)
        else:
            self._decide(proposal.change)

    def _send_phase_request(self, proposal: Proposal, now: float) -> None:
        """Send the request of the current phase to all members that have not agreed yet.

        The members that the change removes get it, too: one that has restarted restored its promises and may
        vote.
        """
        proposal.last_sent_at = now
        request = self._phase_request(proposal)
        for index in range(len(self.view.members)):
            if index != self.index and index not in proposal.voters:
                self.outgoing.append(Outgoing(index, request))

    def _phase_request(self, proposal: Proposal) -> Message:
        base = self.view.id
        if proposal.phase is Phase.PRE_VOTE:
            return PreVoteRequest(base, self.pre_vote_number, proposal.change, proposal.ended)
        if proposal.phase is Phase.PREPARE:
            return Prepare(base, proposal.ballot)
        return Accept(base, proposal.ballot, proposal.change)

    def start_ballot(self, proposal: Proposal, now: float) -> None:
        """Start this relay's next ballot, with the prepare phase unless it is ballot 0, the lowest."""
        size = len(self.view.members)
        if self.promised_ballot >= 0:
            self.ballot_round = max(self.ballot_round, self.promised_ballot // size + 1)
        proposal.ballot = self.ballot_round * size + self.index
        proposal.voters = set()
        proposal.expires_at = now + BALLOT_TIMEOUT_SECONDS * self.random.uniform(*BALLOT_TIMEOUT_FACTORS)
        self.ballot_round += 1
        if proposal.ballot == 0:
            self._start_accept_phase(proposal, now)
            return
        proposal.phase = Phase.PREPARE
        self.promised_ballot = proposal.ballot
        if self.accepted_change is not None:
            proposal.highest_accepted_ballot = self.accepted_ballot
            proposal.change = self.accepted_change
        proposal.voters.add(self.index)
        self._advance(proposal, now)

    def _start_accept_phase(self, proposal: Proposal, now: float) -> None:
        proposal.phase = Phase.ACCEPT
        proposal.voters = {self.index}
        self.promised_ballot = proposal.ballot
        self.accepted_ballot = proposal.ballot
        self.accepted_change = proposal.change
        self._advance(proposal, now)

    def _decide(self, change: ViewChange) -> None:
        self.decided_change = change
        self.proposal = None
        decided = Decided(self.view.id, change)
        for index in range(len(self.view.members)):
            if index != self.index:
                self.outgoing.append(Outgoing(index, decided))

    # Messages.

    def receive(self, sender: int, message: Message, now: float, alive: set[int]) -> None:
        """Handle a message of the member at index `sender`; `alive` has the indices of members alive here."""
        match message:
            case PreVoteRequest():
                self._handle_pre_vote_request(sender, message, alive)
            case PreVoteResponse():
                self._handle_pre_vote_response(sender, message, now)
            case Prepare():
                self._handle_prepare(sender, message, now)
            case Promise():
                self._handle_promise(sender, message, now)
            case Accept():
                self._handle_accept(sender, message, now)
            case Accepted():
                self._handle_accepted(sender, message, now)
            case Rejected():
                self._handle_rejected(message)
            case Decided():
                self.decided_change = message.change
                self.proposal = None

    def _handle_pre_vote_request(self, sender: int, request: PreVoteRequest, alive: set[int]) -> None:
        suspected = set(request.change.dead) - set(request.ended_indexes)
        still_alive = tuple(sorted(suspected & alive))
        self.outgoing.append(
            Outgoing(sender, PreVoteResponse(self.view.id, request.pre_vote_number, still_alive))
        )

    def _handle_pre_vote_response(self, sender: int, response: PreVoteResponse, now: float) -> None:
        proposal = self.proposal
        if proposal is None or proposal.phase is not Phase.PRE_VOTE:
            return
        if response.pre_vote_number != self.pre_vote_number:
            return
        proposal.reported_alive |= set(response.alive_indexes)
        if not response.alive_indexes:
            self._add_voter(proposal, sender, now)

    def _handle_prepare(self, sender: int, prepare: Prepare, now: float) -> None:
        ballot = prepare.ballot
        if ballot < self.promised_ballot:
            self._reject(sender, ballot)
            return
        self._back_off_for(ballot, now)
        self.promised_ballot = ballot
        promise = Promise(self.view.id, ballot, self.accepted_ballot, self.accepted_change)
        self.outgoing.append(Outgoing(sender, promise))

    def _handle_promise(self, sender: int, promise: Promise, now: float) -> None:
        proposal = self._proposal_in(Phase.PREPARE, promise.ballot)
        if proposal is None:
            return
        accepted = promise.accepted_change
        if accepted is not None and promise.accepted_ballot > proposal.highest_accepted_ballot:
            proposal.highest_accepted_ballot = promise.accepted_ballot
            proposal.change = accepted
        self._add_voter(proposal, sender, now)

    def _handle_accept(self, sender: int, accept: Accept, now: float) -> None:
        ballot = accept.ballot
        if ballot < self.promised_ballot:
            self._reject(sender, ballot)
            return
        self._back_off_for(ballot, now)
        self.promised_ballot = ballot
        self.accepted_ballot = ballot
        self.accepted_change = accept.change
        self.outgoing.append(Outgoing(sender, Accepted(self.view.id, ballot)))

    def _handle_accepted(self, sender: int, accepted: Accepted, now: float) -> None:
        proposal = self._proposal_in(Phase.ACCEPT, accepted.ballot)
        if proposal is not None:
            self._add_voter(proposal, sender, now)

    def _handle_rejected(self, rejected: Rejected) -> None:
        self.ballot_round = max(self.ballot_round, rejected.promised_ballot // len(self.view.members) + 1)
        proposal = self.proposal
        if proposal is None or proposal.phase is Phase.PRE_VOTE:
            return
        if rejected.ballot == proposal.ballot:
            self.proposal = None

    def _proposal_in(self, phase: Phase, ballot: int) -> Proposal | None:
        """Return the current proposal if it is in this phase of this ballot, else None."""
        proposal = self.proposal
        if proposal is None or proposal.phase is not phase or proposal.ballot != ballot:
            return None
        return proposal

    def _add_voter(self, proposal: Proposal, voter: int, now: float) -> None:
        proposal.voters.add(voter)
        if len(proposal.voters) >= self.view.majority:
            self._advance(proposal, now)

    def _reject(self, sender: int, ballot: int) -> None:
        self.outgoing.append(Outgoing(sender, Rejected(self.view.id, ballot, self.promised_ballot)))

    def _back_off_for(self, ballot: int, now: float) -> None:
        """Delay own proposals, and abandon one whose ballot is lower than `ballot`.

        This prevents a livelock of two proposers that keep preempting each other with higher ballots.
        """
        self.backoff_until = now + BALLOT_TIMEOUT_SECONDS * self.random.uniform(*BACKOFF_FACTORS)
        proposal = self.proposal
        if proposal is None or proposal.phase is Phase.PRE_VOTE:
            return
        if ballot > proposal.ballot:
            self.proposal = None
