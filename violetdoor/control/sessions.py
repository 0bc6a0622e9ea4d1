"""All sessions at one control machine: their start, their leases and updates, and their end."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable

from violetdoor import events
from violetdoor.control.actions import CloseSession, EmitEvent, SendToSession
from violetdoor.control.admission import (
    FULL_RETRY_DELAY_SECONDS,
    NAME_RETRY_DELAY_SECONDS,
    Admission,
    has_valid_lengths,
)
from violetdoor.control.context import MachineContext
from violetdoor.control.distribution import RosterDistributor, Updates
from violetdoor.control.leases import LEASE_SECONDS, LeaseGranter
from violetdoor.control.messages import (
    MAX_MESSAGE_ENTRIES,
    Attach,
    Entries,
    GoAway,
    Heartbeat,
    HeartbeatAck,
    RegionCount,
    RegionCounts,
    Rejected,
    RejectionReason,
    Relay,
    RelayKey,
    SessionEnded,
    SessionEndReason,
    SessionOpened,
    SessionResponse,
    Watch,
    Welcome,
)
from violetdoor.control.replica import Replica
from violetdoor.control.reports import SessionReports
from violetdoor.control.roster import relay_key
from violetdoor.control.session import Session
from violetdoor.fleet.messages import MapEntry

# From one heartbeat to the next: six in a lease.
HEARTBEAT_INTERVAL_SECONDS = 1.0
# Without a message after which a relay goes elsewhere: two responses were lost, four heartbeats remain.
RELAY_IDLE_TIMEOUT_SECONDS = 2.0
# Without a message after which a relay is reported as departed: it has had time to attach elsewhere.
SESSION_IDLE_TIMEOUT_SECONDS = 3.5
# Over which relays that are sent to other machines spread their attaches.
GO_AWAY_SPREAD_SECONDS = 1.0


class Sessions:
    """The sessions of relays and of watching control machines.

    Each start and end of a relay's session is reported to the group's leader through `reports`.
    """

    def __init__(
        self,
        context: MachineContext,
        replica: Replica,
        reports: SessionReports,
        leases: LeaseGranter,
        now: float,
    ) -> None:
        """Start without sessions."""
        self.counters: Counter[str] = Counter()  # names are in docs/oncall.md
        self.by_number: OrderedDict[int, Session] = OrderedDict()  # least recently received from first
        self.by_name: dict[str, Session] = {}  # of relays
        self.watcher_count = 0
        self.admission = Admission(context, replica, leases, now)
        self._context = context
        self._emit = context.emit
        self._replica = replica
        self._reports = reports
        self._leases = leases
        self._distributor = RosterDistributor(replica, self.counters, self.send)
        self._idle_counts_from = now  # idle time before this counts for nothing: this machine was stopped

    # Opening.

    def opened(self, number: int, source: str, now: float) -> None:
        """Handle an accepted connection."""
        session = Session(number, source, now)
        self.by_number[number] = session
        if len(self.by_number) > self._context.config.limits.max_sessions:
            self._reject(session, "full", FULL_RETRY_DELAY_SECONDS)

    def attach(self, session: Session, message: Attach, counts: Iterable[RegionCount], now: float) -> None:
        """Handle a relay's request for a session; `counts` of other regions are sent to it first."""
        relay = message.relay
        if not has_valid_lengths(relay):
            self.drop(session, "relay", now)
            return
        existing = self.by_name.get(relay.name)
        if existing is not None and existing.relay == relay and message.attempt <= existing.attempt:
            self.drop(session, "overtaken", now)  # a connection that the relay has given up
            return
        rejection = self.admission.rejection(message, now)
        if rejection is None:
            rejection = self.admission.name_rejection(relay, existing, now)
        if rejection is not None:
            self._reject(session, rejection.reason, rejection.retry_after_seconds)
            return
        if existing is not None:
            self._replace(existing)
        session.relay = relay
        session.attempt = message.attempt
        self.by_name[relay.name] = session
        self.counters["attached"] += 1
        self._welcome(session, message, now)
        sent_counts = tuple(counts)
        if sent_counts:
            self.send(session, RegionCounts(sent_counts))
        self._reports.add(SessionOpened(relay, message.attempt), now)

    def watch(self, session: Session, message: Watch, now: float) -> None:
        """Handle the request of another region's control machine to watch this region."""
        rejection = self.admission.rejection(message, now)
        if rejection is not None:
            self._reject(session, rejection.reason, rejection.retry_after_seconds)
            return
        session.watcher_name = message.watcher_name
        self.watcher_count += 1
        self.counters["watched"] += 1
        self._welcome(session, message, now)

    def _reject(self, session: Session, reason: RejectionReason, retry_after_seconds: float) -> None:
        """Reject a session. The delay is drawn for each, so that many don't come back together."""
        delay = retry_after_seconds * (1.0 + self._context.random.random())
        self.counters[f"refused_{reason.replace(' ', '_')}"] += 1
        self.send(session, Rejected(reason, round(delay, 3)))
        self._remove(session)
        self._emit(CloseSession(session.number, reason))
        values = {"source": session.source, "why": reason}
        self._emit(EmitEvent(events.CONTROL_SESSION_REJECTED, values))

    def _welcome(self, session: Session, message: Attach | Watch, now: float) -> None:
        session.last_received_at = now
        session.sent_version = message.known_version
        session.version_at_attach = message.known_version
        config = self._context.config
        welcome = Welcome(
            control_name=config.name,
            region=config.region,
            regions=tuple(sorted(config.regions)),
            heartbeat_interval_seconds=HEARTBEAT_INTERVAL_SECONDS,
            idle_timeout_seconds=RELAY_IDLE_TIMEOUT_SECONDS,
            lease_seconds=LEASE_SECONDS,
        )
        self.send(session, welcome)
        self._send_roster(session, {}, now)
        if message.entries_digest != self._context.shared_map.digest:
            self._send_complete_map(session)

    def _send_complete_map(self, session: Session) -> None:
        entries = tuple(self._context.shared_map.entries.values())
        groups = _split_entries(entries) or [()]
        for group in groups[:-1]:
            self.send(session, Entries(group))
        self.send(session, Entries(groups[-1], is_last=True))

    # Leases.

    def heartbeat(self, session: Session, message: Heartbeat, now: float) -> None:
        """Grant a lease where that is right, and send the settled version."""
        session.acknowledge(message.applied_version)
        if session.is_roster_paused:
            self._send_roster(session, {}, now)
        is_granted = self._leases.may_grant(session, now)
        self.counters["leases"] += 1 if is_granted else 0  # the counter exists from the first heartbeat on
        lease_seconds = LEASE_SECONDS if is_granted else 0.0
        settled = self._leases.settled_version(session)
        self.send(session, HeartbeatAck(message.number, lease_seconds, session.sent_version, settled))

    # The roster.

    def distribute(self, now: float) -> None:
        """Send what is new in the roster to all sessions."""
        if not self._distributor.start_round():
            return
        roster = self._replica.roster
        assert roster is not None
        updates: Updates = {}
        for session in list(self.by_number.values()):
            if not session.is_open:
                continue
            self._send_roster(session, updates, now)
            relay = session.relay
            if relay is not None and not roster.contains(relay_key(relay)):
                self._report_again(session, relay, now)

    def _report_again(self, session: Session, relay: Relay, now: float) -> None:
        """Report a session of a relay that the roster does not have, unless a report is on its way."""
        if relay.name not in self._reports.pending:
            self._reports.add(SessionOpened(relay, session.attempt), now)

    def _send_roster(self, session: Session, updates: Updates, now: float) -> None:
        if not self._distributor.update(session, updates):
            self.go_away(session, "behind", 0.0, now)

    def resync(self, session: Session, now: float) -> None:
        """Send a snapshot of the roster: the peer could not apply what it got."""
        session.sent_version = None
        session.in_flight_versions.clear()
        self._send_roster(session, {}, now)

    # Sending.

    def send(self, session: Session, message: SessionResponse) -> None:
        """Send a message on one session."""
        self._emit(SendToSession(session.number, message))

    def send_to_relays(self, message: SessionResponse) -> None:
        """Send a message to all relays."""
        for session in self.by_name.values():
            self.send(session, message)

    def send_entries(self, entries: tuple[MapEntry, ...]) -> None:
        """Send entries of the shared map to all sessions."""
        messages = [Entries(group) for group in _split_entries(entries)]
        for session in self.by_number.values():
            if session.is_open:
                for message in messages:
                    self.send(session, message)

    # Ending.

    def message_received(self, session: Session, now: float) -> None:
        """Note that the peer has sent something."""
        session.last_received_at = now
        self.by_number.move_to_end(session.number)

    def relay_left(self, session: Session, now: float) -> None:
        """Handle a relay that leaves the region."""
        self._end(session, "left", now)
        self._emit(CloseSession(session.number, "left"))

    def connection_closed(self, session: Session, now: float) -> None:
        """Handle the end of a connection."""
        self.counters["closed_lost"] += 1
        self._end(session, "closed", now)

    def backlog_changed(self, session: Session, queued_bytes: int, now: float) -> None:
        """Handle a change of what is queued for the peer; drop it where that is too much."""
        session.backlog_bytes = queued_bytes
        if queued_bytes > self._context.config.limits.max_backlog_bytes:
            self.drop(session, "slow", now)

    def drop(self, session: Session, reason: str, now: float) -> None:
        """Close a session for a fault of its own; its relay counts as one whose connection closed."""
        values = {"source": session.source, "why": reason}
        self._emit(EmitEvent(events.CONTROL_SESSION_DROPPED, values))
        self.counters[f"closed_{reason}"] += 1
        self._end(session, "closed", now)
        self._emit(CloseSession(session.number, reason))

    def name_conflict(self, key: RelayKey, attempt: int) -> None:
        """Reject a session that the leader does not admit: another run of its relay is alive elsewhere."""
        self._reports.discard(key)
        session = self.by_name.get(key.name)
        if session is None or session.relay is None or session.attempt != attempt:
            return
        if relay_key(session.relay) == key:
            self._reject(session, "name", NAME_RETRY_DELAY_SECONDS)

    def go_away(self, session: Session, reason: str, within_seconds: float, now: float) -> None:
        """Send a peer to another control machine, and close its session."""
        if session.is_open:
            self.send(session, GoAway(within_seconds))
        self.counters[f"closed_{reason.replace(' ', '_')}"] += 1
        self._end(session, "closed", now)
        self._emit(CloseSession(session.number, reason))

    def go_away_all(self, reason: str, now: float) -> None:
        """Send all peers to other control machines, and close their sessions."""
        for session in list(self.by_number.values()):
            self.go_away(session, reason, GO_AWAY_SPREAD_SECONDS, now)

    def _replace(self, session: Session) -> None:
        """Close a session that a newer one of the same relay replaces."""
        self.counters["closed_replaced"] += 1
        self._remove(session)
        self._emit(CloseSession(session.number, "replaced"))

    def _end(self, session: Session, reason: SessionEndReason, now: float) -> None:
        """Remove a session, and report its end to the leader."""
        relay = session.relay
        if relay is not None and self.by_name.get(relay.name) is session:
            self._reports.add(SessionEnded(relay_key(relay), session.attempt, reason), now)
        self._remove(session)

    def _remove(self, session: Session) -> None:
        if self.by_number.pop(session.number, None) is None:
            return
        if session.watcher_name is not None:
            self.watcher_count -= 1
        if session.relay is not None and self.by_name.get(session.relay.name) is session:
            del self.by_name[session.relay.name]

    # Time.

    @property
    def next_wake_at(self) -> float:
        """When the session that has sent nothing for longest is closed; infinite without sessions."""
        for session in self.by_number.values():
            return self._idle_timeout_at(session)
        return math.inf

    def resumed(self, now: float) -> None:
        """Note that this machine was stopped: what peers sent meanwhile still waits at its sockets."""
        self._idle_counts_from = now

    def wake(self, now: float) -> None:
        """Close the sessions that have sent nothing for too long."""
        for session in list(self.by_number.values()):
            if now < self._idle_timeout_at(session):
                break
            self.counters["closed_silent"] += 1
            self._end(session, "silent", now)
            self._emit(CloseSession(session.number, "silent"))

    def _idle_timeout_at(self, session: Session) -> float:
        return max(session.last_received_at, self._idle_counts_from) + SESSION_IDLE_TIMEOUT_SECONDS


def _split_entries(entries: tuple[MapEntry, ...]) -> list[tuple[MapEntry, ...]]:
    """Return entries in groups that fit into a frame each."""
    starts = range(0, len(entries), MAX_MESSAGE_ENTRIES)
    return [entries[start : start + MAX_MESSAGE_ENTRIES] for start in starts]
