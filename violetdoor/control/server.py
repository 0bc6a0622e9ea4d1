"""The sockets and clock of a control machine.

Its group is a `violetdoor.fleet` endpoint as it is; messages of the group go over that endpoint's streams.
Relays and other regions' machines connect to one listening socket (`acceptor`), and this machine connects to
other regions (`region_link`).
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
from violetdoor.control.acceptor import MAX_HANDSHAKES, Acceptor
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

# The group's messages use this channel of its streams.
CHANNEL = "control"
# Of the machine's random source.
RANDOM_SEED_BYTES = 16
# Of one timer at the longest: the loop's clock stops while the machine sleeps, the decisions' does not.
MAX_TIMER_SECONDS = 60.0
# By which a timer is set late: the loop's have a resolution of 1 ms.
TIMER_SLACK_SECONDS = 0.001
# At a graceful shutdown, for relays to attach to the other machines.
SHUTDOWN_TIMEOUT_SECONDS = 3.0
# Between two checks whether all have.
SHUTDOWN_POLL_SECONDS = 0.05


class ControlServer:
    """One control machine on real sockets: it drives a `ControlMachine`."""

    def __init__(self, config: MachineConfig, bind: Address, key: bytes, fleet: FleetEndpoint) -> None:
        """Prepare to serve sessions on `bind`; `fleet` is the endpoint of the group, not started yet."""
        self.config = config
        self.bind = bind
        self.address = bind  # where sessions are served, once started
        self.fleet = fleet
        self.clock = fleet.clock
        self.counters: Counter[str] = Counter()  # names are in docs/oncall.md
        self.sessions: dict[int, Connection[SessionRequest]] = {}
        self.machine: ControlMachine
        self.streams: StreamChannel
        self._authenticator = MessageAuthenticator(key)
        self._acceptor = Acceptor(self._authenticator, self.counters, self, self._is_full)
        self._links: dict[str, RegionLink] = {}  # by region
        self._numbers: dict[Connection[SessionRequest], int] = {}  # of sessions
        self._next_number = itertools.count(1)
        self._group: GroupState | None = None  # what the machine knows of it
        self._timer: asyncio.TimerHandle | None = None
        self._is_stepping = False
        self._is_open = False

    @property
    def handshake_count(self) -> int:
        """Connections that have sent no sealed frame yet."""
        return len(self._acceptor.handshakes)

    def start(self) -> None:
        """Enter the group and accept sessions. Raises OSError or StateFileError, with nothing left open."""
        with contextlib.ExitStack() as on_failure:
            self.address = self._acceptor.listen(self.bind)
            on_failure.callback(self._acceptor.close)
            self.fleet.start()
            on_failure.pop_all()
        random = Random(os.urandom(RANDOM_SEED_BYTES))
        self.machine = ControlMachine(self.config, random, self.clock(), self.fleet.node.map)
        self.streams = StreamChannel(self.fleet, CHANNEL, self._group_data_received)
        self.fleet.on_step = self._group_stepped
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
        """Wait until all sessions have ended, but not for long."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SHUTDOWN_TIMEOUT_SECONDS
        while self.sessions:
            remaining = deadline - loop.time()
            if remaining <= 0:
                return
            await asyncio.sleep(min(SHUTDOWN_POLL_SECONDS, remaining))

    def reconfigure(self, config: MachineConfig) -> None:
        """Apply a configuration with the same names, and other limits or addresses of other regions."""
        self.config = config
        self.machine.reconfigure(config)
        self._step()

    # Sessions: this is the handler of their connections.

    def _is_full(self) -> bool:
        return len(self.sessions) >= self.config.limits.max_sessions + MAX_HANDSHAKES

    def connection_opened(self, connection: Connection[SessionRequest]) -> None:
        """Open a session: the peer has sent its first sealed frame."""
        self._acceptor.handshake_ended(connection)
        number = next(self._next_number)
        self.sessions[number] = connection
        self._numbers[connection] = number
        self.machine.session_opened(number, connection.peer_address, self.clock())
        self._step()

    def message_received(self, connection: Connection[SessionRequest], message: SessionRequest) -> None:
        """Pass a request on; a lease that was lost meanwhile is known before anything is granted."""
        number = self._numbers.get(connection)
        if number is None:
            return  # the machine has closed it
        self._update_group()
        self.machine.session_message_received(number, message, self.clock())
        self._step()

    def backlog_changed(self, connection: Connection[SessionRequest], queued_bytes: int) -> None:
        """Pass it on."""
        number = self._numbers.get(connection)
        if number is not None:
            self.machine.session_backlog_changed(number, queued_bytes, self.clock())
            self._step()

    def connection_closed(self, connection: Connection[SessionRequest], _reason: CloseReason) -> None:
        """End the session, if it was one."""
        self._acceptor.handshake_ended(connection)
        number = self._numbers.pop(connection, None)
        if number is None:
            return
        del self.sessions[number]
        if self._is_open:
            self.machine.session_closed(number, self.clock())
            self._step()

    # The group.

    def _update_group(self) -> None:
        """Notify the machine of a change of its group, after what is due by the node's clock."""
        now = self.clock()
        if self.fleet.node.next_wake_at <= now:
            self.fleet.node.wake(now)
        state = group_state(self.fleet.node, now)
        if state != self._group:
            self._group = state
            self.machine.group_changed(state, now)

    def _group_stepped(self) -> None:
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

    # Other regions: this is the handler of the links.

    def region_connected(self, region: str) -> None:
        """Pass it on."""
        if self._is_open:
            self.machine.region_connected(region, self.clock())
            self._step()

    def region_message_received(self, region: str, message: SessionResponse) -> None:
        """Pass it on."""
        if self._is_open:
            self.machine.region_message_received(region, message, self.clock())
            self._step()

    def region_lost(self, region: str) -> None:
        """Pass it on."""
        if self._is_open:
            self.machine.region_lost(region, self.clock())
            self._step()

    def _link(self, region: str) -> RegionLink:
        link = self._links.get(region)
        if link is None:
            link = RegionLink(region, self._authenticator, self, self.counters)
            self._links[region] = link
        return link

    # What the machine wants done.

    def _handle_timer(self) -> None:
        self._update_group()
        now = self.clock()
        if now >= self.machine.next_wake_at:
            self.machine.wake(now)
        self._step()

    def _step(self) -> None:
        """Carry out the machine's actions, and set the timer of its next deadline."""
        if self._is_stepping or not self._is_open:
            return
        self._is_stepping = True
        try:
            while actions := self.machine.take_actions():
                for action in actions:
                    self._carry_out(action)
        finally:
            self._is_stepping = False
        if self._timer is not None:
            self._timer.cancel()
        delay = max(0.0, self.machine.next_wake_at - self.clock()) + TIMER_SLACK_SECONDS
        delay = min(MAX_TIMER_SECONDS, delay)
        self._timer = asyncio.get_running_loop().call_later(delay, self._handle_timer)

    def _carry_out(self, action: Action) -> None:
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
                self._carry_out_at_region(action)
            case MergeEntries(entries):
                self.fleet.merge_entries(entries)
            case EmitEvent(name, values):
                events.emit(log, name, **values)

    def _carry_out_at_region(self, action: ConnectRegion | SendToRegion | DisconnectRegion) -> None:
        dialer = self._link(action.region).dialer
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
            del self._numbers[connection]
            self.counters[f"session_closed {reason}"] += 1
            connection.close()
