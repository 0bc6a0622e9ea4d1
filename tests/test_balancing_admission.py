"""Admission control: connection limits, queue and pacing."""

from __future__ import annotations

from relay_driver import RelayDriver

from violetdoor.balancing.actions import (
    CheckHealth,
    Reject,
    SetTimer,
)
from violetdoor.balancing.balancer import INTERVAL_TIMER
from violetdoor.balancing.events import (
    AttemptResult,
)


def report_fleet_load(relay: RelayDriver, load: float) -> None:
    """Make the relay learn this fleet load from reports."""
    for server in relay.balancer.servers.values():
        for _ in range(20):
            relay.balancer.load_reports.record(server, {"load": load})
        server.load = None  # the servers have capacity, so that only the budget can queue requests


def test_request_over_limit_is_queued_then_rejected_with_retry_after() -> None:
    relay = RelayDriver(max_retry_after_ms=1000.0)
    for n in range(4):
        relay.request(n + 1, tenant="t")
    report_fleet_load(relay, 1.3)
    relay.advance_to(2500.0)
    assert relay.balancer.context.tenants["t"].connection_limit < 4
    relay.request(9, tenant="t")
    assert relay.attempted_servers(9) == []
    relay.advance_to(relay.now_ms + 1900.0)
    answers = relay.final_answers(9)
    assert len(answers) == 1
    assert isinstance(answers[0], Reject)
    assert answers[0].retry_after_ms > 0


def test_queued_request_is_admitted_when_tenant_is_under_limit_again() -> None:
    relay = RelayDriver()
    for n in range(4):
        relay.request(n + 1)
    report_fleet_load(relay, 1.3)
    relay.advance_to(2500.0)
    relay.request(9)
    for n in range(4):
        relay.end_attempt(n + 1, AttemptResult.OK, is_final=True)
    relay.advance_to(relay.now_ms + 700.0)
    assert len(relay.attempted_servers(9)) == 1


def test_mid_stream_request_skips_limit_and_pacing() -> None:
    relay = RelayDriver()
    for n in range(4):
        relay.request(n + 1)
    report_fleet_load(relay, 1.3)
    relay.advance_to(2500.0)
    relay.request(9, is_mid_stream=True)
    assert len(relay.attempted_servers(9)) == 1


def test_heavier_request_over_budget_has_longer_pacing_delay() -> None:
    delays_end_at_ms = []
    for load in (1.0, 3.0):
        relay = RelayDriver()
        relay.request(1, load=1.0)
        tenant = relay.balancer.context.tenants[""]
        tenant.budget, tenant.connection_limit = 0.8, 5
        relay.request(2, load=load)
        assert relay.attempted_servers(2) == []
        delays_end_at_ms.append(
            max(a.at_ms for a in relay.actions_of(SetTimer) if a.token == "2" and a.at_ms < 900)
        )
    assert delays_end_at_ms[1] > 2 * delays_end_at_ms[0] > 0


def test_shortage_limits_tenant_over_its_guarantee() -> None:
    relay = RelayDriver()
    for n in range(9):
        relay.request(n + 1, tenant="big")
    relay.request(20, tenant="small")
    report_fleet_load(relay, 1.4)
    relay.advance_to(1600.0)
    big, small = relay.balancer.context.tenants["big"], relay.balancer.context.tenants["small"]
    assert big.connection_limit < 9
    assert small.connection_limit > 1


def test_relay_whose_budgets_admit_nothing_still_checks_servers() -> None:
    """Without placements, no report would update the fleet's load, and contention would never seem to end."""
    relay = RelayDriver(health_checks_report_load=True)
    for n in range(4):
        relay.request(n + 1)
        relay.finish_health_checks(0.5)
    report_fleet_load(relay, 1.3)
    for server in relay.balancer.servers.values():
        server.reported_at_ms = 1e9  # recent enough that no placement starts a health check
    relay.advance_to(1500.0)
    relay.request(9)
    assert relay.attempted_servers(9) == []
    assert relay.balancer.context.tenants[""].queue
    relay.actions = [a for a in relay.actions if not isinstance(a, CheckHealth)]
    relay.advance_to(2490.0)
    assert relay.actions_of(CheckHealth)


def test_request_rejected_as_its_budget_interval_ends_is_not_given_candidates() -> None:
    """An admitted head of the queue that was too late for a server was given candidates after its answer.

    The exception lost that answer: a group without other members has no size.
    """
    relay = RelayDriver(health_checks_report_load=True)
    for n in range(4):
        relay.request(n + 1)
        relay.finish_health_checks(0.5)
    report_fleet_load(relay, 1.3)
    relay.advance_to(1500.0)
    interval_end_ms = max(a.at_ms for a in relay.actions_of(SetTimer) if a.token == INTERVAL_TIMER)
    relay.advance_to(interval_end_ms - 100.0)
    relay.request(9, time_left_ms=300.0, group=7)  # rejected after half of this time if it is still queued
    relay.request(10, time_left_ms=2000.0)
    assert len(relay.balancer.context.tenants[""].queue) == 2
    relay.balancer.load.fleet_load = 0.3  # the contention has ended, so both are admitted
    for server in relay.balancer.servers.values():
        server.reported_at_ms = 1e9  # recent enough that a placement does not wait for a health check
        server.load = 1.3
    relay.advance_to(interval_end_ms)
    assert len(relay.final_answers(9)) == 1
    assert not relay.final_answers(10)


def test_end_of_a_connection_rejects_any_number_of_late_requests() -> None:
    """One request was admitted inside the rejection of the one before it: a long queue was a RecursionError."""
    relay = RelayDriver()
    relay.request(1)
    tenant = relay.balancer.context.tenants[""]
    tenant.connection_limit = 1
    for n in range(2, 1002):
        relay.request(n, time_left_ms=300.0)
    assert len(tenant.queue) == 1000
    for server in relay.balancer.servers.values():
        server.load = 1.3
    relay.now_ms += 100.0
    relay.end_attempt(1, AttemptResult.OK, is_final=True)
    assert [len(relay.final_answers(n)) for n in range(2, 1002)] == [1] * 1000
    assert not relay.balancer.requests
    assert tenant.connection_count == 0
