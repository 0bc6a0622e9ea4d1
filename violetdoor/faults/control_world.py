"""A large fleet in virtual time: control groups, relays that hold sessions, and links that fail.

The groups' nodes run as in `virtual`. Sessions and connections between regions are as TCP is: in order,
late where segments are lost, silent where a link is cut or a machine is gone, ended where a process is.
Messages in a group may be lost with their stream, and, in a hostile world, overtake each other.
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
TRY_AGAIN = 0.2  # s between two attempts of a connection's segment where its link is cut
LOOK_AGAIN = 0.05  # s between two looks at whether a stopped process goes on
REFUSED_AFTER = 0.001  # s until one hears that nobody listens
ROUNDING = 1e-6  # s by which a clock may be behind a deadline that was reckoned from it
ACT_MOST = 200  # messages between a machine and itself in one step, before something is wrong


@dataclass(eq=False)
class Relay:
    """One relay's place: its process, if one runs, and its clock."""

    name: str
    region: str
    zone: str
    attachment: Attachment | None = None
    generation: int = 0  # processes that ran here
    stopped: bool = False
    rate: float = 1.0
    offset: float = 0.0  # of its clock
    wakes_at: float = math.inf
    connection: Connection | None = None
    beat_at: float = -math.inf  # when it sent its last heartbeat
    events: list[tuple[float, str, dict[str, Any]]] = field(default_factory=list)


@dataclass(eq=False)
class Control:
    """One control machine's place; its process and clock are those of its node's host."""

    host: Host
    region: str
    machine: ControlMachine | None = None
    generation: int = 0
    wakes_at: float = math.inf
    changed: list[str] = field(default_factory=list)  # keys of the shared map
    accepted: dict[int, Connection] = field(default_factory=dict)  # by number of the session
    following: dict[str, Connection] = field(default_factory=dict)  # by region

    @property
    def name(self) -> str:
        return self.host.name


@dataclass(eq=False)
class Connection:
    """From a relay, or a control machine that follows a region, to a control machine."""

    client: Relay | Control
    client_generation: int
    server: Control
    server_generation: int
    number: int = 0  # of the session, once it was accepted
    region: str = ""  # that is followed
    open: bool = True
    to_server: deque[tuple[float, Any]] = field(default_factory=deque)  # when it can arrive, and what
    to_client: deque[tuple[float, Any]] = field(default_factory=deque)


CLOSED = object()  # the other side has closed the connection


