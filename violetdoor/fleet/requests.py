"""Requests over TCP: responses to other relays' requests, and their responses. Without input or output."""

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
    """Passes requests and responses to the part of the node that they concern."""

    def __init__(
        self,
        context: NodeContext,
        departures: Departures,
        membership: Membership,
        founder: Founder,
        sync: AntiEntropy,
        joining: Joining,
    ) -> None:
        """Use these parts of the node."""
        self.context = context
        self.departures = departures
        self.membership = membership
        self.founder = founder
        self.sync = sync
        self.joining = joining

    def handle_request(self, request: Request, now: float) -> Response | None:
        """Return the response; None where the request is not for a node."""
        match request:
            case TcpPing():
                return TcpAck(self.context.local_peer.instance)
            case SyncRequest():
                return self._answer_sync(request, now)
            case Hello():
                return self.joining.answer_hello(request, now)
            case EpochVoteRequest():
                return EpochVote(request.view.epoch, self.founder.grant_vote(request, now))
        return None

    def _answer_sync(self, request: SyncRequest, now: float) -> StateSnapshot:
        context = self.context
        requester_view = request.view
        peer = request.peer
        self.sync.merge(request.entries, now)
        local_view = context.view
        same_epoch = (
            local_view is not None and requester_view is not None and requester_view.epoch == local_view.epoch
        )
        if request.has_lease and not same_epoch:
            context.lease_holder_seen_at = now
            context.member_addresses[peer.name] = peer.address
            if requester_view is not None and self.membership.should_yield_to(
                requester_view.epoch, request.view_size, now, has_lease=request.has_lease
            ):
                self.membership.leave(None, now)
        # A relay that was removed may be the only one left that knows what was decided.
        return StateSnapshot(context.view or context.latest_view, context.may_act(now), self.sync.entries())

    def handle_response(
        self, call_number: int, response: Response | None, now: float, *, refused: bool
    ) -> bool:
        """Take the response to a call, None if there was none; return whether the call was this node's.

        `refused`: nobody listens at that address.
        """
        call = self.context.outbox.pending_calls.pop(call_number, None)
        self.sync.end_call(call_number)
        self.joining.end_call(call_number)
        if call is None:
            return False
        match call.request, response:
            case TcpPing(instance=asked), TcpAck(instance=answered):
                self._handle_ping_answer(call, asked, answered, now)
            case TcpPing(instance=asked), None if refused:
                self.departures.confirm_failed(call.peer_name, asked, now)
            case _, StateSnapshot(view=view, has_lease=has_lease, entries=entries):
                self.sync.merge(entries, now)
                if view is not None:
                    self.joining.learn_view(view, now, has_lease=has_lease)
            case EpochVoteRequest(), EpochVote(epoch=epoch, is_granted=True):
                self.founder.record_vote(call.peer_name, epoch, now)
            case Hello(), NotAMember(peer=peer, is_founder=is_founder, uptime_seconds=uptime):
                self.founder.add_candidate(peer, uptime, now, is_founder=is_founder)
                self.founder.found_if_possible(now)
            case Hello(), JoinRejected(reason="pending"):
                self.joining.wait_for_view(now)
            case Hello(), JoinRejected(reason=reason):
                self.context.outbox.emit(events.FLEET_JOIN_REJECTED, why=reason)
        return True

    def _handle_ping_answer(
        self, call: PendingCall, asked_instance: int, answering_instance: int, now: float
    ) -> None:
        """Take a TCP ping's answer: another instance's proves that the one that was asked has ended."""
        if answering_instance != asked_instance:
            self.departures.confirm_failed(call.peer_name, asked_instance, now)
        elif call.peer_name in self.context.detector.members:
            self.context.detector.handle_tcp_ack(call.probe_seq)
