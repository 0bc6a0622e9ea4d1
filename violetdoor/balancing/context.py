"""State that all parts of the decision module share: clock, settings, random source, records and actions."""

from __future__ import annotations

from random import Random

from violetdoor.balancing.actions import Action, SetTimer
from violetdoor.balancing.model import Request, Server, Tenant
from violetdoor.balancing.settings import BalancerSettings

ANSWER_MARGIN_INTERVALS = 4  # call intervals reserved before a deadline for the final answer


class Context:
    """Shared state of one balancer.

    Only `ServerList` adds and removes servers; only `Admission` adds and removes tenants and requests.
    """

    __slots__ = (
        "actions",
        "answer_margin_ms",
        "now_ms",
        "random",
        "requests",
        "servers",
        "settings",
        "tenants",
    )

    def __init__(self, settings: BalancerSettings, seed: int, now_ms: float) -> None:
        """Start without servers, requests and tenants."""
        self.now_ms = now_ms
        self.random = Random(seed)
        self.actions: list[Action] = []  # response to the event that is being handled
        self.servers: dict[str, Server] = {}
        self.requests: dict[int, Request] = {}
        self.tenants: dict[str, Tenant] = {}
        self.change_settings(settings)

    def change_settings(self, settings: BalancerSettings) -> None:
        """Apply new settings; existing requests keep the request class settings from their arrival."""
        self.settings = settings
        self.answer_margin_ms = ANSWER_MARGIN_INTERVALS * settings.min_call_interval_ms

    def set_stage_timer(self, request: Request, until_ms: float) -> None:
        """End the request's current stage at `until_ms`, or earlier to answer before its deadline."""
        request.stage_ends_at_ms = min(until_ms, request.deadline_ms - self.answer_margin_ms)
        self.actions.append(SetTimer(str(request.id), request.stage_ends_at_ms))
