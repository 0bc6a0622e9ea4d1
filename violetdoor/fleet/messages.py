"""Wire messages between the relays of a fleet: msgpack arrays, to which later versions append fields.

A reader ignores trailing fields that it does not know, and a missing field has its default, so two versions
interoperate as long as no field is removed or changes its meaning. Such a change needs a new
`PROTOCOL_VERSION`: a relay sends the lower of its own version and the highest that the recipient has last
announced.

The order of the fields and the tags are the wire format; the names of types and fields are not encoded.
State that is written to disk or handed to another process is in `violetdoor.fleet.stored_state`.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct

from violetdoor.fleet.view import Peer, View, ViewChange, ViewId

PROTOCOL_VERSION = 2  # highest version that this program supports
MIN_PROTOCOL_VERSION = 1  # lowest version that this program supports
ZONE_PROTOCOL_VERSION = 2  # first version whose packets carry the sender's zone

MAX_DATAGRAM_BYTES = 4096  # size of a packet including its tag
MAX_FRAME_BYTES = 1 << 20  # size of one TCP message: fits a view of 1,024 members and a full shared map
MAX_RUMORS_PER_PACKET = 8
MAX_MAP_UPDATES_PER_PACKET = 8
# A packet whose messages are larger than this carries neither rumors nor updates of the shared map.
MAX_PIGGYBACK_PAYLOAD_BYTES = 1024
# Size of an encoded view change, chosen so that the packet that proposes it fits `MAX_DATAGRAM_BYTES`.
MAX_CHANGE_BYTES = 2800

# Values of `Rumor.state`.
RUMOR_ALIVE = 0
RUMOR_SUSPECT = 1
RUMOR_CONFIRMED_DEAD = 2


class Rumor(Struct, frozen=True, array_like=True):
    """Gossip about a member: alive or suspected in this incarnation, or confirmed dead."""

    name: str
    instance: int
    incarnation: int
    state: int  # one of the RUMOR_... constants
    reporter: str = ""  # relay that suspects the member or has proof of its death


class HybridTimestamp(Struct, frozen=True, array_like=True, order=True):
    """Unique timestamp of a hybrid logical clock (Kulkarni et al. 2014), ordered by its fields."""

    unix_ms: int
    counter: int  # orders timestamps of the same millisecond
    relay: str  # owner of the clock; breaks ties between timestamps of two relays


class MapEntry(Struct, frozen=True, array_like=True):
    """One entry of the shared map; a tombstone if the value is None."""

    key: str
    timestamp: HybridTimestamp
    value: float | None


class HeartbeatRound(Struct, frozen=True, array_like=True):
    """A heartbeat round, from which leases are derived. Both bitmaps are packed by `bitmap`."""

    number: int
    starter: int  # index of the member that started the round
    joined: bytes  # bitmap of the members known to have joined the round
    joined_previous: bytes  # bitmap of the members that the starter knew to have joined the previous round


# Failure detection (SWIM).


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Request an `Ack` from a relay; `instance` is the addressed instance, or 0 for any."""

    seq: int
    instance: int = 0


class Ack(Struct, frozen=True, array_like=True, tag=2):
    """Answer a `Ping`. `instance` is the sender's own, or 0 if a helper relays the answer.

    An instance other than the addressed one proves that the addressed one is dead.
    """

    seq: int
    instance: int = 0


class PingRequest(Struct, frozen=True, array_like=True, tag=3):
    """Ask a helper to ping `target` (SWIM's ping-req)."""

    seq: int
    target: str


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """Answer a `PingRequest` whose target has not responded; shows that the helper itself is reachable."""

    seq: int


# Agreement on the view that follows `base` (single-decree Paxos).


class PreVoteRequest(Struct, frozen=True, array_like=True, tag=10):
    """Ask whether a member would agree to a change (Raft's pre-vote); the answer is not binding."""

    base: ViewId
    pre_vote_number: int  # counts the proposer's pre-votes in this view
    change: ViewChange
    ended_indexes: tuple[int, ...] = ()  # members whose instance is proven to have ended


class PreVoteResponse(Struct, frozen=True, array_like=True, tag=11):
    """List the members that the change removes as dead but the sender sees alive; empty means agreement."""

    base: ViewId
    pre_vote_number: int  # of the request
    alive_indexes: tuple[int, ...]


class Prepare(Struct, frozen=True, array_like=True, tag=12):
    """Request a promise not to take part in any lower ballot."""

    base: ViewId
    ballot: int


class Promise(Struct, frozen=True, array_like=True, tag=13):
    """Answer a `Prepare`; report the highest ballot in which the sender accepted a change, and the change."""

    base: ViewId
    ballot: int
    accepted_ballot: int  # -1 if the sender has accepted no change
    accepted_change: ViewChange | None


