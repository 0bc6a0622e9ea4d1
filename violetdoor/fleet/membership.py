"""Installs views, and leaves or restores the membership. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Protocol

from violetdoor import events
from violetdoor.fleet.agreement import Agreement
from violetdoor.fleet.context import MemberState, NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.gossip import Gossip
from violetdoor.fleet.heartbeat import Heartbeat
from violetdoor.fleet.lease import LEASE_EXPIRY_SECONDS, Lease
from violetdoor.fleet.messages import Ping, TcpPing
from violetdoor.fleet.prior_leases import PriorLeases
from violetdoor.fleet.stored_state import DurableState
from violetdoor.fleet.view import Address, Peer, View


class ViewListener(Protocol):
    """A component with state that belongs to a view. Unused parameters have a leading underscore."""

    def on_view_installed(self, old: View | None, view: View, now: float, /) -> None:
        """Update the state after this relay has installed `view` in place of `old`; None for no old view."""

    def on_view_left(self, now: float, /) -> None:
        """Drop the state that belonged to the view, as this relay is not in any view any more."""


class Membership:
    """Maintains the current view of this relay.

    The components that depend on the view are its `listeners`, which are called in order. `on_recover` is
    called when a restarted relay restores the view of its durable state.
    """

    def __init__(
        self,
        context: NodeContext,
        departures: Departures,
        prior_leases: PriorLeases,
        gossip: Gossip,
        heartbeat: Heartbeat,
    ) -> None:
        """Initialize outside any view."""
        self.context = context
        self.departures = departures
        self.prior_leases = prior_leases
        self.gossip = gossip
        self.heartbeat = heartbeat
        self.listeners: list[ViewListener] = [departures, prior_leases]
        self.on_recover: Callable[[], None] = lambda: None

    def recover(self, state: DurableState, now: float) -> None:
        """Continue as an acceptor in the view of the durable state, and request to rejoin.

        This relay is not a member yet, as its instance in that view has ended.
        """
        context = self.context
        view = state.view
        context.state = MemberState.RECOVERING
        context.view = view
        context.lease = None
        self.prior_leases.reset(now, is_first_view=False)  # earlier views are unknown after a restart
        context.last_epoch = view.epoch
        context.last_seq = view.seq
        self.resume(state, now)
        self.departures.ended_members.add(context.config.name)
        self.on_recover()
        context.outbox.emit(events.FLEET_VIEW_RESTORED, view=str(view.id))

    def resume(self, state: DurableState, now: float) -> None:
        """Restore the agreement on the successor of a stored view, and monitor the view's members."""
        context = self.context
        view = state.view
        context.agreement = Agreement.restore(state, context.config.name, context.random)
        context.detector.set_members(view.members, now)
        context.member_addresses = _addresses(view.members)

    def install(self, view: View, now: float, previous: View | None) -> None:
        """Install a view; `previous` is its direct predecessor, or None if that is not known."""
        context = self.context
        if not view.contains(context.local_peer):
            self._handle_view_without_local(view, now)
            return
        old = context.view
        is_same_epoch = old is not None and old.epoch == view.epoch
        if old is not None and is_same_epoch and context.state is not MemberState.OUTSIDE:
            is_direct = previous is not None and previous.id == old.id
            self.prior_leases.add(old, now, is_direct_predecessor=is_direct)
        else:
            # The first view of an epoch has no predecessor. A relay that joins later knows no earlier view.
            self.prior_leases.reset(now, is_first_view=view.seq <= 1)
        self._become_member(view, now, is_same_epoch=is_same_epoch)
        for listener in self.listeners:
            listener.on_view_installed(old, view, now)
        self._emit_view(view)
        if old is not None and is_same_epoch:
            self._check_removed(old, view)
        if previous is not None:
            self.ping_new_members(peer for peer in view.members if peer.joined_seq == view.seq)
        self.heartbeat.beat(now)
        self.gossip.spread(now)

    def _handle_view_without_local(self, view: View, now: float) -> None:
        """Handle a view without this instance: continue as an acceptor if it may vote, else leave."""
        if self.may_vote_after(view):
            self.recover(DurableState(view), now)
        else:
            self.leave(view, now)

    def _become_member(self, view: View, now: float, *, is_same_epoch: bool) -> None:
        context = self.context
        name = context.config.name
        index = view.index_by_name[name]
        context.adopt_identity(view.members[index])
        expires_at = -math.inf
        if context.lease is not None and is_same_epoch:
            expires_at = context.lease.expires_at
        not_before = -math.inf
        if view.epoch != context.last_epoch:
            # This relay's last heartbeat in the earlier epoch may still support another member's lease there.
            not_before = self.heartbeat.last_joined_at + LEASE_EXPIRY_SECONDS
        context.last_epoch = view.epoch
        context.last_seq = view.seq
        context.view = view
        context.state = MemberState.MEMBER
        context.agreement = Agreement(view, name, context.random)
        context.lease = Lease(len(view.members), index, context.random, expires_at, not_before)
        context.detector.set_members(view.members, now)
        context.member_addresses = _addresses(view.members)

    def _emit_view(self, view: View) -> None:
        self.context.outbox.emit(
            events.FLEET_VIEW,
            view=str(view.id),
            digest=view.digest,
            members=[peer.name for peer in view.members],
            zones=sorted({peer.zone for peer in view.members}),
        )

    def _check_removed(self, old: View, view: View) -> None:
        """Ping removed members over TCP: proof that a process has ended saves waiting for its lease."""
        for peer in old.members:
            if not view.contains(peer) and not self.departures.is_departed(peer.instance):
                self.context.outbox.start_call(peer.address, TcpPing(peer.instance), peer.name)

    def ping_new_members(self, peers: Iterable[Peer]) -> None:
        """Ping members that are new in the view, so that they request the view at once."""
        for peer in peers:
            if peer.name != self.context.config.name:
                self.context.outbox.queue(peer.name, Ping(0, peer.instance))

    def leave(self, view: View | None, now: float) -> None:
        """Leave the view: this instance ends and gives up its lease.

        `view` is the view that does not contain this instance, or None if it is not known.
        """
        context = self.context
        if context.state is MemberState.MEMBER:
            context.outbox.emit(events.FLEET_REMOVED, view=None if view is None else str(view.id))
            context.local_peer = context.new_identity()
        if view is not None:
            context.member_addresses |= _addresses(view.members)
            if self._is_newer(view):
                context.last_seq = view.seq
                context.latest_view = view
        context.state = MemberState.OUTSIDE
        context.view = None
        context.agreement = None
        context.lease = None
        context.detector.local_peer = context.local_peer
        context.detector.set_members((), now)
        context.detector.incarnation = 0
        for listener in self.listeners:
            listener.on_view_left(now)
        if context.had_lease:
            context.report_lease_expired()

    def may_vote_after(self, view: View) -> bool:
        """Return whether this relay may vote on the successor of a view with an earlier instance of it.

        It must not vote in a view that is not newer than the last one that it knows, because it may have made
        promises there that it has lost.
        """
        return self._is_newer(view) and self.context.config.name in view.index_by_name

    def _is_newer(self, view: View) -> bool:
        """Return whether a view is newer than the last one of the same epoch that this relay knows."""
        return view.epoch == self.context.last_epoch and view.seq > self.context.last_seq

    def should_yield_to(self, epoch: int, view_size: int, now: float, *, has_lease: bool) -> bool:
        """Return whether to leave the local epoch in favor of another relay's epoch.

        `view_size` and `has_lease` are as the other relay reported them. Two epochs have leases at the same
        time only if the assumptions of founding are violated; then the epoch with the smaller view yields.
        """
        view = self.context.view
        if view is None or epoch == view.epoch or not has_lease:
            return False
        if not self.context.may_act(now):
            return True
        return (view_size, epoch) > (len(view.members), view.epoch)


def _addresses(peers: Iterable[Peer]) -> dict[str, Address]:
    return {peer.name: peer.address for peer in peers}
