"""Timed health checks: load derived from the duration of a check."""

from __future__ import annotations

import math

import pytest
from relay_driver import RelayDriver

from violetdoor.balancing.actions import (
    CheckHealth,
    Migrate,
)
from violetdoor.balancing.events import (
    AttemptResult,
    ConnectionEstablished,
    HealthCheckEnded,
    ServerEntry,
)
from violetdoor.balancing.load_estimation import OVERLOADED_LOAD
from violetdoor.balancing.load_reports import MESSAGE_DELAY_LIFETIME_MS
from violetdoor.balancing.model import Server


def timed_relay(servers: int = 4) -> RelayDriver:
    """Return a relay with timed checks, ten connections per server on average, and checks of 3 ms."""
    relay = RelayDriver(servers=servers, health_checks_are_timed=True)
    for request in range(1, 10 * servers + 1):
        relay.request(request)
        answer_health_checks(relay, {})
        relay.establish(request)
    while any(s.min_health_check_ms == math.inf for s in relay.balancer.servers.values()):
        relay.advance_to(relay.now_ms + 1000.0)
        answer_health_checks(relay, {})
    return relay


def seems_healthy(server: Server) -> bool:
    """Return whether no high load is known of the server."""
    return (server.load or 0.0) < 0.5


def answer_health_checks(relay: RelayDriver, times: dict[str, float]) -> None:
    """End all pending health checks with the durations in `times` (in ms), or 3 ms for other servers."""
    while checks := relay.actions_of(CheckHealth):
        for check in checks:
            relay.actions.remove(check)
            relay.deliver(
                relay.now_ms, HealthCheckEnded(check.server, AttemptResult.OK, times.get(check.server, 3.0))
            )


def test_slow_health_checks_eject_server_and_migrate_until_they_are_quick_again() -> None:
    """Guards against an overloaded server that seems healthy until it disconnects its clients."""
    relay = timed_relay()
    slow = max(relay.balancer.servers.values(), key=lambda s: len(s.connections))
    while not relay.actions_of(Migrate):
        relay.advance_to(relay.now_ms + 1000.0)
        answer_health_checks(relay, {slow.name: 20.0})
    assert {a.request_id for a in relay.actions_of(Migrate)} <= set(slow.connections)
    for request in range(100, 110):
        relay.request(request)
        answer_health_checks(relay, {slow.name: 20.0})
        assert slow.name not in relay.attempted_servers(request)
    for _ in range(3):
        relay.advance_to(relay.now_ms + 1100.0)
        answer_health_checks(relay, {})
    assert seems_healthy(slow)


@pytest.mark.parametrize(("extra_ms", "is_healthy"), [(0.0, True), (8.0, True), (20.0, False)])
def test_network_time_to_another_zone_is_no_load(extra_ms: float, is_healthy: bool) -> None:
    """A health check takes 2 ms in the local zone and 32 ms in the other, where the network time varies."""
    relay = RelayDriver(servers=0, health_checks_are_timed=True)
    relay.update_servers(*(ServerEntry(f"{zone}{n}", zone=zone) for zone in "ab" for n in range(3)))
    far = {f"b{n}": 32.0 for n in range(3)}
    for server in relay.balancer.servers:
        relay.deliver(relay.now_ms, HealthCheckEnded(server, AttemptResult.OK, far.get(server, 2.0)))
    assert all(map(seems_healthy, relay.balancer.servers.values()))
    for _ in range(2):  # a single slow check counts as a process pause
        relay.deliver(relay.now_ms + 200.0, HealthCheckEnded("b0", AttemptResult.OK, 32.0 + extra_ms))
    assert seems_healthy(relay.balancer.servers["b0"]) == is_healthy


def test_single_slow_health_check_or_setup_migrates_nothing() -> None:
    """Guards against migrating from a healthy server whose process paused: a second check starts at once."""
    relay = timed_relay()
    slow = max(relay.balancer.servers.values(), key=lambda s: len(s.connections))
    while not relay.actions_of(CheckHealth):
        relay.advance_to(relay.now_ms + 1000.0)
    first = relay.actions_of(CheckHealth)
    for check in first:
        relay.actions.remove(check)
        relay.deliver(relay.now_ms, HealthCheckEnded(check.server, AttemptResult.OK, 60.0))
    assert [check.server for check in relay.actions_of(CheckHealth)] == [check.server for check in first]
    answer_health_checks(relay, {})
    request = 200
    while not relay.attempted_servers(request) or relay.attempted_servers(request)[-1] != slow.name:
        request += 1
        relay.request(request)
        answer_health_checks(relay, {})
    relay.deliver(relay.now_ms, ConnectionEstablished(request, 0, slow.name, 60.0))
    assert [check.server for check in relay.actions_of(CheckHealth)] == [slow.name]
    answer_health_checks(relay, {})
    assert seems_healthy(slow)
    assert not relay.actions_of(Migrate)


