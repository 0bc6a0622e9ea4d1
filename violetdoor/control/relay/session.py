"""An open session at a control machine: it sends heartbeats and handles the control machine's messages."""

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
from violetdoor.control.relay.status import SessionFailure
from violetdoor.control.roster import SnapshotAssembler

# A session in which no lease was granted for this time is closed: electing a new leader and waiting for the
# leases under the previous one takes up to 6 s.
LEASE_TIMEOUT_SECONDS = 8.0
# A heartbeat that is later than this shows that the relay's process was paused, so it can't tell how long the
# control machine has sent nothing.
PROCESS_PAUSE_THRESHOLD_SECONDS = 0.5


class SessionProtocolError(ValueError):
    """The control machine violated the protocol of a session."""


class UnexpectedMessageError(SessionProtocolError):
    """A message arrived that is not valid in an open session."""

    def __init__(self, message: SessionResponse) -> None:
        """Keep the unexpected message."""
        super().__init__(f"unexpected {type(message).__name__} message in an open session")
        self.message = message


class StaleRosterError(SessionProtocolError):
    """A complete roster arrived that is older than the newest known one."""

    def __init__(self, version: Version) -> None:
        """Keep the version of the roster that arrived."""
        super().__init__(f"received roster {version}, which is older than the newest known one")
        self.version = version


class Session:
    """The state of one session, reset when the next one opens. Times: seconds of the attachment's clock."""

    def __init__(
        self,
        state: ReplicatedState,
        lease: Lease,
        actions: ActionQueue,
        counters: Counter[str],
        random: Random,
    ) -> None:
        """Start closed; the control machine's messages update `state`."""
        self.control_name: str | None = None  # name of the control machine; None while the session is closed
        self.last_received_at = -math.inf
        self._history = state.history
        self._membership = state.membership
        self._map_sync = state.map_sync
        self._lease = lease
        self._actions = actions
        self._counters = counters
        self._random = random
        self._last_leased_at = -math.inf  # when the last lease was granted, or the session was opened
        self._next_heartbeat_at = math.inf
        self._heartbeat_interval_seconds = math.inf
        self._idle_timeout_seconds = math.inf
        self._snapshot = SnapshotAssembler()
        self._is_resyncing = False  # deltas are ignored until a complete roster arrives

    def open(self, welcome: Welcome, now: float) -> None:
        """Open the session: send the entries not confirmed before, and a heartbeat."""
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
        # The first heartbeat is sent at once, as the lease may expire soon; the later ones at a random offset
        # in the interval, which spreads the relays' heartbeats.
        self.send_heartbeat(now)
        self._next_heartbeat_at = now + welcome.heartbeat_interval_seconds * self._random.random()

    def close(self) -> None:
        """Close the session; the entries that were not confirmed in it are sent again in the next one."""
        self.control_name = None
        self._next_heartbeat_at = math.inf
        self._lease.forget_heartbeats()
        self._map_sync.end_session()

    @property
    def next_wake_at(self) -> float:
        """When `check_timeouts` and `send_due_heartbeat` must be called next, while the session is open."""
        return min(
            self._next_heartbeat_at,
            self.last_received_at + self._idle_timeout_seconds,
            self._last_leased_at + LEASE_TIMEOUT_SECONDS,
        )

    def check_timeouts(self, now: float) -> SessionFailure | None:
        """Return why the session has failed by now; None if it has not."""
        if now > self._next_heartbeat_at + PROCESS_PAUSE_THRESHOLD_SECONDS:
            # Messages that arrived while this process was paused are still unread in the socket.
            self.last_received_at = now
            self._last_leased_at = now
        if now >= self.last_received_at + self._idle_timeout_seconds:
            return SessionFailure.UNRESPONSIVE
        if now >= self._last_leased_at + LEASE_TIMEOUT_SECONDS:
            return SessionFailure.NO_LEASE
        return None

    def send_due_heartbeat(self, now: float) -> None:
        """Send a heartbeat if it is due."""
        if now >= self._next_heartbeat_at:
            self.send_heartbeat(now)

    def send_heartbeat(self, now: float) -> None:
        """Request a lease that starts now."""
        self._next_heartbeat_at = now + self._heartbeat_interval_seconds
        number = self._lease.record_heartbeat(now)
        self._actions.send(Heartbeat(number, self._history.version))

    def send_entries(self, keys: list[str]) -> None:
        """Send entries of the shared map; the acknowledgement of the next heartbeat confirms them."""
        for message in self._map_sync.messages_for(keys, self._lease.last_heartbeat_number + 1):
            self._actions.send(message)

    def handle_message(self, message: SessionResponse, now: float) -> None:
        """Handle a message. Raises SessionProtocolError, or another ValueError, if it is invalid."""
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
        """Extend the lease, counted from its heartbeat's send time, if the roster it names is known here."""
        heartbeat_sent_at = self._lease.acknowledge(ack.number)
        if heartbeat_sent_at is None:
            return
        self._map_sync.confirm(ack.number)
        self._history.settle(ack.settled)
        if ack.lease_seconds > 0 and self._history.includes(ack.version):
            self._lease.extend(heartbeat_sent_at, ack.lease_seconds)
            self._last_leased_at = now
            self._lease.emit_change(now)
