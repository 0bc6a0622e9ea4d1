"""Placement: the choice of a server for a request.

A few candidates are selected by weighted round robin, or by the order of the request's group. Health checks
update the load of those without a recent report, and the candidate with the most free capacity is chosen.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from violetdoor.balancing.actions import StartAttempt
from violetdoor.balancing.context import Context
from violetdoor.balancing.group_affinity import GroupAffinity
from violetdoor.balancing.health_checks import MAX_HEALTH_CHECK_WAIT_MS, HealthChecks
from violetdoor.balancing.load_estimation import MAX_LOAD_PER_WEIGHT, TARGET_LOAD, LoadEstimator
from violetdoor.balancing.model import Request, Server
from violetdoor.balancing.retries import RetryPolicy
from violetdoor.balancing.weighted_round_robin import WeightedRoundRobin

MAX_CANDIDATES = 4  # servers that one placement considers
MAX_CANDIDATES_TIMED = 2  # the limit with timed health checks, which cost more than other checks
FRESH_REPORT_MS = 250.0  # a placement starts no health check of a server with a newer report
SEARCH_INTERVAL_MS = 100.0  # mean time until a placement searches again for a server with capacity
MIN_SEARCH_JITTER = 0.7  # least random factor on the interval, so that searches are spread
MAX_SEARCH_JITTER = 1.3  # greatest random factor on the interval
CROSS_ZONE_LOAD_PER_POINT = 5.0  # load over capacity that must be gained per point of cross-zone price
# Load over capacity that must be gained per position by which a server is later in the group's order:
GROUP_RANK_PENALTY_UNKNOWN_LOAD = 9.0  # before any load is known; never outweighed
GROUP_RANK_PENALTY_REPORTED_LOAD = 0.1  # with health checks that report load
GROUP_RANK_PENALTY_TIMED_LOAD = 0.4  # with load that is only estimated
GROUP_SHARED_LOAD = 6.0  # load of a group's shared work at a server, added at the first connection
UNKNOWN_LOAD_PENALTY = 1  # load over capacity added to the cost of a server without a fresh report
MIN_ATTEMPT_MS = 1.0  # least time limit of an attempt
ATTEMPTS_SHARING_TIME = 2  # attempts among which the remaining time is divided if a retry is possible


@dataclass(slots=True, eq=False)
class Placement:
    """Chooses servers for requests and starts attempts."""

    context: Context
    load: LoadEstimator
    groups: GroupAffinity
    rotation: WeightedRoundRobin
    health_checks: HealthChecks
    retries: RetryPolicy

    def place(self, request: Request) -> bool:
        """Start the search for a server; return False if the request must be rejected."""
        request.candidates = self.next_candidates(request)
        now_ms = self.context.now_ms
        is_waiting = False
        for server in request.candidates:
            if now_ms - server.reported_at_ms > FRESH_REPORT_MS and self.health_checks.start(server):
                server.waiting_requests.append(request)
                is_waiting = True
        if is_waiting:
            self.context.set_stage_timer(request, now_ms + MAX_HEALTH_CHECK_WAIT_MS)
            return True
        return self.choose(request)

    def next_candidates(self, request: Request) -> list[Server]:
        """Return the next candidates for a request and consume their turns."""
        servers = self.context.servers.values()
        if self.retries.requires_deduplication(request):
            eligible = [
                server for server in servers if self.retries.accepts_deduplicated_retry(request, server)
            ]
            return eligible[:MAX_CANDIDATES]
        is_timed = self.context.settings.health_checks_are_timed
        limit = MAX_CANDIDATES_TIMED if is_timed else MAX_CANDIDATES
        if request.group is not None:
            return self.groups.candidates(request, request.group, limit)
        return self.rotation.candidates(request, limit)

    def choose(self, request: Request) -> bool:
        """Start an attempt at the best candidate or search again later; return False to have it rejected."""
        candidates = request.candidates
        request.candidates = []
        best = self._best_candidate(request, candidates)
        if best is not None:
            self._start_attempt(request, best)
            return True
        context = self.context
        next_search_ms = context.now_ms + SEARCH_INTERVAL_MS
        latest_ms = request.deadline_ms - request.request_class.latency_objective_ms / 2
        if next_search_ms >= min(request.start_by_ms, latest_ms):
            return False
        jitter = context.random.uniform(MIN_SEARCH_JITTER, MAX_SEARCH_JITTER)
        context.set_stage_timer(request, context.now_ms + SEARCH_INTERVAL_MS * jitter)
        return True

    def _best_candidate(self, request: Request, candidates: list[Server]) -> Server | None:
        """Return the candidate with capacity that has the least cost, in load over capacity."""
        context = self.context
        settings = context.settings
        max_load = TARGET_LOAD - self.load.load_sent_since_reports()
        rank_penalty = self._group_rank_penalty(request)
        shared_load = 0.0
        group_servers: set[Server | None] = set()
        if self._considers_shared_work(request):
            shared_load = GROUP_SHARED_LOAD / min(self.load.load_per_weight, MAX_LOAD_PER_WEIGHT)
            group_servers = {r.server for r in context.requests.values() if r.group == request.group}
        best = None
        min_cost = math.inf
        for position, server in enumerate(candidates):
            # The request's own load is not added, or heavy requests would never be placed.
            if not server.is_ready or (server.load or 0.0) > max_load:
                continue
            cost = self.load.projected_load(server, request.load) + position * rank_penalty
            if shared_load and server not in group_servers:
                cost += shared_load / server.entry.weight
            if server.entry.zone != settings.zone:
                cost += CROSS_ZONE_LOAD_PER_POINT * settings.cross_zone_price
            if server.is_check_pending or self._is_report_stale(server):
                cost += UNKNOWN_LOAD_PENALTY
            if cost < min_cost:
                best = server
                min_cost = cost
        return best

    def _is_report_stale(self, server: Server) -> bool:
        age_ms = self.context.now_ms - server.reported_at_ms
        return self.context.settings.health_checks_report_load and age_ms > 2 * FRESH_REPORT_MS

    def _considers_shared_work(self, request: Request) -> bool:
        """Return whether loads are known precisely enough to compare them with a group's shared work."""
        if request.group is None or self.load.fleet_load is None:
            return False
        return self.context.settings.health_checks_report_load

    def _group_rank_penalty(self, request: Request) -> float:
        """Return the load over capacity that the next server in a group's order must gain to be chosen."""
        if request.group is None:
            return 0.0
        if self.load.fleet_load is None:
            return GROUP_RANK_PENALTY_UNKNOWN_LOAD
        if self.context.settings.health_checks_report_load:
            return GROUP_RANK_PENALTY_REPORTED_LOAD
        return GROUP_RANK_PENALTY_TIMED_LOAD

    def _start_attempt(self, request: Request, server: Server) -> None:
        context = self.context
        is_last = request.attempt_count + 1 >= context.settings.max_attempts
        time_left_ms = request.deadline_ms - context.answer_margin_ms / 2 - context.now_ms
        if not is_last and not self.retries.is_timeout_widespread():
            time_left_ms /= ATTEMPTS_SHARING_TIME
        request.attempt_count += 1
        request.server = server
        request.tried_servers.append(server)
        server.connections[request.id] = request
        if server.load is not None:
            server.load = self.load.projected_load(server, request.load)
        self.load.sent_load += request.load
        timeout_at_ms = context.now_ms + max(MIN_ATTEMPT_MS, time_left_ms)
        context.actions.append(StartAttempt(request.id, server.name, timeout_at_ms, request.start_by_ms))
