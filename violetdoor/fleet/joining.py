"""Joining the fleet, and admission of other relays. No I/O."""

from __future__ import annotations

import math

from violetdoor.fleet.anti_entropy import AntiEntropy
from violetdoor.fleet.context import MemberState, NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.founding import Founder
from violetdoor.fleet.membership import Membership
from violetdoor.fleet.messages import (
    Hello,
    JoinRejected,
    JoinRequest,
    NotAMember,
    Packet,
    Ping,
    Response,
    StateSnapshot,
)
from violetdoor.fleet.proposer import Proposer
from violetdoor.fleet.stored_state import Readmission
from violetdoor.fleet.view import MAX_MEMBERS, Address, Peer, View

SEEK_INTERVAL_SECONDS = 0.4  # between two calls of a relay without a view or without a valid lease
REJOIN_INTERVAL_SECONDS = 60.0  # minimum time between two readmissions of one process
SEEK_JITTER_FACTORS = (0.7, 1.3)  # range of the interval's random factor, so that relays do not synchronize
MAX_JOIN_FORWARDS = 3  # members that a join request is forwarded to
MAX_RESTART_NOTICES = 5  # members of its old view that a restarted relay notifies


class Joining:
    """Seeks the fleet while this relay holds no lease, and handles requests of relays that want to join."""

    def __init__(
        self,
        context: NodeContext,
        departures: Departures,
        membership: Membership,
        proposer: Proposer,
        founder: Founder,
        sync: AntiEntropy,
        next_seek_at: float,
    ) -> None:
        """Initialize with the components that it depends on; the first call is made at `next_seek_at`."""
        self.context = context
        self.departures = departures
        self.membership = membership
        self.proposer = proposer
        self.founder = founder
        self.sync = sync
        self.next_seek_at = next_seek_at
        self.seek_targets: list[Address] = []  # addresses still to be called in this pass, the last one first
        self.pending_call: int | None = None  # number of the call that `contact_member` started, if pending
        self.readmissions: dict[str, Readmission] = {}  # processes that were removed, by their relays' names

    # Joining.

    def wake(self, now: float) -> None:
        """Once per interval, request the view from the next relay and found an epoch if possible."""
        if now < self.next_seek_at:
            return
        self.next_seek_at = now + SEEK_INTERVAL_SECONDS * self.context.random.uniform(*SEEK_JITTER_FACTORS)
        if (address := self._next_target()) is not None:
            if self.context.view is None:
                self._send_hello(address, now)
            else:
                self.sync.request_view(address)
            self._announce_restart()
        self.founder.found_epoch_if_possible(now)

    def _next_target(self) -> Address | None:
        """Return the next address to call; None if there is none.

        Every address is called once per pass, in random order. With an independent random choice for each
        call, a single live seed among dead ones could be missed for a long time.
        """
        context = self.context
        addresses = {*context.config.seeds, *context.member_addresses.values()} - {context.config.address}
        if not addresses:
            return None
        self.seek_targets = [address for address in self.seek_targets if address in addresses]
        if not self.seek_targets:
            self.seek_targets = sorted(addresses)
            context.random.shuffle(self.seek_targets)
        return self.seek_targets.pop()

    def _announce_restart(self) -> None:
        """Request readmission from the first members of the old view if this relay has restarted.

        All members may have restarted at once, and then one of these members readmits all of them.
        """
        if self.context.state is not MemberState.RECOVERING:
            return
        for peer in self.context.other_members()[:MAX_RESTART_NOTICES]:
            self.context.outbox.queue(peer.name, JoinRequest(self.context.local_peer))

    def _send_hello(self, address: Address, now: float) -> int:
        context = self.context
        hello = Hello(context.local_peer, self.founder.is_founder, now - context.started_at)
        return context.outbox.start_call(address, hello)

    def contact_member(self, packet: Packet, source: Address, now: float) -> None:
        """Request the view of a member that addresses this instance: this relay may have been admitted."""
        if self.pending_call is not None or packet.view is None or not packet.recipient_instance:
            return
        view = self.context.view
        epoch = packet.view.epoch
        if view is None:
            self.pending_call = self._send_hello(source, now)
        elif self.founder.has_voted_for(epoch) and epoch != view.epoch:
            self.pending_call = self.sync.request_view(source)

    def end_call(self, call_number: int) -> None:
        """Record that a call has ended, with or without a response."""
        if call_number == self.pending_call:
            self.pending_call = None

    def learn_view(self, view: View, now: float, *, has_lease: bool) -> None:
        """Handle another relay's view: install it, yield to its epoch, or ignore it.

        `has_lease` tells whether the other relay holds a lease in this view.
        """
        context = self.context
        local_view = self.context.view
        if has_lease:
            context.lease_holder_reported_at = now
        if local_view is None:
            context.member_addresses |= {peer.name: peer.address for peer in view.members}
            if view.contains(context.local_peer) or self.membership.may_vote_after(view):
                self.membership.install(view, now, None)
        elif view.epoch == local_view.epoch:
            if view.seq > local_view.seq:
                self.membership.install(view, now, None)
        elif self.founder.has_voted_for(view.epoch) and view.contains(context.local_peer):
            self.membership.install(view, now, None)
        elif self.membership.should_yield_to(view.epoch, len(view.members), now, has_lease=has_lease):
            self.membership.leave(view, now)

    def handle_join_pending(self, now: float) -> None:
        """Schedule the next call early, as a member reported that this relay is being admitted."""
        self.context.lease_holder_reported_at = now
        self.next_seek_at = min(self.next_seek_at, now + SEEK_INTERVAL_SECONDS / 2)

    # Admission of other relays.

    def handle_hello(self, hello: Hello, now: float) -> Response:
        """Return the response to a relay that wants to join."""
        context = self.context
        peer = hello.peer
        view = self.context.view
        if view is None:
            if peer.name != context.config.name:
                self.founder.add_candidate(peer, hello.uptime_seconds, now, is_founder=hello.is_founder)
            return NotAMember(context.local_peer, self.founder.is_founder, now - context.started_at)
        if view.contains(peer):
            return StateSnapshot(view, context.may_act(now), self.sync.entries())
        rejection = self._rejection(peer, view, now)
        if rejection is not None:
            return rejection
        self.proposer.add_join_request(peer, now)
        has_lease = context.may_act(now)
        if has_lease:
            self._forward_join(peer, view)
        else:
            self.founder.add_candidate(peer, hello.uptime_seconds, now, is_founder=hello.is_founder)
        # The relay's durable state may contain this epoch, and its vote may be needed for the next view.
        if peer.name in view.index_by_name:
            return StateSnapshot(view, has_lease, self.sync.entries())
        return JoinRejected("pending" if has_lease else "stale")

    def _rejection(self, peer: Peer, view: View, now: float) -> JoinRejected | None:
        """Return the rejection of a relay that must not join; None if it may join."""
        if peer.name == self.context.config.name:
            return JoinRejected("name")
        member = view.member(peer.name)
        if member is not None and peer.name not in self.departures.ended_members:
            if member.address == peer.address:
                self.context.outbox.queue(peer.name, Ping(0))  # its ack has the instance that runs there
            if self.context.detector.is_alive(peer.name):
                return JoinRejected("name")
        readmission = self.readmissions.get(peer.name)
        if (
            readmission is not None
            and readmission.process == peer.process
            and now < readmission.readmitted_at + REJOIN_INTERVAL_SECONDS
        ):
            return JoinRejected("held")
        if member is None and len(view.members) >= MAX_MEMBERS:
            return JoinRejected("full")
        return None

    def _forward_join(self, peer: Peer, view: View) -> None:
        """Forward a join request to the first live members of the view, which propose first."""
        alive = [peer.name for peer in view.members if self.context.detector.is_alive(peer.name)]
        for name in alive[:MAX_JOIN_FORWARDS]:
            if name != self.context.config.name:
                self.context.outbox.queue(name, JoinRequest(peer))

    # Views.

    def on_view_installed(self, old: View | None, view: View, now: float) -> None:
        """Record the processes that the view removes, and those that it readmits."""
        if old is None or old.epoch != view.epoch:
            return
        table = self.readmissions
        for peer in old.members:
            if not view.contains(peer):
                table.setdefault(peer.name, Readmission(peer.name, peer.process, -math.inf))
        for peer in view.members:
            if not old.contains(peer) and peer.name in table and peer.joined_seq == view.seq:
                same_process = table[peer.name].process == peer.process
                table[peer.name] = Readmission(peer.name, peer.process, now if same_process else -math.inf)
        for name in list(table)[: max(0, len(table) - MAX_MEMBERS)]:
            del table[name]

    def on_view_left(self, now: float) -> None:
        """Schedule the next call at once, as this relay is not in any view."""
        self.next_seek_at = now
