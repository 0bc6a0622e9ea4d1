"""One relay's records of tenants, servers and requests; they contain state but no decisions.

Times are in milliseconds on the relay's own clock. Loads of tenants and requests are work per second in the
unit of the load hints. Loads of servers are load over capacity; 1.0 is a fully used capacity.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from violetdoor.balancing.events import ServerEntry
from violetdoor.balancing.settings import RequestClass


@dataclass(slots=True, eq=False)
class Tenant:
    """Demand, budget and queue of one tenant at this relay."""

    priority_weight: float = 0.0  # highest priority weight of its request classes
    load: float = 0.0  # of its admitted requests and open connections
    unserved_load: float = 0.0  # load that was queued or rejected in this budget interval
    connection_count: int = 0  # connections that are open or being set up
    last_demand: float = 0.0  # load and unserved load of the last budget interval
    smoothed_change: float = 0.0  # moving average of the demand's change per interval
    smoothed_increase: float = 0.0  # the same of increases alone, with decreases counted as 0
    budget: float = math.inf
    connection_limit: float = math.inf
    queue: deque[Request] = field(default_factory=deque)
    is_admitting: bool = False  # its queue is being worked off

    @property
    def budget_excess(self) -> float:
        """Load in excess of the budget, as a multiple of the budget; 0 while the load is within it."""
        return max(0.0, self.load / self.budget - 1) if self.budget > 0 else 0.0


@dataclass(slots=True, eq=False)
class Server:
    """State of one server as known to this relay."""

    entry: ServerEntry
    is_ready: bool = False  # accepts new connections according to the server list
    load: float | None = None  # last reported load over capacity plus load sent since; None if unknown
    reported_at_ms: float = -math.inf
    health: float = 1.0  # probability that it uses its turn
    smoothed_setup_ms: float | None = None  # moving average of connection set-up times; None without any
    min_health_check_ms: float = math.inf  # shortest duration of a health check
    was_last_check_slow: bool = False
    message_delay_ms: float = 0.0  # last measured delay of a message
    message_delay_at_ms: float = -math.inf  # last measurement of a late message
    next_turn_at_ms: float = math.inf  # next turn during slow start; inf: not scheduled yet
    migrated_at_ms: float = -math.inf  # last migration of connections away from it
    is_in_rotation: bool = False  # has a place in the rotation of WeightedRoundRobin
    is_check_pending: bool = False
    has_reset_connection: bool = False  # reset an open connection; the pending check shows if it runs
    sibling_load: float = 0.0  # load of its connections to the other process of this relay
    sibling_count: int = 0  # number of its connections to the other process
    connections: dict[int, Request] = field(default_factory=dict)  # of this process, by request id
    waiting_requests: list[Request] = field(default_factory=list)  # placements that wait for its check

    @property
    def name(self) -> str:
        """The name on the server list."""
        return self.entry.name

    def reset_learned_state(self) -> None:
        """Discard what was learned of the server's previous process."""
        self.load = None
        self.reported_at_ms = -math.inf
        self.health = 1.0
        self.smoothed_setup_ms = None
        self.min_health_check_ms = math.inf
        self.was_last_check_slow = False
        self.next_turn_at_ms = math.inf


@dataclass(slots=True, eq=False)
class Request:
    """One request, from its arrival to the end of its last attempt."""

    id: int
    tenant: Tenant
    request_class: RequestClass
    deadline_ms: float
    load: float
    has_load_hint: bool  # `load` is from a load hint, in the same unit as load measurements
    group: int | None = None  # connections of the same group share work at a server
    stage_ends_at_ms: float = math.inf  # end of its wait: queue, pacing, health checks or next search
    attempt_count: int = 0
    server: Server | None = None  # server of the attempt in flight or the open connection
    candidates: list[Server] = field(default_factory=list)  # candidates of the current placement
    tried_servers: list[Server] = field(default_factory=list)
    first_executor: Server | None = None  # server of the first attempt that may have been executed
    start_by_ms: float = math.inf  # no attempt may start later, since the deduplication window ends
    is_reconnect: bool = False  # its previous connection was migrated or broken
    is_admitted: bool = False
    is_paced: bool = False  # its pacing delay has started
