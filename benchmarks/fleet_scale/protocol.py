"""Commands to a host of stub relays, and the records that it writes, as lines of JSON.

Times are seconds of CLOCK_BOOTTIME, which is the same clock for all processes of a machine. Names of fields
are keys in the JSON, tags its types.
"""

from __future__ import annotations

import time
from typing import Literal

import msgspec
from msgspec import Struct

from violetdoor.control.messages import RelayKey, Version

# closed: the process dies and its connection closes; silent: its machine dies, without notice; left: in order
Ending = Literal["closed", "silent", "left"]


def shared_clock() -> float:
    """Return the time that all records use, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Address(Struct, frozen=True):
    """A host and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class StubRelay(Struct, frozen=True):
    """A stub relay, which has a control plane client and no clients of its own."""

    name: str
    zone: str
    address: Address  # address that it advertises; nothing listens there


class SampledKey(Struct, frozen=True):
    """A key whose owners are sampled, and the host's relays that rank highest for it and so may own it."""

    key: str
    relays: tuple[str, ...]


class HostPlan(Struct, frozen=True):
    """Configuration of a host, which reads it from a file at its start."""

    name: str
    region: str
    regions: tuple[str, ...]
    controls: tuple[Address, ...]  # session addresses of its region's control machines
    key_file: str
    relays: tuple[StubRelay, ...]
    keys: tuple[SampledKey, ...]  # of its region
    seed: int


# Commands.


class Begin(Struct, frozen=True, tag="begin"):
    """Start all relays at random times within `over` seconds."""

    over: float


class EndRelays(Struct, frozen=True, tag="end"):
    """End the named relays, which must be running."""

    names: tuple[str, ...]
    how: Ending


class RestartRelay(Struct, frozen=True, tag="restart"):
    """Make a relay leave, and start it again after `down` seconds."""

    name: str
    down: float


class TakeAudit(Struct, frozen=True, tag="audit"):
    """Write an `Audit`: which rosters and relay counts the relays know."""

    number: int


class StopHost(Struct, frozen=True, tag="stop"):
    """Write all pending records and exit."""


Command = Begin | EndRelays | RestartRelay | TakeAudit | StopHost


# Records.


class Census(Struct, frozen=True, tag="census"):
    """How many relays of the host run, know a complete roster that lists them, and hold a lease."""

    at: float
    running: int
    in_roster: int
    acting: int


class Members(Struct, frozen=True, tag="members"):
    """Members that joined and left since the previous newest roster that a relay of the host knew."""

    at: float
    region: str
    version: Version
    digest: int  # hash of the whole roster
    joined: tuple[RelayKey, ...]
    gone: tuple[RelayKey, ...]


class RosterFloor(Struct, frozen=True, tag="roster"):
    """The oldest roster version that a relay in service knows; None if one knows no roster."""

    at: float
    region: str
    version: Version | None


class CountFloor(Struct, frozen=True, tag="counts"):
    """The oldest relay count of another region that a relay in service knows; None if one knows none."""

    at: float
    region: str
    version: Version | None


class RelayStarted(Struct, frozen=True, tag="started"):
    """A relay instance was started."""

    at: float
    relay: RelayKey


class RelayInService(Struct, frozen=True, tag="in-service"):
    """A started relay is listed in its roster and holds a lease for the first time."""

    at: float
    relay: RelayKey


class RelayEnded(Struct, frozen=True, tag="ended"):
    """The host or the harness ended a relay."""

    at: float
    relay: RelayKey
    how: Ending


class LeaseGap(Struct, frozen=True, tag="gap"):
    """A relay in service held no lease between two observations."""

    begin: float
    end: float
    relay: RelayKey


class Ownership(Struct, frozen=True, tag="owned"):
    """A relay claimed a key in all observations from `begin` to `end`."""

    begin: float
    end: float
    key: str
    relay: RelayKey


class Traffic(Struct, frozen=True, tag="traffic"):
    """Bytes sent and received by the host's relays since the previous record."""

    at: float
    seconds: float
    relays: int  # relays that kept one connection throughout
    wire: int  # bytes of these relays, with headers and acknowledgements, by the kernel's counts
    peak: float  # bytes per second of the busiest of these relays
    joining: int  # relays that connected since the previous record
    joining_wire: int  # bytes of these since they connected


class TrafficModel(Struct, frozen=True, tag="model"):
    """Bytes of all connections: by the kernel's counts, and by the payload with a model of the headers."""

    at: float
    kernel_wire: int
    model_wire: int


class VersionTally(Struct, frozen=True):
    """How many relays of a host know this version of their region's roster or of another's relay count."""

    region: str
    version: Version | None  # None if they know none
    digest: int  # hash of the roster; for a count of another region, the number of living relays in it
    relays: int


class Audit(Struct, frozen=True, tag="audit"):
    """Which rosters and relay counts the running relays of the host know."""

    at: float
    number: int
    rosters: tuple[VersionTally, ...]
    counts: tuple[VersionTally, ...]


class Cost(Struct, frozen=True, tag="cost"):
    """Resources that the host has used since its start, and how much of them the measurement took."""

    at: float
    cpu: float  # seconds of CPU time
    looking: float  # of these, seconds spent observing the relays
    rss_kib: int
    relays: int


class HostFailure(Struct, frozen=True, tag="fault"):
    """An unexpected failure in the host, which fails the run."""

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
