"""One relay's side of its session, without I/O: messages and times in, actions and deadlines out.

When a session ends, the relay keeps what it has learned: relay counts, owners of keys and the shared map.
Only its lease expires. Times are seconds of a monotonic clock that also advances while the machine is
suspended, except for `unix_time_ms`.
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
from violetdoor.control.relay.status import AttachmentState, AttachmentStatus, SessionFailure
from violetdoor.control.roster import Roster, relay_key
from violetdoor.fleet.shared_map import SharedMap

# Relays that start together spread their first connections over this time.
MAX_START_DELAY_SECONDS = 0.5
# A connection attempt that takes longer counts as failed.
CONNECT_TIMEOUT_SECONDS = 1.0
# An attach whose response takes longer counts as failed.
ATTACH_TIMEOUT_SECONDS = 1.5
# Minimum delay before a control machine that rejected this relay is tried again.
MIN_REJECTED_RETRY_DELAY_SECONDS = 0.25
# Delay before a control machine that sent `GoAway` is tried again.
GO_AWAY_RETRY_DELAY_SECONDS = 2.0


class Attachment:
    """One relay's session at the control group of its region, reopened whenever it ends.

    The driver reports events with `handle_...`, executes the actions of `take_actions` in order, and calls
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
        """Start a new run of the relay, or the run with the given `instance` number."""
        drawn_instance = random.getrandbits(62) | 1
        self.config = config
        self.relay = _make_relay(config, drawn_instance if instance is None else instance)
        self.shared_map = SharedMap(config.name)  # calls its `on_change` for each new value
        self.membership = FleetMembership(config.region)
        self.state = AttachmentState.WAITING
        self.counters: Counter[str] = Counter()
        self.attempt = 0  # sessions requested by this run of the relay
        self._actions = ActionQueue()
        self._map_sync = SharedMapSync(self.shared_map, unix_time_ms)
        self._history = RosterHistory(relay_key(self.relay))
        self._lease = Lease(self._history, self._actions)
        self._selector = ControlSelector(config.name, config.control_addresses, random)
        replicated_state = ReplicatedState(self._history, self.membership, self._map_sync)
        self._session = Session(replicated_state, self._lease, self._actions, self.counters, random)
        self._rejection_reason: RejectionReason | None = None
        # When the next attempt starts, or the current one times out; infinite in other states.
        self._state_deadline = now + random.random() * MAX_START_DELAY_SECONDS
        self._lookup_count = 0  # number of the last lookup

    # Events of the connection.

    def handle_connected(self, now: float) -> None:
        """Request a session: the connection is open and its handshake complete."""
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
        """Back off after the connection ended or could not be opened.

        `refused`: the peer refused the connection because nothing listens at its address.
        """
        if self.state not in (AttachmentState.WAITING, AttachmentState.LEFT):
            failure = SessionFailure.CONNECTION_REFUSED if refused else SessionFailure.CONNECTION_CLOSED
            self._back_off(failure, now)

    def handle_message(self, message: SessionResponse, now: float) -> None:
        """Handle a message; one that violates the protocol ends an open session."""
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
            self._disconnect_and_back_off(SessionFailure.PROTOCOL_ERROR, now)

    # Switching control machines.

    def _disconnect_and_back_off(self, failure: SessionFailure, now: float) -> None:
        self._actions.append(Disconnect(failure.value))
        self._back_off(failure, now)

    def _back_off(self, failure: SessionFailure, now: float) -> None:
        """End the session or attempt; this control machine is not retried before its backoff has passed."""
        self.counters[f"lost_{failure.value.replace(' ', '_')}"] += 1
        backoff_seconds = self._selector.draw_backoff_seconds()
        self._wait_for_retry(backoff_seconds, now, MAX_SWITCH_DELAY_SECONDS)

    def _wait_for_retry(self, retry_after_seconds: float, now: float, max_jitter_seconds: float) -> None:
        """End the session or attempt, and schedule a connection to the first control machine that is due.

        The current one is due in `retry_after_seconds`. A random part of `max_jitter_seconds` is added.
        """
        if self.state is AttachmentState.ATTACHED:
            self._actions.emit(events.ATTACH_SESSION_LOST, control=self._session.control_name)
        self.state = AttachmentState.WAITING
        self._session.close()
        self._selector.postpone_current(retry_after_seconds, now)
        self._state_deadline = self._selector.draw_next_attempt_at(now, max_jitter_seconds)

    def _connect(self, now: float) -> None:
        self.state = AttachmentState.CONNECTING
        self._state_deadline = now + CONNECT_TIMEOUT_SECONDS
        self.counters["connects"] += 1
        self._actions.append(Connect(self._selector.current.address))

    def _return_to_preferred(self, now: float) -> None:
        """Switch to the preferred control machine; if that fails, the previous one is tried next."""
        self._selector.return_at = math.inf
        self._actions.append(Disconnect("return to the preferred control machine"))
        previous = self._selector.current
        self._wait_for_retry(0.0, now, 0.0)
        self._selector.return_to_preferred(previous)
        self._connect(now)

    # Timers.

    @property
    def next_wake_at(self) -> float:
        """When the driver must call `wake` next."""
        wake_at = min(self._state_deadline, self._lease.next_wake_at)
        if self.state is AttachmentState.ATTACHED:
            wake_at = min(wake_at, self._session.next_wake_at, self._selector.return_at)
        return wake_at

    def wake(self, now: float) -> None:
        """Handle the deadlines that have passed."""
        self._lease.emit_change(now)
        match self.state:
            case AttachmentState.WAITING if now >= self._state_deadline:
                if self._selector.select(now):
                    self._connect(now)
                else:
                    self._state_deadline = self._selector.next_retry_at
            case AttachmentState.CONNECTING | AttachmentState.ATTACHING if now >= self._state_deadline:
                self._disconnect_and_back_off(SessionFailure.NO_ANSWER, now)
            case AttachmentState.ATTACHED:
                self._check_session(now)

    def _check_session(self, now: float) -> None:
        failure = self._session.check_timeouts(now)
        if failure is not None:
            self._disconnect_and_back_off(failure, now)
        elif now >= self._selector.return_at:
            self._return_to_preferred(now)
        else:
            self._session.send_due_heartbeat(now)

    # Interface for the driver and the rest of the program.

    def take_actions(self) -> list[Action]:
        """Return the actions requested since the last call, in order."""
        return self._actions.take()

    def set_shared_value(self, key: str, value: float | None) -> bool:
        """Set a value that is shared with all relays; it is kept until it can be sent.

        Returns False if the key is too long or the map is full.
        """
        if not self._map_sync.set_value(key, value):
            return False
        if self.state is AttachmentState.ATTACHED:
            self._session.send_entries([key])
        return True

    def leave(self) -> None:
        """Release the lease and leave the fleet; nothing is sent after `Leave`."""
        if self.state is AttachmentState.ATTACHED:
            self._actions.send(Leave())
        self._end("left")

    def lookup(self, key: str) -> int | None:
        """Request the owner of a key of any region; return the number that its `LookupResult` will carry.

        Returns None without a session, or if the key is too long.
        """
        if self.state is not AttachmentState.ATTACHED or len(key) > MAX_LOOKUP_KEY_CHARACTERS:
            return None
        self._lookup_count += 1
        self._actions.send(Lookup(self._lookup_count, key))
        return self._lookup_count

    @property
    def roster(self) -> Roster | None:
        """The newest roster of this relay's region; None before the first one."""
        return self._history.roster

    @property
    def has_settled(self) -> bool:
        """Whether the newest known roster has settled: no lease under an older one can still be valid."""
        return self._history.has_settled

    def may_act(self, now: float) -> bool:
        """Whether this relay holds a lease and is a member of its region's roster, at this moment."""
        return self._lease.may_act(now)

    def owns(self, key: str, now: float) -> bool:
        """Whether this relay is the only one that may act on a key at this moment."""
        if not self.may_act(now) or self.membership.home_region(key) != self.config.region:
            return False
        return self._history.is_owner(key)

    def owner(self, key: str) -> str | None:
        """Return the owner of a key by the newest roster; None for other regions' keys, see `lookup`."""
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
        """Return the status for operators."""
        is_disconnected = self.state in (AttachmentState.WAITING, AttachmentState.LEFT)
        return AttachmentStatus(
            state=self.state,
            control_name=self._session.control_name,
            control_address=None if is_disconnected else self._selector.current.address,
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

    # Upgrade: the old process exports and then sends nothing more; the new one imports before it connects.

    def export_snapshot(self) -> AttachmentSnapshot:
        """Return the state for the new process; this one releases its lease and sends nothing more."""
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
        """Continue the old process's run of the relay, without its lease."""
        self.relay = _make_relay(self.config, snapshot.instance)
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


def _make_relay(config: AttachmentConfig, instance: int) -> Relay:
    return Relay(config.name, instance, config.host, config.port, config.zone)
