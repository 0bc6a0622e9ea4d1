"""The roster of one region: its relays at a version, the owners of keys, and snapshots in chunks.

Nothing here decides which relays are alive: the leader of a control group does (`sequencer`). Everybody else
applies what it wrote.
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

# Members of one roster; a larger snapshot is rejected.
MAX_ROSTER_MEMBERS = 4096
# Keys whose owner is cached until the roster changes.
MAX_CACHED_OWNERS = 1024


def home_region(key: str, regions: Iterable[str]) -> str:
    """Return the region that a key belongs to, by rendezvous hashing over the names of all regions."""
    return max(regions, key=lambda name: (rendezvous_weight(key, name), name))


def relay_key(relay: Relay) -> RelayKey:
    """Return the identity of this run of a relay."""
    return RelayKey(relay.name, relay.instance)


class Roster:
    """The members of a region at one version, changed in place by deltas alone."""

    __slots__ = ("_cached_owners", "_relays_by_zone", "members", "version")

    def __init__(self, version: Version, members: Iterable[Relay] = ()) -> None:
        """Start from all members at `version`."""
        self.version = version
        self.members: dict[str, Relay] = {relay.name: relay for relay in members}
        self._relays_by_zone = Counter(relay.zone for relay in self.members.values())
        self._cached_owners: dict[str, str | None] = {}

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self.members)

    def contains(self, key: RelayKey) -> bool:
        """Return whether exactly this run of a relay is a member."""
        relay = self.members.get(key.name)
        return relay is not None and relay.instance == key.instance

    def apply(self, delta: Delta) -> bool:
        """Advance to the delta's version.

        Returns False, and changes nothing, where the delta's base is another version than this one.
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
        """Return the member that owns a key of this region by rendezvous hashing; None in an empty roster."""
        if key not in self._cached_owners:
            if len(self._cached_owners) >= MAX_CACHED_OWNERS:
                self._cached_owners.clear()
            self._cached_owners[key] = max(
                self.members, key=lambda name: (rendezvous_weight(key, name), name), default=None
            )
        return self._cached_owners[key]

    def zone_counts(self) -> tuple[ZoneCount, ...]:
        """Return how many members each zone has, in the order of the zones' names."""
        counts = sorted(self._relays_by_zone.items())
        return tuple(ZoneCount(zone, count) for zone, count in counts if count > 0)

    def snapshot_chunks(self) -> list[SnapshotChunk]:
        """Return the complete roster in messages that fit into a frame each; one where it is empty."""
        members = tuple(self.members.values())
        starts = range(0, len(members), MAX_CHUNK_MEMBERS)
        parts = [members[start : start + MAX_CHUNK_MEMBERS] for start in starts] or [()]
        return [SnapshotChunk(self.version, number, len(parts), part) for number, part in enumerate(parts)]


class SnapshotAssembler:
    """Joins the chunks of a snapshot, which arrive in order on one connection."""

    def __init__(self) -> None:
        """Start without any chunk."""
        self._version: Version | None = None
        self._members: list[Relay] = []
        self._next_number = 0

    def add(self, chunk: SnapshotChunk) -> Roster | None:
        """Return the roster with its last chunk, None before.

        Raises ChunkOrderError where the chunk does not follow the one before, and SnapshotSizeError where
        the snapshot has more members than `MAX_ROSTER_MEMBERS`.
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
