"""Placement: which server a request goes to.

Some candidates are taken in the order of weighted round robin, or in that of the request's group; their
load is looked up, by health checks where reports are old, and the one with the most capacity left gets the
request.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from violetdoor.balancing.actions import StartAttempt
from violetdoor.balancing.context import Context
from violetdoor.balancing.group_affinity import GroupAffinity
from violetdoor.balancing.health_checks import HEALTH_CHECK_WAIT_MS, HealthChecks
from violetdoor.balancing.load_estimation import MAX_LOAD_PER_WEIGHT, TARGET_LOAD, LoadEstimator
from violetdoor.balancing.model import Request, Server
from violetdoor.balancing.retries import RetryPolicy
from violetdoor.balancing.weighted_round_robin import WeightedRoundRobin

MAX_CANDIDATES = 4  # servers that one placement considers
MAX_CANDIDATES_TIMED = 2  # the same where a health check has only its time to tell: checks cost more there
FRESH_REPORT_MS = 250.0  # a report younger than this needs no health check
SEARCH_INTERVAL_MS = 100.0  # until a placement looks again for a server with capacity
MIN_SEARCH_JITTER = 0.7  # part of the interval, so that requests do not all look at once
MAX_SEARCH_JITTER = 1.3  # the same, at the most
CROSS_ZONE_LOAD_PER_POINT = 5.0  # load over capacity to gain by crossing zones, for each point that it costs
GROUP_STEP_UNKNOWN_LOAD = 9.0  # load to gain by a group's next server before any load is known: never
GROUP_STEP_REPORTED_LOAD = 0.1  # the same where health checks report load
GROUP_STEP_TIMED_LOAD = 0.4  # the same where load is only estimated
GROUP_SHARED_WORK = 6.0  # load that a group's shared work adds at a server without any of the group
UNKNOWN_LOAD_PENALTY = 1  # load over capacity that a server without a fresh report is put back by
MIN_ATTEMPT_MS = 1.0  # shortest time that an attempt is given
ATTEMPTS_SHARING_TIME = 2  # that the time left is shared by where a retry may follow


@dataclass(slots=True, eq=False)
class Placement:
    """Chooses servers and starts attempts."""

    context: Context
    load: LoadEstimator
    groups: GroupAffinity
    rotation: WeightedRoundRobin
    health_checks: HealthChecks
    retries: RetryPolicy

    def place(self, request: Request) -> bool:
        """Begin to look for a server; return False where the request has to be rejected."""
        request.candidates = self.next_candidates(request)
        now_ms = self.context.now_ms
        is_waiting = False
        for server in request.candidates:
            if now_ms - server.reported_at_ms > FRESH_REPORT_MS and self.health_checks.start(server):
                server.waiting_requests.append(request)
                is_waiting = True
        if is_waiting:
            self.context.set_stage_timer(request, now_ms + HEALTH_CHECK_WAIT_MS)
            return True
        return self.choose(request)

    def next_candidates(self, request: Request) -> list[Server]:
        """Return the servers that come next for a request; their turns are used up."""
        servers = self.context.servers.values()
        if self.retries.is_bound_to_executor(request):
            able = [server for server in servers if self.retries.can_deduplicate(request, server)]
            return able[:MAX_CANDIDATES]
        is_timed = self.context.settings.health_checks_are_timed
        limit = MAX_CANDIDATES_TIMED if is_timed else MAX_CANDIDATES
        if request.group is not None:
            return self.groups.candidates(request, request.group, limit)
        return self.rotation.candidates(request, limit)

    def choose(self, request: Request) -> bool:
        """Send to the best candidate, or look again later; return False where to reject the request."""
        candidates = request.candidates
        request.candidates = []
        best = self._best(request, candidates)
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

    def _best(self, request: Request, candidates: list[Server]) -> Server | None:
        """Return the candidate of the least cost, in load over capacity, of those with capacity left."""
        context = self.context
        settings = context.settings
        max_load = TARGET_LOAD - self.load.load_sent_since_reports()
        step = self._group_step(request)
        shared_work = 0.0
        group_servers: set[Server | None] = set()
        if self._counts_shared_work(request):
            shared_work = GROUP_SHARED_WORK / min(self.load.load_per_weight, MAX_LOAD_PER_WEIGHT)
            group_servers = {r.server for r in context.requests.values() if r.group == request.group}
        best = None
        min_cost = math.inf
        for position, server in enumerate(candidates):
            # Without the request's own load, or heavy ones would starve.
            if not server.is_ready or (server.load or 0.0) > max_load:
                continue
            cost = self.load.projected(server, request.load) + position * step
            if shared_work and server not in group_servers:
                cost += shared_work / server.entry.weight
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

    def _counts_shared_work(self, request: Request) -> bool:
        """Return whether loads are known well enough to weigh them against the work that a group shares."""
        if request.group is None or self.load.fleet_load is None:
            return False
        return self.context.settings.health_checks_report_load

    def _group_step(self, request: Request) -> float:
        """Return the load over capacity that a group has to gain by going to the next server in its order."""
        if request.group is None:
            return 0.0
        if self.load.fleet_load is None:
            return GROUP_STEP_UNKNOWN_LOAD
        if self.context.settings.health_checks_report_load:
            return GROUP_STEP_REPORTED_LOAD
        return GROUP_STEP_TIMED_LOAD

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
            server.load = self.load.projected(server, request.load)
        self.load.sent_load += request.load
        timeout_at_ms = context.now_ms + max(MIN_ATTEMPT_MS, time_left_ms)
        context.actions.append(StartAttempt(request.id, server.name, timeout_at_ms, request.start_by_ms))
