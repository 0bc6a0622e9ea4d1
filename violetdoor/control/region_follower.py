"""Following the roster of another region: a session at one of its control machines, reopened when it ends."""

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

# Between two heartbeats to a followed control machine.
HEARTBEAT_INTERVAL_SECONDS = 1.0
# Without a message after which another control machine is tried: regions are farther apart than machines.
IDLE_TIMEOUT_SECONDS = 3.0
# For opening a connection to another region, and again for the response to `Watch`.
CONNECT_TIMEOUT_SECONDS = 1.0
# Backoff between attempts: doubled from one to the next, each drawn from its upper half.
MIN_RETRY_DELAY_SECONDS = 0.25
MAX_RETRY_DELAY_SECONDS = 4.0
# Attempts beyond this don't count: the backoff has reached its maximum long before.
MAX_COUNTED_ATTEMPTS = 16
# For which a region is not followed before relays are notified that its count is stale.
STALE_AFTER_SECONDS = 2.0


class FollowerState(Enum):
    """How far the session at another region is."""

    WAITING = "waiting"
    CONNECTING = "connecting"
    REQUESTED = "requested"
    OPEN = "open"


@dataclass(frozen=True, slots=True)
class PublishedCount:
    """What relays were sent last of a region: the count at a version, fresh or stale."""

    version: Version
    is_fresh: bool


class RegionFollower:
    """The session of this control machine at another region."""

    def __init__(self, context: MachineContext, region: str, now: float) -> None:
        """Start to follow `region` a moment after `now`, which is drawn."""
        self.region = region
        self.state = FollowerState.WAITING
        self.roster: Roster | None = None
        self.last_received_at = -math.inf
        self._context = context
        self._emit = context.emit
        self._random = context.random
        self._published: PublishedCount | None = None
        self._assembler = SnapshotAssembler()
        self._addresses: list[Address] = []  # to be tried next, last first
        self._attempts = 0  # since the last session
        self._deadline_at = now + self._random.random() * MIN_RETRY_DELAY_SECONDS  # of any state but OPEN
        self._heartbeat_at = math.inf
        self._heartbeat_number = 0
        self._is_resyncing = False

    @property
    def version(self) -> Version | None:
        """The version of the roster that is known; None without one."""
        return None if self.roster is None else self.roster.version

    def age_seconds(self, now: float) -> float:
        """Return the age of what is known: 0 while the region is followed."""
        return 0.0 if self.state is FollowerState.OPEN else now - self.last_received_at

    def has_changes(self, now: float) -> bool:
        """Return whether relays are to be sent this region's count."""
        if self.version is None:
            return False
        published = self._published
        if published is None or published.version != self.version:
            return True
        if self.state is FollowerState.OPEN:
            return not published.is_fresh
        return published.is_fresh and now >= self.last_received_at + STALE_AFTER_SECONDS

    def count(self, now: float) -> RegionCount | None:
        """Return what relays are sent; None before a roster is known."""
        if self.roster is None:
            return None
        age_seconds = round(self.age_seconds(now), 1)
        return RegionCount(self.region, self.roster.version, self.roster.zone_counts(), age_seconds)

    def mark_published(self) -> None:
        """Note that relays are sent what is known now."""
        if self.version is None:
            self._published = None
        else:
            self._published = PublishedCount(self.version, self.state is FollowerState.OPEN)

    # The connection.

    def connected(self, now: float) -> None:
        """Handle the connection that was requested."""
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

    def lost(self, now: float) -> None:
        """Handle a connection that ended, or could not be opened."""
        if self.state is not FollowerState.WAITING:
            self._retry_later(now)

    def received(self, message: SessionResponse, now: float) -> None:
        """Handle a message; one out of place ends the session."""
        if self.state is FollowerState.REQUESTED and isinstance(message, Welcome):
            self._opened(now)
            return
        if isinstance(message, Rejected):
            self._close("refused", now)
            return
        if isinstance(message, GoAway):
            self._close("sent away", now)
            return
        if self.state is not FollowerState.OPEN:
            return  # the rest of a session that was given up
        self.last_received_at = now
        try:
            self._handle(message)
        except PeerProtocolError:
            self._close("spoilt", now)

    def _opened(self, now: float) -> None:
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
        """Plan the next attempt, at another control machine, with a growing backoff."""
        if self.state is FollowerState.OPEN:
            self._emit(EmitEvent(events.CONTROL_REGION_LOST, {"region": self.region}))
        self.state = FollowerState.WAITING
        self._heartbeat_at = math.inf
        longest = min(MAX_RETRY_DELAY_SECONDS, MIN_RETRY_DELAY_SECONDS * 2**self._attempts)
        self._attempts = min(self._attempts + 1, MAX_COUNTED_ATTEMPTS)
        self._deadline_at = now + longest * (0.5 + self._random.random() / 2)

    # Time.

    @property
    def next_wake_at(self) -> float:
        """When `wake` is to be called next."""
        if self.state is FollowerState.OPEN:
            return min(self._heartbeat_at, self.last_received_at + IDLE_TIMEOUT_SECONDS)
        return self._deadline_at

    def resumed(self, now: float) -> None:
        """Note that this machine was stopped: what the peer sent meanwhile still waits at its sockets."""
        if self.state is FollowerState.OPEN:
            self.last_received_at = now

    def wake(self, now: float) -> None:
        """Do what is due."""
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
        """Return what operators see."""
        return RegionStatus(
            region=self.region,
            is_connected=self.state is FollowerState.OPEN,
            version=self.version,
            member_count=0 if self.roster is None else len(self.roster),
            age_seconds=round(self.age_seconds(now), 1),
        )
