"""One control machine, without input or output: messages, connections and times in, actions and a deadline out.

`Machine` joins the parts: sessions of relays and of other regions' machines (`sessions`), the roster and who
writes it (`sequencer`), and the rosters of other regions (`regions`). Times are seconds of a monotonic clock
that goes on while the machine sleeps.

The driver owns the sockets and the group's `violetdoor.fleet` node. After each call of `Machine` it carries
out `take_actions()`, and wakes it at `due`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from violetdoor.control.messages import (
    GroupMessage,
    SessionAnswer,
    SessionRequest,
    Version,
)
from violetdoor.fleet.messages import Entry
from violetdoor.fleet.node import Node
from violetdoor.fleet.shared import SharedMap

Address = tuple[str, int]

LEADER_KEY = "roster"  # the group's owner of this key writes the roster


@dataclass(frozen=True, slots=True)
class Limits:
    """What one control machine takes on."""

    sessions: int = 2000  # open at once
    attach_rate: float = 200.0  # sessions opened a second
    attach_burst: float = 200.0  # sessions opened at once, after a quiet time
    backlog: int = 1 << 20  # bytes that may wait for one session; beyond it the session is closed


@dataclass(frozen=True, slots=True)
class MachinePlan:
    """What an operator says of a control machine."""

    name: str
    region: str
    regions: Mapping[str, tuple[Address, ...]]  # where the control machines of each region take sessions
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True, slots=True)
class GroupState:
    """What a control machine's node says of its group. To be told on each change, before anything else."""

    line: int
    seq: int  # the view's place in its line; (line, seq) is the term of its leader
    life: int  # the instance of this machine as a member
    members: tuple[str, ...]  # of the view, this machine included
    leader: str | None  # the owner of the key `roster`
    leads: bool  # this machine owns it, and no lease under an earlier view can hold that owned it elsewhere
    lease_until: float  # this machine may act until then
    cleared: bool  # no lease under any earlier view can hold


def group_state(node: Node, now: float) -> GroupState | None:
    """The state of a group's node; none where it is in no view. The only use of the node by this package."""
    raise NotImplementedError


@dataclass(frozen=True, slots=True)
class SendSession:
    """Send a message on a session."""

    session: int
    message: SessionAnswer


@dataclass(frozen=True, slots=True)
class CloseSession:
    """Close a session once what was sent before is written. `session_closed` need not be called for it."""

    session: int
    why: str


@dataclass(frozen=True, slots=True)
class SendGroup:
    """Send a message to another member of the group. It may be lost."""

    member: str
    message: GroupMessage


@dataclass(frozen=True, slots=True)
class ConnectRegion:
    """Open a connection to a control machine of another region: `region_connected`, or `region_lost`."""

    region: str
    address: Address


@dataclass(frozen=True, slots=True)
class SendRegion:
    """Send a message on the connection to another region."""

    region: str
    message: SessionRequest


@dataclass(frozen=True, slots=True)
class CloseRegion:
    """Close the connection to another region. `region_lost` need not be called for it."""

    region: str
    why: str


@dataclass(frozen=True, slots=True)
class MergeEntries:
    """Merge entries into the group's shared map; `entries_changed` follows for those that were newer."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """An event that operators and tests want to know."""

    name: str
    values: dict[str, Any]


Action = (
    SendSession | CloseSession | SendGroup | ConnectRegion | SendRegion | CloseRegion | MergeEntries | Report
)


@dataclass(frozen=True, slots=True)
class RegionStatus:
    """What a control machine knows of another region."""

    region: str
    connected: bool
    version: Version | None
    living: int
    age: float  # s since it was last heard; 0 while it is followed


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """What operators see of a control machine."""

    name: str
    region: str
    leader: str | None
    leads: bool
    may_act: bool
    sessions: int  # of relays
    watchers: int  # sessions of other regions' machines
    version: Version | None
    settled: Version | None
    living: int  # relays in this region's roster
    regions: tuple[RegionStatus, ...]
    counts: Mapping[str, int]  # `refused_WHY`, `closed_WHY`, `leases`, `snapshots`, `deltas`, ...


class Machine:
    """One control machine of one region's group."""

    def __init__(self, plan: MachinePlan, random: Random, now: float, shared: SharedMap) -> None:
        """`shared`: the map of the group's node, which is read here; changes go through `MergeEntries`."""
        raise NotImplementedError

    # Sessions: of relays, and of control machines of other regions. Numbers are the driver's, never reused.

    def session_opened(self, session: int, source: str, now: float) -> None:
        """A connection was accepted; `source` is its address, for reports."""

    def session_received(self, session: int, message: SessionRequest, now: float) -> None:
        """A message came on a session."""

    def session_spoilt(self, session: int, why: str, now: float) -> None:
        """What came was no message (a wrong seal, length or form): the session is closed and counted."""

    def session_closed(self, session: int, now: float) -> None:
        """A connection ended, other than by `CloseSession`."""

    def session_backlog(self, session: int, bytes_queued: int, now: float) -> None:
        """How much waits to be written to a session. To be told when it passes a bound, or falls to 0."""

    # The group.

    def group_changed(self, state: GroupState | None, now: float) -> None:
        """The group's node says something else than before; none: it is in no view."""

    def group_received(self, member: str, message: GroupMessage, now: float) -> None:
        """A message came from another member of the group."""

    # Other regions.

    def region_connected(self, region: str, now: float) -> None:
        """The connection that was asked for stands."""

    def region_received(self, region: str, message: SessionAnswer, now: float) -> None:
        """A message came on a connection to another region."""

    def region_lost(self, region: str, now: float) -> None:
        """A connection to another region failed, could not be opened, or brought what is no message."""

    # The shared map.

    def entries_changed(self, entries: tuple[Entry, ...], now: float) -> None:
        """The group's shared map has these newer entries."""

    # Time.

    @property
    def due(self) -> float:
        """When `wake` is to be called next."""
        raise NotImplementedError

    def wake(self, now: float) -> None:
        """Do what is due."""

    def stop(self, now: float) -> None:
        """An orderly end: all sessions are told to go elsewhere, and none is taken any more."""

    def take_actions(self) -> list[Action]:
        """What is to be done since the last call, in order."""
        raise NotImplementedError

    def status(self, now: float) -> MachineStatus:
        """What operators see."""
        raise NotImplementedError
