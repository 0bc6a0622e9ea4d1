"""One relay as a node of the fleet, without input or output: packets and times in, packets and deadlines out.

`Node` joins the parts: detection, agreement, leases and the shared map below; membership, proposing,
founding, joining and packets above. The same code runs in processes, in virtual time, and under a search
over interleavings. Times are seconds of a monotonic clock that runs on while the machine sleeps, but for
`unix_ms`, which only the shared map's timestamps and the numbers of new epochs are made of.
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

PAUSE_THRESHOLD_SECONDS = 0.5  # a node that is woken so late was stopped with its process meanwhile
MIN_WAKE_DELAY_SECONDS = 0.001  # at the least until the next wake-up: a node never wakes in a busy loop


class Node:
    """One relay. After each call carry out what `take_actions` returns, and call `wake` at `next_wake_at`.

    `durable_state` is what the last process wrote, if anything; the one of this node is to be written before
    anything of the same step is sent.
    """

    def __init__(
        self,
        config: NodeConfig,
        random: Random,
        now: float,
        unix_ms: Callable[[], float],
        durable_state: DurableState | None = None,
    ) -> None:
        """Build the parts, and restore the view of `durable_state`, if it has one of this relay."""
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

    # What the program uses.

    @property
    def view(self) -> View | None:
        """The view that this relay is a member of, or was before it restarted."""
        return self.context.view

    @property
    def state(self) -> MemberState:
        """Whether this relay is a member."""
        return self.context.state

    @property
    def local_peer(self) -> Peer:
        """The relay itself as a member: its address and its present instance."""
        return self.context.local_peer

    @property
    def lease(self) -> Lease | None:
        """The lease in the present view."""
        return self.context.lease

    @property
    def map(self) -> SharedMap:
        """The map that all relays share."""
        return self.context.map

    @property
    def detector(self) -> FailureDetector:
        """What is known of who is alive."""
        return self.context.detector

    @property
    def durable_state(self) -> DurableState | None:
        """What a restart must not forget; to be written before anything of the same step is sent."""
        return self.context.durable_state

    def may_act(self, now: float) -> bool:
        """Return whether this relay holds a lease in its view at this moment."""
        return self.context.may_act(now)

    def owns(self, key: str, now: float) -> bool:
        """Return whether this relay is the only owner of a key at this moment.

        Not before the leases of all that may have owned it under earlier views have expired.
        """
        return self.prior_leases.owns(key, now)

    def prior_leases_expired(self, now: float) -> bool:
        """Return whether no lease under an earlier view can still hold."""
        return self.prior_leases.all_expired(now)

    def is_certainly_dead(self, name: str, instance: int, now: float) -> bool:
        """Return whether an instance can act no more.

        It has ended, or it is out of the view and its lease has expired.
        """
        return self.prior_leases.is_certainly_dead(name, instance, now)

    def active_relays(self) -> int | None:
        """Return how many relays share the servers, as far as is known; None where this relay is no member.

        Without a lease it is unknown who has failed and who is only cut off. Those that are reached count
        then, and at least half of the view: so the two sides of a partition use twice the capacity at the
        most.
        """
        view = self.context.view
        if view is None or self.context.state is not MemberState.MEMBER:
            return None
        size = len(view.members)
        return size if self.context.had_lease else max(self.context.detector.alive_count, (size + 1) // 2)

    def status(self, counts: Mapping[str, int], now: float) -> FleetStatus:
        """Return what operators see; `counts` are the driver's counters."""
        return self._status.read(counts, now)

    def set_entry(self, key: str, value: float | None, now: float) -> bool:
        """Set a value of the shared map, None to remove it; return False where the map is full."""
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
        """Begin an epoch with all members that are reached, though they are no majority of the view.

        Raises ForceRefusedError where a majority is reached, or there is no view.
        """
        self.founder.force_epoch(now)
        self._end_step(now)

    def export_state(self) -> HandoverState:
        """Return the member's state; this process must send nothing more as the member."""
        return self.handover.export_state()

    def import_state(self, state: HandoverState, now: float) -> None:
        """Continue as the member that the previous process was, on the same machine and clock."""
        self.handover.import_state(state, now)

    # What the driver does.

    @property
    def next_wake_at(self) -> float:
        """When to call `wake` next."""
        return self.context.next_wake_at

    def take_actions(self) -> Actions:
        """Return what is to be done now."""
        return self.context.outbox.take_actions()

    def wake(self, now: float) -> None:
        """Do what is due."""
        context = self.context
        if context.state is MemberState.LEFT:
            context.next_wake_at = math.inf
            return
        self._detect_pause(now)
        was_live = context.had_lease
        if context.state in (MemberState.MEMBER, MemberState.RECOVERING):
            self._wake_in_view(now)
        if not context.may_act(now):
            if was_live:
                context.report_lease_expired()
            self.joining.wake(now)
        self.founder.wake(now)
        self._end_step(now)

    def receive(self, packet: Packet, source: Address, now: float) -> None:
        """Handle a packet whose tag was valid."""
        if self.context.state is MemberState.LEFT:
            return
        self._detect_pause(now)
        if self.receiver.receive(packet, source, now):
            self._end_step(now)

    def handle_request(self, request: Request, now: float) -> Response | None:
        """Return the response to a request that came over TCP; None where the caller gets none."""
        if self.context.state is MemberState.LEFT:
            return None
        answer = self.requests.handle_request(request, now)
        self._end_step(now)
        return answer

    def handle_response(
        self, call_number: int, response: Response | None, now: float, *, refused: bool = False
    ) -> None:
        """Take the response to a call, or None if there was none; `refused`: nobody listens there."""
        if self.context.state is MemberState.LEFT:
            return
        if self.requests.handle_response(call_number, response, now, refused=refused):
            self._end_step(now)

    # One step.

    def _detect_pause(self, now: float) -> None:
        """Guard against a relay that was stopped and takes its own pause for the failure of all others."""
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
        """Send what the parts have queued, and plan the next wake-up."""
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
