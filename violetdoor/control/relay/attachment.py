"""One relay's side of its session, without input or output: messages and times in, actions and deadlines out.

The relay keeps what it knows when the session ends: counts, owners, the shared map. Only its lease expires.
Times are seconds of a monotonic clock that goes on while the machine sleeps, but for `unix_time_ms`.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from random import Random

from violetdoor import events
from violetdoor.control.messages import (
    MAX_LOOKUP_KEY_CHARACTERS,
    PROTOCOL_VERSION,
    Attach,
    GoAway,
    Leave,
    Lookup,
    Rejected,
    RejectionReason,
    Relay,
    SessionResponse,
    Welcome,
)
from violetdoor.control.relay.actions import Action, ActionQueue, Connect, Disconnect
from violetdoor.control.relay.control_selection import MAX_SWITCH_DELAY_SECONDS, ControlSelector
from violetdoor.control.relay.lease import Lease
from violetdoor.control.relay.membership import FleetMemberCounts, FleetMembership
from violetdoor.control.relay.options import AttachmentConfig
from violetdoor.control.relay.replicated_state import ReplicatedState
from violetdoor.control.relay.roster_history import RosterHistory
from violetdoor.control.relay.session import Session
from violetdoor.control.relay.shared_map_sync import SharedMapSync
from violetdoor.control.relay.snapshot import AttachmentSnapshot
from violetdoor.control.relay.status import AttachmentState, AttachmentStatus, SessionEnd
from violetdoor.control.roster import Roster, relay_key
from violetdoor.fleet.shared_map import SharedMap

# Relays that start together spread their first connections over this time.
MAX_START_DELAY_SECONDS = 0.5
# A connection that takes longer counts as failed.
CONNECT_TIMEOUT_SECONDS = 1.0
# The answer to `Attach` that takes longer counts as failed.
ATTACH_TIMEOUT_SECONDS = 1.5
# A control machine that rejected this relay is left alone for this time at least.
MIN_REJECTED_RETRY_DELAY_SECONDS = 0.25
# A control machine that sent this relay away is left alone for this time.
GO_AWAY_RETRY_DELAY_SECONDS = 2.0


class Attachment:
    """One relay's session at the control group of its region, opened again and again.

    The caller passes on what happens (`handle_...`), carries out `take_actions` in order, and calls
    `wake` at `next_wake_at`.
    """

    def __init__(
        self,
        config: AttachmentConfig,
        random: Random,
        now: float,
        unix_time_ms: Callable[[], float],
        instance: int | None = None,
    ) -> None:
        """Begin a new run of the relay, or the run with this `instance` number."""
        drawn_instance = random.getrandbits(62) | 1
        self.config = config
        self.relay = _relay_of(config, drawn_instance if instance is None else instance)
        self.shared_map = SharedMap(config.name)  # its `changed` is called for each value that is new here
        self.membership = FleetMembership(config.region)
        self.state = AttachmentState.WAITING
        self.counters: Counter[str] = Counter()
        self.attempt = 0  # sessions asked for by this run of the relay
        self._actions = ActionQueue()
        self._map_sync = SharedMapSync(self.shared_map, unix_time_ms)
        self._history = RosterHistory(relay_key(self.relay))
        self._lease = Lease(self._history, self._actions)
        self._selector = ControlSelector(config.name, config.control_addresses, random)
        replicated_state = ReplicatedState(self._history, self.membership, self._map_sync)
        self._session = Session(replicated_state, self._lease, self._actions, self.counters, random)
        self._rejection_reason: RejectionReason | None = None
        self._state_deadline = now + random.random() * MAX_START_DELAY_SECONDS
        self._lookup_count = 0

    # What happens on the connection.

    def handle_connected(self, now: float) -> None:
        """Ask for a session: the connection is open, and its handshake complete."""
        if self.state is not AttachmentState.CONNECTING:
            return
        self.attempt += 1
        self.counters["attaches"] += 1
        self.state = AttachmentState.ATTACHING
        self._state_deadline = now + ATTACH_TIMEOUT_SECONDS
        attach = Attach(
            PROTOCOL_VERSION,
            self.config.region,
            self.relay,
            self.attempt,
            self._history.version,
            self.shared_map.digest,
        )
        self._actions.send(attach)

    def handle_disconnected(self, now: float, *, refused: bool = False) -> None:
        """Back off: the connection ended, or could not be opened; `refused`: nobody listens there."""
        if self.state not in (AttachmentState.WAITING, AttachmentState.LEFT):
            end = SessionEnd.CONNECTION_REFUSED if refused else SessionEnd.CONNECTION_CLOSED
            self._back_off(end, now)

    def handle_message(self, message: SessionResponse, now: float) -> None:
        """Handle a message; one that does not belong here ends the session."""
        is_attaching = self.state is AttachmentState.ATTACHING
        is_attached = self.state is AttachmentState.ATTACHED
        if isinstance(message, Rejected) and (is_attaching or is_attached):
            self._handle_rejection(message, now)
        elif isinstance(message, Welcome) and is_attaching:
            self._handle_welcome(message, now)
        elif is_attached:
            self._session.last_received_at = now
            if isinstance(message, GoAway):
                self._handle_go_away(message, now)
            else:
                self._handle_session_message(message, now)

    def _handle_rejection(self, rejection: Rejected, now: float) -> None:
        reason = rejection.reason
        self._rejection_reason = reason
        self.counters[f"refused_{reason.replace(' ', '_')}"] += 1
        host, port = self._selector.current.address
        self._actions.emit(events.ATTACH_REJECTED, address=f"{host}:{port}", why=reason)
        self._actions.append(Disconnect(reason))
        self._wait_for_retry(
            max(rejection.retry_after_seconds, MIN_REJECTED_RETRY_DELAY_SECONDS),
            now,
            MAX_SWITCH_DELAY_SECONDS,
        )

    def _handle_welcome(self, welcome: Welcome, now: float) -> None:
        self.state = AttachmentState.ATTACHED
        self._state_deadline = math.inf
        self._rejection_reason = None
        self._selector.session_opened(now)
        self._session.open(welcome, now)
        self._actions.emit(events.ATTACH_SESSION_OPENED, control=welcome.control_name, attempt=self.attempt)

    def _handle_go_away(self, message: GoAway, now: float) -> None:
        self.counters["sent_away"] += 1
        self._actions.append(Disconnect("sent away"))
        self._wait_for_retry(GO_AWAY_RETRY_DELAY_SECONDS, now, message.within_seconds)

    def _handle_session_message(self, message: SessionResponse, now: float) -> None:
        try:
            self._session.handle_message(message, now)
        except ValueError:
            self._abandon(SessionEnd.PROTOCOL_ERROR, now)

    # From one control machine to the next.

    def _abandon(self, end: SessionEnd, now: float) -> None:
        self._actions.append(Disconnect(end.value))
        self._back_off(end, now)

    def _back_off(self, end: SessionEnd, now: float) -> None:
        """End the session, or the attempt at one: retry this control machine later, and others before."""
        self.counters[f"lost_{end.value.replace(' ', '_')}"] += 1
        backoff_seconds = self._selector.draw_backoff_seconds()
        self._wait_for_retry(backoff_seconds, now, MAX_SWITCH_DELAY_SECONDS)

    def _wait_for_retry(self, retry_after_seconds: float, now: float, spread_seconds: float) -> None:
        """Wait for the first control machine that may be tried; the current one in `retry_after_seconds`."""
        if self.state is AttachmentState.ATTACHED:
            self._actions.emit(events.ATTACH_SESSION_LOST, control=self._session.control_name)
        self.state = AttachmentState.WAITING
        self._session.close()
        self._selector.postpone_current(retry_after_seconds, now)
        self._state_deadline = self._selector.draw_next_attempt_at(now, spread_seconds)

    def _connect(self, now: float) -> None:
        self.state = AttachmentState.CONNECTING
        self._state_deadline = now + CONNECT_TIMEOUT_SECONDS
        self.counters["connects"] += 1
        self._actions.append(Connect(self._selector.current.address))

    def _return_to_preferred(self, now: float) -> None:
        """Try the preferred control machine, and go back at once where that fails."""
        self._selector.return_at = math.inf
        self._actions.append(Disconnect("return to the preferred control machine"))
        previous = self._selector.current
        self._wait_for_retry(0.0, now, 0.0)
        self._selector.return_to_preferred(previous)
        self._connect(now)

    # Time.

    @property
    def next_wake_at(self) -> float:
        """When `wake` is to be called next."""
        wake_at = min(self._state_deadline, self._lease.next_wake_at)
        if self.state is AttachmentState.ATTACHED:
            wake_at = min(wake_at, self._session.next_wake_at, self._selector.return_at)
        return wake_at

    def wake(self, now: float) -> None:
        """Do what is due by now."""
        self._lease.emit_change(now)
        match self.state:
            case AttachmentState.WAITING if now >= self._state_deadline:
                if self._selector.select(now):
                    self._connect(now)
                else:
                    self._state_deadline = self._selector.next_retry_at
            case AttachmentState.CONNECTING | AttachmentState.ATTACHING if now >= self._state_deadline:
                self._abandon(SessionEnd.NO_ANSWER, now)
            case AttachmentState.ATTACHED:
                self._check_session(now)

    def _check_session(self, now: float) -> None:
        end = self._session.check_timeouts(now)
        if end is not None:
            self._abandon(end, now)
        elif now >= self._selector.return_at:
            self._return_to_preferred(now)
        else:
            self._session.send_due_heartbeat(now)

    # What the rest of the program does and asks.

    def take_actions(self) -> list[Action]:
        """Return what is to be done since the last call, in order."""
        return self._actions.take()

    def set_shared_value(self, key: str, value: float | None) -> bool:
        """Set a value that all relays are to know; it is kept until it can be sent.

        False where the key is too long or the map is full.
        """
        if not self._map_sync.set_value(key, value):
            return False
        if self.state is AttachmentState.ATTACHED:
            self._session.send_entries([key])
        return True

    def leave(self) -> None:
        """Give the lease up and leave the fleet: nothing is sent after the farewell."""
        if self.state is AttachmentState.ATTACHED:
            self._actions.send(Leave())
        self._end("left")

    def lookup(self, key: str) -> int | None:
        """Ask who owns a key of any region; the number that `LookupResult` will carry.

        None: there is no session, or the key is too long.
        """
        if self.state is not AttachmentState.ATTACHED or len(key) > MAX_LOOKUP_KEY_CHARACTERS:
            return None
        self._lookup_count += 1
        self._actions.send(Lookup(self._lookup_count, key))
        return self._lookup_count

    @property
    def roster(self) -> Roster | None:
        """The newest roster of this relay's region."""
        return self._history.roster

    @property
    def has_settled(self) -> bool:
        """Whether the newest roster here is the settled one: no lease below it can hold."""
        return self._history.has_settled

    def may_act(self, now: float) -> bool:
        """Whether this relay holds a lease as a member of its region's roster, at this moment."""
        return self._lease.may_act(now)

    def owns(self, key: str, now: float) -> bool:
        """Whether a key is this relay's alone at this moment."""
        if not self.may_act(now) or self.membership.home_region(key) != self.config.region:
            return False
        return self._history.is_owner(key)

    def owner(self, key: str) -> str | None:
        """Find the owner of a key of this region by the newest roster; for other regions see `lookup`."""
        roster = self._history.roster
        if roster is None or self.membership.home_region(key) != self.config.region:
            return None
        return roster.owner(key)

    def member_counts(self, now: float) -> FleetMemberCounts:
        """Count the relays alive in all regions."""
        is_attached = self.state is AttachmentState.ATTACHED
        idle_seconds = 0.0 if is_attached else now - self._session.last_received_at
        return self.membership.member_counts(self._history.roster, idle_seconds, now)

    def status(self, now: float) -> AttachmentStatus:
        """Collect what operators see."""
        is_idle = self.state in (AttachmentState.WAITING, AttachmentState.LEFT)
        return AttachmentStatus(
            state=self.state,
            control_name=self._session.control_name,
            control_address=None if is_idle else self._selector.current.address,
            attempt=self.attempt,
            version=self._history.version,
            settled=self._history.settled,
            member_counts=self.member_counts(now),
            may_act=self.may_act(now),
            lease_remaining_seconds=max(0.0, self._lease.expires_at - now),
            idle_seconds=now - self._session.last_received_at,
            rejection_reason=self._rejection_reason,
            counters=dict(self.counters),
        )

    # An upgrade: the old process exports and is silent from then on; the new one imports before it connects.

    def export_snapshot(self) -> AttachmentSnapshot:
        """Collect what the new process needs; this one gives its lease up and sends nothing more."""
        self._end("handed over")
        history = self._history
        return AttachmentSnapshot(
            instance=self.relay.instance,
            attempt=self.attempt,
            version=history.version,
            complete_since=history.complete_since,
            settled=history.settled,
            members=history.members(),
            tombstones=tuple(history.tombstones),
            regions=self.membership.regions,
            region_counts=tuple(self.membership.region_counts.values()),
            entries=tuple(self.shared_map.entries.values()),
        )

    def import_snapshot(self, snapshot: AttachmentSnapshot, now: float) -> None:
        """Go on as the run of the relay that the old process was, without its lease."""
        self.relay = _relay_of(self.config, snapshot.instance)
        self.attempt = snapshot.attempt
        roster = None
        if snapshot.version is not None:
            roster = Roster(snapshot.version, snapshot.members)
        self._history.restore(
            relay_key(self.relay), roster, snapshot.complete_since, snapshot.settled, snapshot.tombstones
        )
        self.membership.restore(snapshot.regions, snapshot.region_counts, now)
        self._map_sync.merge(snapshot.entries)

    def _end(self, reason: str) -> None:
        if self.state not in (AttachmentState.WAITING, AttachmentState.LEFT):
            self._actions.append(Disconnect(reason))
        self.state = AttachmentState.LEFT
        self._lease.release()
        self._state_deadline = math.inf


def _relay_of(config: AttachmentConfig, instance: int) -> Relay:
    return Relay(config.name, instance, config.host, config.port, config.zone)
