"""Handling of received packets, from members and non-members. Does no I/O."""

from __future__ import annotations

from violetdoor.fleet.anti_entropy import AntiEntropy
from violetdoor.fleet.context import NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.heartbeat import Heartbeat
from violetdoor.fleet.joining import Joining
from violetdoor.fleet.membership import Membership
from violetdoor.fleet.messages import (
    Accept,
    Accepted,
    Ack,
    Decided,
    JoinRequest,
    Leave,
    Message,
    Nack,
    Packet,
    Ping,
    PingRequest,
    Prepare,
    PreVoteRequest,
    PreVoteResponse,
    Promise,
    Rejected,
)
from violetdoor.fleet.packets import DropReason, Packets
from violetdoor.fleet.prior_leases import PriorLeases
from violetdoor.fleet.proposer import Proposer
from violetdoor.fleet.view import Address, Peer, ViewId

AgreementMessage = (
    PreVoteRequest | PreVoteResponse | Prepare | Promise | Accept | Accepted | Rejected | Decided
)


class PacketReceiver:
    """Dispatches the contents of a packet to the components of the node."""

    def __init__(
        self,
        context: NodeContext,
        departures: Departures,
        prior_leases: PriorLeases,
        membership: Membership,
        heartbeat: Heartbeat,
        proposer: Proposer,
        anti_entropy: AntiEntropy,
        joining: Joining,
        packets: Packets,
    ) -> None:
        """Dispatch to these components of the node."""
        self.context = context
        self.departures = departures
        self.prior_leases = prior_leases
        self.membership = membership
        self.heartbeat = heartbeat
        self.proposer = proposer
        self.anti_entropy = anti_entropy
        self.joining = joining
        self.packets = packets

    def receive(self, packet: Packet, source: Address, now: float) -> bool:
        """Handle a packet whose tag was valid; return False if it was dropped without an answer."""
        drop_reason = self.packets.check_drop(packet)
        if drop_reason is DropReason.WRONG_RECIPIENT and packet.recipient == self.context.config.name:
            self._answer_for_earlier_instance(packet, source)
            return True
        if drop_reason is not None:
            return False
        context = self.context
        from_member = context.is_member(packet.sender, packet.sender_instance)
        if not from_member:
            self.packets.record_source(packet, source)
            self.joining.contact_member(packet, source, now)
        self.packets.peer_versions[packet.sender] = packet.max_version
        context.map.merge(packet.map_updates, context.unix_ms(), context.view_size())
        if from_member:
            self._handle_sender_state(packet, now)
        for message in packet.messages:
            self._handle_message(packet, message, now, from_member=from_member)
        self.proposer.apply_decision(now)
        self.heartbeat.beat(now)
        return True

    def _answer_for_earlier_instance(self, packet: Packet, source: Address) -> None:
        """Answer pings to an earlier instance of this relay; the answer has the present instance."""
        self.packets.record_source(packet, source)
        for message in packet.messages:
            if isinstance(message, Ping):
                self.context.outbox.queue(packet.sender, Ack(message.seq, self.context.local_peer.instance))

    # State of the sender, and its rumors about other members.

    def _handle_sender_state(self, packet: Packet, now: float) -> None:
        detector = self.context.detector
        detector.record_packet(packet.sender, packet.sender_instance, packet.incarnation, now)
        for rumor in packet.rumors:
            detector.handle_rumor(rumor, now)
        for proof in detector.death_proofs:
            self.departures.confirm_failed(proof.name, proof.instance, now)
        detector.death_proofs.clear()
        if packet.view is not None:
            self._handle_view_id(packet, packet.view, now)
        self.anti_entropy.compare_map(packet.sender, packet.map_digest, now)

    def _handle_view_id(self, packet: Packet, sender_view: ViewId, now: float) -> None:
        view = self.context.view
        assert view is not None
        if sender_view.epoch != view.epoch:
            if self.membership.should_yield_to(
                sender_view.epoch, packet.view_size, now, has_lease=packet.has_lease
            ):
                self.anti_entropy.catch_up(packet.sender)
            return
        self.prior_leases.record_reported_view(packet.sender, sender_view)
        if sender_view.seq > view.seq:
            self.anti_entropy.catch_up(packet.sender)
        elif sender_view.seq == view.seq and packet.heartbeat_round is not None:
            self.heartbeat.receive(packet.heartbeat_round, now)

    # Messages.

    def _handle_message(self, packet: Packet, message: Message, now: float, *, from_member: bool) -> None:
        name = packet.sender
        detector = self.context.detector
        match message:
            case Ping():
                detector.handle_ping(name, message)
            case Ack():
                self._handle_ack(name, message, now)
            case PingRequest() if from_member:
                detector.handle_ping_request(name, message, now)
            case Nack() if from_member:
                detector.handle_nack(message)
            case JoinRequest(peer=peer) if from_member:
                self.proposer.add_join_request(peer, now)
            case JoinRequest(peer=peer) if peer.name == name and self.context.member(name) is not None:
                self._handle_restart(peer, now)
            case Leave() if from_member:
                self.proposer.record_leave(name, packet.sender_instance, now)
            case PreVoteRequest() | PreVoteResponse() | Prepare() | Promise():
                self._handle_agreement(name, message, now)
            case Accept() | Accepted() | Rejected() | Decided():
                self._handle_agreement(name, message, now)

    def _handle_ack(self, name: str, ack: Ack, now: float) -> None:
        """Handle the answer to a ping; one of another instance proves that the view's instance has ended."""
        detector = self.context.detector
        monitored = detector.members.get(name)
        if monitored is None or ack.instance in (0, monitored.peer.instance):
            detector.handle_ack(name, ack, now)
        elif any(probe.seq == ack.seq for probe in detector.probes):
            # The probe is still in flight, so the answer is not an old packet.
            self.departures.confirm_failed(name, monitored.peer.instance, now)
        else:
            self.departures.mark_member_ended(name, now)

    def _handle_restart(self, peer: Peer, now: float) -> None:
        """Handle a join request of a later instance of a member.

        The packet may be an old one and proves nothing, so the instance is verified by a ping.
        """
        self.proposer.add_join_request(peer, now)
        self.proposer.restart_received_at[peer.name] = now
        if peer.name not in self.departures.ended_members:
            self.context.outbox.queue(peer.name, Ping(0))

    def _handle_agreement(self, name: str, message: AgreementMessage, now: float) -> None:
        """Pass a message to the agreement.

        The sender is identified by name, whatever its instance: a restarted relay votes on a view only if its
        durable state contains that view.
        """
        context = self.context
        agreement = self.context.agreement
        view = self.context.view
        if agreement is None or view is None or message.base != view.id or name not in view.index_by_name:
            return
        ended = self.departures.ended_members
        alive = context.detector.is_alive
        alive_indexes = {
            index for index, peer in enumerate(view.members) if peer.name not in ended and alive(peer.name)
        }
        agreement.receive(view.index_by_name[name], message, now, alive_indexes)
        self.proposer.apply_decision(now)
