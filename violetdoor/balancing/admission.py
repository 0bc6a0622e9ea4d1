"""Admission control: requests queue at their tenant's connection limit and are delayed above its budget.

Based on King, Song and Dias, section 3.2 (admission control) and section 3.3 (delay above the budget).
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

PACING_DELAY_MS = 200.0  # delay of a connection of mean load while its tenant is at twice its budget
DEFAULT_LOAD = 1.0  # load assumed for a request without a load hint
CLOCK_TOLERANCE_MS = 1.0  # clocks round: a timer that fires up to this much early counts as due


class Admission:
    """Owns the tenants, and the requests from arrival to end."""

    def __init__(self, context: Context, placement: Placement, retries: RetryPolicy) -> None:
        """Use `placement` to choose servers and `retries` to decide on rejections."""
        self.context = context
        self.placement = placement
        self.retries = retries

    def request_arrived(self, event: RequestArrived) -> None:
        """Queue a request and admit what the limit allows; a mid-stream request skips limit and pacing."""
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
        # Rejected if still queued after half of its time: the rest would be too short to set up a connection.
        self.context.set_stage_timer(request, self.context.now_ms + event.time_left_ms / 2)
        self.drain_queue(request.tenant)
        if not request.is_admitted:
            request.tenant.unserved_load += request.load

    def connection_adopted(self, event: ConnectionAdopted) -> None:
        """Register a connection that was open before this balancer started."""
        request = self.register(event, math.inf)
        server = self.context.servers.get(event.server) or Server(ServerEntry(event.server))
        request.server = server
        request.attempt_count = 1
        server.connections[request.id] = request
        self._admit(request)

    def register(self, event: RequestArrived | ConnectionAdopted, deadline_ms: float) -> Request:
        """Register a new request or adopted connection; raise KeyError if its request class is unknown."""
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
        """Start the search for a server; reject the request if there is no suitable one."""
        if not self.placement.place(request):
            self.reject(request)

    def choose_server(self, request: Request) -> None:
        """Choose among the candidates by their current load; reject the request if none is suitable."""
        if not self.placement.choose(request):
            self.reject(request)

    def drain_queue(self, tenant: Tenant) -> None:
        """Admit queued requests up to the limit; above the budget, each first waits for its pacing delay.

        An admitted request that is rejected at once makes room for the next one: the call for that returns
        here and the loop goes on, so that the depth of calls does not grow with the queue.
        """
        if tenant.is_admitting:
            return
        tenant.is_admitting = True
        try:
            self._admit_queued(tenant)
        finally:
            tenant.is_admitting = False

    def _admit_queued(self, tenant: Tenant) -> None:
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
        """Delay a request in proportion to its tenant's excess over budget and to its own load.

        Section 3.3 of the paper delays in proportion to S - B, load minus budget, and to the size of the
        connection. Its integral term, E = sum of S - B, is omitted because each interval sets a new budget.
        """
        tenant = request.tenant
        delay_ms = PACING_DELAY_MS * excess * request.load * tenant.connection_count / tenant.load
        self.context.set_stage_timer(request, min(request.stage_ends_at_ms, self.context.now_ms + delay_ms))

    def stage_timer_fired(self, request: Request) -> None:
        """Continue a request whose current stage has ended."""
        if self.context.now_ms < request.stage_ends_at_ms - CLOCK_TOLERANCE_MS:
            return  # this timer was set for an earlier stage
        if request.candidates:
            self.choose_server(request)
        elif request.server is None and request.is_admitted:
            self.place(request)
        elif request.server is None:
            self.drain_queue(request.tenant)  # admits the request if its pacing delay has ended
            if not request.is_admitted:
                self.reject(request)

    def reject(self, request: Request) -> None:
        """Send the final answer: Reject if the client may safely try again, else FailRequest."""
        retry_after_ms = self.retries.retry_after_ms()
        if self.retries.is_safe_to_reject(request):
            self.context.actions.append(Reject(request.id, retry_after_ms))
        else:
            self.context.actions.append(FailRequest(request.id))
        if request.is_admitted:
            request.tenant.unserved_load += request.load
        self.finish(request)

    def finish(self, request: Request) -> None:
        """Remove a request that has ended, and admit queued requests of its tenant."""
        tenant = request.tenant
        del self.context.requests[request.id]
        request.candidates = []
        if request.server is not None:
            request.server.connections.pop(request.id, None)
        if request.is_admitted:
            tenant.connection_count -= 1
            # Reset to zero without connections, so that rounding errors don't accumulate.
            tenant.load = tenant.load - request.load if tenant.connection_count else 0.0
        else:
            tenant.queue.remove(request)
        self.drain_queue(tenant)

    def share_capacity(self, active: list[Tenant], capacity: float) -> None:
        """Set the budget and connection limit of each active tenant, and admit what they allow."""
        guarantee = capacity / max(1, len(active))
        forecasts = [forecast(tenant) for tenant in active]
        priorities = [tenant.priority_weight for tenant in active]
        budgets = tiered_budget(forecasts, [guarantee] * len(active), priorities, capacity)
        for tenant, budget in zip(active, budgets, strict=True):
            set_connection_limit(tenant, budget)
            self.drain_queue(tenant)

    def active_tenants(self) -> list[Tenant]:
        """Return the tenants with demand in this interval or the last one."""
        return [
            tenant
            for tenant in self.context.tenants.values()
            if tenant.load + tenant.unserved_load + tenant.last_demand > 0
        ]