class Accept(Struct, frozen=True, array_like=True, tag=14):
    """Request that the recipient accept a change in this ballot."""

    base: ViewId
    ballot: int
    change: ViewChange


class Accepted(Struct, frozen=True, array_like=True, tag=15):
    """Report that the sender has accepted the ballot's change."""

    base: ViewId
    ballot: int


class Rejected(Struct, frozen=True, array_like=True, tag=16):
    """Reject a ballot because the sender has promised a higher one."""

    base: ViewId
    ballot: int
    promised_ballot: int


class Decided(Struct, frozen=True, array_like=True, tag=17):
    """Report that a majority has accepted this change."""

    base: ViewId
    change: ViewChange


# Joining and leaving.


class JoinRequest(Struct, frozen=True, array_like=True, tag=20):
    """Ask the members that may propose a change to admit a relay.

    Forwarded by the member that received the relay's `Hello`, or sent by the relay itself if the view
    contains an earlier instance of it.
    """

    peer: Peer


class Leave(Struct, frozen=True, array_like=True, tag=21):
    """Announce that the sender leaves the fleet and no longer acts as a member."""


AgreementMessage = (
    PreVoteRequest | PreVoteResponse | Prepare | Promise | Accept | Accepted | Rejected | Decided
)
Message = Ping | Ack | PingRequest | Nack | AgreementMessage | JoinRequest | Leave


class Packet(Struct, array_like=True):
    """One datagram: sender, recipient, the sender's state, and messages."""

    version: int  # protocol version of this packet
    max_version: int  # highest protocol version that the sender supports
    sender: str
    sender_instance: int
    recipient: str
    recipient_instance: int  # 0 if the sender does not know it
    # Counts the sender's packets; a packet that repeats a number or is behind the replay window is dropped.
    sequence: int
    view: ViewId | None  # the sender's current view; None if it has none
    view_size: int  # number of members of that view
    has_lease: bool  # whether the sender holds a lease
    incarnation: int  # the sender's SWIM incarnation, which refutes suspicions of lower ones
    heartbeat_round: HeartbeatRound | None
    map_digest: int  # digest of the sender's shared map
    rumors: tuple[Rumor, ...] = ()
    map_updates: tuple[MapEntry, ...] = ()
    messages: tuple[Message, ...] = ()
    zone: str = ""  # the sender's zone, since version 2


# Messages over TCP: one request and one response per connection.


class Hello(Struct, frozen=True, array_like=True, tag=1):
    """Ask the recipient to admit the sender to the fleet."""

    peer: Peer
    is_founder: bool  # whether the sender may found an epoch
    uptime_seconds: float


class SyncRequest(Struct, frozen=True, array_like=True, tag=2):
    """Request the recipient's view and shared map; carries the sender's view number and map entries."""

    peer: Peer
    view: ViewId | None
    view_size: int
    has_lease: bool
    entries: tuple[MapEntry, ...]


class TcpPing(Struct, frozen=True, array_like=True, tag=3):
    """Request a `TcpAck`; used besides `Ping` because datagrams may be lost."""

    instance: int


class EpochVoteRequest(Struct, frozen=True, array_like=True, tag=4):
    """Request a vote for an epoch that begins with this view."""

    view: View
    base: ViewId | None  # last view of the members that continue; None if there was no earlier view
    forced: bool = False  # whether an operator forces the epoch without a majority


class OpenStream(Struct, frozen=True, array_like=True, tag=5):
    """Turn this connection into a stream of messages from the given instance on one channel."""

    name: str
    instance: int
    channel: str


Request = Hello | SyncRequest | TcpPing | EpochVoteRequest | OpenStream


class StateSnapshot(Struct, frozen=True, array_like=True, tag=1):
    """The sender's current view, whether it holds a lease, and all entries of its shared map."""

    view: View | None
    has_lease: bool
    entries: tuple[MapEntry, ...]


class JoinRejected(Struct, frozen=True, array_like=True, tag=2):
    """Tell a relay that it is not admitted, or not yet.

    Reasons: "name": a running relay has the same name; "held": the relay rejoined too recently; "full": the
    view has no room; "stale": the sender holds no lease, as it reaches no majority; "pending": the join is in
    progress.
    """

    reason: Literal["name", "held", "full", "stale", "pending"]


class NotAMember(Struct, frozen=True, array_like=True, tag=3):
    """Answer the `Hello` of a relay if the sender is in no view either."""

    peer: Peer
    is_founder: bool  # whether the sender may found an epoch
    uptime_seconds: float


class TcpAck(Struct, frozen=True, array_like=True, tag=4):
    """Answer a `TcpPing` or an `OpenStream`. `instance` is the sender's own."""

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
