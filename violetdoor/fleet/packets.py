"""Building of packets, and rejection of replayed or misaddressed ones. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from violetdoor.fleet.context import NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.messages import (
    MAX_PIGGYBACK_PAYLOAD_BYTES,
    MIN_PROTOCOL_VERSION,
    Accepted,
    Ack,
    Leave,
    Message,
    Nack,
    Packet,
    Ping,
    PingRequest,
    Prepare,
    Rejected,
    encode,
)
from violetdoor.fleet.replay import ReplayWindow
from violetdoor.fleet.view import MAX_MEMBERS, Address, View

# Number of senders with a replay window: the members, and as many other instances.
MAX_SENDERS = 2 * MAX_MEMBERS
MIN_ZONE_VERSION = 2  # first protocol version whose packets carry the sender's zone
# Messages that are short enough for any number of them in a packet to leave room for rumors and map updates.
SHORT_MESSAGES = Ping | Ack | Nack | PingRequest | Accepted | Rejected | Prepare | Leave


class DropReason(Enum):
    """Why a packet was dropped; the values are part of the names of counters."""

    REPLAYED = "repeated"
    WRONG_RECIPIENT = "for another"
    UNACCEPTED_SENDER = "stranger"  # the sender has this relay's name, or there is no room for its window


@dataclass(slots=True, frozen=True)
class NonMemberSource:
    """Source address and instance of a sender that is not a member."""

    address: Address
    instance: int


class Packets:
    """Builds the packets that one node sends, and checks those that it receives."""

    def __init__(self, context: NodeContext, departures: Departures) -> None:
        """Start with no known senders."""
        self.context = context
        self.departures = departures
        self.sent_count = 0  # packets sent; also the sequence number of the last one, for replay detection
        self.replay_windows: dict[tuple[str, int], ReplayWindow] = {}  # by sender's name and instance
        self.peer_versions: dict[str, int] = {}  # highest version that each relay supports
        self.non_member_sources: dict[str, NonMemberSource] = {}  # by name of the sender
        self.drop_counts: dict[DropReason, int] = dict.fromkeys(DropReason, 0)

    # Received packets.

    def check_drop(self, packet: Packet) -> DropReason | None:
        """Return and count the reason to drop a packet; None if it is accepted."""
        reason = self._drop_reason(packet)
        if reason is not None:
            self.drop_counts[reason] += 1
        return reason

    def _drop_reason(self, packet: Packet) -> DropReason | None:
        local = self.context.local_peer
        if packet.recipient != self.context.config.name or packet.recipient_instance not in (
            0,
            local.instance,
        ):
            return DropReason.WRONG_RECIPIENT
        if packet.sender == self.context.config.name:
            return DropReason.UNACCEPTED_SENDER
        sender = packet.sender, packet.sender_instance
        if sender not in self.replay_windows:
            if len(self.replay_windows) >= MAX_SENDERS:
                return DropReason.UNACCEPTED_SENDER
            self.replay_windows[sender] = ReplayWindow()
        return None if self.replay_windows[sender].accept(packet.sequence) else DropReason.REPLAYED

    def record_source(self, packet: Packet, address: Address) -> None:
        """Record the source address of an instance that is not a member; answers to it are sent there."""
        self.non_member_sources.pop(packet.sender, None)
        self.non_member_sources[packet.sender] = NonMemberSource(address, packet.sender_instance)
        while len(self.non_member_sources) > MAX_MEMBERS:
            del self.non_member_sources[next(iter(self.non_member_sources))]

    # Sent packets.

    def address_of(self, name: str) -> Address | None:
        """Return the address of the member, or else of the last non-member sender, with this name."""
        peer = self.context.member(name)
        if peer is not None:
            return peer.address
        source = self.non_member_sources.get(name)
        return None if source is None else source.address

    def send_queued(self, now: float) -> None:
        """Build one packet for each relay that has queued messages."""
        outbox = self.context.outbox
        queued = outbox.messages
        outbox.messages = {}
        for name, messages in queued.items():
            address = self.address_of(name)
            if address is not None:
                outbox.send(address, self._make_packet(name, tuple(messages), now))

    def _recipient_instance(self, name: str, messages: tuple[Message, ...]) -> int:
        """Return the instance that a packet is addressed to; 0 for any."""
        if any(isinstance(message, Ping) and message.instance == 0 for message in messages):
            return 0
        if name in self.non_member_sources:
            return self.non_member_sources[name].instance
        member = self.context.member(name)
        # The member's instance has ended: address whichever instance has the name now.
        return 0 if member is None or name in self.departures.ended_members else member.instance

    def _make_packet(self, recipient: str, messages: tuple[Message, ...], now: float) -> Packet:
        context = self.context
        view = self.context.view
        lease = self.context.lease
        config = context.config
        detector = context.detector
        recipient_instance = self._recipient_instance(recipient, messages)
        version = min(config.version, self.peer_versions.get(recipient, MIN_PROTOCOL_VERSION))
        omit_piggyback = _exceeds_piggyback_limit(messages)
        self.sent_count += 1
        return Packet(
            version,
            config.version,
            config.name,
            context.local_peer.instance,
            recipient,
            recipient_instance,
            self.sent_count,
            None if view is None else view.id,
            0 if view is None else len(view.members),
            context.may_act(now),
            detector.incarnation,
            None if lease is None else lease.current_round(),
            context.map.digest,
            () if omit_piggyback else detector.pick_rumors(recipient),
            () if omit_piggyback else context.map.pick_updates(),
            messages,
            config.zone if version >= MIN_ZONE_VERSION else "",
        )

    # Views.

    def on_view_installed(self, _old: View | None, view: View, _now: float) -> None:
        """Drop the state of senders that are not in the new view, and the recorded sources of its members."""
        senders = {(peer.name, peer.instance) for peer in view.members}
        self.replay_windows = {
            sender: window for sender, window in self.replay_windows.items() if sender in senders
        }
        self.peer_versions = {
            name: version for name, version in self.peer_versions.items() if name in view.index_by_name
        }
        self.non_member_sources = {
            name: source for name, source in self.non_member_sources.items() if name not in view.index_by_name
        }

    def on_view_left(self, now: float) -> None:
        """Do nothing: known senders are still answered."""


def _exceeds_piggyback_limit(messages: tuple[Message, ...]) -> bool:
    if all(isinstance(message, SHORT_MESSAGES) for message in messages):
        return False
    return len(encode(messages)) > MAX_PIGGYBACK_PAYLOAD_BYTES
