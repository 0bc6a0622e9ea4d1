"""Simulation of a large fleet in virtual time: control groups, relays with sessions, and failing links.

The nodes of the groups run as in `virtual`. Sessions and connections between regions behave as TCP does:
messages arrive in order, lost segments delay them, a cut link or a dead machine leaves the connection silent,
and a dead process closes it. Messages within a group may be lost with their stream and, in a hostile world,
be reordered.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from violetdoor.control import actions as act
from violetdoor.control.group import group_state
from violetdoor.control.machine import ControlMachine
from violetdoor.control.messages import GroupMessage, Heartbeat, SessionRequest, SessionResponse
from violetdoor.control.relay import actions as relay_actions
from violetdoor.control.relay.attachment import Attachment
from violetdoor.control.relay.options import AttachmentConfig
from violetdoor.faults.virtual import Host, World
from violetdoor.fleet.messages import MapEntry

Address = tuple[str, int]

CONTROL_PORT = 7950
RETRANSMIT_SECONDS = 0.2  # between two transmissions of a segment while it is lost or its link is cut
STOPPED_POLL_SECONDS = 0.05  # how often a delivery to a stopped process is retried
REFUSAL_SECONDS = 0.001  # delay until a client learns that its connection was refused
CLOCK_TOLERANCE_SECONDS = 1e-6  # rounding error of the conversion between a local clock and virtual time
MAX_ACTION_ROUNDS = 200  # in one step; guards against a machine that keeps producing actions


@dataclass(eq=False)
class Relay:
    """The simulated host of one relay: its process, if one runs, and its clock."""

    name: str
    region: str
    zone: str
    attachment: Attachment | None = None
    generation: int = 0  # increased at each start and end of a process; events of earlier ones are ignored
    stopped: bool = False  # as by SIGSTOP
    clock_rate: float = 1.0  # relative to virtual time
    clock_offset: float = 0.0  # seconds
    wakes_at: float = math.inf
    connection: Connection | None = None  # of its session
    heartbeat_sent_at: float = -math.inf  # virtual time of its last heartbeat
    events: list[tuple[float, str, dict[str, Any]]] = field(default_factory=list)


@dataclass(eq=False)
class ControlHost:
    """The simulated host of one control machine; its process and clock are those of its node's host."""

    host: Host
    region: str
    machine: ControlMachine | None = None
    generation: int = 0
    wakes_at: float = math.inf
    changed_keys: list[str] = field(default_factory=list)  # of the shared map, not yet passed to `machine`
    sessions_by_number: dict[int, Connection] = field(default_factory=dict)  # accepted sessions by number
    region_connections: dict[str, Connection] = field(default_factory=dict)  # to followed regions, by region

    @property
    def name(self) -> str:
        return self.host.name


@dataclass(eq=False)
class Connection:
    """A connection to a control machine, from a relay or from a control machine that follows a region."""

    client: Relay | ControlHost
    client_generation: int
    server: ControlHost
    server_generation: int
    number: int = 0  # of the session; 0 if the server refuses the connection
    region: str = ""  # the followed region; empty for a relay's session
    open: bool = True
    to_server: deque[tuple[float, Any]] = field(default_factory=deque)  # earliest arrival, message
    to_client: deque[tuple[float, Any]] = field(default_factory=deque)


CLOSED = object()  # queued in place of a message: the peer has closed the connection


