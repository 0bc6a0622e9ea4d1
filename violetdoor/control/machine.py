"""One control machine without I/O: it takes messages and times, and returns actions and deadlines.

`ControlMachine` connects its parts: sessions of relays and of other regions' machines (`sessions`), the copy
of the roster (`replica`), the membership of the group (`group_member`), and the rosters of other regions
(`regions`). Times are in seconds on a monotonic clock that also advances while the host is suspended.

The driver owns the sockets and the group's `violetdoor.fleet` node. After each call of a `ControlMachine`
method it carries out `take_actions()`, and it calls `wake` at `next_wake_at`.
"""

from __future__ import annotations

import math
from random import Random

from violetdoor import events
from violetdoor.control.actions import Action, EmitEvent, MachineConfig, MachineStatus
from violetdoor.control.context import MachineContext
from violetdoor.control.group import GroupState
from violetdoor.control.group_member import GroupMember
from violetdoor.control.leases import LeaseGranter
from violetdoor.control.messages import GroupMessage, RegionCounts, SessionRequest, SessionResponse
from violetdoor.control.regions import RegionFollowers
from violetdoor.control.replica import Replica
from violetdoor.control.reports import SessionReports
from violetdoor.control.session_requests import SessionRequestHandler
from violetdoor.control.sessions import Sessions
from violetdoor.fleet.messages import MapEntry
from violetdoor.fleet.shared_map import SharedMap

# Interval between checks of state without a deadline: the counts of other regions and the lease.
TICK_INTERVAL_SECONDS = 0.25
# Delay past the next tick that counts as a process pause; peers' idle times can't be judged after one.
PROCESS_PAUSE_THRESHOLD_SECONDS = 0.5
# Delay that batches changes of the shared map: the drains of a site arrive together.
ENTRIES_BATCH_DELAY_SECONDS = 0.02
# Time without a lease in the group after which sessions are sent to other control machines.
QUORUM_LOSS_GRACE_SECONDS = 0.5


