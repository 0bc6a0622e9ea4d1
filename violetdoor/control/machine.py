"""One control machine, without input or output: messages and times in, actions and deadlines out.

`ControlMachine` joins the parts: sessions of relays and of other regions' machines (`sessions`), its copy of
the roster (`replica`), its work in the group (`group_member`), and the rosters of other regions (`regions`).
Times are seconds of a monotonic clock that goes on while the machine sleeps.

The driver owns the sockets and the group's `violetdoor.fleet` node. After each call of `ControlMachine` it
carries out `take_actions()`, and calls `wake` at `next_wake_at`.
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

# Between two checks of what has no deadline of its own: counts of other regions, the lease.
TICK_SECONDS = 0.25
# Woken later than this, a control machine was stopped and can't judge how long others sent nothing.
PROCESS_PAUSE_SECONDS = 0.5
# For which changes of the shared map wait for others: a site's drains arrive together.
ENTRIES_BATCH_DELAY_SECONDS = 0.02
# Without a lease in the group after which sessions are sent to other control machines.
QUORUM_LOSS_GRACE_SECONDS = 0.5


class ControlMachine:
    """One control machine of one region's group."""

    def __init__(self, config: MachineConfig, random: Random, now: float, shared_map: SharedMap) -> None:
        """Start outside of any view.

        `shared_map` is the map of the group's node, which is read here; changes go through `MergeEntries`.
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
        self._tick_at = now
        self._changed_entries: dict[str, MapEntry] = {}  # of the shared map, to be sent to sessions
        self._send_entries_at = math.inf
        self._has_quorum = False  # whether the lease in the group held at the last check

    @property
    def group(self) -> GroupState | None:
        """The last state of the group; None while this machine is in no view."""
        return self.member.state

    # Sessions: of relays, and of control machines of other regions. Numbers are the driver's, never reused.

    def session_opened(self, number: int, source: str, now: float) -> None:
        """Handle an accepted connection; `source` is the peer's address, for events."""
        self.sessions.opened(number, source, now)

    def session_message_received(self, number: int, message: SessionRequest, now: float) -> None:
        """Handle a message on a session."""
        session = self.sessions.by_number.get(number)
        if session is None:
            return  # it was on its way when the session was closed
        self._check_for_pause(now)
        self.sessions.message_received(session, now)
        self._requests.handle(session, message, now)
        self._follow_up(now)

    def session_closed(self, number: int, now: float) -> None:
        """Handle the end of a connection, other than by `CloseSession`."""
        session = self.sessions.by_number.get(number)
        if session is not None:
            self.sessions.connection_closed(session, now)
            self._follow_up(now)

    def session_backlog_changed(self, number: int, queued_bytes: int, now: float) -> None:
        """Handle what is queued for a peer: to be called when it passes a bound, or falls to 0."""
        session = self.sessions.by_number.get(number)
        if session is not None:
            self.sessions.backlog_changed(session, queued_bytes, now)
            self._follow_up(now)

    # The group.

    def group_changed(self, state: GroupState | None, now: float) -> None:
        """Handle another state of the group's node; None: it is in no view."""
        self.leases.group = state
        self.member.state_changed(state, now)
        self._tick_at = min(self._tick_at, now)
        self._follow_up(now)

    def group_message_received(self, member: str, message: GroupMessage, now: float) -> None:
        """Handle a message of another member of the group."""
        if self.group is None or member not in self.group.members:
            return
        self._check_for_pause(now)
        self.member.message_received(member, message, now)
        self._follow_up(now)

    # Other regions.

    def region_connected(self, region: str, now: float) -> None:
        """Handle the connection that `ConnectRegion` requested."""
        self.regions.by_name[region].connected(now)

    def region_message_received(self, region: str, message: SessionResponse, now: float) -> None:
        """Handle a message on a connection to another region."""
        self.regions.by_name[region].received(message, now)

    def region_lost(self, region: str, now: float) -> None:
        """Handle a connection to another region that failed, was not opened, or brought an invalid frame."""
        self.regions.by_name[region].lost(now)

    # The shared map.

    def entries_changed(self, entries: tuple[MapEntry, ...], now: float) -> None:
        """Handle newer entries of the group's shared map."""
        self._changed_entries |= {entry.key: entry for entry in entries}
        self._send_entries_at = min(self._send_entries_at, now + ENTRIES_BATCH_DELAY_SECONDS)

    # Time.

    @property
    def next_wake_at(self) -> float:
        """When `wake` is to be called next."""
        return min(
            self._tick_at,
            self._send_entries_at,
            self.sessions.next_wake_at,
            self.regions.next_wake_at,
            self.member.next_wake_at,
        )

    def wake(self, now: float) -> None:
        """Do what is due."""
        self._check_for_pause(now)
        if now >= self._tick_at:
            self._tick_at = now + TICK_SECONDS
            self._check_lease(now)
        if now >= self._send_entries_at:
            entries = tuple(self._changed_entries.values())
            self._changed_entries = {}
            self._send_entries_at = math.inf
            self.sessions.send_entries(entries)
        counts = self.regions.take_changes(now)
        if counts:
            self.sessions.send_to_relays(RegionCounts(counts))
        self.regions.wake(now)
        self.sessions.wake(now)
        self._follow_up(now)

    def _check_for_pause(self, now: float) -> None:
        """Where this machine was stopped, note that what others sent meanwhile still waits at its sockets."""
        if now <= self._tick_at + PROCESS_PAUSE_SECONDS:
            return
        self._tick_at = now
        self.sessions.resumed(now)
        self.regions.resumed(now)
        self.member.resumed(now)

    def _check_lease(self, now: float) -> None:
        """Without a lease in the group nothing can be granted here: send relays to a machine that can."""
        group = self.group
        lease_expires_at = -math.inf if group is None else group.lease_expires_at
        has_quorum = now < lease_expires_at + QUORUM_LOSS_GRACE_SECONDS
        if has_quorum != self._has_quorum:
            self._has_quorum = has_quorum
            name = events.CONTROL_QUORUM_ACQUIRED if has_quorum else events.CONTROL_QUORUM_LOST
            self._emit(EmitEvent(name, {"epoch": "-" if group is None else f"{group.epoch:x}"}))
        if not has_quorum:
            self.sessions.go_away_all("no quorum", now)

    def _follow_up(self, now: float) -> None:
        """Bring to others what the last step changed here."""
        self.member.advance(now)
        self.sessions.distribute(now)

    # The driver.

    def reconfigure(self, config: MachineConfig) -> None:
        """Apply other limits and addresses; the names of machine and regions are as before."""
        self._context.config = config
        self.sessions.admission.reconfigure()

    def stop(self, now: float) -> None:
        """Shut down gracefully: send all sessions to other machines, and open none any more."""
        self.sessions.admission.is_stopping = True
        self.sessions.go_away_all("stopping", now)
        self._follow_up(now)

    def _emit(self, action: Action) -> None:
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return what is to be done since the last call, in order."""
        actions = self._actions
        self._actions = []
        return actions

    def status(self, now: float) -> MachineStatus:
        """Return what operators see."""
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