class ControlWorld(World):
    """The control groups and relays of several regions, in virtual time."""

    def __init__(self, seed: int, hostile: bool = False) -> None:
        super().__init__(seed)
        self.hostile = hostile  # whether random extra delays reorder the messages within a group
        self.relays: dict[str, Relay] = {}
        self.controls: dict[str, ControlHost] = {}
        self.groups: dict[str, list[str]] = {}  # names of control machines by region
        self.limits = act.MachineLimits()
        self.session_count = 0
        self.control_events: list[tuple[float, str, str, dict[str, Any]]] = []  # time, machine, name, values
        self.session_messages = 0  # messages delivered on sessions and between regions

    # Processes.

    def add_region(self, region: str, machines: int) -> None:
        """Add a region with this number of control machines; call it before any process is started."""
        self.groups[region] = [f"{region}-c{n}" for n in range(machines)]
        for name in self.groups[region]:
            self.controls[name] = ControlHost(self.host(name), region)

    def start_control(self, name: str) -> None:
        """Start a control machine: its node in the group and the state machine above it."""
        control = self.controls[name]
        group = self.groups[control.region]
        control.generation += 1
        control.machine, control.wakes_at = None, math.inf
        control.sessions_by_number, control.region_connections, control.changed_keys = {}, {}, []
        self.start(name, group, group)
        node = control.host.node
        assert node is not None
        node.map.on_change = lambda key, value: control.changed_keys.append(key)
        regions = {
            region: tuple((self.host(machine_name).address[0], CONTROL_PORT) for machine_name in names)
            for region, names in self.groups.items()
        }
        config = act.MachineConfig(name, control.region, regions, self.limits)
        control.machine = ControlMachine(config, self._new_random(), self.clock(control.host), node.map)
        self.carry_out_actions(control.host)

    def start_relay(self, name: str, region: str, zone: str = "") -> Relay:
        """Start a relay process."""
        relay = self.relays.setdefault(name, Relay(name, region, zone))
        relay.generation += 1
        relay.stopped, relay.wakes_at, relay.connection, relay.heartbeat_sent_at = (
            False,
            math.inf,
            None,
            -math.inf,
        )
        controls = tuple(
            (self.host(machine_name).address[0], CONTROL_PORT) for machine_name in self.groups[region]
        )
        config = AttachmentConfig(name, f"host-{name}", 4222, zone, region, controls)
        relay.attachment = Attachment(
            config, self._new_random(), self.relay_clock(relay), lambda: self.relay_wall_clock_ms(relay)
        )
        self.carry_out_relay_actions(relay)
        return relay

    def kill_control(self, name: str, silent: bool = False) -> None:
        """Kill a control machine's process; `silent`: its host dies, too, so that no connection is closed."""
        control = self.controls[name]
        self.kill(name)
        control.machine = None
        control.generation += 1
        connections = [*control.sessions_by_number.values(), *control.region_connections.values()]
        control.sessions_by_number, control.region_connections = {}, {}
        for connection in connections:
            self._close_connection(connection, control, silent)

    def kill_relay(self, name: str, silent: bool = False) -> None:
        """Kill a relay's process; `silent`: its host dies, too, so that its connection is not closed."""
        relay = self.relays[name]
        relay.attachment = None
        relay.generation += 1
        if relay.connection is not None:
            self._close_connection(relay.connection, relay, silent)
            relay.connection = None

    def resume(self, name: str) -> None:
        super().resume(name)
        control = self.controls[name]
        control.wakes_at = self.now
        self._schedule(self.now, self._wake_control, control, control.generation)

    def stop_relay(self, name: str) -> None:
        self.relays[name].stopped = True

    def resume_relay(self, name: str) -> None:
        relay = self.relays[name]
        relay.stopped, relay.wakes_at = False, self.now
        self._schedule(self.now, self._wake_relay, relay, relay.generation)

    def relay_clock(self, relay: Relay) -> float:
        return 5000.0 + relay.clock_offset + self.now * relay.clock_rate

    def relay_wall_clock_ms(self, relay: Relay) -> float:
        return 1.8e12 + self.now * 1000

    def _new_random(self) -> Random:
        return Random(self.random.getrandbits(64))

    # Control machines.

    def carry_out_actions(self, host: Host) -> None:
        super().carry_out_actions(host)
        control = self.controls.get(host.name)
        if control is not None and control.machine is not None and host.node is not None:
            self._notify_machine(control, control.machine)

    def _notify_machine(self, control: ControlHost, machine: ControlMachine) -> None:
        """Notify a control machine of the changes that a step of its group's node made."""
        node, now = control.host.node, self.clock(control.host)
        assert node is not None
        if control.changed_keys:
            keys, control.changed_keys = control.changed_keys, []
            machine.entries_changed(tuple(node.map.entries[key] for key in keys), now)
        state = group_state(node, now)
        if state != machine.group:
            machine.group_changed(state, now)
        self._run_control_actions(control)

    def _wake_control(self, control: ControlHost, generation: int) -> None:
        machine = control.machine
        if machine is None or control.generation != generation or control.host.stopped:
            return
        if self.now < control.wakes_at:
            return  # the wake-up was postponed after this event was scheduled
        control.wakes_at = math.inf
        now = self.clock(control.host) + CLOCK_TOLERANCE_SECONDS
        if now >= machine.next_wake_at:
            machine.wake(now)
        self._run_control_actions(control)

    def _run_control_actions(self, control: ControlHost) -> None:
        machine = control.machine
        if machine is None:
            return
        for _ in range(MAX_ACTION_ROUNDS):
            actions = machine.take_actions()
            if not actions:
                break
            for action in actions:
                self._run_control_action(control, machine, action)
        now = self.clock(control.host)
        at = self.now + max(0.0, machine.next_wake_at - now) / control.host.clock_rate
        if at < control.wakes_at - CLOCK_TOLERANCE_SECONDS or control.wakes_at < self.now:
            control.wakes_at = at
            self._schedule(at, self._wake_control, control, control.generation)

    def _run_control_action(self, control: ControlHost, machine: ControlMachine, action: act.Action) -> None:
        match action:
            case act.SendToSession(session, message):
                if (connection := control.sessions_by_number.get(session)) is not None:
                    self._send_on_connection(connection, connection.to_client, message)
            case act.CloseSession(session):
                if (connection := control.sessions_by_number.pop(session, None)) is not None:
                    self._send_on_connection(connection, connection.to_client, CLOSED)
            case act.SendToMember(member, message):
                self._send_to_member(control, member, message)
            case act.ConnectRegion(region, address):
                control.region_connections.pop(region, None)
                self._connect(control, address, region)
            case act.SendToRegion(region, message):
                if (connection := control.region_connections.get(region)) is not None:
                    self._send_on_connection(connection, connection.to_server, message)
            case act.DisconnectRegion(region):
                if (connection := control.region_connections.pop(region, None)) is not None:
                    self._send_on_connection(connection, connection.to_server, CLOSED)
            case act.MergeEntries(entries):
                self._merge_entries(control, entries)
            case act.EmitEvent(name, values):
                self.control_events.append((self.now, control.name, name, values))

    def _merge_entries(self, control: ControlHost, entries: tuple[MapEntry, ...]) -> None:
        node = control.host.node
        assert node is not None and control.machine is not None
        node.map.merge(entries, self.wall_clock_ms(control.host), 3)
        self._schedule(self.now, self._carry_out_if_running, control, control.generation)

    def _carry_out_if_running(self, control: ControlHost, generation: int) -> None:
        if control.generation == generation and control.machine is not None and not control.host.stopped:
            self.carry_out_actions(control.host)

    def _send_to_member(self, control: ControlHost, member: str, message: GroupMessage) -> None:
        to = self.controls.get(member)
        delay = self._delay(control.name, member)
        if to is None or delay is None:
            return
        self._schedule(
            self.now + delay, self._deliver_group_message, control.name, to, to.generation, message
        )

    def _deliver_group_message(
        self, source: str, to: ControlHost, generation: int, message: GroupMessage
    ) -> None:
        if to.generation != generation or to.machine is None or self.link(source, to.name).cut:
            return
        if to.host.stopped:
            self._schedule(
                self.now + STOPPED_POLL_SECONDS, self._deliver_group_message, source, to, generation, message
            )
            return
        to.machine.group_message_received(source, message, self.clock(to.host))
        self._run_control_actions(to)

    def _delay(self, source: str, to: str) -> float | None:
        """Draw the one-way delay of a message in seconds; None if the link is cut."""
        link = self.link(source, to)
        if link.cut:
            return None
        delay = self.random.uniform(*link.delay)
        while self.random.random() < link.loss:
            delay += RETRANSMIT_SECONDS
        if self.hostile and self.random.random() < 0.15:
            delay += math.exp(self.random.uniform(math.log(0.002), math.log(1.5)))
        return delay

    # Relays.

    def _wake_relay(self, relay: Relay, generation: int) -> None:
        if (
            relay.attachment is None
            or relay.generation != generation
            or relay.stopped
            or self.now < relay.wakes_at
        ):
            return
        relay.wakes_at = math.inf
        now = self.relay_clock(relay) + CLOCK_TOLERANCE_SECONDS
        if now >= relay.attachment.next_wake_at:
            relay.attachment.wake(now)
        self.carry_out_relay_actions(relay)

    def carry_out_relay_actions(self, relay: Relay) -> None:
        attachment = relay.attachment
        if attachment is None:
            return
        for action in attachment.take_actions():
            self.carry_out_relay_action(relay, action)
        at = self.now + max(0.0, attachment.next_wake_at - self.relay_clock(relay)) / relay.clock_rate
        if at < relay.wakes_at - CLOCK_TOLERANCE_SECONDS or relay.wakes_at < self.now:
            relay.wakes_at = at
            self._schedule(at, self._wake_relay, relay, relay.generation)

    def carry_out_relay_action(self, relay: Relay, action: relay_actions.Action) -> None:
        match action:
            case relay_actions.Connect(address):
                relay.connection = None
                self._connect(relay, address, "")
            case relay_actions.Send(message):
                if relay.connection is not None:
                    if isinstance(message, Heartbeat):
                        relay.heartbeat_sent_at = self.now
                    self._send_on_connection(relay.connection, relay.connection.to_server, message)
            case relay_actions.Disconnect():
                if relay.connection is not None:
                    self._send_on_connection(relay.connection, relay.connection.to_server, CLOSED)
                relay.connection = None
            case act.EmitEvent(name, values):
                relay.events.append((self.now, name, values))
            case relay_actions.LookupResult():
                relay.events.append((self.now, "looked up", {"region": action.region, "owner": action.owner}))

    def set_shared_value(self, name: str, key: str, value: float | None) -> None:
        """Set a value of the shared map through a relay."""
        relay = self.relays[name]
        assert relay.attachment is not None
        relay.attachment.set_shared_value(key, value)
        self.carry_out_relay_actions(relay)

    def leave(self, name: str) -> None:
        """Shut a relay down gracefully."""
        relay = self.relays[name]
        assert relay.attachment is not None
        relay.attachment.leave()
        self.carry_out_relay_actions(relay)
        relay.attachment = None
        relay.generation += 1

    # Connections.

    def _connect(self, client: Relay | ControlHost, address: Address, region: str) -> None:
        name = next(
            machine_name for machine_name in self.controls if self.host(machine_name).address[0] == address[0]
        )
        server = self.controls[name]
        delay, return_delay = self._delay(client.name, name), self._delay(name, client.name)
        if delay is None or return_delay is None or (server.machine is not None and server.host.stopped):
            return  # no answer: the client times out
        connection = Connection(client, client.generation, server, server.generation, region=region)
        if server.machine is None:
            self._schedule(self.now + delay + return_delay, self._connection_refused, connection)
            return
        self.session_count += 1
        connection.number = self.session_count
        if isinstance(client, Relay):
            client.connection = connection
        else:
            client.region_connections[region] = connection
        self._schedule(self.now + delay, self._session_opened, connection)
        self._schedule(self.now + delay + return_delay, self._connection_established, connection)

    def _connection_refused(self, connection: Connection) -> None:
        client = connection.client
        if client.generation != connection.client_generation:
            return
        if isinstance(client, Relay):
            if client.attachment is not None and client.connection is None and not client.stopped:
                client.attachment.handle_disconnected(self.relay_clock(client), refused=True)
                self.carry_out_relay_actions(client)
        elif client.machine is not None and not client.host.stopped:
            if connection.region not in client.region_connections:
                client.machine.region_lost(connection.region, self.clock(client.host))
            self._run_control_actions(client)

    def _session_opened(self, connection: Connection) -> None:
        server = connection.server
        if server.generation != connection.server_generation or server.machine is None or not connection.open:
            return
        server.sessions_by_number[connection.number] = connection
        server.machine.session_opened(connection.number, connection.client.name, self.clock(server.host))
        self._run_control_actions(server)

    def _connection_established(self, connection: Connection) -> None:
        client = connection.client
        if not self._is_current(connection):
            return
        if self._is_stopped(client):
            self._schedule(self.now + STOPPED_POLL_SECONDS, self._connection_established, connection)
            return
        if isinstance(client, Relay):
            assert client.attachment is not None
            client.attachment.handle_connected(self.relay_clock(client))
            self.carry_out_relay_actions(client)
        else:
            assert client.machine is not None
            client.machine.region_connected(connection.region, self.clock(client.host))
            self._run_control_actions(client)

    def _is_current(self, connection: Connection) -> bool:
        client = connection.client
        if client.generation != connection.client_generation:
            return False
        if isinstance(client, Relay):
            return client.attachment is not None and client.connection is connection
        return client.machine is not None and client.region_connections.get(connection.region) is connection

    @staticmethod
    def _is_stopped(host: Relay | ControlHost) -> bool:
        return host.stopped if isinstance(host, Relay) else host.host.stopped

    def _close_connection(
        self, connection: Connection, ended_host: Relay | ControlHost, silent: bool
    ) -> None:
        """Close a connection whose process at one end is gone; `silent`: its peer gets no notice."""
        if silent:
            return
        queue = connection.to_client if ended_host is connection.server else connection.to_server
        self._send_on_connection(connection, queue, CLOSED)

    def _send_on_connection(
        self, connection: Connection, queue: deque[tuple[float, Any]], message: Any
    ) -> None:
        """Queue a message in one direction; it arrives after those queued before it."""
        to_server = queue is connection.to_server
        names = connection.client.name, connection.server.name
        delay = self._delay(*(names if to_server else names[::-1]))
        ready = self.now + (RETRANSMIT_SECONDS if delay is None else delay)
        if queue:
            ready = max(ready, queue[-1][0])
        queue.append((ready, message))
        if len(queue) == 1:
            self._schedule(ready, self._deliver_queued, connection, queue)

    def _deliver_queued(self, connection: Connection, queue: deque[tuple[float, Any]]) -> None:
        """Deliver the messages due; if the link is cut or the receiver is stopped, retry later."""
        to_server = queue is connection.to_server
        source = connection.client if to_server else connection.server
        reader = connection.server if to_server else connection.client
        wait = None
        if self.link(source.name, reader.name).cut:
            wait = RETRANSMIT_SECONDS
        elif self._is_stopped(reader):
            wait = STOPPED_POLL_SECONDS
        if wait is not None:
            self._schedule(self.now + wait, self._deliver_queued, connection, queue)
            return
        while queue and queue[0][0] <= self.now:
            _, message = queue.popleft()
            if to_server:
                self._deliver_to_server(connection, message)
            else:
                self._deliver_to_client(connection, message)
        if queue:
            self._schedule(queue[0][0], self._deliver_queued, connection, queue)

    def _deliver_to_server(self, connection: Connection, message: Any) -> None:
        server, number = connection.server, connection.number
        if server.generation != connection.server_generation or server.machine is None:
            # The server's process is gone: the client is notified when it sends something.
            if message is not CLOSED and not connection.to_client:
                self._send_on_connection(connection, connection.to_client, CLOSED)
            return
        if server.sessions_by_number.get(number) is not connection:
            return
        self.session_messages += 1
        now = self.clock(server.host)
        if message is CLOSED:
            del server.sessions_by_number[number]
            server.machine.session_closed(number, now)
        else:
            server.machine.session_message_received(number, message, now)
        self._run_control_actions(server)

    def _deliver_to_client(self, connection: Connection, message: Any) -> None:
        if not self._is_current(connection):
            return
        self.session_messages += 1
        client = connection.client
        if isinstance(client, Relay):
            self._deliver_to_relay(client, message)
        else:
            self._deliver_to_follower(client, connection.region, message)

    def _deliver_to_relay(self, relay: Relay, message: SessionResponse | object) -> None:
        attachment, now = relay.attachment, self.relay_clock(relay)
        assert attachment is not None
        if message is CLOSED:
            relay.connection = None
            attachment.handle_disconnected(now)
        else:
            attachment.handle_message(message, now)  # type: ignore[arg-type]
        self.carry_out_relay_actions(relay)

    def _deliver_to_follower(
        self, control: ControlHost, region: str, message: SessionResponse | object
    ) -> None:
        machine, now = control.machine, self.clock(control.host)
        assert machine is not None
        if message is CLOSED:
            del control.region_connections[region]
            machine.region_lost(region, now)
        else:
            machine.region_message_received(region, message, now)  # type: ignore[arg-type]
        self._run_control_actions(control)

    # Observations.

    def running(self, region: str | None = None) -> list[Relay]:
        """Return the relays whose process runs, of one region or of all."""
        return [
            relay for relay in self.relays.values()
            if relay.attachment is not None and region in (None, relay.region)
        ]  # fmt: skip

    def relays_agree(self, region: str, names: Sequence[str]) -> bool:
        """Return whether all running relays of a region hold a lease and a roster of exactly these names."""
        expected_names = sorted(names)
        for relay in self.running(region):
            attachment = relay.attachment
            assert attachment is not None
            roster = attachment.roster
            if roster is None or sorted(roster.members) != expected_names:
                return False
            if not attachment.may_act(self.relay_clock(relay)):
                return False
        return True

    def run_until(self, condition: Callable[[], bool], timeout: float) -> float | None:
        """Run until a condition holds; return the seconds that this took, or None after the timeout."""
        started_at = self.now
        return self.now - started_at if self.run(timeout, condition) else None


SessionMessage = SessionRequest | SessionResponse
