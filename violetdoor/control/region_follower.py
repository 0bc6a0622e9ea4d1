"""Follows the roster of another region by a session at one of its control machines, reopened when it ends."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from violetdoor import events
from violetdoor.control.actions import (
    Address,
    ConnectRegion,
    DisconnectRegion,
    EmitEvent,
    MergeEntries,
    RegionStatus,
    SendToRegion,
)
from violetdoor.control.context import MachineContext
from violetdoor.control.errors import PeerProtocolError, UnexpectedMessageError, VersionRegressionError
from violetdoor.control.messages import (
    PROTOCOL_VERSION,
    Delta,
    Entries,
    GoAway,
    Heartbeat,
    HeartbeatAck,
    RegionCount,
    Rejected,
    Resync,
    RosterDeltas,
    SessionResponse,
    SnapshotChunk,
    Version,
    Watch,
    Welcome,
)
from violetdoor.control.replica import is_newer_in_epoch
from violetdoor.control.roster import Roster, SnapshotAssembler

# Interval between heartbeats to the control machine of the other region.
HEARTBEAT_INTERVAL_SECONDS = 1.0
# Time without a message after which another machine is tried; regions are farther apart than machines.
IDLE_TIMEOUT_SECONDS = 3.0
# Timeout for opening the connection, and again for the response to `Watch`.
CONNECT_TIMEOUT_SECONDS = 1.0
# Backoff between attempts; it doubles with each, and the delay is random between half and all of it.
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 4.0
# Cap of the attempt counter; the backoff reaches its maximum after fewer attempts.
MAX_COUNTED_ATTEMPTS = 16
# Time without a session after which relays are notified that the counts of the region are stale.
STALE_AFTER_SECONDS = 2.0


class FollowerState(Enum):
    """The state of the session at another region."""

    WAITING = "waiting"  # for the end of the backoff
    CONNECTING = "connecting"
    REQUESTED = "requested"  # `Watch` was sent
    OPEN = "open"


@dataclass(frozen=True, slots=True)
class PublishedCount:
    """The version of the counts that relays were sent last, and whether they were sent as fresh or stale."""

    version: Version
    is_fresh: bool


class RegionFollower:
    """The session of this control machine at another region, and the roster of that region."""

    def __init__(self, context: MachineContext, region: str, now: float) -> None:
        """Start to follow `region` after a random delay."""
        self.region = region
        self.state = FollowerState.WAITING
        self.roster: Roster | None = None
        self.last_received_at = -math.inf
        self._context = context
        self._emit = context.emit
        self._random = context.random
        self._published: PublishedCount | None = None
        self._assembler = SnapshotAssembler()
        self._addresses: list[Address] = []  # still to be tried, from the last one to the first
        self._attempts = 0  # since the last open session
        self._deadline_at = now + self._random.random() * INITIAL_BACKOFF_SECONDS  # unused while OPEN
        self._heartbeat_at = math.inf
        self._heartbeat_number = 0
        self._is_resyncing = False

    @property
    def version(self) -> Version | None:
        """The version of the known roster; None without a roster."""
        return None if self.roster is None else self.roster.version

    def age_seconds(self, now: float) -> float:
        """Return the age of the known roster: 0 while the session is open."""
        return 0.0 if self.state is FollowerState.OPEN else now - self.last_received_at

    def has_changes(self, now: float) -> bool:
        """Return whether this region's counts must be sent to relays."""
        if self.version is None:
            return False
        published = self._published
        if published is None or published.version != self.version:
            return True
        if self.state is FollowerState.OPEN:
            return not published.is_fresh
        return published.is_fresh and now >= self.last_received_at + STALE_AFTER_SECONDS

    def count(self, now: float) -> RegionCount | None:
        """Return the counts to send to relays; None before a roster is known."""
        if self.roster is None:
            return None
        age_seconds = round(self.age_seconds(now), 1)
        return RegionCount(self.region, self.roster.version, self.roster.zone_counts(), age_seconds)

    def mark_published(self) -> None:
        """Record that the present counts are sent to relays."""
        if self.version is None:
            self._published = None
        else:
            self._published = PublishedCount(self.version, self.state is FollowerState.OPEN)

    # The connection.

    def connection_opened(self, now: float) -> None:
        """Request a session on the connection, which is now open."""
        if self.state is not FollowerState.CONNECTING:
            return
        self.state = FollowerState.REQUESTED
        self._deadline_at = now + CONNECT_TIMEOUT_SECONDS
        config = self._context.config
        watch = Watch(
            protocol_version=PROTOCOL_VERSION,
            region=self.region,
            watcher_name=config.name,
            watcher_region=config.region,
            known_version=self.version,
            entries_digest=self._context.shared_map.digest,
        )
        self._emit(SendToRegion(self.region, watch))

    def connection_lost(self, now: float) -> None:
        """Handle a connection that ended, or could not be opened."""
        if self.state is not FollowerState.WAITING:
            self._retry_later(now)

    def message_received(self, message: SessionResponse, now: float) -> None:
        """Handle a message; an unexpected one ends the session."""
        if self.state is FollowerState.REQUESTED and isinstance(message, Welcome):
            self._session_opened(now)
            return
        if isinstance(message, Rejected):
            self._close("refused", now)
            return
        if isinstance(message, GoAway):
            self._close("sent away", now)
            return
        if self.state is not FollowerState.OPEN:
            return  # a late message of a session that was closed
        self.last_received_at = now
        try:
            self._handle(message)
        except PeerProtocolError:
            self._close("spoilt", now)

    def _session_opened(self, now: float) -> None:
        self.state = FollowerState.OPEN
        self.last_received_at = now
        self._attempts = 0
        self._is_resyncing = False
        self._assembler = SnapshotAssembler()
        self._heartbeat_at = now + HEARTBEAT_INTERVAL_SECONDS * self._random.random()
        self._emit(EmitEvent(events.CONTROL_REGION_FOLLOWED, {"region": self.region}))

    def _handle(self, message: SessionResponse) -> None:
        """Handle a message of an open session. Raises PeerProtocolError."""
        match message:
            case SnapshotChunk():
                roster = self._assembler.add(message)
                if roster is not None:
                    self._replace_roster(roster)
            case RosterDeltas():
                for delta in message.deltas:
                    self._apply(delta)
            case Entries():
                self._emit(MergeEntries(message.entries))
            case HeartbeatAck():
                pass
            case _:
                raise UnexpectedMessageError(message)

    def _replace_roster(self, roster: Roster) -> None:
        if self.version is not None and is_newer_in_epoch(self.version, roster.version):
            raise VersionRegressionError(self.version, roster.version)
        self.roster = roster
        self._is_resyncing = False

    def _apply(self, delta: Delta) -> None:
        if self._is_resyncing or (self.roster is not None and self.roster.apply(delta)):
            return
        self._is_resyncing = True
        self._emit(SendToRegion(self.region, Resync()))

    def _close(self, reason: str, now: float) -> None:
        self._emit(DisconnectRegion(self.region, reason))
        self._retry_later(now)

    def _retry_later(self, now: float) -> None:
        """Schedule the next attempt, at the next address, with exponential backoff."""
        if self.state is FollowerState.OPEN:
            self._emit(EmitEvent(events.CONTROL_REGION_LOST, {"region": self.region}))
        self.state = FollowerState.WAITING
        self._heartbeat_at = math.inf
        backoff = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**self._attempts)
        self._attempts = min(self._attempts + 1, MAX_COUNTED_ATTEMPTS)
        self._deadline_at = now + backoff * (0.5 + self._random.random() / 2)

    # Time.

    @property
    def next_wake_at(self) -> float:
        """The time at which to call `wake`."""
        if self.state is FollowerState.OPEN:
            return min(self._heartbeat_at, self.last_received_at + IDLE_TIMEOUT_SECONDS)
        return self._deadline_at

    def resumed(self, now: float) -> None:
        """After a process pause, restart the idle timeout: messages of the peer still wait in the socket."""
        if self.state is FollowerState.OPEN:
            self.last_received_at = now

    def wake(self, now: float) -> None:
        """Perform the work that is due."""
        if now < self.next_wake_at:
            return
        match self.state:
            case FollowerState.WAITING:
                self._connect(now)
            case FollowerState.CONNECTING | FollowerState.REQUESTED:
                self._close("no answer", now)
            case FollowerState.OPEN if now >= self.last_received_at + IDLE_TIMEOUT_SECONDS:
                self._close("silent", now)
            case FollowerState.OPEN:
                self._heartbeat_at = now + HEARTBEAT_INTERVAL_SECONDS
                self._heartbeat_number += 1
                self._emit(SendToRegion(self.region, Heartbeat(self._heartbeat_number, self.version)))

    def _connect(self, now: float) -> None:
        if not self._addresses:
            self._addresses = list(self._context.config.regions[self.region])
            self._random.shuffle(self._addresses)
        self.state = FollowerState.CONNECTING
        self._deadline_at = now + CONNECT_TIMEOUT_SECONDS
        self._emit(ConnectRegion(self.region, self._addresses.pop()))

    def status(self, now: float) -> RegionStatus:
        """Return the status that operators see."""
        return RegionStatus(
            region=self.region,
            is_connected=self.state is FollowerState.OPEN,
            version=self.version,
            member_count=0 if self.roster is None else len(self.roster),
            age_seconds=round(self.age_seconds(now), 1),
        )
