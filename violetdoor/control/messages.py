"""Messages of the control plane: between relays and control machines, within a group, and between regions.

Every message is a msgpack array: the order of the fields and the tag define the format, field names are not
sent. A later version adds fields at the end of an array; a reader skips unknown trailing fields, and a
missing field takes its default. Every connection carries sealed frames in order, so messages arrive in the
order in which they were sent, or the connection breaks.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct

from violetdoor.fleet.messages import MapEntry

# Version of the session protocol; a peer with another version is rejected.
PROTOCOL_VERSION = 1
# Maximum size of one frame, including its seal.
MAX_FRAME_BYTES = 64 * 1024
# Maximum sizes of a relay's own texts, encoded in UTF-8.
MAX_NAME_BYTES = 80
MAX_HOST_BYTES = 80
MAX_ZONE_BYTES = 40
# Maximum size of an encoded `Relay`; 20 bytes are for its numbers and the msgpack headers.
MAX_RELAY_BYTES = MAX_NAME_BYTES + MAX_HOST_BYTES + MAX_ZONE_BYTES + 20
# Maximum size of an encoded `RelayKey`.
MAX_RELAY_KEY_BYTES = MAX_NAME_BYTES + 12
# Maximum number of members in one `SnapshotChunk`: usually about 16 KiB, never more than 55 KB.
MAX_CHUNK_MEMBERS = 250
# Maximum number of shared map entries in one message.
MAX_MESSAGE_ENTRIES = 250
# Maximum length of the key in a `Lookup`.
MAX_LOOKUP_KEY_CHARACTERS = 1024
# Maximum size of a shared map key: `MAX_MESSAGE_ENTRIES` entries with such keys fit into a frame.
MAX_ENTRY_KEY_BYTES = 128

RejectionReason = Literal["busy", "full", "name", "behind", "not ready", "region", "version"]
SessionEndReason = Literal["left", "closed", "silent"]


class Version(Struct, frozen=True, array_like=True, order=True):
    """The version of a region's roster.

    `epoch` and `term` identify the view of the control group in which the leader that wrote the roster took
    over; `index` counts the rosters of that term. Versions of one epoch are ordered and never decrease;
    versions of different epochs can't be compared.
    """

    epoch: int
    term: int
    index: int

    def __str__(self) -> str:
        """Return the text that logs and the console show."""
        return f"{self.epoch:x}/{self.term}/{self.index}"


class Relay(Struct, frozen=True, array_like=True):
    """A running relay. `instance` is a random number drawn at each start and kept across an upgrade."""

    name: str
    instance: int
    host: str
    port: int
    zone: str = ""


class RelayKey(Struct, frozen=True, array_like=True, order=True):
    """The identity of one run of a relay: a restart has the same name and another instance."""

    name: str
    instance: int


class Delta(Struct, frozen=True, array_like=True):
    """The relays that joined and departed since the roster version `base`. A restarted relay is in both."""

    base: Version
    version: Version
    joined: tuple[Relay, ...] = ()
    departed: tuple[RelayKey, ...] = ()


class ZoneCount(Struct, frozen=True, array_like=True):
    """The number of relays of one zone in the roster."""

    zone: str
    relay_count: int


class RegionCount(Struct, frozen=True, array_like=True):
    """The number of relays in another region by zone, and the age of these counts."""

    region: str
    version: Version
    zones: tuple[ZoneCount, ...]
    age_seconds: float = 0.0


# Session requests: sent to a control machine by a relay, or by a control machine of another region.


class Attach(Struct, frozen=True, array_like=True, tag=1):
    """Open a session for a relay. `attempt` counts the sessions of this instance; the newest one is valid."""

    protocol_version: int
    region: str
    relay: Relay
    attempt: int
    known_version: Version | None = None  # version of the relay's complete roster; None requests a snapshot
    entries_digest: int = 0  # digest of the relay's shared map


class Heartbeat(Struct, frozen=True, array_like=True, tag=2):
    """Request a lease that starts when this was sent, and acknowledge all rosters up to `applied_version`."""

    number: int
    applied_version: Version | None


class PutEntries(Struct, frozen=True, array_like=True, tag=3):
    """Merge entries that were set at this relay into the shared map."""

    entries: tuple[MapEntry, ...]


class Leave(Struct, frozen=True, array_like=True, tag=4):
    """Leave the region: from now on the relay does nothing that requires a lease."""


class Lookup(Struct, frozen=True, array_like=True, tag=5):
    """Request the owner of a key of any region."""

    number: int
    key: str


class Resync(Struct, frozen=True, array_like=True, tag=6):
    """Request a snapshot of the roster, because a delta could not be applied."""


class Watch(Struct, frozen=True, array_like=True, tag=7):
    """Open a session for a control machine of another region, to receive this region's roster."""

    protocol_version: int
    region: str  # the region to watch
    watcher_name: str  # name of the requesting control machine
    watcher_region: str
    known_version: Version | None = None
    entries_digest: int = 0


