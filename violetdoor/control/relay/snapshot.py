"""The state that lets the new process of an upgrade continue the same run of the relay."""

from __future__ import annotations

from msgspec import Struct

from violetdoor.control.messages import RegionCount, Relay, Version
from violetdoor.control.relay.roster_history import Tombstone
from violetdoor.fleet.messages import MapEntry


class AttachmentSnapshot(Struct, frozen=True, array_like=True):
    """The state of an attachment without its lease, encoded as an array: never reorder the fields."""

    instance: int  # the relay's incarnation number
    attempt: int  # sessions requested by this run so far
    version: Version | None  # of the newest roster
    complete_since: Version | None  # as in `RosterHistory`
    settled: Version | None
    members: tuple[Relay, ...]  # of the newest roster
    tombstones: tuple[Tombstone, ...]
    regions: tuple[str, ...]  # all regions of the fleet
    region_counts: tuple[RegionCount, ...]  # of other regions
    entries: tuple[MapEntry, ...]  # of the shared map
