"""Admission control: requests queue at their tenant's connection limit and are paced over its budget.

After King, Song and Dias, section 3.2 (admission control) and, for the delay over budget, section 3.3.
"""

from __future__ import annotations

import math

from violetdoor.balancing.actions import FailRequest, Reject
from violetdoor.balancing.budget import forecast, set_connection_limit, tiered_budget
from violetdoor.balancing.context import Context
from violetdoor.balancing.events import ConnectionAdopted, RequestArrived, ServerEntry
from violetdoor.balancing.model import Request, Server, Tenant
from violetdoor.balancing.placement import Placement
from violetdoor.balancing.retries import RetryPolicy

PACING_DELAY_MS = 200.0  # that a connection of mean load waits for each budget that its tenant is over
DEFAULT_LOAD = 1.0  # of a request without a load hint
CLOCK_TOLERANCE_MS = 1.0  # clocks round: a timer that is early by less counts as due


class Admission:
    """Owns tenants and requests, from their arrival to their last answer."""

    def __init__(self, context: Context, placement: Placement, retries: RetryPolicy) -> None:
        """Take the parts that admitted requests go to."""
        self.context = context
        self.placement = placement
        self.retries = retries

    def request_arrived(self, event: RequestArrived) -> None:
        """Queue a request and admit what may go; one of an open connection skips limit and pacing."""
        request = self.register(event, self.context.now_ms + event.time_left_ms)
        request.is_reconnect = event.is_reconnect
        if event.is_mid_stream:
            self._admit(request)
            self.place(request)
            return
        request.tenant.queue.append(request)
        if self.retries.is_in_reconnect_backoff(request):
            self.reject(request)
            return
        # In the second half of its time there would be too little left to set the connection up.
        self.context.set_stage_timer(request, self.context.now_ms + event.time_left_ms / 2)
        self.drain_queue(request.tenant)
        if not request.is_admitted:
            request.tenant.unserved_load += request.load

    def connection_adopted(self, event: ConnectionAdopted) -> None:
        """Count a connection that was open before this balancer started."""
        request = self.register(event, math.inf)
        server = self.context.servers.get(event.server) or Server(ServerEntry(event.server))
        request.server = server
        request.attempt_count = 1
        server.connections[request.id] = request
        self._admit(request)

    def register(self, event: RequestArrived | ConnectionAdopted, deadline_ms: float) -> Request:
        """Keep a record of a new request or adopted connection; KeyError where its class is not known."""
        request_class = self.context.settings.classes[event.request_class]
        tenant = self.context.tenants.get(event.tenant)
        if tenant is None:
            tenant = self.context.tenants[event.tenant] = Tenant()
        tenant.priority_weight = max(tenant.priority_weight, request_class.priority_weight)
        has_hint = event.load is not None
        load = DEFAULT_LOAD if event.load is None else event.load
        request = Request(event.request_id, tenant, request_class, deadline_ms, load, has_hint, event.group)
        self.context.requests[event.request_id] = request
        return request

    def _admit(self, request: Request) -> None:
        request.is_admitted = True
        request.tenant.connection_count += 1
        request.tenant.load += request.load

    def place(self, request: Request) -> None:
        """Look for a server; reject the request where none is to be found."""
        if not self.placement.place(request):
            self.reject(request)

    def choose_server(self, request: Request) -> None:
        """Choose among the candidates by what is known of them now; reject the request where none will do."""
        if not self.placement.choose(request):
            self.reject(request)

    def drain_queue(self, tenant: Tenant) -> None:
        """Admit queued requests up to the limit; over budget, each first waits for its pacing delay."""
        context = self.context
        while tenant.queue and tenant.connection_count < tenant.connection_limit:
            request = tenant.queue[0]
            excess = tenant.budget_excess
            if excess > 0:
                if not request.is_paced:
                    request.is_paced = True
                    self._pace(request, excess)
                if context.now_ms < request.stage_ends_at_ms - CLOCK_TOLERANCE_MS:
                    return
            tenant.queue.popleft()
            self._admit(request)
            self.place(request)

    def _pace(self, request: Request, excess: float) -> None:
        """Let a request wait the longer, the more its tenant is over budget and the heavier it is.

        This is the paper's delay in proportion to S - B, its load over its budget (section 3.3), and to a
        connection's size; the integral term, E = sum of S - B, is not used: each interval sets a new budget.
        """
        tenant = request.tenant
        delay_ms = PACING_DELAY_MS * excess * request.load * tenant.connection_count / tenant.load
        self.context.set_stage_timer(request, min(request.stage_ends_at_ms, self.context.now_ms + delay_ms))

    def stage_timer_fired(self, request: Request) -> None:
        """Go on with a request whose stage has ended."""
        if self.context.now_ms < request.stage_ends_at_ms - CLOCK_TOLERANCE_MS:
            return  # the timer of an earlier stage
        if request.candidates:
            self.choose_server(request)
        elif request.server is None and request.is_admitted:
            self.place(request)
        elif request.server is None:
            self.drain_queue(request.tenant)  # its pacing delay may be over
            if not request.is_admitted:
                self.reject(request)

    def reject(self, request: Request) -> None:
        """Give the final answer: a rejection where the client may safely try again, else a failure."""
        retry_after_ms = self.retries.retry_after_ms()
        if self.retries.is_safe_to_reject(request):
            self.context.actions.append(Reject(request.id, retry_after_ms))
        else:
            self.context.actions.append(FailRequest(request.id))
        if request.is_admitted:
            request.tenant.unserved_load += request.load
        self.finish(request)

    def finish(self, request: Request) -> None:
        """Remove a request that is over, and admit what waited for its place."""
        tenant = request.tenant
        del self.context.requests[request.id]
        request.candidates = []
        if request.server is not None:
            request.server.connections.pop(request.id, None)
        if request.is_admitted:
            tenant.connection_count -= 1
            # Set to zero where no connection is left, so that rounding errors don't add up.
            tenant.load = tenant.load - request.load if tenant.connection_count else 0.0
        else:
            tenant.queue.remove(request)
        self.drain_queue(tenant)

    def share_capacity(self, active: list[Tenant], capacity: float) -> None:
        """Give each active tenant a budget and a connection limit, and admit what these allow."""
        guarantee = capacity / max(1, len(active))
        forecasts = [forecast(tenant) for tenant in active]
        priorities = [tenant.priority_weight for tenant in active]
        budgets = tiered_budget(forecasts, [guarantee] * len(active), priorities, capacity)
        for tenant, budget in zip(active, budgets, strict=True):
            set_connection_limit(tenant, budget)
            self.drain_queue(tenant)

    def active_tenants(self) -> list[Tenant]:
        """Return the tenants that have any demand, or had some in the last interval."""
        return [
            tenant
            for tenant in self.context.tenants.values()
            if tenant.load + tenant.unserved_load + tenant.last_demand > 0
        ]
