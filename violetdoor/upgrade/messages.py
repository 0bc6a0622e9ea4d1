"""Messages between the two processes of one relay during an upgrade, each one JSON object per line.

The other process may run an older or newer version, so the names and the order of the keys must not change.
Fields whose names differ from their keys declare the key. Lines are encoded with orjson, because the encoder
of msgspec would write some floats differently.
"""

from __future__ import annotations

from typing import Any

import msgspec
import orjson
from msgspec import UNSET, Struct, UnsetType, field

# Values from discovery's list whose types are not validated; they are copied unchanged.
Unchecked = Any


class EndpointSnapshot(Struct):
    """One server of the server list."""

    name: str = field(name="server")
    zone: Unchecked
    machine_type: Unchecked = field(name="kind")
    cell: Unchecked
    state: str  # a value of ServerState
    weight: float
    started_at_ms: float = field(name="started")  # Unix time


class LearnedServerSnapshot(Struct):
    """The decision module's learned state for one server; unknown values are None."""

    name: str = field(name="server")
    started_at_ms: float = field(name="started")  # Unix time; of the incarnation that was measured
    load: float | None
    reported_at_ms: float | None = field(name="report_at")
    health: float
    smoothed_setup_ms: float | None = field(name="setup")
    min_health_check_ms: float | None = field(name="quick")


class LegacyServerList(Struct):
    """An empty server list, written for compatibility with older versions; nothing reads it."""

    kind: str = "remembered"
    entries: tuple[EndpointSnapshot, ...] = ()
    version: int = 0
    call_within: float | None = None


class LearnedSnapshot(Struct):
    """The decision module's learned state; infinite values are written as null."""

    fleet_load: float | None = field(name="fleet", default=None)
    load_per_weight: float | None = field(name="unit", default=None)
    min_setup_ms: float | None = field(name="quickest", default=None)
    timeout_fraction: float = field(name="late", default=0.0)
    servers: tuple[LearnedServerSnapshot, ...] = ()
    listed: LegacyServerList = field(default_factory=LegacyServerList)


class RelaySnapshot(Struct):
    """State with which a process continues its predecessor's work; each service fills in its part."""

    config: str  # active configuration, as JSON
    bans: dict[str, float] = {}  # start of the ban (Unix time in ms), by server
    returned: dict[str, tuple[float, float]] = {}  # times of ban and reinstatement (Unix, ms), by server
    named: list[str] = []  # names of all servers that any server list has contained
    entries: list[EndpointSnapshot] = []
    addresses: dict[str, tuple[str, int]] = {}
    version: int | None = None  # of the server list
    # Servers that announced their shutdown, with their start (Unix time in ms); older versions write none.
    draining: dict[str, float] = {}
    knowledge: LearnedSnapshot = field(default_factory=LearnedSnapshot)
    ids: list[str] = []  # request ids, in hexadecimal, that new connections must not use
    sockets: list[str] = []  # names of the sockets whose descriptors follow the listener's


class Hello(Struct):
    """Request the snapshot; sent by a starting process."""

    hello: bool = True


class Accepting(Struct):
    """The sender accepts clients from now on, so the receiver must stop accepting."""

    accepting: bool = True


class Stopped(Struct):
    """The sender no longer accepts clients."""

    stopped: bool = True


class ServerBan(Struct, array_like=True):
    """A ban of one server."""

    server: str
    since: float  # Unix time in ms


class ServerBanned(Struct):
    """An operator banned a server."""

    ban: ServerBan


class ServerUnbanned(Struct):
    """An operator lifted a server's ban."""

    server: str = field(name="lift")


class ConfigurationChanged(Struct):
    """The sender applied a configuration."""

    config: str  # JSON


class FleetMembership(Struct):
    """The receiver takes over the relay's fleet membership; `state` is msgpack in base 85."""

    state: str = field(name="fleet")


class ControlAttachment(Struct):
    """The receiver takes over the relay's control session; `state` is msgpack in base 85."""

    state: str = field(name="control")


class ResourceUsage(Struct):
    """Resources that one process of the relay still uses."""

    held: dict[str, tuple[float, int]] = {}  # load and number of open connections, by server
    descriptors: int = 0
    memory: int = 0  # bytes


class UsageReport(Struct):
    """Resources that the sender still uses, reported regularly to its successor.

    An id is sent by itself as soon as a connection has taken it, and again with the next report.
    """

    resources: ResourceUsage | UnsetType = field(name="beside", default=UNSET)
    ids: list[str] | UnsetType = UNSET  # request ids not yet reported, in hexadecimal


class MessagesDelivered(Struct):
    """The sender's clients got these messages first, so the receiver's get no second copies of them."""

    delivered: list[int]  # hashes


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
    | MessagesDelivered
)

# Message type by key: the first of these keys that is present determines the type.
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
    "delivered": MessagesDelivered,
}


def encode_line(message: Message | RelaySnapshot) -> bytes:
    """Encode a message or a snapshot as one line."""
    return orjson.dumps(msgspec.to_builtins(message)) + b"\n"


def decode_message(line: bytes | bytearray) -> Message | None:
    """Decode a message; return None for an unknown or invalid one. Raises ValueError for invalid JSON."""
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
    """Decode a snapshot. Raises ValueError for invalid JSON or an invalid snapshot."""
    return msgspec.convert(orjson.loads(line), type=RelaySnapshot)
