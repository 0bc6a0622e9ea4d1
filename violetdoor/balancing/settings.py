"""Settings of the decision module: the part of a relay's configuration on which its decisions depend.

Times are in milliseconds. Loads are work per second in the unit of the clients' load hints.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class ExecutionSemantics(Enum):
    """How often a request may be executed."""

    IDEMPOTENT = "idempotent"  # any number of times, since a repeat changes nothing
    DEDUPLICATED = "deduplicated"  # servers drop repeats by idempotency key, within a scope and a window
    AT_MOST_ONCE = "at_most_once"  # never again after it may have been executed


class DeduplicationScope(Enum):
    """The servers that share the idempotency keys that one of them has seen."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    @classmethod
    def _missing_(cls, value: object) -> None:
        """Raise ValueError with the class name `Scope`, which operators' alerts and pages match."""
        text = f"{value!r} is not a valid Scope"
        raise ValueError(text)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Settings of one request class."""

    latency_objective_ms: float  # target for the time to set up a connection
    priority_weight: float = 1.0  # value of its requests relative to other classes
    semantics: ExecutionSemantics = ExecutionSemantics.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # how long servers know a key, from the start of its first attempt
    message_latency_objective_ms: float = 0.0  # target for the delay of a message on an open connection


@dataclass(slots=True, frozen=True)
class BalancerSettings:
    """Settings of one relay on which its decisions depend."""

    classes: Mapping[str, RequestClass]
    zone: str = ""
    relay_count: int = 1  # number of relays that share the servers
    min_call_interval_ms: float = 1.0  # shortest time between two calls of the balancer
    polls_server_list: bool = False  # discovery only answers polls; otherwise it pushes the list
    poll_deadline_ms: float = 10_000.0  # longest time from a failed poll to the next one
    health_checks_report_load: bool = True  # each health check returns a load report
    health_checks_are_timed: bool = False  # it returns none, but its duration shows the queued work
    max_attempts: int = 1  # attempts per request, including the first
    max_retry_after_ms: float = 1_000.0
    cross_zone_price: float = 0.0  # points that a connection to another zone costs
    slow_start_ms: float = 0.0  # time that a server needs to warm up, from its start
    slow_start_initial_fraction: float = 1.0  # fraction of its full capacity that a server has at its start
    slow_start_overload_factor: float = 1.0  # multiple of its capacity at which a warming-up server fails
