"""Handling of other relays' requests over TCP, and of their responses to own requests. No I/O."""

from __future__ import annotations

from violetdoor import events
from violetdoor.fleet.anti_entropy import AntiEntropy
from violetdoor.fleet.context import NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.founding import Founder
from violetdoor.fleet.joining import Joining
from violetdoor.fleet.membership import Membership
from violetdoor.fleet.messages import (
    EpochVote,
    EpochVoteRequest,
    Hello,
    JoinRejected,
    NotAMember,
    Request,
    Response,
    StateSnapshot,
    SyncRequest,
    TcpAck,
    TcpPing,
)
from violetdoor.fleet.outbox import PendingCall


class RequestHandler:
    """Dispatches requests and responses to the components of the node."""

    def __init__(
        self,
        context: NodeContext,
        departures: Departures,
        membership: Membership,
        founder: Founder,
        sync: AntiEntropy,
        joining: Joining,
    ) -> None:
        """Initialize with the components that handle the messages."""
        self.context = context
        self.departures = departures
        self.membership = membership
        self.founder = founder
        self.sync = sync
        self.joining = joining

    def handle_request(self, request: Request, now: float) -> Response | None:
        """Return the response to a request; None if the request is not one for a node."""
        match request:
            case TcpPing():
                return TcpAck(self.context.local_peer.instance)
            case SyncRequest():
                return self._handle_sync_request(request, now)
            case Hello():
                return self.joining.handle_hello(request, now)
            case EpochVoteRequest():
                return EpochVote(request.view.epoch, self.founder.grant_vote(request, now))
        return None

    def _handle_sync_request(self, request: SyncRequest, now: float) -> StateSnapshot:
        context = self.context
        requester_view = request.view
        peer = request.peer
        self.sync.merge(request.entries, now)
        local_view = context.view
        same_epoch = (
            local_view is not None and requester_view is not None and requester_view.epoch == local_view.epoch
        )
        if request.has_lease and not same_epoch:
            context.lease_holder_reported_at = now
            context.member_addresses[peer.name] = peer.address
            if requester_view is not None and self.membership.should_yield_to(
                requester_view.epoch, request.view_size, now, has_lease=request.has_lease
            ):
                self.membership.leave(None, now)
        # A relay that was removed may be the only live one that knows the latest decision.
        return StateSnapshot(context.view or context.latest_view, context.may_act(now), self.sync.entries())

    def handle_response(
        self, call_number: int, response: Response | None, now: float, *, refused: bool
    ) -> bool:
        """Handle the response to a call, None if the call failed; return whether the call was pending.

        `refused` tells whether the connection was refused because no process listens at the address.
        """
        call = self.context.outbox.pending_calls.pop(call_number, None)
        self.sync.end_call(call_number)
        self.joining.end_call(call_number)
        if call is None:
            return False
        match call.request, response:
            case TcpPing(instance=expected), TcpAck(instance=answering):
                self._handle_tcp_ack(call, expected, answering, now)
            case TcpPing(instance=expected), None if refused:
                self.departures.confirm_failed(call.peer_name, expected, now)
            case _, StateSnapshot(view=view, has_lease=has_lease, entries=entries):
                self.sync.merge(entries, now)
                if view is not None:
                    self.joining.learn_view(view, now, has_lease=has_lease)
            case EpochVoteRequest(), EpochVote(epoch=epoch, is_granted=True):
                self.founder.record_vote(call.peer_name, epoch, now)
            case Hello(), NotAMember(peer=peer, is_founder=is_founder, uptime_seconds=uptime):
                self.founder.add_candidate(peer, uptime, now, is_founder=is_founder)
                self.founder.found_epoch_if_possible(now)
            case Hello(), JoinRejected(reason="pending"):
                self.joining.handle_join_pending(now)
            case Hello(), JoinRejected(reason=reason):
                self.context.outbox.emit(events.FLEET_JOIN_REJECTED, why=reason)
        return True

    def _handle_tcp_ack(
        self, call: PendingCall, expected_instance: int, answering_instance: int, now: float
    ) -> None:
        """Handle the ack of a TCP ping; an ack of another instance proves that the expected one has ended."""
        if answering_instance != expected_instance:
            self.departures.confirm_failed(call.peer_name, expected_instance, now)
        elif call.peer_name in self.context.detector.members:
            self.context.detector.handle_tcp_ack(call.probe_seq)