SessionRequest = Attach | Heartbeat | PutEntries | Leave | Lookup | Resync | Watch


# Session responses and updates: sent by a control machine.


class Welcome(Struct, frozen=True, array_like=True, tag=1):
    """Confirm that the session is open."""

    control_name: str
    region: str
    regions: tuple[str, ...]  # all regions of the fleet, sorted by name
    heartbeat_interval_seconds: float
    idle_timeout_seconds: float  # the peer closes the session when it receives nothing for this long
    lease_seconds: float  # duration of the lease that a heartbeat is granted


class Rejected(Struct, frozen=True, array_like=True, tag=2):
    """Reject the session.

    `busy`: too many attaches per second; `full`: too many sessions; `name`: another run of a relay with this
    name is alive; `behind`: this machine's roster is older than the peer's; `not ready`: this machine has no
    lease in its group, or is stopping; `region`, `version`: this machine has another region or protocol
    version.
    """

    reason: RejectionReason
    retry_after_seconds: float = 0.0


class SnapshotChunk(Struct, frozen=True, array_like=True, tag=3):
    """Part of the complete roster at `version`; `number` counts the chunks from 0."""

    version: Version
    number: int
    chunk_count: int
    members: tuple[Relay, ...]


class RosterDeltas(Struct, frozen=True, array_like=True, tag=4):
    """Consecutive deltas, oldest first."""

    deltas: tuple[Delta, ...]


class HeartbeatAck(Struct, frozen=True, array_like=True, tag=5):
    """Grant a lease of `lease_seconds` from the time when heartbeat `number` was sent; 0 grants none.

    The lease is granted under the roster `version`, which was sent earlier on this connection. `settled` is
    the newest version for which all leases granted under older rosters have expired.
    """

    number: int
    lease_seconds: float
    version: Version | None
    settled: Version | None


class RegionCounts(Struct, frozen=True, array_like=True, tag=6):
    """Counts of those other regions whose counts have changed."""

    counts: tuple[RegionCount, ...]


class Entries(Struct, frozen=True, array_like=True, tag=7):
    """Entries of the shared map.

    `is_last` marks the last message of the complete map. The peer then sends back its entries that are
    newer or missing from it.
    """

    entries: tuple[MapEntry, ...]
    is_last: bool = False


class LookupResponse(Struct, frozen=True, array_like=True, tag=8):
    """The owner of a key by the newest roster known to the sender, possibly outdated; None if unknown."""

    number: int
    region: str
    owner: str | None


class GoAway(Struct, frozen=True, array_like=True, tag=9):
    """The control machine is stopping or has no quorum: attach to another one within `within_seconds`."""

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


# Group messages: sent between the control machines of one group.


class SessionOpened(Struct, frozen=True, array_like=True, tag=1):
    """Report to the leader that a relay has a session at the sender; repeated until it is acknowledged."""

    relay: Relay
    attempt: int


class SessionEnded(Struct, frozen=True, array_like=True, tag=2):
    """Report to the leader that a session has ended; repeated until it is acknowledged."""

    key: RelayKey
    attempt: int
    reason: SessionEndReason


class Replicate(Struct, frozen=True, array_like=True, tag=3):
    """Send the next delta and the settled version to a follower."""

    delta: Delta
    settled: Version | None


class ReplicateAck(Struct, frozen=True, array_like=True, tag=4):
    """Confirm to the leader that the sender no longer grants leases under rosters older than `version`."""

    version: Version


class TermStarted(Struct, frozen=True, array_like=True, tag=5):
    """Request a `TermState` for a new leader; repeated to members that have not responded."""

    epoch: int
    term: int


class TermState(Struct, frozen=True, array_like=True, tag=6):
    """Report the sender's roster version, its settled version and all its sessions to a new leader.

    `is_current` means that the roster arrived during the sender's present membership of the group. Whatever
    has settled since then was acknowledged by the sender, so its roster includes it.
    """

    epoch: int
    term: int
    version: Version | None
    settled: Version | None
    sessions: tuple[SessionOpened, ...]
    is_current: bool = False


class SnapshotRequest(Struct, frozen=True, array_like=True, tag=7):
    """Request the deltas since `known_version`, or the complete roster."""

    known_version: Version | None = None


class GroupSnapshot(Struct, frozen=True, array_like=True, tag=8):
    """The complete roster of the region."""

    version: Version
    settled: Version | None
    members: tuple[Relay, ...]


class Settled(Struct, frozen=True, array_like=True, tag=9):
    """Announce that all leases granted under rosters older than `version` have expired."""

    version: Version


class ReportAck(Struct, frozen=True, array_like=True, tag=10):
    """Acknowledge a report of a session's start (`is_open`) or end."""

    key: RelayKey
    attempt: int
    is_open: bool


class NameConflict(Struct, frozen=True, array_like=True, tag=11):
    """Reject a reported session: another run of a relay with the same name is alive."""

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