def test_one_overloaded_server_of_five_leaves_budgets_unbound() -> None:
    """Guards against a restarted relay that rejects clients although four of five servers have capacity."""
    relay = timed_relay(5)
    slow = next(iter(relay.balancer.servers.values()))
    for _ in range(8):
        answer_health_checks(relay, {slow.name: 20.0})
        relay.advance_to(relay.now_ms + 1100.0)
        relay.deliver(relay.now_ms, HealthCheckEnded(slow.name, AttemptResult.OK, 20.0))
        answer_health_checks(relay, {slow.name: 20.0})
    assert not seems_healthy(slow)
    assert all(t.budget == math.inf for t in relay.balancer.context.tenants.values())


def test_servers_without_connections_are_not_checked_periodically() -> None:
    """Checks have a cost, so servers without connections of this relay are not checked periodically."""
    relay = timed_relay(2)
    for request in list(relay.balancer.servers["s0"].connections):
        relay.end_attempt(request, AttemptResult.OK, is_final=True)
    for _ in range(20):
        relay.advance_to(relay.now_ms + 1100.0)
        assert {check.server for check in relay.actions_of(CheckHealth)} <= {"s1"}
        answer_health_checks(relay, {})


def end_pending_checks(relay: RelayDriver, duration_ms: float) -> set[str]:
    """End the health checks that are pending now, all at once; return their servers."""
    checks = relay.actions_of(CheckHealth)
    for check in checks:
        relay.actions.remove(check)
    for check in checks:
        relay.deliver(relay.now_ms, HealthCheckEnded(check.server, AttemptResult.OK, duration_ms))
    return {check.server for check in checks}


def start_simultaneous_checks(relay: RelayDriver) -> None:
    """Advance the time until three servers or more are checked at once."""
    while len(relay.actions_of(CheckHealth)) < 3:
        answer_health_checks(relay, {})
        relay.advance_to(relay.now_ms + 500.0)


def test_relay_that_was_held_up_once_migrates_nothing() -> None:
    """A hold-up of 0.15 s makes all checks slow that end with it; the second checks are quick again."""
    relay = timed_relay()
    for _ in range(3):
        start_simultaneous_checks(relay)
        checked = end_pending_checks(relay, 150.0)
        assert end_pending_checks(relay, 3.0) == checked
        relay.advance_to(relay.now_ms + 200.0)
    assert not relay.actions_of(Migrate)
    assert all(map(seems_healthy, relay.balancer.servers.values()))


def test_servers_that_become_overloaded_at_the_same_time_are_all_noticed() -> None:
    """Slow checks of three servers at once were taken for a pause of this relay, and their load was overlooked."""
    relay = timed_relay()
    start_simultaneous_checks(relay)
    checked = end_pending_checks(relay, 20.0)
    assert end_pending_checks(relay, 20.0) == checked
    assert not any(seems_healthy(relay.balancer.servers[name]) for name in checked)
    relay.advance_to(relay.now_ms + 1100.0)
    assert relay.actions_of(Migrate)


def test_measured_message_delay_outlasts_quick_health_check() -> None:
    """Messages wait behind a server's backlog, which a health check bypasses."""
    relay = RelayDriver(servers=2, health_checks_are_timed=True)
    relay.balancer.health_checks.start(server := relay.balancer.servers["s0"])
    relay.deliver(1.0, HealthCheckEnded("s0", AttemptResult.OK, 2.0))
    server.message_delay_at_ms, server.load = 1.0, OVERLOADED_LOAD
    relay.deliver(2.0, HealthCheckEnded("s0", AttemptResult.OK, 2.0))
    assert server.load == OVERLOADED_LOAD
    relay.deliver(1.0 + MESSAGE_DELAY_LIFETIME_MS + 1.0, HealthCheckEnded("s0", AttemptResult.OK, 2.0))
    assert server.load < 0.5
