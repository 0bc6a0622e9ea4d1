"""Records of what one relay knows of tenants, servers and requests; they hold state and decide nothing.

Times are milliseconds on the relay's own clock. Loads of tenants and requests are work a second in the unit
of the load hints; loads of servers are load over capacity, 1.0 for a server that has just no capacity left.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from violetdoor.balancing.events import ServerEntry
from violetdoor.balancing.settings import RequestClass


@dataclass(slots=True, eq=False)
class Tenant:
    """Demand, budget and queue of one tenant at this relay; its loads are of open connections."""

    priority_weight: float = 0.0  # the highest of its classes
    load: float = 0.0
    unserved_load: float = 0.0  # load that was queued or rejected in this interval
    connection_count: int = 0  # connections that are open or being set up
    last_demand: float = 0.0  # of the last interval
    smoothed_change: float = 0.0  # of the demand, from interval to interval
    smoothed_increase: float = 0.0  # the same, of increases only
    budget: float = math.inf
    connection_limit: float = math.inf
    queue: deque[Request] = field(default_factory=deque)

    @property
    def budget_excess(self) -> float:
        """Load over budget, in budgets; 0 while the load is within it."""
        return max(0.0, self.load / self.budget - 1) if self.budget > 0 else 0.0


@dataclass(slots=True, eq=False)
class Server:
    """What this relay knows of one server."""

    entry: ServerEntry
    is_ready: bool = False  # the server list lets new connections go there
    load: float | None = None  # load over capacity as reported, with what was sent since added
    reported_at_ms: float = -math.inf
    health: float = 1.0  # fraction of its turns that it gets
    smoothed_setup_ms: float | None = None  # smoothed time that setting up a connection takes there
    min_health_check_ms: float = math.inf  # time of its quickest health check
    was_last_check_slow: bool = False
    slow_check_at_ms: float = -math.inf  # when its last slow health check ended
    message_delay_ms: float = 0.0  # time that a message took there when that was last measured
    message_delay_at_ms: float = -math.inf  # when its messages were last found late
    next_turn_at_ms: float = math.inf  # its next turn while it warms up; inf: not drawn yet
    migrated_at_ms: float = -math.inf  # when connections were last migrated away from it
    is_in_rotation: bool = False  # has a place in the order of turns
    is_check_pending: bool = False
    has_reset_connection: bool = False  # reset an open connection; the pending check tells whether it runs
    sibling_load: float = 0.0  # load of connections that another process of this relay holds there
    sibling_count: int = 0  # number of these connections
    connections: dict[int, Request] = field(default_factory=dict)  # of this process, by request
    waiting_requests: list[Request] = field(default_factory=list)  # placements that wait for its health check

    @property
    def name(self) -> str:
        """Its name on the server list."""
        return self.entry.name

    def forget_previous_process(self) -> None:
        """Reset what was true of the server's previous process."""
        self.load = None
        self.reported_at_ms = -math.inf
        self.health = 1.0
        self.smoothed_setup_ms = None
        self.min_health_check_ms = math.inf
        self.was_last_check_slow = False
        self.next_turn_at_ms = math.inf


@dataclass(slots=True, eq=False)
class Request:
    """One request from its arrival to the end of its last attempt."""

    id: int
    tenant: Tenant
    request_class: RequestClass
    deadline_ms: float
    load: float
    has_load_hint: bool  # its load came as a hint, in the unit of the load measurements
    group: int | None = None  # connections of one group share work at a server
    stage_ends_at_ms: float = math.inf  # when the stage that it is in has to end
    attempt_count: int = 0
    server: Server | None = None  # where an attempt is in flight or the connection is open
    candidates: list[Server] = field(default_factory=list)  # servers of the placement under way
    tried_servers: list[Server] = field(default_factory=list)
    first_executor: Server | None = None  # server of the first attempt that may have been executed
    start_by_ms: float = math.inf  # no attempt may start later: a deduplication window ends then
    is_reconnect: bool = False  # its connection was migrated or broke before
    is_admitted: bool = False
    is_paced: bool = False  # its pacing delay has begun
