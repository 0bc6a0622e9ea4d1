"""One relay as a node of the fleet. No I/O: the caller passes packets and times in and carries out actions.

`Node` combines the components: failure detection, agreement, leases and the shared map at the lower level;
membership, proposing, founding, joining and packets above them. The same code runs in processes, in virtual
time, and in a search over interleavings. Times are in seconds of a monotonic clock that includes time in
which the machine sleeps. The exception is `unix_ms`, which is used only for timestamps of the shared map and
for the numbers of new epochs.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from random import Random

from violetdoor import events
from violetdoor.fleet.anti_entropy import AntiEntropy
from violetdoor.fleet.context import MemberState, NodeConfig, NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.failure_detector import FailureDetector
from violetdoor.fleet.founding import Founder
from violetdoor.fleet.gossip import Gossip
from violetdoor.fleet.handover import Handover
from violetdoor.fleet.heartbeat import Heartbeat
from violetdoor.fleet.joining import SEEK_INTERVAL_SECONDS, Joining
from violetdoor.fleet.lease import Lease
from violetdoor.fleet.membership import Membership
from violetdoor.fleet.messages import (
    Leave,
    Packet,
    Request,
    Response,
    TcpPing,
)
from violetdoor.fleet.outbox import Actions
from violetdoor.fleet.packets import Packets
from violetdoor.fleet.prior_leases import PriorLeases
from violetdoor.fleet.proposer import BATCH_DELAY_SECONDS, Proposer
from violetdoor.fleet.receiver import PacketReceiver
from violetdoor.fleet.requests import RequestHandler
from violetdoor.fleet.shared_map import SharedMap
from violetdoor.fleet.status import FleetStatus, StatusReader
from violetdoor.fleet.stored_state import DurableState, HandoverState
from violetdoor.fleet.view import Address, Peer, View

PAUSE_THRESHOLD_SECONDS = 0.5  # a step that is this much overdue means that the process was paused
MIN_WAKE_DELAY_SECONDS = 0.001  # minimum delay until the next wake-up, which prevents a busy loop


class Node:
    """One relay's state machine.

    After each call the caller carries out what `take_actions` returns; it calls `wake` at `next_wake_at`. It
    writes `durable_state` to disk before it sends any output of the same step.
    """

    def __init__(
        self,
        config: NodeConfig,
        random: Random,
        now: float,
        unix_ms: Callable[[], float],
        durable_state: DurableState | None = None,
    ) -> None:
        """Create the components, and restore the view of `durable_state` if this relay is in it.

        `durable_state` is the state that the previous process wrote, or None.
        """
        self.context = context = NodeContext(config, random, now, unix_ms)
        first_seek_at = now + random.random() * SEEK_INTERVAL_SECONDS / 2
        self.departures = Departures(context)
        self.prior_leases = PriorLeases(context, self.departures)
        self.gossip = Gossip(context)
        self.heartbeat = Heartbeat(context, self.gossip, now)
        self.sync = AntiEntropy(context, self.gossip, now)
        self.membership = Membership(context, self.departures, self.prior_leases, self.gossip, self.heartbeat)
        self.proposer = Proposer(context, self.departures, self.membership)
        self.founder = Founder(context, self.departures, self.membership)
        self.joining = Joining(
            context, self.departures, self.membership, self.proposer, self.founder, self.sync, first_seek_at
        )
        self.packets = Packets(context, self.departures)
        self.membership.listeners += [self.proposer, self.founder, self.joining, self.packets]
        self.membership.on_recover = self.proposer.request_rejoin
        self.receiver = self._make_receiver()
        self.requests = RequestHandler(
            context, self.departures, self.membership, self.founder, self.sync, self.joining
        )
        self.handover = self._make_handover()
        self._status = StatusReader(context, self.departures, self.prior_leases, self.proposer, self.packets)
        context.durable_state = durable_state
        if durable_state is not None and config.name in durable_state.view.index_by_name:
            self.membership.recover(durable_state, now)

    def _make_receiver(self) -> PacketReceiver:
        return PacketReceiver(
            self.context,
            self.departures,
            self.prior_leases,
            self.membership,
            self.heartbeat,
            self.proposer,
            self.sync,
            self.joining,
            self.packets,
        )

    def _make_handover(self) -> Handover:
        return Handover(
            self.context,
            self.departures,
            self.prior_leases,
            self.heartbeat,
            self.membership,
            self.proposer,
            self.joining,
            self.packets,
        )

    # Interface of the program.

    @property
    def view(self) -> View | None:
        """The view that this relay is a member of, or was a member of before it restarted."""
        return self.context.view

    @property
    def state(self) -> MemberState:
        """The membership state of this relay."""
        return self.context.state

    @property
    def local_peer(self) -> Peer:
        """The local relay as a peer, with its address and current instance."""
        return self.context.local_peer

    @property
    def lease(self) -> Lease | None:
        """The lease under the current view."""
        return self.context.lease

    @property
    def map(self) -> SharedMap:
        """The local copy of the map that all relays share."""
        return self.context.map

    @property
    def detector(self) -> FailureDetector:
        """The failure detector."""
        return self.context.detector

    @property
    def durable_state(self) -> DurableState | None:
        """State that must survive a restart; to be written before any output of the same step is sent."""
        return self.context.durable_state

    def may_act(self, now: float) -> bool:
        """Return whether this relay holds a valid lease in its view."""
        return self.context.may_act(now)

    def owns(self, key: str, now: float) -> bool:
        """Return whether this relay is the only owner of a key.

        That is the case only after the leases of all its owners under earlier views have expired.
        """
        return self.prior_leases.owns(key, now)

    def prior_leases_expired(self, now: float) -> bool:
        """Return whether all leases under earlier views have expired."""
        return self.prior_leases.all_expired(now)

    def is_certainly_dead(self, name: str, instance: int, now: float) -> bool:
        """Return whether an instance can no longer act.

        That is the case if it has provably ended, or was removed from the view and its lease has expired.
        """
        return self.prior_leases.is_certainly_dead(name, instance, now)

    def active_relays(self) -> int | None:
        """Return the number of relays that share the servers; None if this relay is not a member.

        Without a lease this relay cannot tell failed relays from relays behind a partition. It then counts
        the reachable ones, but at least half of the view, so that the two sides of a partition together use
        at most twice the capacity.
        """
        view = self.context.view
        if view is None or self.context.state is not MemberState.MEMBER:
            return None
        size = len(view.members)
        return size if self.context.had_lease else max(self.context.detector.alive_count, (size + 1) // 2)

    def status(self, counts: Mapping[str, int], now: float) -> FleetStatus:
        """Return the status shown to operators; `counts` are the driver's counters."""
        return self._status.read(counts, now)

    def set_entry(self, key: str, value: float | None, now: float) -> bool:
        """Set a value of the shared map, or remove it with None; return False if the map is full."""
        context = self.context
        accepted = context.map.put(key, value, context.unix_ms(), context.view_size())
        if accepted:
            self.gossip.spread(now)
            self._end_step(now)
        return accepted

    def leave(self, now: float) -> None:
        """Leave by this relay's own decision, and notify the other members."""
        context = self.context
        if context.state is MemberState.MEMBER:
            for peer in context.other_members():
                context.outbox.queue(peer.name, Leave())
            self._end_step(now)
        context.state = MemberState.LEFT
        context.lease = None
        context.outbox.emit(events.FLEET_LEFT)

    def force_epoch(self, now: float) -> None:
        """Found an epoch with all reachable members, although they are not a majority of the view.

        Raises ForceRefusedError if a majority is reachable, or this relay is not in any view.
        """
        self.founder.force_epoch(now)
        self._end_step(now)

    def export_state(self) -> HandoverState:
        """Return the member's state; afterwards this process must not send anything as the member."""
        return self.handover.export_state()

    def import_state(self, state: HandoverState, now: float) -> None:
        """Continue as the member that the previous process on the same machine was."""
        self.handover.import_state(state, now)

    # Interface of the driver.

    @property
    def next_wake_at(self) -> float:
        """When the driver is to call `wake` next."""
        return self.context.next_wake_at

    def take_actions(self) -> Actions:
        """Return and clear the actions that the driver is to carry out."""
        return self.context.outbox.take_actions()

    def wake(self, now: float) -> None:
        """Run all components that are due."""
        context = self.context
        if context.state is MemberState.LEFT:
            context.next_wake_at = math.inf
            return
        self._detect_pause(now)
        had_lease = context.had_lease
        if context.state in (MemberState.MEMBER, MemberState.RECOVERING):
            self._wake_in_view(now)
        if not context.may_act(now):
            if had_lease:
                context.report_lease_expired()
            self.joining.wake(now)
        self.founder.wake(now)
        self._end_step(now)

    def receive(self, packet: Packet, source: Address, now: float) -> None:
        """Handle a packet whose authentication tag was valid."""
        if self.context.state is MemberState.LEFT:
            return
        self._detect_pause(now)
        if self.receiver.receive(packet, source, now):
            self._end_step(now)

    def handle_request(self, request: Request, now: float) -> Response | None:
        """Return the response to a request received over TCP; None if there is none."""
        if self.context.state is MemberState.LEFT:
            return None
        response = self.requests.handle_request(request, now)
        self._end_step(now)
        return response

    def handle_response(
        self, call_number: int, response: Response | None, now: float, *, refused: bool = False
    ) -> None:
        """Handle the response to a call; None if the call failed.

        `refused` tells whether the connection was refused because no process listens at the address.
        """
        if self.context.state is MemberState.LEFT:
            return
        if self.requests.handle_response(call_number, response, now, refused=refused):
            self._end_step(now)

    # One step.

    def _detect_pause(self, now: float) -> None:
        """Detect a pause of this process, which must not look like a failure of all other relays."""
        context = self.context
        if now > context.next_wake_at + PAUSE_THRESHOLD_SECONDS:
            context.outbox.emit(events.FLEET_PAUSE_DETECTED, seconds=round(now - context.next_wake_at, 3))
            context.detector.resume_after_pause(now)
            context.next_wake_at = now

    def _wake_in_view(self, now: float) -> None:
        context = self.context
        context.detector.wake(now)
        self.proposer.wake(now)
        self.proposer.apply_decision(now)
        if context.state is MemberState.MEMBER and context.lease is not None:
            self.heartbeat.wake(now)
            self.sync.wake(now)

    def _end_step(self, now: float) -> None:
        """Create packets from the queued messages, and schedule the next wake-up."""
        self._queue_detector_output(now)
        self.context.update_durable_state()
        self.packets.send_queued(now)
        self.context.next_wake_at = max(now + MIN_WAKE_DELAY_SECONDS, self._earliest_wake(now))

    def _queue_detector_output(self, now: float) -> None:
        detector = self.context.detector
        outbox = self.context.outbox
        for outgoing in detector.outgoing:
            outbox.queue(outgoing.recipient, outgoing.message)
        detector.outgoing.clear()
        for probe in detector.tcp_probes:
            if (address := self.packets.address_of(probe.target)) is not None:
                instance = detector.members[probe.target].peer.instance
                outbox.start_call(address, TcpPing(instance), probe.target, probe.seq)
        detector.tcp_probes.clear()
        if detector.health_has_changed:
            detector.health_has_changed = False
            self.gossip.spread(now)

    def _earliest_wake(self, now: float) -> float:
        context = self.context
        wake_times = [self.proposer.next_wake_at, self.heartbeat.next_wake_at, self.founder.next_wake_at]
        if context.agreement is not None:
            wake_times.append(context.detector.next_wake_at)
        if self.proposer.has_pending_change:
            wake_times.append(now + BATCH_DELAY_SECONDS / 2)
        if context.lease is not None:
            wake_times.append(self.sync.next_sync_at)
        if not context.had_lease and context.state is not MemberState.LEFT:
            wake_times.append(self.joining.next_seek_at)
        return min(wake_times)
