"""Synchronizes a relay's copy of the shared map with the control group's.

A value that is set here is sent again in each session until a control machine acknowledges a heartbeat that
was sent after it. Once the group has sent its complete map, the entries that it lacks are sent back, so that
the map survives the loss of the group.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from violetdoor.control.messages import MAX_ENTRY_KEY_BYTES, MAX_MESSAGE_ENTRIES, Entries, PutEntries
from violetdoor.fleet.messages import MapEntry
from violetdoor.fleet.shared_map import SharedMap

# Number of members for which the shared map plans its gossip: this relay alone, as the map itself sends
# nothing here.
GOSSIP_MEMBER_COUNT = 1


class SharedMapSync:
    """Tracks which entries of the shared map still have to be sent or confirmed."""

    def __init__(self, shared_map: SharedMap, unix_time_ms: Callable[[], float]) -> None:
        """Synchronize `shared_map`; `unix_time_ms` gives the time for the timestamps of its entries."""
        self.shared_map = shared_map
        self._unix_time_ms = unix_time_ms
        # Unconfirmed keys, with the number of the heartbeat that confirms each; None: to be sent.
        self._unconfirmed: dict[str, int | None] = {}
        self._received: dict[str, MapEntry] = {}  # received so far of the control machine's complete map

    def set_value(self, key: str, value: float | None) -> bool:
        """Set a value; return False if the key is too long or the map is full."""
        if len(key.encode()) > MAX_ENTRY_KEY_BYTES:
            return False
        if not self.shared_map.put(key, value, self._unix_time_ms(), GOSSIP_MEMBER_COUNT):
            return False
        self._unconfirmed[key] = None
        return True

    def merge(self, entries: Iterable[MapEntry]) -> None:
        """Merge entries that come from another process or relay."""
        self.shared_map.merge(entries, self._unix_time_ms(), GOSSIP_MEMBER_COUNT)

    def receive(self, message: Entries) -> list[str] | None:
        """Merge a control machine's entries; after the last ones, return the keys whose entries it lacks.

        Those were lost with the group, or were set while no session was open. Returns None before the last.
        """
        self.merge(message.entries)
        self._received |= {entry.key: entry for entry in message.entries}
        if not message.is_last:
            return None
        received = self._received
        self._received = {}
        return [
            key
            for key, entry in self.shared_map.entries.items()
            if key not in received or received[key].timestamp < entry.timestamp
        ]

    def begin_session(self) -> list[str]:
        """Start a new session; return the keys to send in it."""
        self._received = {}
        return list(self._unconfirmed)

    def end_session(self) -> None:
        """Mark the keys that were not confirmed in this session to be sent again in the next one."""
        self._unconfirmed = dict.fromkeys(self._unconfirmed)

    def messages_for(self, keys: Sequence[str], confirming_heartbeat: int) -> list[PutEntries]:
        """Return messages with the entries of `keys`, which heartbeat `confirming_heartbeat` will confirm."""
        entries = self.shared_map.entries
        to_send = [entries[key] for key in keys if key in entries]
        self._unconfirmed |= dict.fromkeys(keys, confirming_heartbeat)
        return [
            PutEntries(tuple(to_send[start : start + MAX_MESSAGE_ENTRIES]))
            for start in range(0, len(to_send), MAX_MESSAGE_ENTRIES)
        ]

    def confirm(self, heartbeat: int) -> None:
        """Mark the keys as confirmed that were sent before this acknowledged heartbeat."""
        self._unconfirmed = {
            key: number for key, number in self._unconfirmed.items() if number is None or number > heartbeat
        }
