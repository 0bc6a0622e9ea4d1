"""Events: all input of the decision module, and the types that events consist of.

Times are in milliseconds on the relay's own clock. Loads are work per second in the unit of the load hints.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from violetdoor.balancing.settings import BalancerSettings


class ServerListKind(Enum):
    """The kind of a server list update; the values are stored in upgrade snapshots."""

    INCREMENTAL = "changes"  # only entries that changed
    COMPLETE = "complete"  # all entries
    CACHED = "remembered"  # all entries as known to an earlier process; may be outdated
    FAILED = "refused"  # no entries, since the poll failed

    @property
    def is_complete(self) -> bool:
        """Whether servers that are missing from the update are removed."""
        return self in (ServerListKind.COMPLETE, ServerListKind.CACHED)

    @property
    def requires_poll(self) -> bool:
        """Whether the update has no current data of service discovery, so that the list must be polled."""
        return self in (ServerListKind.FAILED, ServerListKind.CACHED)


class ServerState(Enum):
    """State of a server on the server list; the values are stored in upgrade snapshots."""

    READY = "ready"
    DRAINING = "draining"  # accepts no new connections; open ones continue
    REMOVED = "gone"


class AttemptResult(Enum):
    """Result of an attempt or a health check; the values are part of the counter names `attempt_VALUE`."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # the server rejected it because it lacks capacity
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "void"

    @property
    def proves_not_executed(self) -> bool:
        """Whether the result proves that the server did not execute the request."""
        return self in (AttemptResult.OVERLOADED, AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT)


class MeasurementKind(Enum):
    """The quantity that was measured on an open connection."""

    LOAD = "load"  # work per second that it causes at its server, in the unit of the load hints
    MESSAGE_DELAY = "delay"  # ms that one of its messages took at its server


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One server of the server list."""

    name: str
    zone: str = ""
    machine_type: str = ""  # servers of the same type are about equally fast
    cell: int = 0  # servers of the same cell share the idempotency keys that they have seen
    state: ServerState = ServerState.READY
    weight: float = 1.0  # capacity relative to other servers
    started_at_ms: float = 0.0  # start of its process; 0 if unknown, which counts as long ago


@dataclass(slots=True, frozen=True)
class ServerListUpdate:
    """A complete server list, changes of the list, or a failed poll."""

    kind: ServerListKind
    entries: tuple[ServerEntry, ...] = ()
    version: int = 0
    next_poll_within_ms: float = math.inf  # after a failed poll: longest time from now until the next one


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client requested a connection; it must get exactly one final answer within `time_left_ms`."""

    request_id: int
    request_class: str
    time_left_ms: float
    tenant: str = ""
    idempotency_key: int | None = None
    load: float | None = None  # load hint: expected load of the connection; None without a hint
    group: int | None = None  # connections of the same group share work at a server
    is_retry: bool = False  # the client declares that it has sent the request before
    is_mid_stream: bool = False  # its connection is already open and moves to this relay
    is_reconnect: bool = False  # its previous connection was migrated or broken


@dataclass(slots=True, frozen=True)
class ConnectionAdopted:
    """A connection through this relay was already open when the balancer started."""

    request_id: int
    request_class: str
    server: str
    tenant: str = ""
    idempotency_key: int | None = None
    load: float | None = None
    group: int | None = None


@dataclass(slots=True, frozen=True)
class ConnectionEstablished:
    """An attempt succeeded: the connection to the server is open."""

    request_id: int
    attempt: int  # number of the attempt within its request, from 0
    server: str
    latency_ms: float  # time since the start of the attempt


@dataclass(slots=True, frozen=True)
class ConnectionMeasured:
    """The load of an open connection, or the delay of one of its messages at its server, was measured."""

    request_id: int
    attempt: int
    server: str
    kind: MeasurementKind
    value: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt or its open connection ended; `is_final` if the request needs no further answer."""

    request_id: int
    attempt: int
    server: str
    result: AttemptResult
    latency_ms: float
    is_final: bool
    load_report: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class RequestAbandoned:
    """The client disconnected, which ends its request."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that the decision module set has fired."""

    token: str


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check ended."""

    server: str
    result: AttemptResult
    latency_ms: float
    load_report: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class LearnedServerState:
    """Learned state of one server; its fields are described at `violetdoor.balancing.model.Server`."""

    name: str
    started_at_ms: float
    load: float | None
    reported_at_ms: float | None
    health: float
    smoothed_setup_ms: float | None
    min_health_check_ms: float | None


@dataclass(slots=True, frozen=True)
class LearnedState:
    """The learned state of a relay; as an event, that of the previous process of this relay."""

    fleet_load: float | None  # mean load over capacity of all servers; None without any report
    load_per_weight: float | None  # load that fills a unit of listed weight; None or inf: unknown
    min_setup_ms: float | None  # lowest smoothed set-up time of any server; None or inf: unknown
    timeout_fraction: float  # moving average over the latest attempts
    servers: tuple[LearnedServerState, ...] = ()
    server_list: ServerListUpdate = field(default_factory=lambda: ServerListUpdate(ServerListKind.CACHED))


@dataclass(slots=True, frozen=True)
class ConnectionTotal:
    """Total load and number of a set of connections."""

    load: float
    count: int


@dataclass(slots=True, frozen=True)
class SiblingProcessLoad:
    """During an upgrade: the open connections of the other process of this relay, by server name."""

    servers: Mapping[str, ConnectionTotal]


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """The settings changed; existing requests keep the request class settings from their arrival."""

    settings: BalancerSettings


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another relay."""

    sender: int
    data: bytes


Event = (
    ServerListUpdate
    | RequestArrived
    | ConnectionAdopted
    | ConnectionEstablished
    | ConnectionMeasured
    | AttemptEnded
    | RequestAbandoned
    | TimerFired
    | HealthCheckEnded
    | LearnedState
    | SiblingProcessLoad
    | SettingsChanged
    | PeerMessage
)
