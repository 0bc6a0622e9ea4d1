"""A small map replicated to all relays of a fleet: last writer wins by a hybrid logical clock. No I/O.

Merging is commutative, associative and idempotent. Relays that have received the same entries therefore have
the same map, regardless of the entries' order and repetition, also after a partition. A removed value leaves
a tombstone, which is retained for longer than any relay with the old value may be away from the fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec
import xxhash

from violetdoor.fleet.dissemination import gossip_rounds
from violetdoor.fleet.messages import MAX_MAP_UPDATES_PER_PACKET, HybridTimestamp, MapEntry

# In normal use the map lists some tens of servers. At this limit tombstones past their retention are dropped;
# if none are, new keys are rejected.
MAX_ENTRIES = 4096
TOMBSTONE_RETENTION_MS = 3_600_000.0  # minimum age of a tombstone that is dropped
# An entry is sent in this many packets, multiplied by the logarithm of the fleet's size.
ENTRY_RETRANSMIT_MULTIPLIER = 3

ChangeCallback = Callable[[str, float | None], None]


def _ignore_change(_key: str, _value: float | None) -> None:
    """Do nothing: the default of `SharedMap.on_change`."""


class HybridLogicalClock:
    """Hybrid logical clock: close to Unix time, never behind an observed timestamp (Kulkarni et al. 2014)."""

    def __init__(self, name: str) -> None:
        """Initialize the clock of the relay `name`."""
        self.name = name
        self.latest = HybridTimestamp(0, 0, "")

    def tick(self, unix_ms: float) -> HybridTimestamp:
        """Return a timestamp above all timestamps that were returned or observed before."""
        now_ms = int(unix_ms)
        latest = self.latest
        counter = 0 if now_ms > latest.unix_ms else latest.counter + 1
        self.latest = HybridTimestamp(max(now_ms, latest.unix_ms), counter, self.name)
        return self.latest

    def observe(self, timestamp: HybridTimestamp) -> None:
        """Advance to another relay's timestamp if it is ahead of this clock."""
        if (timestamp.unix_ms, timestamp.counter) > (self.latest.unix_ms, self.latest.counter):
            self.latest = timestamp


class SharedMap:
    """One relay's copy of the map. `on_change` is called with the key and value of each change."""

    def __init__(self, name: str) -> None:
        """Initialize the map of the relay `name` without entries."""
        self.clock = HybridLogicalClock(name)
        self.entries: dict[str, MapEntry] = {}
        self.digest = 0  # hash of all entries, independent of their order
        self.queued_updates: dict[str, int] = {}  # remaining packets in which a key's entry is to be sent
        self.rejected_count = 0  # entries rejected because the map was full
        self.on_change: ChangeCallback = _ignore_change

    def get(self, key: str) -> float | None:
        """Return the value of a key, or None if it has none."""
        entry = self.entries.get(key)
        return None if entry is None else entry.value

    def values(self, kind: str) -> dict[str, float]:
        """Return all values of keys `kind:name`, by `name`."""
        found = {}
        for key, entry in self.entries.items():
            prefix, _, name = key.partition(":")
            if prefix == kind and entry.value is not None:
                found[name] = entry.value
        return found

    def put(self, key: str, value: float | None, unix_ms: float, members: int) -> bool:
        """Set a value, or remove it with None; return False if the map is full.

        `members` is the number of members in the fleet's view.
        """
        return self._apply(MapEntry(key, self.clock.tick(unix_ms), value), unix_ms, members)

    def merge(self, entries: Iterable[MapEntry], unix_ms: float, members: int) -> int:
        """Merge another relay's entries, and return how many of them were newer and accepted."""
        accepted = 0
        for entry in entries:
            self.clock.observe(entry.timestamp)
            if self._apply(entry, unix_ms, members):
                accepted += 1
        return accepted

    def _apply(self, entry: MapEntry, unix_ms: float, members: int) -> bool:
        """Accept an entry if it is newer than the local one and the map has space; return whether it did."""
        old = self.entries.get(entry.key)
        if old is not None and old.timestamp >= entry.timestamp:
            return False
        if old is None and len(self.entries) >= MAX_ENTRIES and not self._drop_old_tombstones(unix_ms):
            self.rejected_count += 1
            return False
        if old is not None:
            self.digest ^= _digest(old)
        self.entries[entry.key] = entry
        self.digest ^= _digest(entry)
        self.queued_updates[entry.key] = ENTRY_RETRANSMIT_MULTIPLIER * gossip_rounds(members)
        if old is None or old.value != entry.value:
            self.on_change(entry.key, entry.value)
        return True

    def _drop_old_tombstones(self, unix_ms: float) -> bool:
        """Drop tombstones past their retention; return whether the map has space for a new key."""
        for key, entry in list(self.entries.items()):
            if entry.value is None and entry.timestamp.unix_ms < unix_ms - TOMBSTONE_RETENTION_MS:
                self.digest ^= _digest(self.entries.pop(key))
        return len(self.entries) < MAX_ENTRIES

    def pick_updates(self) -> tuple[MapEntry, ...]:
        """Return the entries for the next packet, least often sent first, and count them as sent."""
        picked = []
        queued = sorted(self.queued_updates.items(), key=lambda item: -item[1])
        for key, remaining in queued[:MAX_MAP_UPDATES_PER_PACKET]:
            if remaining <= 1:
                del self.queued_updates[key]
            else:
                self.queued_updates[key] = remaining - 1
            if key in self.entries:
                picked.append(self.entries[key])
        return tuple(picked)


def _digest(entry: MapEntry) -> int:
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(entry))
