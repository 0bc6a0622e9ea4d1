"""A fleet node on real sockets: the interface between the program and the fleet.

The endpoint has one UDP and one TCP socket at the same address. It drives a `Node`: it passes input from the
sockets and the timer to the node, and carries out the node's actions. `datagrams`, `calls` and
`durable_output` access the sockets and the state file.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import random
import socket
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path

from violetdoor import events
from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.fleet.calls import CallResponse, CallServer, MessageHandler, send_request
from violetdoor.fleet.clock import boot_time, unix_time_ms
from violetdoor.fleet.context import MemberState, NodeConfig
from violetdoor.fleet.datagrams import DatagramTransport, bind_datagram_socket
from violetdoor.fleet.durable_output import DurableOutput
from violetdoor.fleet.messages import (
    MapEntry,
    OpenStream,
    Packet,
    Request,
    Response,
    TcpAck,
)
from violetdoor.fleet.node import Node
from violetdoor.fleet.outbox import Actions, Call, Event
from violetdoor.fleet.state_file import StateFile
from violetdoor.fleet.status import FleetStatus
from violetdoor.fleet.stored_state import DurableState, HandoverState
from violetdoor.fleet.tasks import TaskOwner
from violetdoor.fleet.view import Address, Peer, View
from violetdoor.net.sockets import close_socket, connect, listen

log = logging.getLogger("violetdoor.fleet")

# Upper bound of a timer: the event loop's clock may stop while the machine sleeps, the node's clock does not.
MAX_TIMER_SECONDS = 60.0
RANDOM_SEED_BYTES = 16
# Events whose counter in the console's `GET /fleet` keeps an older name.
EVENT_COUNTERS = {
    events.FLEET_LEASE_ACQUIRED: "fleet.live",
    events.FLEET_LEASE_EXPIRED: "fleet.stale",
    events.FLEET_VIEW_RESTORED: "fleet.recalled",
    events.FLEET_JOIN_REJECTED: "fleet.refused",
    events.FLEET_HANDOVER_COMPLETED: "fleet.handed",
    events.FLEET_PAUSE_DETECTED: "fleet.paused",
}

ViewListener = Callable[[View | None], None]
EntryListener = Callable[[str, float | None], None]


class FleetEndpoint:
    """A member of the fleet on real sockets.

    The program uses `view`, `may_act()`, `owns()` and the listeners. An endpoint is started once, and ended
    by `close`, `stop` or `hand_over`.
    """

    # `start` opens both sockets.
    udp: socket.socket
    tcp: socket.socket

    def __init__(
        self,
        config: NodeConfig,
        bind_address: Address,
        key: bytes,
        state_path: Path | None = None,
        *,
        routes: dict[str, Address] | None = None,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        """Create an endpoint; `start` opens its sockets.

        `key` is the fleet's shared key. `state_path` is the file of the durable state; None if no state is
        kept. `routes` override the addresses of individual relays, by name.
        """
        self.config = config
        self.bind_address = bind_address
        self.authenticator = MessageAuthenticator(key)
        self.state_path = state_path
        self.clock = clock
        self.routes = routes or {}
        self.counts: Counter[str] = Counter()  # counters shown in the console's `GET /fleet`
        self.view_listeners: list[ViewListener] = []
        self.entry_listeners: list[EntryListener] = []  # called when an entry of the shared map changes
        self.channel_handlers: dict[str, MessageHandler] = {}  # handlers of stream messages, by channel
        # Called when the number of active relays has changed, with None if it is unknown.
        self.on_active_relays: Callable[[int | None], None] = _ignore_active_relays
        self.on_step: Callable[[], None] = _ignore_step  # called after each node step, before its actions
        self.active_relays: int | None = None  # the number that was last reported
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.is_open = False
        self.joined = asyncio.Event()
        self.address = bind_address
        self._prior_leases_had_expired = True
        self._last_rejection = ""  # reason of the last logged rejection since this relay was in a view
        self._make_transports()
        self.node = self._make_node(None)

    def _make_transports(self) -> None:
        self._task_owner = TaskOwner(self.counts)
        spawn = self._task_owner.spawn
        self._datagrams = DatagramTransport(
            self.authenticator, self.routes, self.counts, self._receive_packet
        )
        self._call_server = CallServer(self.authenticator, self.channel_handlers, self.counts, spawn)
        self._output = DurableOutput(lambda: self.node.durable_state, self._send, self.leave, spawn)

    def _make_node(self, durable_state: DurableState | None) -> Node:
        seeded_random = random.Random(os.urandom(RANDOM_SEED_BYTES))
        node = Node(self.config, seeded_random, self.clock(), unix_time_ms, durable_state)
        node.map.on_change = self._notify_entry
        return node

    def start(
        self,
        handover: HandoverState | None = None,
        udp: socket.socket | None = None,
        tcp: socket.socket | None = None,
    ) -> None:
        """Open the state file and the sockets, and continue from `handover` or else from the state file.

        `udp` and `tcp` are the previous process' sockets, if inherited. Reusing them leaves no moment at
        which calls are refused, which other relays would take for the death of this one. Raises
        StateFileError or OSError; whatever was opened is closed then, except for the inherited sockets.
        """
        with contextlib.ExitStack() as cleanup:
            state_file: StateFile | None = None
            durable_state: DurableState | None = None
            if self.state_path is not None:
                state_file = StateFile(self.state_path)
                cleanup.callback(state_file.close)
                durable_state = state_file.read()
            if udp is not None and tcp is not None:
                self.udp = udp
                self.tcp = tcp
            else:
                self._bind()
            cleanup.pop_all()
        self.address = self.tcp.getsockname()[:2]
        self._output.open(state_file, durable_state)
        self.is_open = True
        if handover is not None:
            self.node = self._make_node(None)
            self.node.import_state(handover, self.clock())
        else:
            self.node = self._make_node(durable_state)
        self.loop.add_reader(self.udp, self._read_datagrams)
        self._task_owner.spawn(self._call_server.serve(self.tcp, self._respond))
        self._execute_actions()
        if self.view is not None:
            self.joined.set()
            self._notify_view(self.view)

    def _bind(self) -> None:
        """Open both sockets at the same port."""
        self.udp = bind_datagram_socket(self.bind_address)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self.udp.close)
            self.tcp = listen((self.bind_address[0], self.udp.getsockname()[1]))
            cleanup.pop_all()

    # Interface for the program.

    @property
    def view(self) -> View | None:
        """The view that this relay is a member of, if any."""
        return self.node.view if self.node.state is MemberState.MEMBER else None

    @property
    def local_peer(self) -> Peer:
        """The relay's own identity: its address and its present instance."""
        return self.node.local_peer

    @property
    def tasks(self) -> set[asyncio.Task[None]]:
        """The running tasks; `stop` cancels them."""
        return self._task_owner.tasks

    def may_act(self) -> bool:
        """Return whether this process is the member and holds its lease at this moment.

        After `hand_over` the lease is the next process's, although it has not expired.
        """
        return self.is_open and self.node.may_act(self.clock())

    def owns(self, key: str) -> bool:
        """Return whether this process is the only owner of a key at this moment."""
        return self.is_open and self.node.owns(key, self.clock())

    def set_entry(self, key: str, value: float | None) -> bool:
        """Set an entry of the shared map, or remove it by None; return False if the map is full."""
        if not self.is_open:
            return True  # in an upgrade, the process that is the member now gets the entry by other messages
        accepted = self.node.set_entry(key, value, self.clock())
        self._execute_actions()
        return accepted

    def merge_entries(self, entries: Iterable[MapEntry]) -> None:
        """Merge entries from elsewhere into the shared map; packets propagate them to the other members."""
        size = 1 if self.node.view is None else len(self.node.view.members)
        self.node.map.merge(entries, unix_time_ms(), size)
        self._execute_actions()

    def force_epoch(self) -> None:
        """Start a new epoch without a majority. Raises ForceRefusedError if a majority is reachable."""
        self.node.force_epoch(self.clock())
        self._execute_actions()

    def leave(self) -> None:
        """Leave the fleet by this relay's own decision."""
        self.node.leave(self.clock())
        self._execute_actions()  # also reports that the number of active relays is unknown now
        self._notify_view(None)

    async def wait_until_joined(self, max_wait: float) -> bool:
        """Wait until this relay is in a view and has the shared map; return False after `max_wait` s."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max_wait):
                await self.joined.wait()
        return self.joined.is_set()

    def status(self) -> FleetStatus:
        """Return the status that is shown to operators."""
        return self.node.status(self.counts, self.clock())

    async def send_request(self, sock: socket.socket, request: Request) -> CallResponse:
        """Send a request on a new connection. Raises OSError, EOFError or ValueError on failure."""
        return await send_request(sock, request, self.authenticator)

    # Shutdown.

    async def close(self) -> None:
        """Leave the fleet, unless that was done before, and close all sockets."""
        if self.is_open and self.node.state is not MemberState.LEFT:
            self.leave()
        self.stop()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def stop(self) -> None:
        """Close everything without notifying the fleet; another process may continue as the member."""
        if not self.is_open:
            return
        self.is_open = False
        self.loop.remove_reader(self.udp)
        if self.timer is not None:
            self.timer.cancel()
        self._task_owner.cancel()
        self.udp.close()
        self.tcp.close()
        self._output.close()

    def hand_over(self) -> HandoverState | None:
        """Stop, and return the state for the process that continues as the member; None if not open."""
        if not self.is_open:
            return None
        handover = self.node.export_state()
        self.stop()
        return handover

    # Input and output of the node.

    def _wake(self) -> None:
        self.node.wake(self.clock())
        self._execute_actions()

    def _read_datagrams(self) -> None:
        self._datagrams.read(self.udp)
        self._execute_actions()

    def _receive_packet(self, packet: Packet, source: Address) -> None:
        self.node.receive(packet, source, self.clock())

    def _respond(self, request: Request) -> Response | None:
        """Return the response to another relay's request; None if it gets none."""
        if isinstance(request, OpenStream):
            has_handler = request.channel in self.channel_handlers
            return TcpAck(self.node.local_peer.instance) if has_handler else None
        response = self.node.handle_request(request, self.clock())
        self._execute_actions()
        return response

    def _execute_actions(self) -> None:
        """Carry out the node's actions, report its events, and schedule its next wake-up."""
        if not self.is_open:
            return
        self.on_step()
        actions = self.node.take_actions()
        self._output.submit(actions)
        for event in actions.events:
            self._emit(event)
        self._report_active_relays()
        self._report_prior_leases()
        self._set_timer()

    def _report_active_relays(self) -> None:
        active_relays = self.node.active_relays()
        if active_relays != self.active_relays:
            self.active_relays = active_relays
            self.on_active_relays(active_relays)

    def _report_prior_leases(self) -> None:
        expired = self.node.prior_leases_expired(self.clock())
        if expired and not self._prior_leases_had_expired and self.node.view is not None:
            events.emit(log, events.FLEET_PRIOR_LEASES_EXPIRED, view=str(self.node.view.id))
        self._prior_leases_had_expired = expired

    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay = min(MAX_TIMER_SECONDS, max(0.0, self.node.next_wake_at - self.clock()))
        self.timer = self.loop.call_later(delay, self._wake)

    def _emit(self, event: Event) -> None:
        """Log and count an event, and notify view listeners; consecutive equal rejections are skipped."""
        name = event.name
        values = event.values
        if name == events.FLEET_JOIN_REJECTED:
            if values["why"] == self._last_rejection:
                return
            self._last_rejection = values["why"]
        self.counts[EVENT_COUNTERS.get(name, name)] += 1
        events.emit(log, name, at=round(self.clock(), 3), **values)
        if name == events.FLEET_VIEW:
            self._last_rejection = ""
            self.joined.set()
            self._notify_view(self.node.view)
        elif name == events.FLEET_REMOVED:
            self._notify_view(None)

    def _notify_view(self, view: View | None) -> None:
        for listener in self.view_listeners:
            listener(view)

    def _notify_entry(self, key: str, value: float | None) -> None:
        for listener in self.entry_listeners:
            listener(key, value)

    def _send(self, actions: Actions) -> None:
        for datagram in actions.datagrams:
            self._datagrams.send(self.udp, datagram)
        for call in actions.calls:
            self._task_owner.spawn(self._call(call))

    # Calls to other relays.

    async def _call(self, call: Call) -> None:
        """Make a call and pass the response, or None if it fails, to the node."""
        response: Response | None = None
        refused = False
        try:
            async with asyncio.timeout(call.timeout):
                response = await self._send_call_request(call)
        except ConnectionRefusedError:
            refused = True
        except (OSError, EOFError, ValueError):  # FrameError and msgspec's are ValueErrors
            pass
        if self.is_open:
            failed = 1 if response is None else 0
            self.counts["calls_failed"] += failed  # adding 0 makes the counter visible from the first call
            self.node.handle_response(call.number, response, self.clock(), refused=refused)
            self._execute_actions()

    async def _send_call_request(self, call: Call) -> Response:
        sock = await connect(self._route(call.address), call.timeout)
        try:
            return (await self.send_request(sock, call.request)).response
        finally:
            close_socket(sock)

    def _route(self, address: Address) -> Address:
        """Return the configured route to the member at an address, or else the address itself."""
        if self.node.view is not None:
            for peer in self.node.view.members:
                if peer.address == address and peer.name in self.routes:
                    return self.routes[peer.name]
        return address


def _ignore_active_relays(_count: int | None) -> None:
    """Do nothing; the default of `on_active_relays`."""


def _ignore_step() -> None:
    """Do nothing; the default of `on_step`."""
