"""Messages between the two processes of one relay during an upgrade: each one JSON object in a line.

Every process of a relay may meet one of an older or newer version, so the names and the order of the keys
stay as they are. Fields that are named differently here carry the wire's name. orjson writes the lines:
msgspec's own encoder would write some floats differently.
"""

from __future__ import annotations

from typing import Any

import msgspec
import orjson
from msgspec import UNSET, Struct, UnsetType, field

# Discovery's list names these values, and nobody checks their types: they are copied as they are.
Unchecked = Any


class EndpointSnapshot(Struct):
    """One server of the endpoint list."""

    name: str = field(name="server")
    zone: Unchecked
    machine_type: Unchecked = field(name="kind")
    cell: Unchecked
    state: str  # value of the decision module's ServerState
    weight: float
    started_at_ms: float = field(name="started")  # Unix time


class LearnedServerSnapshot(Struct):
    """What the decision module has learned of one server; None where nothing is known."""

    name: str = field(name="server")
    started_at_ms: float = field(name="started")  # Unix time; of the incarnation that this holds for
    load: float | None
    reported_at_ms: float | None = field(name="report_at")
    health: float
    smoothed_setup_ms: float | None = field(name="setup")
    min_health_check_ms: float | None = field(name="quick")


class RememberedList(Struct):
    """An empty endpoint list. Older versions write it; nobody reads it."""

    kind: str = "remembered"
    entries: tuple[EndpointSnapshot, ...] = ()
    version: int = 0
    call_within: float | None = None


class LearnedSnapshot(Struct):
    """What the decision module has learned; an infinite value is written as null."""

    fleet_load: float | None = field(name="fleet", default=None)
    load_per_weight: float | None = field(name="unit", default=None)
    min_setup_ms: float | None = field(name="quickest", default=None)
    timeout_fraction: float = field(name="late", default=0.0)
    servers: tuple[LearnedServerSnapshot, ...] = ()
    listed: RememberedList = field(default_factory=RememberedList)


class RelaySnapshot(Struct):
    """All that a process needs to continue where its predecessor is; every service fills in its own part."""

    config: str  # the configuration in force, as JSON
    bans: dict[str, float] = {}  # Unix time in ms since when, by server
    returned: dict[str, tuple[float, float]] = {}  # Unix times in ms of ban and return, by server
    named: list[str] = []  # every server that a list has named
    entries: list[EndpointSnapshot] = []
    addresses: dict[str, tuple[str, int]] = {}
    version: int | None = None  # of the endpoint list
    # Start (Unix time in ms) of each incarnation that announced its shutdown; older versions write none.
    draining: dict[str, float] = {}
    knowledge: LearnedSnapshot = field(default_factory=LearnedSnapshot)
    ids: list[str] = []  # request ids that no new connection may use, in hexadecimal
    sockets: list[str] = []  # names of the sockets whose descriptors come with this, behind the listener's


class Hello(Struct):
    """Ask for the snapshot: sent by a process that starts."""

    hello: bool = True


class Accepting(Struct):
    """The sender accepts clients now: the receiver is to stop."""

    accepting: bool = True


class Stopped(Struct):
    """The sender accepts no more clients."""

    stopped: bool = True


class ServerBan(Struct, array_like=True):
    """A ban of one server, since a Unix time in ms."""

    server: str
    since: float


class ServerBanned(Struct):
    """An operator banned a server."""

    ban: ServerBan


class ServerUnbanned(Struct):
    """An operator lifted a server's ban."""

    server: str = field(name="lift")


class ConfigurationChanged(Struct):
    """The sender applied a configuration, given as JSON."""

    config: str


class FleetMembership(Struct):
    """The receiver is the relay's fleet member from now on; the state is msgpack in base 85."""

    state: str = field(name="fleet")


class ControlAttachment(Struct):
    """The receiver has the relay's control session from now on; the state is msgpack in base 85."""

    state: str = field(name="control")


class ResourceUsage(Struct):
    """What one process of the relay still holds."""

    held: dict[str, tuple[float, int]] = {}  # load and number of the open connections, by server
    descriptors: int = 0
    memory: int = 0  # bytes


class UsageReport(Struct):
    """What the sender still holds, reported regularly to its successor."""

    resources: ResourceUsage | UnsetType = field(name="beside", default=UNSET)
    ids: list[str] | UnsetType = UNSET  # request ids that were not reported before, in hexadecimal


Message = (
    Hello
    | Accepting
    | Stopped
    | ServerBanned
    | ServerUnbanned
    | ConfigurationChanged
    | FleetMembership
    | ControlAttachment
    | UsageReport
)

# The first of these keys that a message has says which one it is.
_TYPE_BY_KEY: dict[str, type[Message]] = {
    "hello": Hello,
    "accepting": Accepting,
    "stopped": Stopped,
    "ban": ServerBanned,
    "lift": ServerUnbanned,
    "config": ConfigurationChanged,
    "fleet": FleetMembership,
    "control": ControlAttachment,
    "beside": UsageReport,
    "ids": UsageReport,
}


def encode_line(message: Message | RelaySnapshot) -> bytes:
    """Encode a message or a snapshot as one line."""
    return orjson.dumps(msgspec.to_builtins(message)) + b"\n"


def decode_message(line: bytes | bytearray) -> Message | None:
    """Decode a message; None for one that this version does not know. Raises ValueError if it is not JSON."""
    values = orjson.loads(line)
    if not isinstance(values, dict):
        return None
    for key, message_type in _TYPE_BY_KEY.items():
        if key in values:
            try:
                return msgspec.convert(values, type=message_type)
            except msgspec.ValidationError:
                return None
    return None


def decode_snapshot(line: bytes) -> RelaySnapshot:
    """Decode a snapshot. Raises ValueError if it is not JSON or not a snapshot."""
    return msgspec.convert(orjson.loads(line), type=RelaySnapshot)
