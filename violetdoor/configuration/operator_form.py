"""The form of an operator's file. Unknown keys are violations."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, field

from violetdoor.configuration.field_types import Address, Count, Name, Positive, StrictTable


class OperatorClass(StrictTable):
    """A class of requests; times in ms."""

    name: Name
    latency_objective_ms: Positive = field(name="aim_ms")
    deadline_ms: Positive
    priority_weight: Positive = field(default=1.0, name="worth")
    message_latency_objective_ms: Positive | None = field(default=None, name="message_aim_ms")


class Tenant(StrictTable):
    """A tenant of the NATS front: who belongs to it."""

    name: Name
    request_class: Name = field(name="class")
    users: list[str] = field(default_factory=list)


class Server(StrictTable):
    """One server of a fixed list."""

    address: Address = field(name="addr")
    id: Name | None = None
    zone: str | None = None
    machine_type: str | None = field(default=None, name="kind")
    cell: int | None = None
    weight: Positive = 1.0


class Nats(StrictTable):
    """The NATS front; times in seconds, sizes in bytes."""

    max_payload: Count = 65_536
    max_pending: Count = 262_144  # queued for one client before its server has to wait
    write_deadline: Positive = 5.0  # a client that reads nothing for this long is a slow consumer
    connect_deadline: Positive = 5.0  # until a client's first operation
    connect_timeout: Positive = 0.5  # for opening a connection to a server
    ping_interval: Positive = 1.0  # between two PINGs to a server
    silence_timeout: Positive = field(default=2.0, name="silence")  # of a server until it is unresponsive
    client_ping: Positive = 30.0  # without data from a client until it is sent a PING
    # Published by one client and not confirmed yet, before the client has to wait.
    max_unconfirmed_bytes: Count = field(default=262_144, name="unconfirmed_most")
    max_subscriptions: Count = 256  # per client
    repeat_window: Count = 128  # message ids remembered per subscription at least, however old
    drain_timeout: Positive = field(default=5.0, name="leave")  # from SIGTERM until the last connection ends


class Line(StrictTable):
    """The line front; seconds."""

    connect_timeout: Positive = 0.2
    tenants: list[Name] = field(default_factory=list)


class Overload(StrictTable):
    """What the process may use, for shedding before it falls behind."""

    cores: Positive = 1.0
    memory_mb: Positive | None = None  # of all processes of this relay together; None: not checked
    queued_mb: Positive = 64.0  # queued for all clients together


class Rules(StrictTable):
    """Match rules: a file beside this one, or their text."""

    file: Name | None = None
    text: Name | None = None
    limit_us: Positive = 250.0
    files: dict[str, str] | None = None  # contents of the sets' files, if a predecessor has handed them over


class Fleet(StrictTable):
    """The relays that know one another; off without this table.

    With `listen` they keep a view of one another; with `region` and `control` this relay attaches to the
    control machines of its region instead.
    """

    key_file: Name = field(name="key")  # contains the shared key; relative to the folder of this file
    listen: Address | None = None  # for datagrams and calls from the other relays
    region: Name | None = None  # of this relay
    # At which the control machines of the region accept sessions.
    control_addresses: list[Address] = field(default_factory=list, name="control")
    seeds: list[Address] = field(default_factory=list)  # members of the fleet that a joining relay contacts
    founders: list[Name] = field(default_factory=list)  # names of the relays that found a fleet together
    advertise: Address | None = None  # at which the others reach this relay; None: at `listen`
    state_file: Name | None = field(default=None, name="state")  # stores the state that must survive restarts
    start_timeout: Positive = field(default=2.0, name="wait")  # seconds that the start waits for the fleet
    max_wire_version: Literal[1, 2] = field(default=2, name="wire")  # newest protocol version that is used
    # Addresses at which this relay reaches single relays, by relay name; others are reached as advertised.
    routes: dict[str, Address] = field(default_factory=dict)


class Operator(StrictTable):
    """An operator's file, TOML or JSON."""

    listen: Address
    classes: Annotated[list[OperatorClass], Meta(min_length=1)]
    front: Literal["nats", "line"] = "nats"
    name: Name | None = None
    console: Address | None = None
    discovery: Address | None = None
    zone: str = ""
    relay_count: Count = field(default=1, name="relays")  # relays that share the servers
    max_sockets: Count = field(default=1024, name="sockets")
    max_attempts: Count = field(default=3, name="attempts")
    max_retry_after_ms: Positive = field(default=1500.0, name="retry_after_ms")
    nats: Nats = field(default_factory=Nats)
    line: Line = field(default_factory=Line)
    rules: Rules | None = None
    overload: Overload | None = None
    fleet: Fleet | None = None
    log_format: Literal["plain", "json"] = field(default="plain", name="log")
    tenants: list[Tenant] = field(default_factory=list)
    servers: list[Server] = field(default_factory=list)
