"""Commands to a host of hollow relays, and the records that it writes: JSON, one to a line.

Times are seconds of CLOCK_BOOTTIME, which all processes of one machine read alike.
"""

from __future__ import annotations

import time
from typing import Literal

import msgspec
from msgspec import Struct

from violetdoor.control.messages import RelayKey, Version

Ending = Literal["closed", "silent", "left"]  # the process dies; its machine dies; it leaves in order


def shared_clock() -> float:
    """The clock of all records."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Address(Struct, frozen=True):
    """Where somebody listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class StubRelay(Struct, frozen=True):
    """A relay without clients."""

    name: str
    zone: str
    address: Address  # that it tells; nobody listens there


class SampledKey(Struct, frozen=True):
    """A key whose owners are sampled, and the host's relays that could come to own it: they rank first for it."""

    key: str
    relays: tuple[str, ...]


class HostPlan(Struct, frozen=True):
    """What a host needs to know at its start."""

    name: str
    region: str
    regions: tuple[str, ...]
    controls: tuple[Address, ...]  # of its region
    key_file: str
    relays: tuple[StubRelay, ...]
    keys: tuple[SampledKey, ...]  # of its region
    seed: int


# Commands.


class Begin(Struct, frozen=True, tag="begin"):
    """Start all relays, spread over so many seconds."""

    over: float


class EndRelays(Struct, frozen=True, tag="end"):
    """End running relays."""

    names: tuple[str, ...]
    how: Ending


class RestartRelay(Struct, frozen=True, tag="restart"):
    """Let a relay leave, and start it again after `down` seconds."""

    name: str
    down: float


class TakeAudit(Struct, frozen=True, tag="audit"):
    """Report at which rosters and counts the relays stand."""

    number: int


class StopHost(Struct, frozen=True, tag="stop"):
    """Write what is not written yet, and end."""


Command = Begin | EndRelays | RestartRelay | TakeAudit | StopHost


# Records.


class Census(Struct, frozen=True, tag="census"):
    """How many relays of the host run, have a whole roster with themselves in it, and hold a lease."""

    at: float
    running: int
    in_roster: int
    acting: int


class Members(Struct, frozen=True, tag="members"):
    """What was new in the newest roster of the region that the host's relays know."""

    at: float
    region: str
    version: Version
    digest: int  # of the whole roster
    joined: tuple[RelayKey, ...]
    gone: tuple[RelayKey, ...]


class RosterFloor(Struct, frozen=True, tag="roster"):
    """The oldest roster that a running relay of the host knows; None: one has none yet."""

    at: float
    region: str
    version: Version | None


class CountFloor(Struct, frozen=True, tag="counts"):
    """The oldest count of another region that a running relay of the host knows."""

    at: float
    region: str
    version: Version | None


class RelayStarted(Struct, frozen=True, tag="started"):
    """A relay was started."""

    at: float
    relay: RelayKey


class RelayInService(Struct, frozen=True, tag="in-service"):
    """A started relay has a roster with itself in it, and holds a lease."""

    at: float
    relay: RelayKey


class RelayEnded(Struct, frozen=True, tag="ended"):
    """A relay was ended."""

    at: float
    relay: RelayKey
    how: Ending


class LeaseGap(Struct, frozen=True, tag="gap"):
    """A relay in service held no lease between two looks."""

    begin: float
    end: float
    relay: RelayKey


class Ownership(Struct, frozen=True, tag="owned"):
    """A relay said at all looks from `begin` to `end` that it owns a key."""

    begin: float
    end: float
    key: str
    relay: RelayKey


class Traffic(Struct, frozen=True, tag="traffic"):
    """Bytes of the host's relays since the record before, both ways."""

    at: float
    seconds: float
    relays: int  # that were connected throughout
    wire: int  # of these, with headers and acknowledgements, by the kernel's counts
    peak: float  # bytes a second, the most of one of them
    joining: int  # relays that connected meanwhile
    joining_wire: int


class TrafficModel(Struct, frozen=True, tag="model"):
    """Bytes of all connections by the kernel's counts, and by payload and a model of the headers."""

    at: float
    kernel_wire: int
    model_wire: int


class VersionTally(Struct, frozen=True):
    """Relays of a host that stand at one roster, or at one count of another region."""

    region: str
    version: Version | None  # None: they know nothing
    digest: int  # of the roster, or the living that the count has
    relays: int


class Audit(Struct, frozen=True, tag="audit"):
    """Where all running relays of the host stand."""

    at: float
    number: int
    rosters: tuple[VersionTally, ...]
    counts: tuple[VersionTally, ...]


class Cost(Struct, frozen=True, tag="cost"):
    """What the host has used since its start, and what of it the looks of the measurement took."""

    at: float
    cpu: float  # s
    looking: float  # s
    rss_kib: int
    relays: int


class HostFailure(Struct, frozen=True, tag="fault"):
    """Something in the host failed that must not."""

    at: float
    text: str


Record = (
    Census | Members | RosterFloor | CountFloor | RelayStarted | RelayInService | RelayEnded | LeaseGap
    | Ownership | Traffic | TrafficModel | Audit | Cost | HostFailure
)  # fmt: skip

commands = msgspec.json.Decoder(Command)
records = msgspec.json.Decoder(Record)
host_plans = msgspec.json.Decoder(HostPlan)
encode = msgspec.json.Encoder().encode