class ControlMachine:
    """One control machine in the control group of a region."""

    def __init__(self, config: MachineConfig, random: Random, now: float, shared_map: SharedMap) -> None:
        """Start outside of any view.

        `shared_map` is the map of the group's node. It is only read here; `MergeEntries` actions change it.
        """
        self.replica = Replica()
        self.leases = LeaseGranter(self.replica)
        self._actions: list[Action] = []
        self._context = MachineContext(config, random, shared_map, self._emit)
        reports = SessionReports()
        self.sessions = Sessions(self._context, self.replica, reports, self.leases, now)
        self.regions = RegionFollowers(self._context, now)
        self.member = GroupMember(self._context, self.replica, reports, self.sessions)
        self._requests = SessionRequestHandler(self._context, self.replica, self.sessions, self.regions)
        self._next_tick_at = now
        self._changed_entries: dict[str, MapEntry] = {}  # of the shared map, not sent to sessions yet
        self._send_entries_at = math.inf
        self._has_quorum = False  # whether the lease in the group was valid at the last check

    @property
    def group(self) -> GroupState | None:
        """The current state of the group; None while this machine is in no view."""
        return self.member.state

    # Sessions of relays and of control machines of other regions. The driver numbers them uniquely.

    def session_opened(self, number: int, source: str, now: float) -> None:
        """Handle an accepted connection; `source` is the peer's address, which events report."""
        self.sessions.opened(number, source, now)

    def session_message_received(self, number: int, message: SessionRequest, now: float) -> None:
        """Handle a message received on a session."""
        session = self.sessions.by_number.get(number)
        if session is None:
            return  # the message was already queued when the session was closed
        self._check_for_pause(now)
        self.sessions.message_received(session, now)
        self._requests.handle(session, message, now)
        self._propagate_changes(now)

    def session_closed(self, number: int, now: float) -> None:
        """Handle the end of a connection that `CloseSession` did not close."""
        session = self.sessions.by_number.get(number)
        if session is not None:
            self.sessions.connection_closed(session, now)
            self._propagate_changes(now)

    def session_backlog_changed(self, number: int, queued_bytes: int, now: float) -> None:
        """Handle the number of bytes queued for a peer; called when it crosses a threshold, or falls to 0."""
        session = self.sessions.by_number.get(number)
        if session is not None:
            self.sessions.backlog_changed(session, queued_bytes, now)
            self._propagate_changes(now)

    # The group.

    def group_changed(self, state: GroupState | None, now: float) -> None:
        """Handle a change of the group's state; None if the node is in no view."""
        self.leases.group = state
        self.member.state_changed(state, now)
        self._next_tick_at = min(self._next_tick_at, now)
        self._propagate_changes(now)

    def group_message_received(self, member: str, message: GroupMessage, now: float) -> None:
        """Handle a message from another member of the group."""
        if self.group is None or member not in self.group.members:
            return
        self._check_for_pause(now)
        self.member.message_received(member, message, now)
        self._propagate_changes(now)

    # Other regions.

    def region_connected(self, region: str, now: float) -> None:
        """Handle the opening of the connection that `ConnectRegion` requested."""
        self.regions.by_name[region].connection_opened(now)

    def region_message_received(self, region: str, message: SessionResponse, now: float) -> None:
        """Handle a message received from another region."""
        self.regions.by_name[region].message_received(message, now)

    def region_lost(self, region: str, now: float) -> None:
        """Handle a connection to another region that failed, was not opened, or received an invalid frame."""
        self.regions.by_name[region].connection_lost(now)

    # The shared map.

    def entries_changed(self, entries: tuple[MapEntry, ...], now: float) -> None:
        """Queue changed entries of the group's shared map to be sent to sessions."""
        self._changed_entries |= {entry.key: entry for entry in entries}
        self._send_entries_at = min(self._send_entries_at, now + ENTRIES_BATCH_DELAY_SECONDS)

    # Time.

    @property
    def next_wake_at(self) -> float:
        """The time at which to call `wake`."""
        return min(
            self._next_tick_at,
            self._send_entries_at,
            self.sessions.next_wake_at,
            self.regions.next_wake_at,
            self.member.next_wake_at,
        )

    def wake(self, now: float) -> None:
        """Perform the work that is due."""
        self._check_for_pause(now)
        if now >= self._next_tick_at:
            self._next_tick_at = now + TICK_INTERVAL_SECONDS
            self._check_lease(now)
        if now >= self._send_entries_at:
            entries = tuple(self._changed_entries.values())
            self._changed_entries = {}
            self._send_entries_at = math.inf
            self.sessions.send_entries(entries)
        counts = self.regions.take_due_counts(now)
        if counts:
            self.sessions.send_to_relays(RegionCounts(counts))
        self.regions.wake(now)
        self.sessions.wake(now)
        self._propagate_changes(now)

    def _check_for_pause(self, now: float) -> None:
        """After a process pause, restart the idle timeouts: messages of peers still wait in the sockets."""
        if now <= self._next_tick_at + PROCESS_PAUSE_THRESHOLD_SECONDS:
            return
        self._next_tick_at = now
        self.sessions.resumed(now)
        self.regions.resumed(now)
        self.member.resumed(now)

    def _check_lease(self, now: float) -> None:
        """Send peers to other machines while this machine has no lease in its group and can grant none."""
        group = self.group
        lease_expires_at = -math.inf if group is None else group.lease_expires_at
        has_quorum = now < lease_expires_at + QUORUM_LOSS_GRACE_SECONDS
        if has_quorum != self._has_quorum:
            self._has_quorum = has_quorum
            name = events.CONTROL_QUORUM_ACQUIRED if has_quorum else events.CONTROL_QUORUM_LOST
            self._emit(EmitEvent(name, {"epoch": "-" if group is None else f"{group.epoch:x}"}))
        if not has_quorum:
            self.sessions.go_away_all("no quorum", now)

    def _propagate_changes(self, now: float) -> None:
        """Send the changes of the last step to the group and to the sessions."""
        self.member.advance(now)
        self.sessions.distribute(now)

    # The driver.

    def reconfigure(self, config: MachineConfig) -> None:
        """Apply new limits and addresses; the names of the machine and the regions must be unchanged."""
        self._context.config = config
        self.sessions.admission.reconfigure()

    def stop(self, now: float) -> None:
        """Shut down gracefully: send all sessions to other machines, and accept no new ones."""
        self.sessions.admission.is_stopping = True
        self.sessions.go_away_all("stopping", now)
        self._propagate_changes(now)

    def _emit(self, action: Action) -> None:
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Remove and return the actions queued since the last call, in order."""
        actions = self._actions
        self._actions = []
        return actions

    def status(self, now: float) -> MachineStatus:
        """Return the status that operators see."""
        group = self.group
        sequencer = self.member.sequencer
        roster = self.replica.roster
        config = self._context.config
        return MachineStatus(
            name=config.name,
            region=config.region,
            leader=None if group is None else group.leader,
            is_leader=sequencer is not None and sequencer.may_write(now),
            may_act=self.leases.may_act(now),
            session_count=len(self.sessions.by_name),
            watcher_count=self.sessions.watcher_count,
            version=self.replica.version,
            settled=self.replica.settled,
            member_count=0 if roster is None else len(roster),
            regions=tuple(follower.status(now) for follower in self.regions.by_name.values()),
            counters=dict(self.sessions.counters),
        )
