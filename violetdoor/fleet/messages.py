"""Wire messages between the relays of a fleet: msgpack arrays, which later versions extend at their ends.

A reader skips values behind those that it knows, and a missing value has its default, so two versions
understand each other as long as no field is removed or changes its meaning. `PROTOCOL_VERSION` counts such
meanings: a relay speaks the lower one of its own and of what the other has last said that it understands.

The order of the fields and the tags are the wire format; the names of types and fields are not encoded.
The state that outlives a process is in `violetdoor.fleet.stored_state`.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct

from violetdoor.fleet.view import Peer, View, ViewChange, ViewId

PROTOCOL_VERSION = 2  # spoken by this program
MIN_PROTOCOL_VERSION = 1  # oldest one that is still understood
ZONE_PROTOCOL_VERSION = 2  # first one whose packets carry the sender's zone

MAX_DATAGRAM_BYTES = 4096  # of a packet with its seal
MAX_FRAME_BYTES = 1 << 20  # of one message over TCP: a view of 1,024 members and a full shared map
MAX_RUMORS_PER_PACKET = 8
MAX_MAP_UPDATES_PER_PACKET = 8
# A packet whose messages take more bytes carries neither rumors nor updates of the shared map.
MAX_PIGGYBACK_PAYLOAD_BYTES = 1024
# Of an encoded view change, so that the packet that proposes it stays within `MAX_DATAGRAM_BYTES`.
MAX_CHANGE_BYTES = 2800

# Values of `Rumor.state`.
RUMOR_ALIVE = 0
RUMOR_SUSPECT = 1
RUMOR_CONFIRMED_DEAD = 2


class Rumor(Struct, frozen=True, array_like=True):
    """What a relay says of a member: alive or suspected in this incarnation, or certainly dead."""

    name: str
    instance: int
    incarnation: int
    state: int  # one of the RUMOR_... constants
    reporter: str = ""  # who suspects it, or has the proof of its death


class HybridTimestamp(Struct, frozen=True, array_like=True, order=True):
    """A hybrid logical clock's timestamp (Kulkarni et al. 2014); unique, and ordered by its fields."""

    unix_ms: int
    counter: int  # orders timestamps of one millisecond
    relay: str  # whose clock it is; orders timestamps that are equal otherwise


class MapEntry(Struct, frozen=True, array_like=True):
    """One value of the shared map; a tombstone, where the value is None."""

    key: str
    timestamp: HybridTimestamp
    value: float | None


class HeartbeatRound(Struct, frozen=True, array_like=True):
    """A round of heartbeats, from which leases are derived. Both bitmaps are packed, see `bitmap`."""

    number: int
    starter: int  # index of the member that started it
    joined: bytes  # members that have joined it
    joined_previous: bytes  # members that its starter had seen join the round before it


