"""A control machine as a member of its region's group: following the leader, and leading in its own terms."""

from __future__ import annotations

import math

from violetdoor import events
from violetdoor.control.actions import EmitEvent, SendToMember
from violetdoor.control.context import MachineContext
from violetdoor.control.group import GroupState
from violetdoor.control.messages import (
    Delta,
    GroupMessage,
    GroupSnapshot,
    NameConflict,
    Replicate,
    ReplicateAck,
    ReportAck,
    SessionEnded,
    SessionOpened,
    Settled,
    SnapshotRequest,
    TermStarted,
    TermState,
    Version,
)
from violetdoor.control.replica import ApplyOutcome, Replica
from violetdoor.control.reports import SessionReports
from violetdoor.control.sequencer import Sequencer
from violetdoor.control.sessions import Sessions

# Relays that an event names; its counts are of all.
MAX_NAMES_PER_EVENT = 10


class GroupMember:
    """Handles the group's messages and the changes of its view."""

    def __init__(
        self, context: MachineContext, replica: Replica, reports: SessionReports, sessions: Sessions
    ) -> None:
        """Start outside of any view."""
        self.state: GroupState | None = None
        self.sequencer: Sequencer | None = None  # in the terms in which this machine is the leader
        self._context = context
        self._emit = context.emit
        self._replica = replica
        self._reports = reports
        self._sessions = sessions

    def state_changed(self, state: GroupState | None, now: float) -> None:
        """Handle another state of the group; None where this machine is in no view."""
        before = self.state
        self.state = state
        if state is None:
            self.sequencer = None
        elif before is None or before.membership != state.membership:
            self._term_changed(state, now)
        elif self.sequencer is not None:
            self.sequencer.group_changed(state, now)

    def _term_changed(self, state: GroupState, now: float) -> None:
        self.sequencer = None
        self._reports.resend_all(now)
        name = self._context.config.name
        if state.leader == name:
            self.sequencer = Sequencer(name, state, self._replica, now)
            self.sequencer.state_received(name, self._term_state(state), now)

    def _term_state(self, state: GroupState) -> TermState:
        sessions = tuple(
            SessionOpened(session.relay, session.attempt)
            for session in self._sessions.by_name.values()
            if session.relay is not None
        )
        return TermState(
            epoch=state.epoch,
            term=state.term,
            version=self._replica.version,
            settled=self._replica.settled,
            sessions=sessions,
            is_current=self._replica.is_current(state),
        )

    # Messages.

    def message_received(self, member: str, message: GroupMessage, now: float) -> None:
        """Handle a message of a member of the view, this machine perhaps; others' are ignored."""
        if self.state is not None and member in self.state.members:
            self._handle(member, message, self.state, now)

    def _handle(self, member: str, message: GroupMessage, state: GroupState, now: float) -> None:
        match message:
            case Replicate() | GroupSnapshot():
                self._handle_roster(member, message, state, now)
            case Settled():
                self._replica.advance_settled(message.version)
            case TermStarted() | ReportAck() | NameConflict():
                if member == state.leader:
                    self._handle_of_leader(member, message, state)
            case SnapshotRequest() if member == state.leader:
                self._send_missing(member, message.known_version)
            case _:
                self._handle_as_leader(member, message, now)

    def _handle_of_leader(
        self, leader: str, message: TermStarted | ReportAck | NameConflict, state: GroupState
    ) -> None:
        match message:
            case TermStarted():
                if message.epoch == state.epoch and message.term == state.term:
                    self._emit(SendToMember(leader, self._term_state(state)))
            case ReportAck():
                self._reports.acknowledge(message)
            case NameConflict():
                self._sessions.name_conflict(message.key, message.attempt)

    def _handle_as_leader(self, member: str, message: GroupMessage, now: float) -> None:
        """Handle a message for the leader; another machine ignores it, and it is sent again."""
        sequencer = self.sequencer
        if sequencer is None:
            return
        match message:
            case TermState():
                sequencer.state_received(member, message, now)
            case SessionOpened():
                sequencer.session_opened(member, message, now)
            case SessionEnded():
                sequencer.session_ended(member, message, now)
            case ReplicateAck():
                sequencer.acknowledged(member, message.version, now)
            case SnapshotRequest():
                sequencer.snapshot_requested(member, now)

    def _handle_roster(
        self, member: str, message: Replicate | GroupSnapshot, state: GroupState, now: float
    ) -> None:
        """Handle what the leader wrote; or, as a new leader, the newest roster of the terms before."""
        if self.sequencer is not None:
            self.sequencer.missing_roster_received(member, message, now)
            return
        if member != state.leader:
            return
        if isinstance(message, GroupSnapshot):
            is_accepted = self._replica.install_snapshot(message, state)
        else:
            is_accepted = self._apply_of_leader(member, message.delta, state)
        self._replica.advance_settled(message.settled)
        if is_accepted and self._replica.version is not None:
            self._emit(SendToMember(member, ReplicateAck(self._replica.version)))

    def _apply_of_leader(self, leader: str, delta: Delta, state: GroupState) -> bool:
        """Apply a delta; return whether this machine now has it, and request what is missing otherwise."""
        outcome = self._replica.apply(delta, state)
        if outcome is ApplyOutcome.GAP:
            self._emit(SendToMember(leader, SnapshotRequest(self._replica.version)))
        return outcome in (ApplyOutcome.APPLIED, ApplyOutcome.ALREADY_APPLIED)

    def _send_missing(self, leader: str, known_version: Version | None) -> None:
        """Send a new leader what it lacks of this machine's roster."""
        replica = self._replica
        roster = replica.roster
        if roster is None:
            return
        deltas = None if known_version is None else replica.delta_log.since(known_version)
        if deltas is None:
            snapshot = GroupSnapshot(roster.version, replica.settled, tuple(roster.members.values()))
            self._emit(SendToMember(leader, snapshot))
            return
        for delta in deltas:
            self._emit(SendToMember(leader, Replicate(delta, replica.settled)))

    # Sending.

    def advance(self, now: float) -> None:
        """Report to the leader what is due, and do what is due as the leader."""
        state = self.state
        if state is not None and state.leader is not None:  # else nobody would be there to acknowledge
            for report in self._reports.take_due(now):
                self._send(state.leader, report, now)
        sequencer = self.sequencer
        if sequencer is None:
            return
        was_started = sequencer.is_started
        if now >= sequencer.next_wake_at:
            sequencer.wake(now)
        self._send_outbox(sequencer, now)
        if sequencer.is_started and not was_started:
            values = {"version": str(self._replica.version)}
            self._emit(EmitEvent(events.CONTROL_TERM_STARTED, values))
        self._emit_members_changed(sequencer)

    def _send_outbox(self, sequencer: Sequencer, now: float) -> None:
        outbox = sequencer.outbox
        sequencer.outbox = []
        for queued in outbox:
            self._send(queued.member, queued.message, now)

    def _send(self, member: str, message: GroupMessage, now: float) -> None:
        """Send a message to a member of the group; one to this machine is handled at once."""
        if member != self._context.config.name:
            self._emit(SendToMember(member, message))
        elif self.state is not None:
            self._handle(member, message, self.state, now)

    def _emit_members_changed(self, sequencer: Sequencer) -> None:
        written = sequencer.written_deltas
        sequencer.written_deltas = []
        for delta in written:
            values = {
                "version": str(delta.version),
                "joined": [relay.name for relay in delta.joined[:MAX_NAMES_PER_EVENT]],
                "joined_count": len(delta.joined),
                "departed": [key.name for key in delta.departed[:MAX_NAMES_PER_EVENT]],
                "departed_count": len(delta.departed),
            }
            self._emit(EmitEvent(events.CONTROL_MEMBERS_CHANGED, values))

    # Time.

    @property
    def next_wake_at(self) -> float:
        """When `advance` is to be called next."""
        next_wake_at = math.inf
        if self.state is not None and self.state.leader is not None:
            next_wake_at = self._reports.next_send_at
        if self.sequencer is not None:
            next_wake_at = min(next_wake_at, self.sequencer.next_wake_at)
        return next_wake_at

    def resumed(self, now: float) -> None:
        """Note that this machine was stopped for a while."""
        if self.sequencer is not None:
            self.sequencer.resumed(now)
