"""An open session at a control machine: heartbeats, and what the control machine sends on it."""

from __future__ import annotations

import math
from collections import Counter
from random import Random

from violetdoor.control.messages import (
    Delta,
    Entries,
    Heartbeat,
    HeartbeatAck,
    LookupResponse,
    RegionCounts,
    Resync,
    RosterDeltas,
    SessionResponse,
    SnapshotChunk,
    Version,
    Welcome,
)
from violetdoor.control.relay.actions import ActionQueue, LookupResult
from violetdoor.control.relay.lease import Lease
from violetdoor.control.relay.replicated_state import ReplicatedState
from violetdoor.control.relay.status import SessionEnd
from violetdoor.control.roster import SnapshotAssembler

# A session without a lease is given up after this time: a new leader, and a lease under the one before it,
# take up to 6 s.
LEASE_TIMEOUT_SECONDS = 8.0
# A heartbeat that is later than this shows that the relay's process was stopped: it can't judge for how long
# the other side was silent.
PROCESS_PAUSE_THRESHOLD_SECONDS = 0.5


class SessionProtocolError(ValueError):
    """The control machine broke the protocol of a session."""


class UnexpectedMessageError(SessionProtocolError):
    """A message that does not belong into an open session."""

    def __init__(self, message: SessionResponse) -> None:
        """Keep the message that came."""
        super().__init__(f"{type(message).__name__} in a session that is open")
        self.message = message


class StaleRosterError(SessionProtocolError):
    """A complete roster that is older than the newest that is known."""

    def __init__(self, version: Version) -> None:
        """Keep the version of the roster that came."""
        super().__init__(f"roster {version} is older than the newest that is known")
        self.version = version


class Session:
    """What lasts for one session; it is opened again for the next one. Times as in the attachment."""

    def __init__(
        self,
        state: ReplicatedState,
        lease: Lease,
        actions: ActionQueue,
        counters: Counter[str],
        random: Random,
    ) -> None:
        """Begin closed; what the control machine sends goes into `state`."""
        self.control_name: str | None = None  # of the control machine, while the session is open
        self.last_received_at = -math.inf
        self._history = state.history
        self._membership = state.membership
        self._map_sync = state.map_sync
        self._lease = lease
        self._actions = actions
        self._counters = counters
        self._random = random
        self._last_leased_at = -math.inf  # when a lease was granted last, or the session was opened
        self._next_heartbeat_at = math.inf
        self._heartbeat_interval_seconds = math.inf
        self._idle_timeout_seconds = math.inf
        self._snapshot = SnapshotAssembler()
        self._is_resyncing = False  # deltas are ignored until a complete roster comes

    def open(self, welcome: Welcome, now: float) -> None:
        """Begin the session with what was not confirmed in the one before, and a heartbeat."""
        self.control_name = welcome.control_name
        self.last_received_at = now
        self._last_leased_at = now
        self._heartbeat_interval_seconds = welcome.heartbeat_interval_seconds
        self._idle_timeout_seconds = welcome.idle_timeout_seconds
        self._snapshot = SnapshotAssembler()
        self._is_resyncing = False
        self._lease.forget_heartbeats()
        self._membership.set_regions(welcome.regions)
        self.send_entries(self._map_sync.begin_session())
        # At once, as a lease may be near its end; from then on at a time of its own in each interval.
        self.send_heartbeat(now)
        self._next_heartbeat_at = now + welcome.heartbeat_interval_seconds * self._random.random()

    def close(self) -> None:
        """End the session; what was not confirmed in it is sent again in the next one."""
        self.control_name = None
        self._next_heartbeat_at = math.inf
        self._lease.forget_heartbeats()
        self._map_sync.end_session()

    @property
    def next_wake_at(self) -> float:
        """When `check_timeouts` and `send_due_heartbeat` are to be called, while the session is open."""
        return min(
            self._next_heartbeat_at,
            self.last_received_at + self._idle_timeout_seconds,
            self._last_leased_at + LEASE_TIMEOUT_SECONDS,
        )

    def check_timeouts(self, now: float) -> SessionEnd | None:
        """Why the session is to be given up now; None where it goes on."""
        if now > self._next_heartbeat_at + PROCESS_PAUSE_THRESHOLD_SECONDS:
            # What the control machine sent while this process was stopped still waits at the socket.
            self.last_received_at = now
            self._last_leased_at = now
        if now >= self.last_received_at + self._idle_timeout_seconds:
            return SessionEnd.UNRESPONSIVE
        if now >= self._last_leased_at + LEASE_TIMEOUT_SECONDS:
            return SessionEnd.NO_LEASE
        return None

    def send_due_heartbeat(self, now: float) -> None:
        """Send a heartbeat if it is due."""
        if now >= self._next_heartbeat_at:
            self.send_heartbeat(now)

    def send_heartbeat(self, now: float) -> None:
        """Ask for a lease from now on."""
        self._next_heartbeat_at = now + self._heartbeat_interval_seconds
        number = self._lease.record_heartbeat(now)
        self._actions.send(Heartbeat(number, self._history.version))

    def send_entries(self, keys: list[str]) -> None:
        """Send entries of the shared map; the next heartbeat's acknowledgement confirms them."""
        for message in self._map_sync.messages_for(keys, self._lease.last_heartbeat + 1):
            self._actions.send(message)

    def handle_message(self, message: SessionResponse, now: float) -> None:
        """Learn from a message; SessionProtocolError, or another ValueError, where it does not fit."""
        match message:
            case SnapshotChunk():
                self._handle_snapshot_chunk(message)
            case RosterDeltas():
                for delta in message.deltas:
                    self._handle_delta(delta)
            case HeartbeatAck():
                self._handle_heartbeat_ack(message, now)
            case RegionCounts():
                self._membership.update(message.counts, now)
            case Entries():
                missing_keys = self._map_sync.receive(message)
                if missing_keys is not None:
                    self.send_entries(missing_keys)
            case LookupResponse():
                self._actions.append(LookupResult(message.number, message.region, message.owner))
            case _:
                raise UnexpectedMessageError(message)

    def _handle_snapshot_chunk(self, chunk: SnapshotChunk) -> None:
        roster = self._snapshot.add(chunk)
        if roster is None:
            return
        self._counters["snapshots"] += 1
        self._is_resyncing = False
        if not self._history.replace(roster):
            raise StaleRosterError(roster.version)

    def _handle_delta(self, delta: Delta) -> None:
        if self._is_resyncing:
            return
        self._counters["deltas"] += 1
        if not self._history.apply(delta):
            self._is_resyncing = True
            self._counters["resyncs"] += 1
            self._actions.send(Resync())

    def _handle_heartbeat_ack(self, ack: HeartbeatAck, now: float) -> None:
        """Extend the lease from when the heartbeat was sent, if its roster is known here."""
        heartbeat_sent_at = self._lease.acknowledge(ack.number)
        if heartbeat_sent_at is None:
            return
        self._map_sync.confirm(ack.number)
        self._history.settle(ack.settled)
        if ack.lease_seconds > 0 and self._history.includes(ack.version):
            self._lease.extend(heartbeat_sent_at, ack.lease_seconds)
            self._last_leased_at = now
            self._lease.emit_change(now)
