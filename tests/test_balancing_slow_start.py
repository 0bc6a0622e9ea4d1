"""Slow start of warming-up servers."""

from __future__ import annotations

import pytest
from relay_driver import RelayDriver

from violetdoor.balancing.actions import (
    StartAttempt,
)
from violetdoor.balancing.events import (
    AttemptResult,
    ServerEntry,
)


def test_warming_up_server_gets_only_its_ramp_of_the_traffic() -> None:
    relay = RelayDriver(servers=3, slow_start_ms=9000.0, slow_start_initial_fraction=0.3)
    for n in range(200):
        relay.advance_to(relay.now_ms + 50.0)
        relay.request(n + 1)
    relay.actions.clear()
    relay.update_servers(ServerEntry("new", zone="a", started_at_ms=relay.now_ms))
    start = relay.now_ms
    for n in range(300, 400):
        relay.advance_to(relay.now_ms + 50.0)
        relay.request(n)
    assert relay.now_ms - start < 9000
    # An even share would be a quarter of 100 attempts; the ramp from 0.3 to 0.7 allows about half of that.
    assert 2 <= sum(a.server == "new" for a in relay.actions_of(StartAttempt)) <= 25 * 0.7


def test_restarted_relay_sends_nothing_to_warming_up_servers_before_capacity_is_known() -> None:
    """Restarted relays together overloaded servers that had also just started."""
    relay = RelayDriver(
        servers=2,
        slow_start_ms=9000.0,
        slow_start_initial_fraction=0.3,
        slow_start_overload_factor=2.5,
        relay_count=40,
    )
    relay.update_servers(*(ServerEntry(f"new{n}", zone="a", started_at_ms=1.0) for n in range(6)))
    for n in range(20):
        relay.request(n + 1)
    assert {a.server for a in relay.actions_of(StartAttempt)} == {"s0", "s1"}


def test_restarted_server_warms_up_again_with_no_history() -> None:
    relay = RelayDriver(servers=2, slow_start_ms=9000.0, slow_start_initial_fraction=0.3)
    relay.balancer.servers["s0"].health = 0.1
    relay.advance_to(100.0)
    relay.update_servers(ServerEntry("s0", zone="a", started_at_ms=90.0))
    server = relay.balancer.servers["s0"]
    assert server.health == 1.0
    assert relay.balancer.slow_start.capacity_fraction(server) == pytest.approx(0.3, abs=0.01)
    relay.advance_to(9200.0)
    assert relay.balancer.slow_start.capacity_fraction(server) == 1.0


def test_many_relays_together_fill_a_warming_up_server() -> None:
    """With 417 relays, a server's rotation turn and slow-start turn rarely coincided, so it stayed idle."""
    sent = 0
    for seed in range(60):
        relay = RelayDriver(
            servers=40,
            seed=seed,
            slow_start_ms=9000.0,
            slow_start_initial_fraction=0.3,
            slow_start_overload_factor=3.0,
            relay_count=60,
        )
        for n in range(10):
            relay.request(n + 1)
        relay.advance_to(1600.0)
        relay.actions.clear()
        relay.update_servers(ServerEntry("new", zone="a", started_at_ms=1600.0))
        for n in range(8):
            relay.advance_to(relay.now_ms + 1000.0)
            relay.request(n + 100)
        sent += sum(a.server == "new" for a in relay.actions_of(StartAttempt))
    # With 600 connections on 40 servers at 0.6 of their capacity, 25 connections fill the new server.
    assert 5 <= sent <= 25


def test_server_restarting_during_slow_start_keeps_one_ramp() -> None:
    """Slow-start turns of the previous process continued beside the new ones, at twice the allowed rate."""
    relay = RelayDriver(servers=2, slow_start_ms=9000.0, slow_start_initial_fraction=0.3)
    relay.balancer.load.load_per_weight = 1_000.0  # slow-start turns every 75 ms
    for started in (100.0, 200.0, 300.0):
        relay.advance_to(started)
        relay.update_servers(ServerEntry("s0", zone="a", started_at_ms=started))
    for n in range(12):
        relay.advance_to(relay.now_ms + 40.0)
        relay.request(n + 1)
    # 480 ms with a turn every 75 ms.
    assert sum(relay.attempted_servers(n + 1) == ["s0"] for n in range(12)) <= 8


def test_retry_avoids_warming_up_server_that_just_failed() -> None:
    relay = RelayDriver(servers=2, slow_start_ms=9000.0, slow_start_initial_fraction=0.3)
    relay.balancer.load.load_per_weight = 1e6  # high capacity: its slow-start turns are due at once
    relay.advance_to(100.0)
    relay.update_servers(ServerEntry("s0", zone="a", started_at_ms=90.0))
    relay.advance_to(101.0)
    relay.request(1)
    assert relay.attempted_servers(1) == ["s0"]
    relay.now_ms = 300.0
    relay.end_attempt(1, AttemptResult.OVERLOADED)
    assert relay.attempted_servers(1) == ["s0", "s1"]


def test_server_warming_up_at_relay_start_gets_turns_once_capacity_is_known() -> None:
    """Guards against a restarted relay that doesn't use a warming-up server until its slow start ends."""
    relay = RelayDriver(
        servers=3, slow_start_ms=8000.0, slow_start_initial_fraction=0.4, slow_start_overload_factor=4.0
    )
    relay.now_ms = 10_000.0
    relay.update_servers(ServerEntry("s3", zone="a", started_at_ms=10_000.0))
    for request in range(1, 31):
        relay.request(request)
        relay.establish(request)
    relay.advance_to(12_000.0)
    request = 100
    while relay.now_ms < 17_000.0 and "s3" not in relay.attempted_servers(request):
        request += 1
        relay.advance_to(relay.now_ms + 100.0)
        relay.request(request)
    assert relay.now_ms < 17_000.0
