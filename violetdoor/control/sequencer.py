"""The work of the leader: it orders the joins and departures of relays, and determines the settled version.

A `Sequencer` exists for one term, which is one view of the control group with this machine as the leader. It
requests the state of all members and continues the newest roster among them (`takeover`), collects joins and
departures of relays (`session_locations`), writes deltas and sends them to the members (`replication`), and
determines which rosters have settled (`settlement`).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from violetdoor.control.group import GroupState
from violetdoor.control.messages import (
    Delta,
    GroupMessage,
    GroupSnapshot,
    NameConflict,
    Replicate,
    ReportAck,
    SessionEnded,
    SessionOpened,
    Settled,
    TermState,
    Version,
)
from violetdoor.control.replica import ApplyOutcome, Replica
from violetdoor.control.replication import RESEND_DELAY_SECONDS, Replication
from violetdoor.control.roster import relay_key
from violetdoor.control.session_locations import SessionLocations
from violetdoor.control.settlement import Settlement
from violetdoor.control.takeover import TAKEOVER_RETRY_SECONDS, Takeover, TakeoverStep

# Delay that batches changes, so that the relays of a failed rack depart in one delta.
BATCH_DELAY_SECONDS = 0.05
# Interval at which the settled version is sent again, as a message may be lost.
SETTLED_INTERVAL_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class MemberMessage:
    """A message for a member of the group, possibly this machine."""

    member: str
    message: GroupMessage


class Sequencer:
    """The leader of one term, which writes directly to its replica."""

    def __init__(self, name: str, group: GroupState, replica: Replica, now: float) -> None:
        """Start the term in which machine `name` leads the view that `group` describes."""
        self.group = group
        self.replica = replica
        self.outbox: list[MemberMessage] = []  # emptied by `GroupMember`
        self.written_deltas: list[Delta] = []  # deltas with changes, for events; emptied by `GroupMember`
        self.is_started = False  # whether the first roster of this term was written
        self.locations = SessionLocations(replica)
        self.settlement = Settlement(now if group.prior_leases_expired else math.inf)
        followers = [member for member in group.members if member != name]
        self._replication = Replication(followers, replica, self._send)
        self._takeover = Takeover(group, followers, replica, self._send, now)
        self._send_settled_at = now + SETTLED_INTERVAL_SECONDS
        self._idle_until = now  # suspends `wake` while this machine has no lease

    def may_write(self, now: float) -> bool:
        """Return whether this machine is the leader and has a valid lease."""
        return self.group.is_leader and now < self.group.lease_expires_at

    def group_changed(self, group: GroupState, now: float) -> None:
        """Handle a change of the group's state within the same view."""
        self.group = group
        self._idle_until = now
        if group.prior_leases_expired:
            self.settlement.prior_leases_expired(now)

    # Taking over.

    def state_received(self, member: str, state: TermState, now: float) -> None:
        """Handle the state of a member at the start of the term."""
        if self.is_started or not self._takeover.state_received(member, state, now):
            return
        progress = self._replication.progress.get(member)
        if progress is not None:
            progress.known_version = state.version

    def missing_roster_received(self, member: str, message: Replicate | GroupSnapshot, now: float) -> None:
        """Handle a part of the newest roster from the member that was requested to send it."""
        if not self.is_started and self._takeover.roster_received(member, message):
            self.wake(now)

    def _take_over(self, now: float) -> None:
        """Take the next step towards the first roster of this term."""
        match self._takeover.advance(now, may_write=self.may_write(now)):
            case TakeoverStep.CONTINUE_ROSTER:
                self._adopt_sessions(now)
                self._takeover.adopt_settled()
                self.is_started = True
                self._write(self._version(0), now)
            case TakeoverStep.AWAIT_SESSIONS:
                self._adopt_sessions(now)
            case TakeoverStep.START_FRESH:
                self._start_fresh(now)
            case TakeoverStep.WAIT:
                pass

    def _adopt_sessions(self, now: float) -> None:
        """Initialize the locations of sessions from the states of all members."""
        self.locations.orphan_all(now)
        for member, state in self._takeover.states.items():
            for session in state.sessions:
                self.locations.session_opened(member, session, now)

    def _start_fresh(self, now: float) -> None:
        """Write the first roster of a new history, which continues no earlier roster."""
        self.locations.remove_expired(now)
        roster = self.replica.roster
        members = self.locations.pending.apply_all(() if roster is None else roster.members.values())
        self.is_started = True
        snapshot = GroupSnapshot(self._version(0), None, members)
        self.replica.reset(snapshot.version, snapshot.members)
        self.replica.install_snapshot(snapshot, self.group)
        for member in self._replication.progress:
            self._replication.send_snapshot(member, now)
        self._record_acknowledged(now)

    # Reports of sessions.

    def session_opened(self, member: str, session: SessionOpened, now: float) -> None:
        """Handle a member's report that it has a session of a relay."""
        if not self._accepts_reports() or member not in self.group.members:
            return
        key = relay_key(session.relay)
        if self.locations.session_opened(member, session, now):
            self._send(member, ReportAck(key, session.attempt, is_open=True))
        else:
            self._send(member, NameConflict(key, session.attempt))

    def session_ended(self, member: str, session: SessionEnded, now: float) -> None:
        """Handle a member's report that its session of a relay has ended."""
        if not self._accepts_reports() or member not in self.group.members:
            return
        self._send(member, ReportAck(session.key, session.attempt, is_open=False))
        self.locations.session_ended(member, session, now)

    def _accepts_reports(self) -> bool:
        return self.is_started or self._takeover.fresh_start_at < math.inf

    # Writing.

    def _write_pending(self, now: float) -> None:
        version = self.replica.version
        while self.locations.pending and version is not None and self.may_write(now):
            version = self._version(version.index + 1)
            self._write(version, now)

    def _write(self, version: Version, now: float) -> None:
        """Write a delta with as many pending changes as fit into one."""
        base = self.replica.version
        assert base is not None
        batch = self.locations.pending.take_batch()
        delta = Delta(base, version, batch.joined, batch.departed)
        outcome = self.replica.apply(delta, self.group)
        assert outcome is ApplyOutcome.APPLIED, outcome
        if batch.joined or batch.departed:
            self.written_deltas.append(delta)
        self._replication.replicate(delta, now)
        self._record_acknowledged(now)

    def _version(self, index: int) -> Version:
        return Version(self.group.epoch, self.group.term, index)

    # Replication and settling.

    def acknowledged(self, member: str, version: Version, now: float) -> None:
        """Handle an acknowledgement: the member grants no leases under rosters older than `version`."""
        if version.epoch != self.group.epoch or version.term != self.group.term:
            return
        if self._replication.acknowledged(member, version):
            self._record_acknowledged(now)

    def snapshot_requested(self, member: str, now: float) -> None:
        """Handle a request for the complete roster from a member that could not apply a delta."""
        if member in self._replication.progress and self.is_started:
            self._replication.send_snapshot(member, now)

    def _record_acknowledged(self, now: float) -> None:
        self.settlement.record_acknowledged(self._replication.acknowledged_by_all(), now)

    def _settle(self, now: float) -> None:
        if self.replica.advance_settled(self.settlement.take_settled(now)):
            self._send_settled_at = now
        if now < self._send_settled_at:
            return
        self._send_settled_at = now + SETTLED_INTERVAL_SECONDS
        if self.replica.settled is not None:
            self._replication.broadcast(Settled(self.replica.settled))

    # Time.

    @property
    def next_wake_at(self) -> float:
        """The time at which to call `wake`."""
        if not self.is_started:
            return max(self._idle_until, self._takeover.next_step_at)
        next_step_at = min(
            self.locations.pending.oldest_recorded_at + BATCH_DELAY_SECONDS,
            self._send_settled_at,
            self.locations.next_removal_at,
            self._replication.next_resend_at,
            self.settlement.next_settled_at,
        )
        return max(self._idle_until, next_step_at)

    def resumed(self, now: float) -> None:
        """After a process pause, postpone removals: reports of new sessions still wait in the sockets."""
        self.locations.postpone_removals(now + RESEND_DELAY_SECONDS)

    def wake(self, now: float) -> None:
        """Perform the work that is due."""
        if not self.is_started:
            self._take_over(now)
        if not self.may_write(now):
            self._idle_until = now + TAKEOVER_RETRY_SECONDS
            return
        if not self._accepts_reports():
            return
        self.locations.remove_expired(now)
        if self.is_started:
            if now >= self.locations.pending.oldest_recorded_at + BATCH_DELAY_SECONDS:
                self._write_pending(now)
            self._replication.resend(now)
            self._settle(now)

    def _send(self, member: str, message: GroupMessage) -> None:
        self.outbox.append(MemberMessage(member, message))