# Failure detection (SWIM).


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Ask a relay for an `Ack`; `instance` is the one that is addressed, 0 for any."""

    seq: int
    instance: int = 0


class Ack(Struct, frozen=True, array_like=True, tag=2):
    """Answer a `Ping`. `instance` is the sender's: a different one proves that the addressed one is dead.

    It is 0 in an answer that a helper relays.
    """

    seq: int
    instance: int = 0


class PingRequest(Struct, frozen=True, array_like=True, tag=3):
    """Ask a helper to ping `target` (SWIM's ping-req)."""

    seq: int
    target: str


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """Tell the sender of a `PingRequest` that the target has not answered, but this helper is reachable."""

    seq: int


# Agreement on the view that follows `base` (single-decree Paxos).


class PreVoteRequest(Struct, frozen=True, array_like=True, tag=10):
    """Ask whether a member would agree to this change, which binds nobody (Raft's pre-vote)."""

    base: ViewId
    pre_vote_number: int  # counts the pre-votes of the proposer on this view
    change: ViewChange
    ended_indexes: tuple[int, ...] = ()  # members of which a later instance has answered


class PreVoteResponse(Struct, frozen=True, array_like=True, tag=11):
    """Name the members among the change's dead that the sender hears; none of them means agreement."""

    base: ViewId
    pre_vote_number: int  # of the request
    alive_indexes: tuple[int, ...]


class Prepare(Struct, frozen=True, array_like=True, tag=12):
    """Ask for a promise to take part in no lower ballot."""

    base: ViewId
    ballot: int


class Promise(Struct, frozen=True, array_like=True, tag=13):
    """Promise it, and report the highest ballot in which the sender accepted a change, and that change."""

    base: ViewId
    ballot: int
    accepted_ballot: int  # -1 if there was none
    accepted_change: ViewChange | None


class Accept(Struct, frozen=True, array_like=True, tag=14):
    """Ask to accept this change."""

    base: ViewId
    ballot: int
    change: ViewChange


class Accepted(Struct, frozen=True, array_like=True, tag=15):
    """Report that the sender has accepted the ballot's change."""

    base: ViewId
    ballot: int


class Rejected(Struct, frozen=True, array_like=True, tag=16):
    """Reject a ballot, as the sender has promised a higher one."""

    base: ViewId
    ballot: int
    promised_ballot: int


class Decided(Struct, frozen=True, array_like=True, tag=17):
    """Report that a majority has accepted this change."""

    base: ViewId
    change: ViewChange


# Joining and leaving.


class JoinRequest(Struct, frozen=True, array_like=True, tag=20):
    """Ask the members that may propose a change to let a relay join.

    Forwarded by the member that the relay asked; or sent by the relay itself, where an earlier instance of it
    is in the view.
    """

    peer: Peer


class Leave(Struct, frozen=True, array_like=True, tag=21):
    """Announce that the sender leaves the fleet, and acts no more."""


AgreementMessage = (
    PreVoteRequest | PreVoteResponse | Prepare | Promise | Accept | Accepted | Rejected | Decided
)
Message = Ping | Ack | PingRequest | Nack | AgreementMessage | JoinRequest | Leave


class Packet(Struct, array_like=True):
    """One datagram: who sends it to whom, where the sender stands, and its messages."""

    version: int  # that the packet is written in
    max_version: int  # that the sender understands
    sender: str
    sender_instance: int
    recipient: str
    recipient_instance: int  # 0 where the sender does not know it
    # Number of the packet among its sender's; one that came before, or is older than a window, is dropped.
    sequence: int
    view: ViewId | None  # that the sender stands at
    view_size: int  # members of that view
    has_lease: bool  # whether the sender holds a lease
    incarnation: int  # of the sender, by which it refutes suspicions
    heartbeat_round: HeartbeatRound | None
    map_digest: int  # of the sender's shared map
    rumors: tuple[Rumor, ...] = ()
    map_updates: tuple[MapEntry, ...] = ()
    messages: tuple[Message, ...] = ()
    # Since version 2.
    zone: str = ""


# Over TCP: one request and one response to a connection.


class Hello(Struct, frozen=True, array_like=True, tag=1):
    """Ask to join."""

    peer: Peer
    is_founder: bool  # whether the sender may found an epoch
    uptime_seconds: float


class SyncRequest(Struct, frozen=True, array_like=True, tag=2):
    """Ask for the recipient's view and shared map; carries the sender's position and its shared map."""

    peer: Peer
    view: ViewId | None
    view_size: int
    has_lease: bool
    entries: tuple[MapEntry, ...]


class TcpPing(Struct, frozen=True, array_like=True, tag=3):
    """Ask for a `TcpAck`, as datagrams may be lost."""

    instance: int


class EpochVoteRequest(Struct, frozen=True, array_like=True, tag=4):
    """Ask for a vote for an epoch that begins with this view."""

    view: View
    base: ViewId | None  # the view that its survivors had, if any
    forced: bool = False  # by an operator


class OpenStream(Struct, frozen=True, array_like=True, tag=5):
    """Open a stream: from now on this connection carries messages of one channel, from this instance."""

    name: str
    instance: int
    channel: str


Request = Hello | SyncRequest | TcpPing | EpochVoteRequest | OpenStream


class StateSnapshot(Struct, frozen=True, array_like=True, tag=1):
    """The view that the sender stands at, whether it holds a lease, and all entries of the shared map."""

    view: View | None
    has_lease: bool
    entries: tuple[MapEntry, ...]


class JoinRejected(Struct, frozen=True, array_like=True, tag=2):
    """Tell a relay that it does not join, or not yet, and why.

    A living relay has the name, the relay joined too recently, the view is full, no majority is reached; or
    the join is in progress.
    """

    reason: Literal["name", "held", "full", "stale", "pending"]


class NotAMember(Struct, frozen=True, array_like=True, tag=3):
    """Tell a relay that asks to join that the sender is in no view either."""

    peer: Peer
    is_founder: bool  # whether the sender may found an epoch
    uptime_seconds: float


class TcpAck(Struct, frozen=True, array_like=True, tag=4):
    """Answer a `TcpPing` or an `OpenStream`. `instance` is the sender's."""

    instance: int


class EpochVote(Struct, frozen=True, array_like=True, tag=5):
    """Answer an `EpochVoteRequest`."""

    epoch: int
    is_granted: bool


Response = StateSnapshot | JoinRejected | NotAMember | TcpAck | EpochVote

packet_decoder = msgspec.msgpack.Decoder(Packet)
request_decoder = msgspec.msgpack.Decoder(Request)
response_decoder = msgspec.msgpack.Decoder(Response)
encode = msgspec.msgpack.Encoder().encode
