"""Making packets, and dropping those that are replayed or for another recipient. Without input or output."""

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

MAX_SENDERS = 2 * MAX_MEMBERS  # whose replay windows are kept: members, and as many instances besides
MIN_ZONE_VERSION = 2  # of the protocol: packets carry the sender's zone from this version on
# Messages so short that all that a packet may have of them leave space for rumors and map updates.
SHORT_MESSAGES = Ping | Ack | Nack | PingRequest | Accepted | Rejected | Prepare | Leave


class DropReason(Enum):
    """Why a packet was dropped; the values are seen by operators."""

    REPEATED = "repeated"
    FOR_ANOTHER = "for another"
    STRANGER = "stranger"


@dataclass(slots=True, frozen=True)
class Source:
    """Where packets of an instance that is no member come from."""

    address: Address
    instance: int


class Packets:
    """The packets of one node, out and in."""

    def __init__(self, context: NodeContext, departures: Departures) -> None:
        """Begin with no sender known."""
        self.context = context
        self.departures = departures
        self.sent_count = 0  # packets; each one carries its number, against replays
        self.replay_windows: dict[tuple[str, int], ReplayWindow] = {}  # by name and instance of the sender
        self.peer_versions: dict[str, int] = {}  # the newest protocol version that each understands
        self.sources: dict[str, Source] = {}  # of instances outside the view, by name
        self.dropped: dict[DropReason, int] = dict.fromkeys(DropReason, 0)

    # In.

    def check_drop(self, packet: Packet) -> DropReason | None:
        """Return why a packet is to be dropped, and count it; None where it is not."""
        reason = self._reason_to_drop(packet)
        if reason is not None:
            self.dropped[reason] += 1
        return reason

    def _reason_to_drop(self, packet: Packet) -> DropReason | None:
        me = self.context.local_peer
        if packet.recipient != self.context.config.name or packet.recipient_instance not in (0, me.instance):
            return DropReason.FOR_ANOTHER
        if packet.sender == self.context.config.name:
            return DropReason.STRANGER
        sender = packet.sender, packet.sender_instance
        if sender not in self.replay_windows:
            if len(self.replay_windows) >= MAX_SENDERS:
                return DropReason.STRANGER
            self.replay_windows[sender] = ReplayWindow()
        return None if self.replay_windows[sender].accept(packet.sequence) else DropReason.REPEATED

    def record_source(self, packet: Packet, address: Address) -> None:
        """Record an instance that is no member: answers go to that instance, at its source."""
        self.sources.pop(packet.sender, None)
        self.sources[packet.sender] = Source(address, packet.sender_instance)
        while len(self.sources) > MAX_MEMBERS:
            del self.sources[next(iter(self.sources))]

    # Out.

    def address_of(self, name: str) -> Address | None:
        """Return where a member, or the last sender of that name, is reached."""
        peer = self.context.member(name)
        if peer is not None:
            return peer.address
        source = self.sources.get(name)
        return None if source is None else source.address

    def send_queued(self, now: float) -> None:
        """Make a packet for each relay that messages are queued for."""
        outbox = self.context.outbox
        queued = outbox.messages
        outbox.messages = {}
        for name, messages in queued.items():
            address = self.address_of(name)
            if address is not None:
                outbox.send(address, self._make_packet(name, tuple(messages), now))

    def _recipient_instance(self, name: str, messages: tuple[Message, ...]) -> int:
        """Return the instance that a packet is for; 0 for whichever is there now."""
        if any(isinstance(message, Ping) and message.instance == 0 for message in messages):
            return 0
        if name in self.sources:
            return self.sources[name].instance
        member = self.context.member(name)
        # An instance that has ended is asked by name alone: whichever is there now is to answer.
        return 0 if member is None or name in self.departures.ended_members else member.instance

    def _make_packet(self, recipient: str, messages: tuple[Message, ...], now: float) -> Packet:
        context = self.context
        view = self.context.view
        lease = self.context.lease
        config = context.config
        detector = context.detector
        recipient_instance = self._recipient_instance(recipient, messages)
        version = min(config.version, self.peer_versions.get(recipient, MIN_PROTOCOL_VERSION))
        is_bulky = _is_bulky(messages)  # leaves no space for rumors and map updates
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
            () if is_bulky else detector.pick_rumors(recipient),
            () if is_bulky else context.map.pick_updates(),
            messages,
            config.zone if version >= MIN_ZONE_VERSION else "",
        )

    # Views.

    def on_view_installed(self, _old: View | None, view: View, _now: float) -> None:
        """Keep what belongs to members of the view."""
        senders = {(peer.name, peer.instance) for peer in view.members}
        self.replay_windows = {
            sender: window for sender, window in self.replay_windows.items() if sender in senders
        }
        self.peer_versions = {
            name: version for name, version in self.peer_versions.items() if name in view.index_by_name
        }
        self.sources = {
            name: source for name, source in self.sources.items() if name not in view.index_by_name
        }

    def on_view_left(self, now: float) -> None:
        """Keep all: those that sent packets to this relay are answered as before."""


def _is_bulky(messages: tuple[Message, ...]) -> bool:
    if all(isinstance(message, SHORT_MESSAGES) for message in messages):
        return False
    return len(encode(messages)) > MAX_PIGGYBACK_PAYLOAD_BYTES
