"""The roster of one region: its relays at a version, the owners of keys, and snapshots in chunks.

The leader of a control group decides which relays are members (`sequencer`); this module only applies the
deltas and snapshots that the leader wrote.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from violetdoor.control.errors import ChunkOrderError, SnapshotSizeError
from violetdoor.control.messages import (
    MAX_CHUNK_MEMBERS,
    Delta,
    Relay,
    RelayKey,
    SnapshotChunk,
    Version,
    ZoneCount,
)
from violetdoor.fleet.view import rendezvous_weight

# Maximum number of members of one roster; a larger snapshot is rejected.
MAX_ROSTER_MEMBERS = 4096
# Maximum number of cached key owners; the cache is cleared when the roster changes.
MAX_CACHED_OWNERS = 1024


def home_region(key: str, regions: Iterable[str]) -> str:
    """Return the home region of a key, by rendezvous hashing over the names of all regions."""
    return max(regions, key=lambda name: (rendezvous_weight(key, name), name))


def relay_key(relay: Relay) -> RelayKey:
    """Return the identity of this run of a relay."""
    return RelayKey(relay.name, relay.instance)


class Roster:
    """The members of a region at one version; `apply` changes them in place."""

    __slots__ = ("_cached_owners", "_relays_by_zone", "members", "version")

    def __init__(self, version: Version, members: Iterable[Relay] = ()) -> None:
        """Create the roster of `members` at `version`."""
        self.version = version
        self.members: dict[str, Relay] = {relay.name: relay for relay in members}
        self._relays_by_zone = Counter(relay.zone for relay in self.members.values())
        self._cached_owners: dict[str, str | None] = {}

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self.members)

    def contains(self, key: RelayKey) -> bool:
        """Return whether this run of the relay is a member."""
        relay = self.members.get(key.name)
        return relay is not None and relay.instance == key.instance

    def apply(self, delta: Delta) -> bool:
        """Apply a delta and advance to its version.

        Returns False, and changes nothing, if the base of the delta is not the version of this roster.
        """
        if delta.base != self.version:
            return False
        for key in delta.departed:
            if self.contains(key):
                departed = self.members.pop(key.name)
                self._relays_by_zone[departed.zone] -= 1
        for relay in delta.joined:
            replaced = self.members.get(relay.name)
            if replaced is not None:
                self._relays_by_zone[replaced.zone] -= 1
            self.members[relay.name] = relay
            self._relays_by_zone[relay.zone] += 1
        self.version = delta.version
        if delta.departed or delta.joined:
            self._cached_owners.clear()
        return True

    def owner(self, key: str) -> str | None:
        """Return the owner of a key of this region by rendezvous hashing; None if the roster is empty."""
        if key not in self._cached_owners:
            if len(self._cached_owners) >= MAX_CACHED_OWNERS:
                self._cached_owners.clear()
            self._cached_owners[key] = max(
                self.members, key=lambda name: (rendezvous_weight(key, name), name), default=None
            )
        return self._cached_owners[key]

    def zone_counts(self) -> tuple[ZoneCount, ...]:
        """Return the number of members of each zone, sorted by the name of the zone."""
        counts = sorted(self._relays_by_zone.items())
        return tuple(ZoneCount(zone, count) for zone, count in counts if count > 0)

    def snapshot_chunks(self) -> list[SnapshotChunk]:
        """Return the complete roster in messages that each fit into a frame; one message if it is empty."""
        members = tuple(self.members.values())
        starts = range(0, len(members), MAX_CHUNK_MEMBERS)
        parts = [members[start : start + MAX_CHUNK_MEMBERS] for start in starts] or [()]
        return [SnapshotChunk(self.version, number, len(parts), part) for number, part in enumerate(parts)]


class SnapshotAssembler:
    """Assembles a roster from the chunks of a snapshot, which arrive in order on one connection."""

    def __init__(self) -> None:
        """Start without chunks."""
        self._version: Version | None = None
        self._members: list[Relay] = []
        self._next_number = 0

    def add(self, chunk: SnapshotChunk) -> Roster | None:
        """Add a chunk; return the roster once the last chunk has been added, and None before.

        Raises ChunkOrderError if the chunk is not the next one, and SnapshotSizeError if the snapshot has
        more members than `MAX_ROSTER_MEMBERS`.
        """
        if chunk.number == 0:
            self._version = chunk.version
            self._members = []
            self._next_number = 0
        follows = chunk.version == self._version and chunk.number == self._next_number
        if not follows or chunk.chunk_count <= chunk.number:
            raise ChunkOrderError(chunk, self._next_number)
        self._next_number += 1
        self._members += chunk.members
        if len(self._members) > MAX_ROSTER_MEMBERS:
            raise SnapshotSizeError(len(self._members))
        if self._next_number < chunk.chunk_count:
            return None
        roster = Roster(chunk.version, self._members)
        self._version = None
        self._members = []
        return roster
