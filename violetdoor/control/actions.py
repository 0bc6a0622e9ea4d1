"""What a control machine is configured with, the actions that it wants done, and its status for operators."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from violetdoor.control.messages import GroupMessage, SessionRequest, SessionResponse, Version
from violetdoor.fleet.messages import MapEntry

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """The load that one control machine accepts."""

    max_sessions: int = 2000  # open at once
    attaches_per_second: float = 200.0  # sessions opened
    attach_burst: float = 200.0  # sessions opened at once, after a quiet time
    max_backlog_bytes: int = 1 << 20  # queued for one session; beyond it the session is closed


@dataclass(frozen=True, slots=True)
class MachineConfig:
    """What an operator configures of a control machine."""

    name: str
    region: str
    regions: Mapping[str, tuple[Address, ...]]  # the session addresses of each region's control machines
    limits: MachineLimits = field(default_factory=MachineLimits)


@dataclass(frozen=True, slots=True)
class SendToSession:
    """Send a message on a session."""

    session: int
    message: SessionResponse


@dataclass(frozen=True, slots=True)
class CloseSession:
    """Close a session once what was sent before is written; `session_closed` is not called for it."""

    session: int
    reason: str


@dataclass(frozen=True, slots=True)
class SendToMember:
    """Send a message to another member of the group; it may be lost."""

    member: str
    message: GroupMessage


@dataclass(frozen=True, slots=True)
class ConnectRegion:
    """Open a connection to another region's machine; `region_connected` or `region_lost` follows."""

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
    """Merge entries into the group's shared map; `entries_changed` follows for those that were newer."""

    entries: tuple[MapEntry, ...]


@dataclass(frozen=True, slots=True)
class EmitEvent:
    """Write an event to the log. The values are by name, as each event has its own."""

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
    age_seconds: float  # since its last message; 0 while it is followed


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """What operators see of a control machine."""

    name: str
    region: str
    leader: str | None
    is_leader: bool
    may_act: bool
    session_count: int  # of relays
    watcher_count: int  # sessions of other regions' machines
    version: Version | None
    settled: Version | None
    member_count: int  # relays in this region's roster
    regions: tuple[RegionStatus, ...]
    counters: Mapping[str, int]  # `refused_WHY`, `closed_WHY`, `leases`, `snapshots`, `deltas`, ...
