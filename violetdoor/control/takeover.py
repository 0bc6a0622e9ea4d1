"""The start of a leader's term: collects the states of all members, and finds the roster to continue."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import Enum

from violetdoor.control.group import GroupState
from violetdoor.control.messages import (
    GroupMessage,
    GroupSnapshot,
    Replicate,
    SnapshotRequest,
    TermStarted,
    TermState,
    Version,
)
from violetdoor.control.replica import Replica
from violetdoor.control.session_locations import ORPHAN_GRACE_SECONDS

# Interval between repeated requests to members, and between checks of a leader without a lease.
TAKEOVER_RETRY_SECONDS = 0.2


class TakeoverStep(Enum):
    """The next step of the leader."""

    WAIT = "wait"  # for members' states, a missing roster, a lease, or the end of the grace period
    CONTINUE_ROSTER = "continue roster"  # the replica has the newest roster of earlier terms
    AWAIT_SESSIONS = "await sessions"  # no roster to continue: relays get a grace period to attach again
    START_FRESH = "start fresh"  # that grace period has ended


class Takeover:
    """Collects the states of the members of a view at the start of a term."""

    def __init__(
        self,
        group: GroupState,
        followers: Sequence[str],
        replica: Replica,
        send: Callable[[str, GroupMessage], None],
        now: float,
    ) -> None:
        """Start a term; `followers` are the other members, and `send` sends a message to one of them."""
        self.states: dict[str, TermState] = {}  # by member, including this machine
        self.fresh_start_at = math.inf  # end of the grace period before a fresh start; infinite without one
        self.request_at = now  # when missing states and rosters are requested next
        self._group = group
        self._followers = followers
        self._replica = replica
        self._send = send
        self._fetching_from: str | None = None  # the member whose newer roster was requested

    def state_received(self, member: str, state: TermState, now: float) -> bool:
        """Record a member's state; return False for a repeated one, as later changes arrive as reports."""
        if state.epoch != self._group.epoch or state.term != self._group.term:
            return False
        if member in self.states or member not in self._group.members:
            return False
        self.states[member] = state
        if len(self.states) == len(self._group.members):
            self.request_at = now  # take the next step at once
        return True

    def roster_received(self, member: str, message: Replicate | GroupSnapshot) -> bool:
        """Apply a part of the missing roster; return False if it was not requested from this member."""
        if member != self._fetching_from:
            return False
        requested_version = self.states[member].version
        if isinstance(message, Replicate):
            if requested_version is not None and message.delta.version <= requested_version:
                self._replica.apply_from_earlier_term(message.delta)
        elif message.version == requested_version:
            self._replica.reset(message.version, message.members)
        return True

    def advance(self, now: float, *, may_write: bool) -> TakeoverStep:
        """Request what is missing, and return the next step of the leader."""
        is_request_due = now >= self.request_at
        if is_request_due:
            self.request_at = now + TAKEOVER_RETRY_SECONDS
        missing = [member for member in self._followers if member not in self.states]
        if missing:
            if is_request_due:
                self._request_states(missing)
            return TakeoverStep.WAIT
        if not may_write:
            return TakeoverStep.WAIT
        # Only the roster of a current member is certain to include all that has settled.
        current = [member for member, state in self.states.items() if state.is_current]
        newest = self._newest_version(current or list(self.states))
        if newest is not None and newest != self._replica.version:
            if is_request_due:
                self._fetch(newest)
            return TakeoverStep.WAIT
        if current:
            return TakeoverStep.CONTINUE_ROSTER
        return self._advance_fresh_start(now)

    def _advance_fresh_start(self, now: float) -> TakeoverStep:
        """Prepare a new history of rosters, for which all earlier sessions count as lost.

        Relays get time to attach again before its first roster is written, because the number of relays in
        the roster would collapse otherwise.
        """
        if self.fresh_start_at == math.inf:
            self.fresh_start_at = now + ORPHAN_GRACE_SECONDS
            return TakeoverStep.AWAIT_SESSIONS
        if now >= self.fresh_start_at:
            return TakeoverStep.START_FRESH
        return TakeoverStep.WAIT

    def _request_states(self, members: Sequence[str]) -> None:
        for member in members:
            self._send(member, TermStarted(self._group.epoch, self._group.term))

    def _newest_version(self, members: Sequence[str]) -> Version | None:
        versions = [self.states[member].version for member in members]
        return max((version for version in versions if version is not None), default=None)

    def _fetch(self, version: Version) -> None:
        """Request the missing deltas, or the complete roster, from a member that has the newest roster."""
        self._fetching_from = next(
            member for member, state in self.states.items() if state.version == version
        )
        self._send(self._fetching_from, SnapshotRequest(self._replica.version))

    def adopt_settled(self) -> None:
        """Advance the settled version to the newest one of the current members."""
        for state in self.states.values():
            if state.is_current:
                self._replica.advance_settled(state.settled)

    @property
    def next_step_at(self) -> float:
        """The time at which to call `advance`."""
        return min(self.request_at, self.fresh_start_at)
