"""The configuration of a control machine, the actions that it requests of its driver, and its status."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from violetdoor.control.messages import GroupMessage, SessionRequest, SessionResponse, Version
from violetdoor.fleet.messages import MapEntry

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Limits on the load of one control machine."""

    max_sessions: int = 2000  # open at the same time
    attaches_per_second: float = 200.0  # sustained rate of new sessions
    attach_burst: float = 200.0  # new sessions accepted at once after an idle period
    max_backlog_bytes: int = 1 << 20  # bytes queued for one session; it is closed when it has more


@dataclass(frozen=True, slots=True)
class MachineConfig:
    """The settings of a control machine that an operator configures."""

    name: str
    region: str
    regions: Mapping[str, tuple[Address, ...]]  # session addresses of each region's control machines
    limits: MachineLimits = field(default_factory=MachineLimits)


@dataclass(frozen=True, slots=True)
class SendToSession:
    """Send a message on a session."""

    session: int
    message: SessionResponse


@dataclass(frozen=True, slots=True)
class CloseSession:
    """Close a session after its queued messages are written; `session_closed` is not called for it."""

    session: int
    reason: str


@dataclass(frozen=True, slots=True)
class SendToMember:
    """Send a message to another member of the group; delivery is not guaranteed."""

    member: str
    message: GroupMessage


@dataclass(frozen=True, slots=True)
class ConnectRegion:
    """Open a connection to a machine of another region; `region_connected` or `region_lost` follows."""

    region: str
    address: Address


@dataclass(frozen=True, slots=True)
class SendToRegion:
    """Send a message on the connection to another region."""

    region: str
    message: SessionRequest


@dataclass(frozen=True, slots=True)
class DisconnectRegion:
    """Close the connection to another region; `region_lost` is not called for it."""

    region: str
    reason: str


@dataclass(frozen=True, slots=True)
class MergeEntries:
    """Merge entries into the group's shared map; `entries_changed` is called with those that were newer."""

    entries: tuple[MapEntry, ...]


@dataclass(frozen=True, slots=True)
class EmitEvent:
    """Write an event to the log; `values` holds its fields by name."""

    name: str
    values: dict[str, Any]


Action = (
    SendToSession
    | CloseSession
    | SendToMember
    | ConnectRegion
    | SendToRegion
    | DisconnectRegion
    | MergeEntries
    | EmitEvent
)


@dataclass(frozen=True, slots=True)
class RegionStatus:
    """What a control machine knows of another region."""

    region: str
    is_connected: bool
    version: Version | None
    member_count: int
    age_seconds: float  # time since the last message from the region; 0 while connected


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """The status of a control machine that operators see."""

    name: str
    region: str
    leader: str | None
    is_leader: bool
    may_act: bool
    session_count: int  # relay sessions
    watcher_count: int  # sessions of control machines of other regions
    version: Version | None
    settled: Version | None
    member_count: int  # relays in this region's roster
    regions: tuple[RegionStatus, ...]
    counters: Mapping[str, int]  # `refused_REASON`, `closed_REASON`, `leases`, `snapshots`, ...
