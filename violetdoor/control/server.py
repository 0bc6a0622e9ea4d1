"""Drives a control machine with sockets and a clock.

Its group is an ordinary `violetdoor.fleet` endpoint, whose streams carry the group's messages. Relays and
other regions' machines connect to one listening socket (`acceptor`), and this machine connects to other
regions (`region_link`).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import os
from collections import Counter
from random import Random

import msgspec

from violetdoor import events
from violetdoor.control.acceptor import MAX_PENDING_HANDSHAKES, Acceptor
from violetdoor.control.actions import (
    Action,
    CloseSession,
    ConnectRegion,
    DisconnectRegion,
    EmitEvent,
    MachineConfig,
    MergeEntries,
    SendToMember,
    SendToRegion,
    SendToSession,
)
from violetdoor.control.connection import Connection
from violetdoor.control.frames import CloseReason
from violetdoor.control.group import GroupState, group_state
from violetdoor.control.machine import ControlMachine
from violetdoor.control.messages import (
    GroupMessage,
    SessionRequest,
    SessionResponse,
    encode,
    group_message_decoder,
)
from violetdoor.control.region_link import RegionLink
from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.fleet.endpoint import FleetEndpoint
from violetdoor.fleet.streams import StreamChannel
from violetdoor.net.addresses import Address

log = logging.getLogger("violetdoor.control")

# Channel of the fleet endpoint's streams that carries the group's messages.
GROUP_CHANNEL = "control"
# Bytes of OS entropy that seed the machine's random generator.
RANDOM_SEED_BYTES = 16
# Upper bound of one timer: the event loop's clock stops while the machine is suspended, the control
# machine's does not.
MAX_TIMER_SECONDS = 60.0
# Added to each timer so that it doesn't fire early: the event loop's timers have a resolution of 1 ms.
TIMER_SLACK_SECONDS = 0.001
# Time at a graceful shutdown for relays to attach to the other machines.
SHUTDOWN_TIMEOUT_SECONDS = 3.0
# Interval at which the shutdown checks whether all sessions have ended.
SHUTDOWN_POLL_INTERVAL_SECONDS = 0.05


class ControlServer:
    """One control machine on real sockets, which drives a `ControlMachine`."""

    def __init__(self, config: MachineConfig, bind: Address, key: bytes, fleet: FleetEndpoint) -> None:
        """Prepare to serve sessions on `bind`; `fleet` is the group's endpoint, not started yet."""
        self.config = config
        self.bind = bind
        self.address = bind  # after `start`: the address on which sessions are served
        self.fleet = fleet
        self.clock = fleet.clock
        self.counters: Counter[str] = Counter()  # names are in docs/oncall.md
        self.sessions: dict[int, Connection[SessionRequest]] = {}  # by session number
        self.machine: ControlMachine
        self.streams: StreamChannel
        self._authenticator = MessageAuthenticator(key)
        self._acceptor = Acceptor(self._authenticator, self.counters, self, self._is_full)
        self._links: dict[str, RegionLink] = {}  # by region
        self._session_numbers: dict[Connection[SessionRequest], int] = {}
        self._next_session_number = itertools.count(1)
        self._notified_group: GroupState | None = None  # the last state that the machine was notified of
        self._timer: asyncio.TimerHandle | None = None
        self._is_stepping = False
        self._is_open = False

    @property
    def handshake_count(self) -> int:
        """The number of connections that have sent no signed frame yet."""
        return len(self._acceptor.handshakes)

    def start(self) -> None:
        """Join the group and accept sessions. Raises OSError or StateFileError, with nothing left open."""
        with contextlib.ExitStack() as on_failure:
            self.address = self._acceptor.listen(self.bind)
            on_failure.callback(self._acceptor.close)
            self.fleet.start()
            on_failure.pop_all()
        random = Random(os.urandom(RANDOM_SEED_BYTES))
        self.machine = ControlMachine(self.config, random, self.clock(), self.fleet.node.map)
        self.streams = StreamChannel(self.fleet, GROUP_CHANNEL, self._group_data_received)
        self.fleet.on_step = self._group_updated
        self.fleet.entry_listeners.append(self._entry_changed)
        self._is_open = True
        self._acceptor.start()
        self._step()

    async def shut_down(self) -> None:
        """Send the sessions to the group's other machines, leave the group, and close."""
        if not self._is_open:
            return
        self._acceptor.stop()
        self.machine.stop(self.clock())
        self._step()
        await self._wait_for_sessions()
        self._is_open = False
        if self._timer is not None:
            self._timer.cancel()
        for connection in [*self.sessions.values(), *self._acceptor.handshakes]:
            connection.close()
        for link in self._links.values():
            link.dialer.close()
        self._acceptor.close()
        await self.streams.close()
        await self.fleet.close()

    async def _wait_for_sessions(self) -> None:
        """Wait until all sessions have ended, for at most `SHUTDOWN_TIMEOUT_SECONDS`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SHUTDOWN_TIMEOUT_SECONDS
        while self.sessions:
            remaining = deadline - loop.time()
            if remaining <= 0:
                return
            await asyncio.sleep(min(SHUTDOWN_POLL_INTERVAL_SECONDS, remaining))

    def reconfigure(self, config: MachineConfig) -> None:
        """Apply a configuration with the same names, but with other limits or region addresses."""
        self.config = config
        self.machine.reconfigure(config)
        self._step()

    # Sessions: this class is the ConnectionHandler of their connections.

    def _is_full(self) -> bool:
        return len(self.sessions) >= self.config.limits.max_sessions + MAX_PENDING_HANDSHAKES

    def connection_opened(self, connection: Connection[SessionRequest]) -> None:
        """Open a session: the peer has sent its first signed frame."""
        self._acceptor.handshake_ended(connection)
        number = next(self._next_session_number)
        self.sessions[number] = connection
        self._session_numbers[connection] = number
        self.machine.session_opened(number, connection.peer_address, self.clock())
        self._step()

    def message_received(self, connection: Connection[SessionRequest], message: SessionRequest) -> None:
        """Forward a request, after a group update: without its lease the machine must grant nothing."""
        number = self._session_numbers.get(connection)
        if number is None:
            return  # the machine has closed the session
        self._update_group()
        self.machine.session_message_received(number, message, self.clock())
        self._step()

    def backlog_changed(self, connection: Connection[SessionRequest], queued_bytes: int) -> None:
        """Forward the number of queued bytes."""
        number = self._session_numbers.get(connection)
        if number is not None:
            self.machine.session_backlog_changed(number, queued_bytes, self.clock())
            self._step()

    def connection_closed(self, connection: Connection[SessionRequest], _reason: CloseReason) -> None:
        """End the connection's session, if it has one."""
        self._acceptor.handshake_ended(connection)
        number = self._session_numbers.pop(connection, None)
        if number is None:
            return
        del self.sessions[number]
        if self._is_open:
            self.machine.session_closed(number, self.clock())
            self._step()

    # The group.

    def _update_group(self) -> None:
        """Run the group node's due timers, and notify the machine if the group's state has changed."""
        now = self.clock()
        if self.fleet.node.next_wake_at <= now:
            self.fleet.node.wake(now)
        state = group_state(self.fleet.node, now)
        if state != self._notified_group:
            self._notified_group = state
            self.machine.group_changed(state, now)

    def _group_updated(self) -> None:
        if self._is_open:
            self._update_group()
            self._step()

    def _group_data_received(self, member: str, _incarnation: int, data: bytes) -> None:
        try:
            message: GroupMessage = group_message_decoder.decode(data)
        except (msgspec.MsgspecError, ValueError):
            self.counters["dropped_group_form"] += 1
            return
        if self._is_open:
            self._update_group()
            self.machine.group_message_received(member, message, self.clock())
            self._step()

    def _entry_changed(self, key: str, _value: float | None) -> None:
        entry = self.fleet.node.map.entries.get(key)
        if self._is_open and entry is not None:
            self.machine.entries_changed((entry,), self.clock())
            self._step()

    # Other regions: this class is the RegionLinkHandler.

    def region_connected(self, region: str) -> None:
        """Forward the event."""
        if self._is_open:
            self.machine.region_connected(region, self.clock())
            self._step()

    def region_message_received(self, region: str, message: SessionResponse) -> None:
        """Forward the event."""
        if self._is_open:
            self.machine.region_message_received(region, message, self.clock())
            self._step()

    def region_lost(self, region: str) -> None:
        """Forward the event."""
        if self._is_open:
            self.machine.region_lost(region, self.clock())
            self._step()

    def _region_link(self, region: str) -> RegionLink:
        link = self._links.get(region)
        if link is None:
            link = RegionLink(region, self._authenticator, self, self.counters)
            self._links[region] = link
        return link

    # Actions and timers of the machine.

    def _handle_timer(self) -> None:
        self._update_group()
        now = self.clock()
        if now >= self.machine.next_wake_at:
            self.machine.wake(now)
        self._step()

    def _step(self) -> None:
        """Execute the machine's actions, and set the timer for its next deadline."""
        if self._is_stepping or not self._is_open:
            return
        self._is_stepping = True
        try:
            while actions := self.machine.take_actions():
                for action in actions:
                    self._execute(action)
        finally:
            self._is_stepping = False
        if self._timer is not None:
            self._timer.cancel()
        delay = max(0.0, self.machine.next_wake_at - self.clock()) + TIMER_SLACK_SECONDS
        delay = min(MAX_TIMER_SECONDS, delay)
        self._timer = asyncio.get_running_loop().call_later(delay, self._handle_timer)

    def _execute(self, action: Action) -> None:
        match action:
            case SendToSession(session, message):
                connection = self.sessions.get(session)
                if connection is not None:
                    connection.send(message)
            case CloseSession(session, reason):
                self._close_session(session, reason)
            case SendToMember(member, group_message):
                if not self.streams.send(member, encode(group_message)):
                    self.counters["group_unsent"] += 1
            case ConnectRegion() | SendToRegion() | DisconnectRegion():
                self._execute_region_action(action)
            case MergeEntries(entries):
                self.fleet.merge_entries(entries)
            case EmitEvent(name, values):
                events.emit(log, name, **values)

    def _execute_region_action(self, action: ConnectRegion | SendToRegion | DisconnectRegion) -> None:
        dialer = self._region_link(action.region).dialer
        match action:
            case ConnectRegion(_, address):
                dialer.dial(address)
            case SendToRegion(_, request):
                dialer.send(request)
            case DisconnectRegion():
                dialer.close()

    def _close_session(self, session: int, reason: str) -> None:
        connection = self.sessions.pop(session, None)
        if connection is not None:
            del self._session_numbers[connection]
            self.counters[f"session_closed {reason}"] += 1
            connection.close()
