"""Events: everything that the decision module is told, and the types that they are made of.

Times are milliseconds on the relay's own clock, loads are work a second in the unit of the load hints.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from violetdoor.balancing.settings import BalancerSettings


class ServerListKind(Enum):
    """What a server list update is; its values are stored in the state of an upgrade."""

    INCREMENTAL = "changes"  # entries that changed
    COMPLETE = "complete"  # all entries
    CACHED = "remembered"  # all entries as an earlier process knew them; may be outdated
    FAILED = "refused"  # no entries: the poll failed

    @property
    def is_complete(self) -> bool:
        """Whether a server that is not in it is removed."""
        return self in (ServerListKind.COMPLETE, ServerListKind.CACHED)

    @property
    def is_stale(self) -> bool:
        """Whether it brings no news of service discovery, so that the list has to be polled."""
        return self in (ServerListKind.FAILED, ServerListKind.CACHED)


class ServerState(Enum):
    """What the server list says of a server; its values are stored in the state of an upgrade."""

    READY = "ready"
    DRAINING = "draining"  # takes no new connections; open ones go on
    REMOVED = "gone"


class AttemptResult(Enum):
    """How an attempt or a health check ended; the counters `attempt_VALUE` have these values."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # the server rejected it for lack of capacity
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "void"

    @property
    def proves_not_executed(self) -> bool:
        """Whether the result proves that the request had no effect."""
        return self in (AttemptResult.OVERLOADED, AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT)


class MeasurementKind(Enum):
    """What was measured of an open connection."""

    LOAD = "load"  # work a second that it causes at its server, in the unit of the load hints
    MESSAGE_DELAY = "delay"  # ms that one of its messages took at its server


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One server of the server list."""

    name: str
    zone: str = ""
    machine_type: str = ""  # servers of one type are about equally fast
    cell: int = 0  # servers of one cell share which idempotency keys they have seen
    state: ServerState = ServerState.READY
    weight: float = 1.0  # capacity in relation to other servers
    started_at_ms: float = 0.0  # start of its process; 0: not known, long ago


@dataclass(slots=True, frozen=True)
class ServerListUpdate:
    """The server list of service discovery, what changed in it, or a poll that failed."""

    kind: ServerListKind
    entries: tuple[ServerEntry, ...] = ()
    version: int = 0
    next_poll_within_ms: float = math.inf  # time in which the poll after a failed one has to begin


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's request for a connection has arrived; it needs one final answer within `time_left_ms`."""

    request_id: int
    request_class: str
    time_left_ms: float
    tenant: str = ""
    idempotency_key: int | None = None
    load: float | None = None  # hint of the load that the connection will cause; none: there is no hint
    group: int | None = None  # connections of one group share work at a server
    is_retry: bool = False  # the client says that it sends the request again
    is_mid_stream: bool = False  # its connection is open already, and its packets come this way from now on
    is_reconnect: bool = False  # its connection was migrated or broke before


@dataclass(slots=True, frozen=True)
class ConnectionAdopted:
    """A connection was open through this relay when the balancer started."""

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
    attempt: int  # 0 for the first of the request
    server: str
    latency_ms: float  # since the attempt was started


@dataclass(slots=True, frozen=True)
class ConnectionMeasured:
    """An open connection was measured: its load, or the delay of a message at its server."""

    request_id: int
    attempt: int
    server: str
    kind: MeasurementKind
    value: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt or its open connection ended; final where the request needs no answer any more."""

    request_id: int
    attempt: int
    server: str
    result: AttemptResult
    latency_ms: float
    is_final: bool
    load_report: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class RequestAbandoned:
    """The client disconnected: the request is over."""

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
    """What a relay has learned of one server; the fields are those of `violetdoor.balancing.model.Server`."""

    name: str
    started_at_ms: float
    load: float | None
    reported_at_ms: float | None
    health: float
    smoothed_setup_ms: float | None
    min_health_check_ms: float | None


@dataclass(slots=True, frozen=True)
class LearnedState:
    """All that a relay has learned; as an event, what the previous process of this relay had learned."""

    fleet_load: float | None  # mean load over capacity of all servers; none: nothing reported any
    load_per_weight: float | None  # load of all relays that fills a unit of listed weight
    min_setup_ms: float | None  # shortest mean time that setting up a connection takes at a server
    timeout_fraction: float  # of the latest attempts
    servers: tuple[LearnedServerState, ...] = ()
    server_list: ServerListUpdate = field(default_factory=lambda: ServerListUpdate(ServerListKind.CACHED))


@dataclass(slots=True, frozen=True)
class ConnectionTotal:
    """Load and number of some connections."""

    load: float
    count: int


@dataclass(slots=True, frozen=True)
class SiblingProcessLoad:
    """During an upgrade: the open connections of the other process of this relay, by server."""

    servers: Mapping[str, ConnectionTotal]


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings are in force; requests under way keep the class that they came with."""

    settings: BalancerSettings


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Bytes from another relay."""

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
