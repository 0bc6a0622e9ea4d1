"""A relay's copy of its region's roster: the newest one, and the relays that may still act under older ones.

A relay acts on a key only if it owns the key in every roster from the settled one to the newest. With
rendezvous hashing this is one comparison: the relay must outrank all members, and all relays that departed
since the settled roster. After a complete roster arrives, the rosters before it are unknown, so the relay
owns nothing until that roster has settled.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from msgspec import Struct

from violetdoor.control.messages import Delta, Relay, RelayKey, Version
from violetdoor.control.replica import is_newer_in_epoch
from violetdoor.control.roster import Roster, relay_key
from violetdoor.fleet.view import rendezvous_weight

# With more tombstones than this all are dropped, and the relay owns nothing until the newest roster settles.
MAX_TOMBSTONES = 2048
# Keys whose ownership is cached until the roster changes.
MAX_CACHED_KEYS = 1024


class Tombstone(Struct, frozen=True, array_like=True):
    """A relay that has departed but may still hold a lease and act."""

    relay: RelayKey
    departed_version: Version  # the first roster without it


class RosterHistory:
    """The rosters from the settled one to the newest, as known to one run of a relay."""

    def __init__(self, own_key: RelayKey) -> None:
        """Start without a roster; `own_key` identifies this run of the relay."""
        self.own_key = own_key
        self.roster: Roster | None = None  # the newest one
        # Older rosters than this are unknown, or don't contain this relay.
        self.complete_since: Version | None = None
        self.settled: Version | None = None  # no lease under an older roster can still be valid
        self.tombstones: deque[Tombstone] = deque()  # in the order of their versions
        self._ownership_cache: dict[str, bool] = {}  # by key

    def restore(
        self,
        own_key: RelayKey,
        roster: Roster | None,
        complete_since: Version | None,
        settled: Version | None,
        tombstones: Iterable[Tombstone],
    ) -> None:
        """Restore the state of the predecessor process of the same run."""
        self.own_key = own_key
        self.roster = roster
        self.complete_since = complete_since
        self.settled = settled
        self.tombstones = deque(tombstones)
        self._ownership_cache.clear()

    @property
    def version(self) -> Version | None:
        """The version of the newest roster; None before the first one."""
        return None if self.roster is None else self.roster.version

    @property
    def is_member(self) -> bool:
        """Whether this run of the relay is in the newest roster."""
        return self.roster is not None and self.roster.contains(self.own_key)

    @property
    def has_settled(self) -> bool:
        """Whether the newest roster is the settled one."""
        return self.version is not None and self.settled == self.version

    def includes(self, version: Version | None) -> bool:
        """Whether the newest roster is at `version`, or at a later one of the same epoch."""
        newest = self.version
        if version is None or newest is None:
            return False
        return newest.epoch == version.epoch and newest >= version

    def members(self) -> tuple[Relay, ...]:
        """Return all relays of the newest roster."""
        return () if self.roster is None else tuple(self.roster.members.values())

    def replace(self, roster: Roster) -> bool:
        """Replace the newest roster by a complete one; return False, and change nothing, if that is older."""
        version = self.version
        if version is not None and is_newer_in_epoch(version, roster.version):
            return False
        if version == roster.version:
            return True
        if version is not None and version.epoch != roster.version.epoch:
            self.settled = None
        self.roster = roster
        self._drop_earlier_rosters()
        return True

    def apply(self, delta: Delta) -> bool:
        """Apply a delta; return False if it doesn't follow the newest roster."""
        if self.roster is None:
            return False
        if not is_newer_in_epoch(delta.version, self.roster.version):
            return delta.version.epoch == self.roster.version.epoch  # already applied
        if not self.roster.apply(delta):
            return False
        self.tombstones.extend(Tombstone(relay, delta.version) for relay in delta.departed)
        if any(relay_key(relay) == self.own_key for relay in delta.joined):
            self.complete_since = delta.version
        if len(self.tombstones) > MAX_TOMBSTONES:
            self._drop_earlier_rosters()
        self._ownership_cache.clear()
        return True

    def settle(self, version: Version | None) -> None:
        """Mark a roster as settled, if it is known here: no lease under an older one can still be valid."""
        if version is None or not self.includes(version):
            return
        if self.settled is not None and self.settled >= version:
            return
        self.settled = version
        while self.tombstones and self.tombstones[0].departed_version <= version:
            self.tombstones.popleft()
        self._ownership_cache.clear()

    def _drop_earlier_rosters(self) -> None:
        """Treat all rosters before the newest one as unknown."""
        self.complete_since = self.version
        self.tombstones.clear()
        self._ownership_cache.clear()

    def is_owner(self, key: str) -> bool:
        """Whether this relay owns a key of its region in every roster under which a relay may still act."""
        if self.settled is None or self.complete_since is None:
            return False
        if self.settled < self.complete_since or not self.is_member:
            return False
        if key not in self._ownership_cache:
            if len(self._ownership_cache) >= MAX_CACHED_KEYS:
                self._ownership_cache.clear()
            self._ownership_cache[key] = self._outranks_all(key)
        return self._ownership_cache[key]

    def _outranks_all(self, key: str) -> bool:
        """Whether rendezvous hashing ranks this relay above all members and all departed relays kept here."""
        own_name = self.own_key.name
        if self.roster is None or self.roster.owner(key) != own_name:
            return False
        own_rank = rendezvous_weight(key, own_name), own_name
        departed_names = (tombstone.relay.name for tombstone in self.tombstones)
        return all((rendezvous_weight(key, name), name) <= own_rank for name in departed_names)
