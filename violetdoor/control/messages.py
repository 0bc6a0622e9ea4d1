"""Messages of the control plane: between relays and control machines, within a group, and between regions.

All are msgpack arrays: the order of the fields and the tags are the format, names are not sent. A later
version adds fields at the end of an array; a reader skips what it does not know, and a missing field takes
its default. Every connection carries sealed frames in order, so a message is either delivered in the order in
which it was sent or its connection breaks.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct

from violetdoor.fleet.messages import MapEntry

# Spoken by both sides of a session; a peer with another version is rejected.
PROTOCOL_VERSION = 1
# Of one frame with its seal.
MAX_FRAME_BYTES = 64 * 1024
# Of what a relay sends about itself, in UTF-8.
MAX_NAME_BYTES = 80
MAX_HOST_BYTES = 80
MAX_ZONE_BYTES = 40
# Of one encoded `Relay`: its texts, its numbers and the headers of the array.
MAX_RELAY_BYTES = MAX_NAME_BYTES + MAX_HOST_BYTES + MAX_ZONE_BYTES + 20
# Of one encoded `RelayKey`.
MAX_RELAY_KEY_BYTES = MAX_NAME_BYTES + 12
# Members in one `SnapshotChunk`: about 16 KiB, and 55 KB at the most.
MAX_CHUNK_MEMBERS = 250
# Entries of the shared map in one `Entries`.
MAX_MESSAGE_ENTRIES = 250
# Of a key whose owner is requested with `Lookup`.
MAX_LOOKUP_KEY_CHARACTERS = 1024
# Of a key of the shared map: `MAX_MESSAGE_ENTRIES` with such keys fit into a frame.
MAX_ENTRY_KEY_BYTES = 128

RejectionReason = Literal["busy", "full", "name", "behind", "not ready", "region", "version"]
SessionEndReason = Literal["left", "closed", "silent"]


class Version(Struct, frozen=True, array_like=True, order=True):
    """The version of a region's roster.

    `epoch` and `term` are the view of the control group in which the leader that wrote it took over; `index`
    counts the rosters of that leader's term. Versions of one epoch are ordered and never decrease; those of
    different epochs have no order.
    """

    epoch: int
    term: int
    index: int

    def __str__(self) -> str:
        """Return the form of logs and of the console."""
        return f"{self.epoch:x}/{self.term}/{self.index}"


class Relay(Struct, frozen=True, array_like=True):
    """One running relay. `instance` is its incarnation: drawn at each start, handed over in an upgrade."""

    name: str
    instance: int
    host: str
    port: int
    zone: str = ""


class RelayKey(Struct, frozen=True, array_like=True, order=True):
    """The identity of one run of a relay."""

    name: str
    instance: int


class Delta(Struct, frozen=True, array_like=True):
    """The relays that joined and departed since the roster `base`. A restarted relay is in both."""

    base: Version
    version: Version
    joined: tuple[Relay, ...] = ()
    departed: tuple[RelayKey, ...] = ()


class ZoneCount(Struct, frozen=True, array_like=True):
    """The number of relays of one zone in the roster."""

    zone: str
    relay_count: int


class RegionCount(Struct, frozen=True, array_like=True):
    """What relays are sent about another region: its relays by zone, and the age of these counts."""

    region: str
    version: Version
    zones: tuple[ZoneCount, ...]
    age_seconds: float = 0.0


# Requests: from a relay, or a control machine of another region, to a control machine.


class Attach(Struct, frozen=True, array_like=True, tag=1):
    """Open a session of a relay. `attempt` counts the sessions of this instance: the newest one is valid."""

    protocol_version: int
    region: str
    relay: Relay
    attempt: int
    known_version: Version | None = None  # the complete roster that the relay has; none: send a snapshot
    entries_digest: int = 0  # of the shared map that the relay has


class Heartbeat(Struct, frozen=True, array_like=True, tag=2):
    """Request a lease from the moment at which this was sent, and acknowledge rosters up to a version."""

    number: int
    applied_version: Version | None


class PutEntries(Struct, frozen=True, array_like=True, tag=3):
    """Set entries of the shared map: they were set at this relay."""

    entries: tuple[MapEntry, ...]


class Leave(Struct, frozen=True, array_like=True, tag=4):
    """Leave the region: the relay does nothing any more that needs a lease."""


class Lookup(Struct, frozen=True, array_like=True, tag=5):
    """Request the owner of a key, in whichever region."""

    number: int
    key: str


class Resync(Struct, frozen=True, array_like=True, tag=6):
    """Request a snapshot of the roster: a delta did not follow the roster that is known."""


class Watch(Struct, frozen=True, array_like=True, tag=7):
    """Open a session of another region's control machine, which watches this region's roster."""

    protocol_version: int
    region: str  # that is to be watched
    watcher_name: str  # name of the requesting control machine
    watcher_region: str
    known_version: Version | None = None
    entries_digest: int = 0


SessionRequest = Attach | Heartbeat | PutEntries | Leave | Lookup | Resync | Watch


# Responses and updates: from a control machine to a session.


class Welcome(Struct, frozen=True, array_like=True, tag=1):
    """The session is open."""

    control_name: str
    region: str
    regions: tuple[str, ...]  # all regions of the fleet, in the order of their names
    heartbeat_interval_seconds: float
    idle_timeout_seconds: float  # without a message after which the other side closes the session
    lease_seconds: float  # granted for a heartbeat


class Rejected(Struct, frozen=True, array_like=True, tag=2):
    """The session is not opened.

    `busy`: too many attaches a second; `full`: too many sessions; `name`: another run of a relay of this name
    is alive; `behind`: this machine's roster is older than the relay's; `not ready`: the machine has no lease
    in its group, or stops; `region`, `version`: not the ones of this machine.
    """

    reason: RejectionReason
    retry_after_seconds: float = 0.0


class SnapshotChunk(Struct, frozen=True, array_like=True, tag=3):
    """A part of the complete roster at `version`; the last one has the `number` `chunk_count - 1`."""

    version: Version
    number: int
    chunk_count: int
    members: tuple[Relay, ...]


class RosterDeltas(Struct, frozen=True, array_like=True, tag=4):
    """Consecutive deltas, oldest first."""

    deltas: tuple[Delta, ...]


class HeartbeatAck(Struct, frozen=True, array_like=True, tag=5):
    """A lease for `lease_seconds` from when heartbeat `number` was sent; 0 where none is granted.

    It was granted under the roster `version`, which was sent before on this connection. `settled` is the
    newest version such that no lease under an older roster can hold any more.
    """

    number: int
    lease_seconds: float
    version: Version | None
    settled: Version | None


class RegionCounts(Struct, frozen=True, array_like=True, tag=6):
    """The counts of other regions that have changed."""

    counts: tuple[RegionCount, ...]


class Entries(Struct, frozen=True, array_like=True, tag=7):
    """Entries of the shared map.

    `is_last`: the complete map has been sent. The reader then sends back the entries that it has beyond it.
    """

    entries: tuple[MapEntry, ...]
    is_last: bool = False


class LookupResponse(Struct, frozen=True, array_like=True, tag=8):
    """The owner of a key by the newest roster known here, which may have changed. None: not known."""

    number: int
    region: str
    owner: str | None


class GoAway(Struct, frozen=True, array_like=True, tag=9):
    """The control machine stops, or has no quorum: attach to another within `within_seconds`."""

    within_seconds: float


SessionResponse = (
    Welcome
    | Rejected
    | SnapshotChunk
    | RosterDeltas
    | HeartbeatAck
    | RegionCounts
    | Entries
    | LookupResponse
    | GoAway
)


# Between the control machines of one group.


class SessionOpened(Struct, frozen=True, array_like=True, tag=1):
    """To the leader, until it acknowledges: a relay has a session at the sender."""

    relay: Relay
    attempt: int


class SessionEnded(Struct, frozen=True, array_like=True, tag=2):
    """To the leader, until it acknowledges: that session has ended."""

    key: RelayKey
    attempt: int
    reason: SessionEndReason


class Replicate(Struct, frozen=True, array_like=True, tag=3):
    """From the leader: the next delta, and the settled version."""

    delta: Delta
    settled: Version | None


class ReplicateAck(Struct, frozen=True, array_like=True, tag=4):
    """To the leader: the sender grants no lease under an older roster than this any more."""

    version: Version


class TermStarted(Struct, frozen=True, array_like=True, tag=5):
    """From a new leader: request a `TermState`. Repeated to members that have not responded."""

    epoch: int
    term: int


class TermState(Struct, frozen=True, array_like=True, tag=6):
    """To a new leader: the sender's newest roster, its settled version, and all its sessions.

    `is_current`: that roster arrived while the sender was the member that it is now, so whatever has settled
    since settled with its acknowledgement, and is in its roster.
    """

    epoch: int
    term: int
    version: Version | None
    settled: Version | None
    sessions: tuple[SessionOpened, ...]
    is_current: bool = False


class SnapshotRequest(Struct, frozen=True, array_like=True, tag=7):
    """Request the complete roster, or the deltas since the known version."""

    known_version: Version | None = None


class GroupSnapshot(Struct, frozen=True, array_like=True, tag=8):
    """The complete roster of this region."""

    version: Version
    settled: Version | None
    members: tuple[Relay, ...]


class Settled(Struct, frozen=True, array_like=True, tag=9):
    """From the leader: no lease under an older roster than this can hold any more."""

    version: Version


class ReportAck(Struct, frozen=True, array_like=True, tag=10):
    """From the leader: the report of a session's start (`is_open`) or end has arrived."""

    key: RelayKey
    attempt: int
    is_open: bool


class NameConflict(Struct, frozen=True, array_like=True, tag=11):
    """From the leader: this session is not admitted: another run of a relay of its name is alive."""

    key: RelayKey
    attempt: int


GroupMessage = (
    SessionOpened
    | SessionEnded
    | Replicate
    | ReplicateAck
    | TermStarted
    | TermState
    | SnapshotRequest
    | GroupSnapshot
    | Settled
    | ReportAck
    | NameConflict
)

session_request_decoder = msgspec.msgpack.Decoder(SessionRequest)
session_response_decoder = msgspec.msgpack.Decoder(SessionResponse)
group_message_decoder = msgspec.msgpack.Decoder(GroupMessage)
encode = msgspec.msgpack.Encoder().encode
