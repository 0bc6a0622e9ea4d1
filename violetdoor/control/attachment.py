"""One relay's side of its session, without input or output: messages and times in, actions and a deadline out.

The relay keeps what it knows when the session ends: counts, owners, the shared map. Only its lease runs out.
Times are seconds of a monotonic clock that goes on while the machine sleeps, but for `unix_ms`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from msgspec import Struct

from violetdoor.control.messages import (
    Relay,
    RelayKey,
    RegionCount,
    SessionAnswer,
    SessionRequest,
    Version,
)
from violetdoor.fleet.messages import Entry
from violetdoor.fleet.shared import SharedMap

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class AttachmentPlan:
    """What an operator says of a relay and its region's control machines."""

    name: str
    host: str  # where others reach this relay
    port: int
    zone: str
    region: str
    controls: tuple[Address, ...]  # of this region's control machines


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to a control machine: `connected`, or `disconnected`. Ends an earlier one."""

    address: Address


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message on the connection."""

    message: SessionRequest


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection once what was sent before is written. `disconnected` need not be called."""

    why: str


@dataclass(frozen=True, slots=True)
class LookedUp:
    """The answer to `lookup`: the owner of the key, by what the control machine knows."""

    number: int
    region: str
    owner: str | None


@dataclass(frozen=True, slots=True)
class Report:
    """An event that operators and tests want to know."""

    name: str
    values: dict[str, Any]


Action = Connect | Send | Disconnect | LookedUp | Report


@dataclass(frozen=True, slots=True)
class RegionLiving:
    """How many live in one region, and how old that knowledge is in s (0: of now)."""

    total: int
    zones: Mapping[str, int]
    age: float


@dataclass(frozen=True, slots=True)
class Living:
    """How many relays live, as far as is known here."""

    total: int
    by_region: Mapping[str, RegionLiving]
    by_zone: Mapping[str, int]
    age: float  # s of the oldest part of it


@dataclass(frozen=True, slots=True)
class AttachmentStatus:
    """What operators see of a relay's session."""

    state: str  # "waiting", "connecting", "attaching", "attached", "left"
    control: str | None  # name of the control machine of the session
    address: Address | None  # of the control machine that is tried, or attached to
    attempt: int
    version: Version | None
    settled: Version | None
    living: Living
    may_act: bool
    lease: float  # s that are left of it
    silent_for: float  # s since the control machine was last heard; infinite: never
    refused: str | None  # why the last attach was refused
    counts: Mapping[str, int]  # `connects`, `attaches`, `refused_WHY`, `lost_WHY`, `snapshots`, `deltas`, ...


class AttachmentState(Struct, frozen=True, array_like=True):
    """What an upgrade's new process needs in order to go on as the same run of the relay."""

    instance: int
    attempt: int
    version: Version | None
    since: Version | None
    settled: Version | None
    members: tuple[Relay, ...]
    ghosts: tuple[tuple[RelayKey, Version], ...]
    regions: tuple[str, ...]
    counts: tuple[RegionCount, ...]
    entries: tuple[Entry, ...]


class Attachment:
    """One relay's session at the control group of its region, opened again and again."""

    def __init__(
        self, plan: AttachmentPlan, random: Random, now: float, unix_ms: Callable[[], float],
        instance: int | None = None,
    ) -> None:  # fmt: skip
        self.map = SharedMap(plan.name)  # its `changed` is called for each value that is new here
        raise NotImplementedError

    # The connection.

    def connected(self, now: float) -> None:
        """The connection that was asked for stands, and seals are agreed."""

    def received(self, message: SessionAnswer, now: float) -> None:
        """A message came."""

    def disconnected(self, now: float, refused: bool = False) -> None:
        """The connection ended, or could not be opened; `refused`: nobody listens there."""

    # Time.

    @property
    def due(self) -> float:
        """When `wake` is to be called next."""
        raise NotImplementedError

    def wake(self, now: float) -> None:
        """Do what is due."""

    def take_actions(self) -> list[Action]:
        """What is to be done since the last call, in order."""
        raise NotImplementedError

    # What the rest of the program asks and says.

    def put(self, key: str, value: float | None, now: float) -> bool:
        """Set a value that all relays are to know; False where the map is full. Kept until it can be sent."""
        raise NotImplementedError

    def leave(self, now: float) -> None:
        """Stop acting and go: nothing is sent after the farewell."""

    def lookup(self, key: str, now: float) -> int | None:
        """Ask who owns a key of any region; the number that `LookedUp` will bear, none without a session."""
        raise NotImplementedError

    def may_act(self, now: float) -> bool:
        """Whether this relay holds a lease as a member of its region's roster, at this moment."""
        raise NotImplementedError

    def owns(self, key: str, now: float) -> bool:
        """Whether a key is this relay's alone at this moment."""
        raise NotImplementedError

    def owner(self, key: str, now: float) -> str | None:
        """The owner of a key of this region by the newest roster; none for others: see `lookup`."""
        raise NotImplementedError

    def living(self, now: float) -> Living:
        """How many relays live, in all regions."""
        raise NotImplementedError

    def cleared(self, now: float) -> bool:
        """Whether the newest roster here is the settled one: no lease below it can hold."""
        raise NotImplementedError

    def status(self, now: float) -> AttachmentStatus:
        """What operators see."""
        raise NotImplementedError

    # An upgrade: the old process exports and is silent from then on; the new one imports before it connects.

    def export_state(self, now: float) -> AttachmentState:
        """What the new process needs. This one gives its lease up and says nothing more."""
        raise NotImplementedError

    def import_state(self, state: AttachmentState, now: float) -> None:
        """Go on as the run of the relay that the old process was, without its lease."""
        raise NotImplementedError