class ControlWorld(World):
    """Control groups and relays of some regions, in one virtual time."""

    def __init__(self, seed: int, hostile: bool = False) -> None:
        super().__init__(seed)
        self.hostile = hostile
        self.relays: dict[str, Relay] = {}
        self.controls: dict[str, Control] = {}
        self.groups: dict[str, list[str]] = {}  # control machines by region
        self.limits = act.MachineLimits()
        self.sessions = 0
        self.control_events: list[tuple[float, str, str, dict[str, Any]]] = []  # when, at whom, what
        self.messages = 0  # that arrived on sessions

    # Processes.

    def add_region(self, region: str, machines: int) -> None:
        """A region with so many control machines; all are to be added before the first is started."""
        self.groups[region] = [f"{region}-c{n}" for n in range(machines)]
        for name in self.groups[region]:
            self.controls[name] = Control(self.host(name), region)

    def start_control(self, name: str) -> None:
        """Start a control machine: its node in the group, and what is built on it."""
        control = self.controls[name]
        group = self.groups[control.region]
        control.generation += 1
        control.machine, control.wakes_at = None, math.inf
        control.accepted, control.following, control.changed = {}, {}, []
        self.start(name, group, group)
        node = control.host.node
        assert node is not None
        node.map.on_change = lambda key, value: control.changed.append(key)
        regions = {
            region: tuple((self.host(one).address[0], CONTROL_PORT) for one in names)
            for region, names in self.groups.items()
        }
        plan = act.MachineConfig(name, control.region, regions, self.limits)
        control.machine = ControlMachine(plan, self._random(), self.clock(control.host), node.map)
        self.carry_out_actions(control.host)

    def start_relay(self, name: str, region: str, zone: str = "") -> Relay:
        """Start a process of a relay."""
        relay = self.relays.setdefault(name, Relay(name, region, zone))
        relay.generation += 1
        relay.stopped, relay.wakes_at, relay.connection, relay.beat_at = False, math.inf, None, -math.inf
        controls = tuple((self.host(one).address[0], CONTROL_PORT) for one in self.groups[region])
        plan = AttachmentConfig(name, f"host-{name}", 4222, zone, region, controls)
        relay.attachment = Attachment(
            plan, self._random(), self.relay_clock(relay), lambda: self.unix_of(relay)
        )
        self.carry_out_relay_actions(relay)
        return relay

    def kill_control(self, name: str, silent: bool = False) -> None:
        """End a control machine's process; `silent`: with its machine, so that no connection is closed."""
        control = self.controls[name]
        self.kill(name)
        control.machine = None
        control.generation += 1
        ended = [*control.accepted.values(), *control.following.values()]
        control.accepted, control.following = {}, {}
        for connection in ended:
            self._end(connection, control, silent)

    def kill_relay(self, name: str, silent: bool = False) -> None:
        """End a relay's process; `silent`: with its machine."""
        relay = self.relays[name]
        relay.attachment = None
        relay.generation += 1
        if relay.connection is not None:
            self._end(relay.connection, relay, silent)
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
        return 5000.0 + relay.offset + self.now * relay.rate

    def unix_of(self, relay: Relay) -> float:
        return 1.8e12 + self.now * 1000

    def _random(self) -> Random:
        return Random(self.random.getrandbits(64))

    # Control machines.

    def carry_out_actions(self, host: Host) -> None:
        super().carry_out_actions(host)
        control = self.controls.get(host.name)
        if control is not None and control.machine is not None and host.node is not None:
            self._after_node(control, control.machine)

    def _after_node(self, control: Control, machine: ControlMachine) -> None:
        """Tell a control machine what a step of its group's node changed."""
        node, now = control.host.node, self.clock(control.host)
        assert node is not None
        if control.changed:
            keys, control.changed = control.changed, []
            machine.entries_changed(tuple(node.map.entries[key] for key in keys), now)
        state = group_state(node, now)
        if state != machine.group:
            machine.group_changed(state, now)
        self._act_control(control)

    def _wake_control(self, control: Control, generation: int) -> None:
        machine = control.machine
        if machine is None or control.generation != generation or control.host.stopped:
            return
        if self.now < control.wakes_at:
            return  # a wake that was planned before it was put off
        control.wakes_at = math.inf
        now = self.clock(control.host) + ROUNDING
        if now >= machine.next_wake_at:
            machine.wake(now)
        self._act_control(control)

    def _act_control(self, control: Control) -> None:
        machine = control.machine
        if machine is None:
            return
        for _ in range(ACT_MOST):
            actions = machine.take_actions()
            if not actions:
                break
            for action in actions:
                self._do_control(control, machine, action)
        now = self.clock(control.host)
        at = self.now + max(0.0, machine.next_wake_at - now) / control.host.rate
        if at < control.wakes_at - ROUNDING or control.wakes_at < self.now:
            control.wakes_at = at
            self._schedule(at, self._wake_control, control, control.generation)

    def _do_control(self, control: Control, machine: ControlMachine, action: act.Action) -> None:
        match action:
            case act.SendToSession(session, message):
                if (connection := control.accepted.get(session)) is not None:
                    self._send_on_connection(connection, connection.to_client, message)
            case act.CloseSession(session):
                if (connection := control.accepted.pop(session, None)) is not None:
                    self._send_on_connection(connection, connection.to_client, CLOSED)
            case act.SendToMember(member, message):
                self._send_group(control, member, message)
            case act.ConnectRegion(region, address):
                control.following.pop(region, None)
                self._connect(control, address, region)
            case act.SendToRegion(region, message):
                if (connection := control.following.get(region)) is not None:
                    self._send_on_connection(connection, connection.to_server, message)
            case act.DisconnectRegion(region):
                if (connection := control.following.pop(region, None)) is not None:
                    self._send_on_connection(connection, connection.to_server, CLOSED)
            case act.MergeEntries(entries):
                self._merge(control, entries)
            case act.EmitEvent(name, values):
                self.control_events.append((self.now, control.name, name, values))

    def _merge(self, control: Control, entries: tuple[MapEntry, ...]) -> None:
        node = control.host.node
        assert node is not None and control.machine is not None
        node.map.merge(entries, self.unix(control.host), 3)
        self._schedule(self.now, self._carry_out_later, control, control.generation)

    def _carry_out_later(self, control: Control, generation: int) -> None:
        if control.generation == generation and control.machine is not None and not control.host.stopped:
            self.carry_out_actions(control.host)

    def _send_group(self, control: Control, member: str, message: GroupMessage) -> None:
        to = self.controls.get(member)
        delay = self._delay(control.name, member)
        if to is None or delay is None:
            return
        self._schedule(self.now + delay, self._group_arrives, control.name, to, to.generation, message)

    def _group_arrives(self, source: str, to: Control, generation: int, message: GroupMessage) -> None:
        if to.generation != generation or to.machine is None or self.link(source, to.name).cut:
            return
        if to.host.stopped:
            self._schedule(self.now + LOOK_AGAIN, self._group_arrives, source, to, generation, message)
            return
        to.machine.group_message_received(source, message, self.clock(to.host))
        self._act_control(to)

    def _delay(self, source: str, to: str) -> float | None:
        """How long a message takes one way; none where the link is cut."""
        link = self.link(source, to)
        if link.cut:
            return None
        delay = self.random.uniform(*link.delay)
        while self.random.random() < link.loss:
            delay += TRY_AGAIN
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
        now = self.relay_clock(relay) + ROUNDING
        if now >= relay.attachment.next_wake_at:
            relay.attachment.wake(now)
        self.carry_out_relay_actions(relay)

    def carry_out_relay_actions(self, relay: Relay) -> None:
        attachment = relay.attachment
        if attachment is None:
            return
        for action in attachment.take_actions():
            self.carry_out_relay_action(relay, action)
        at = self.now + max(0.0, attachment.next_wake_at - self.relay_clock(relay)) / relay.rate
        if at < relay.wakes_at - ROUNDING or relay.wakes_at < self.now:
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
                        relay.beat_at = self.now
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
        """Set a value of the shared map at a relay."""
        relay = self.relays[name]
        assert relay.attachment is not None
        relay.attachment.set_shared_value(key, value)
        self.carry_out_relay_actions(relay)

    def leave(self, name: str) -> None:
        """A relay ends in order."""
        relay = self.relays[name]
        assert relay.attachment is not None
        relay.attachment.leave()
        self.carry_out_relay_actions(relay)
        relay.attachment = None
        relay.generation += 1

    # Connections.

    def _connect(self, client: Relay | Control, address: Address, region: str) -> None:
        name = next(one for one in self.controls if self.host(one).address[0] == address[0])
        server = self.controls[name]
        out, back = self._delay(client.name, name), self._delay(name, client.name)
        if out is None or back is None or (server.machine is not None and server.host.stopped):
            return  # nothing is heard, and the client gives up in time
        connection = Connection(client, client.generation, server, server.generation, region=region)
        if server.machine is None:
            self._schedule(self.now + out + back, self._failed, connection)
            return
        self.sessions += 1
        connection.number = self.sessions
        if isinstance(client, Relay):
            client.connection = connection
        else:
            client.following[region] = connection
        self._schedule(self.now + out, self._accept, connection)
        self._schedule(self.now + out + back, self._connected, connection)

    def _failed(self, connection: Connection) -> None:
        client = connection.client
        if client.generation != connection.client_generation:
            return
        if isinstance(client, Relay):
            if client.attachment is not None and client.connection is None and not client.stopped:
                client.attachment.handle_disconnected(self.relay_clock(client), refused=True)
                self.carry_out_relay_actions(client)
        elif client.machine is not None and not client.host.stopped:
            if connection.region not in client.following:
                client.machine.region_lost(connection.region, self.clock(client.host))
            self._act_control(client)

    def _accept(self, connection: Connection) -> None:
        server = connection.server
        if server.generation != connection.server_generation or server.machine is None or not connection.open:
            return
        server.accepted[connection.number] = connection
        server.machine.session_opened(connection.number, connection.client.name, self.clock(server.host))
        self._act_control(server)

    def _connected(self, connection: Connection) -> None:
        client = connection.client
        if not self._client_has(connection):
            return
        if self._stopped(client):
            self._schedule(self.now + LOOK_AGAIN, self._connected, connection)
            return
        if isinstance(client, Relay):
            assert client.attachment is not None
            client.attachment.handle_connected(self.relay_clock(client))
            self.carry_out_relay_actions(client)
        else:
            assert client.machine is not None
            client.machine.region_connected(connection.region, self.clock(client.host))
            self._act_control(client)

    def _client_has(self, connection: Connection) -> bool:
        client = connection.client
        if client.generation != connection.client_generation:
            return False
        if isinstance(client, Relay):
            return client.attachment is not None and client.connection is connection
        return client.machine is not None and client.following.get(connection.region) is connection

    @staticmethod
    def _stopped(place: Relay | Control) -> bool:
        return place.stopped if isinstance(place, Relay) else place.host.stopped

    def _end(self, connection: Connection, ended: Relay | Control, silent: bool) -> None:
        """A process with an end of a connection is gone."""
        if silent:
            return
        way = connection.to_client if ended is connection.server else connection.to_server
        self._send_on_connection(connection, way, CLOSED)

    def _send_on_connection(
        self, connection: Connection, way: deque[tuple[float, Any]], message: Any
    ) -> None:
        """Queue a message one way; it arrives after those before it."""
        to_server = way is connection.to_server
        names = connection.client.name, connection.server.name
        delay = self._delay(*(names if to_server else names[::-1]))
        ready = self.now + (TRY_AGAIN if delay is None else delay)
        if way:
            ready = max(ready, way[-1][0])
        way.append((ready, message))
        if len(way) == 1:
            self._schedule(ready, self._arrives, connection, way)

    def _arrives(self, connection: Connection, way: deque[tuple[float, Any]]) -> None:
        """Hand on what has arrived; where the link is cut or the reader stopped, look again later."""
        to_server = way is connection.to_server
        source = connection.client if to_server else connection.server
        reader = connection.server if to_server else connection.client
        wait = None
        if self.link(source.name, reader.name).cut:
            wait = TRY_AGAIN
        elif self._stopped(reader):
            wait = LOOK_AGAIN
        if wait is not None:
            self._schedule(self.now + wait, self._arrives, connection, way)
            return
        while way and way[0][0] <= self.now:
            _, message = way.popleft()
            if to_server:
                self._server_reads(connection, message)
            else:
                self._client_reads(connection, message)
        if way:
            self._schedule(way[0][0], self._arrives, connection, way)

    def _server_reads(self, connection: Connection, message: Any) -> None:
        server, number = connection.server, connection.number
        if server.generation != connection.server_generation or server.machine is None:
            # Nobody is there any more: the client hears of it once it writes.
            if message is not CLOSED and not connection.to_client:
                self._send_on_connection(connection, connection.to_client, CLOSED)
            return
        if server.accepted.get(number) is not connection:
            return
        self.messages += 1
        now = self.clock(server.host)
        if message is CLOSED:
            del server.accepted[number]
            server.machine.session_closed(number, now)
        else:
            server.machine.session_message_received(number, message, now)
        self._act_control(server)

    def _client_reads(self, connection: Connection, message: Any) -> None:
        if not self._client_has(connection):
            return
        self.messages += 1
        client = connection.client
        if isinstance(client, Relay):
            self._relay_reads(client, message)
        else:
            self._follower_reads(client, connection.region, message)

    def _relay_reads(self, relay: Relay, message: SessionResponse | object) -> None:
        attachment, now = relay.attachment, self.relay_clock(relay)
        assert attachment is not None
        if message is CLOSED:
            relay.connection = None
            attachment.handle_disconnected(now)
        else:
            attachment.handle_message(message, now)  # type: ignore[arg-type]
        self.carry_out_relay_actions(relay)

    def _follower_reads(self, control: Control, region: str, message: SessionResponse | object) -> None:
        machine, now = control.machine, self.clock(control.host)
        assert machine is not None
        if message is CLOSED:
            del control.following[region]
            machine.region_lost(region, now)
        else:
            machine.region_message_received(region, message, now)  # type: ignore[arg-type]
        self._act_control(control)

    # What is seen of it all.

    def running(self, region: str | None = None) -> list[Relay]:
        """The relays whose process runs."""
        return [
            relay for relay in self.relays.values()
            if relay.attachment is not None and region in (None, relay.region)
        ]  # fmt: skip

    def relays_agree(self, region: str, names: Sequence[str]) -> bool:
        """Whether all running relays of a region hold a lease and one roster, of just these."""
        wanted = sorted(names)
        for relay in self.running(region):
            attachment = relay.attachment
            assert attachment is not None
            roster = attachment.roster
            if roster is None or sorted(roster.members) != wanted:
                return False
            if not attachment.may_act(self.relay_clock(relay)):
                return False
        return True

    def run_until(self, condition: Callable[[], bool], within: float) -> float | None:
        """Run until something is so; how long that took, or nothing where it did not come in time."""
        began = self.now
        return self.now - began if self.run(within, condition) else None


SessionMessage = SessionRequest | SessionResponse
