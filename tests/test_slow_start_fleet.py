"""Slow start of a fleet: the attempts of all relays at a server per window stay within N + 2 sqrt(N) + 2."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest
from simulated_fleet import START_MS, Fleet, Server, Site

from violetdoor.balancing.settings import ExecutionSemantics

LARGE = Site()  # N is 31 at the start of a server
SMALL = replace(
    LARGE,
    capacity=24.0,
    slow_start_ms=22_000.0,
    slow_start_initial_fraction=0.12,
    slow_start_overload_factor=2.5,
    overload_window_ms=1_500.0,
    servers=20,
)
LOADS_KNOWN_MS = 12_000.0  # from the start of the fleet until loads are known


def start_servers(fleet: Fleet, count: int = 1) -> list[Server]:
    """Start servers and announce them to all relays at once."""
    fleet.advance(LOADS_KNOWN_MS)
    return [fleet.start_server(f"new{n}") for n in range(count)]


def steady_traffic(fleet: Fleet) -> list[Server]:
    return start_servers(fleet)


def growing_traffic(fleet: Fleet) -> list[Server]:
    """Start three servers while traffic more than doubles."""
    servers = start_servers(fleet, 3)
    fleet.multiply_traffic(2.4)
    return servers


def restarted_servers(fleet: Fleet) -> list[Server]:
    """Restart four servers while their clients reconnect."""
    fleet.advance(LOADS_KNOWN_MS)
    names = [f"s{n}" for n in range(4)]
    for name in names:
        fleet.crash_server(name)
    fleet.advance(LOADS_KNOWN_MS + 1_000.0)
    return [fleet.start_server(name) for name in names]


def restarted_relays(fleet: Fleet) -> list[Server]:
    """Restart all relays, one after another, while a server warms up."""
    servers = start_servers(fleet)
    for n in range(len(fleet.relays)):
        fleet.schedule(fleet.now_ms + 100.0 * n, fleet.restart_relay, n)
    return servers


def retries_of_hanging_requests(fleet: Fleet) -> list[Server]:
    """Restart four servers while others hang and fail: requests that may have been executed are retried."""
    servers = restarted_servers(fleet)
    fleet.multiply_traffic(2.0)
    fleet.advance(LOADS_KNOWN_MS + 1_300.0)
    hanging = [f"s{n}" for n in range(4, 11)]
    for name in hanging:
        fleet.servers[name].is_hanging = True
    fleet.advance(LOADS_KNOWN_MS + 2_000.0)
    for name in hanging:
        fleet.crash_server(name)
    return servers


def worst_window(site: Site, fault: Callable[[Fleet], list[Server]], seed: int) -> tuple[float, int, float]:
    fleet = Fleet(site, seed)
    servers = fault(fleet)
    fleet.advance(fleet.now_ms - START_MS + site.slow_start_ms)
    assert any(server.attempted_at_ms for server in servers)  # the warming-up servers are used
    return max(fleet.worst_window(server) for server in servers)


@pytest.mark.parametrize("fault", [steady_traffic, growing_traffic, restarted_servers, restarted_relays])
@pytest.mark.parametrize(
    ("site", "groups"), [(LARGE, 0), (LARGE, 8), (SMALL, 0)], ids=["large", "groups", "small"]
)
def test_relays_together_stay_within_the_slow_start_ramp(
    site: Site, groups: int, fault: Callable[[Fleet], list[Server]]
) -> None:
    for seed in (1, 2):
        used_fraction, attempts, allowed = worst_window(replace(site, groups=groups), fault, seed)
        assert used_fraction <= 1.0, f"{attempts} attempts, but only {allowed:.1f} are allowed"


@pytest.mark.parametrize("relays", [20, 30])
def test_retries_stay_within_the_slow_start_ramp(relays: int) -> None:
    """Retries went to the first listed servers even during slow start: 15 attempts where 3.9 are allowed."""
    for seed in (1, 2, 3):
        site = replace(SMALL, relays=relays, semantics=ExecutionSemantics.DEDUPLICATED)
        used_fraction, attempts, allowed = worst_window(site, retries_of_hanging_requests, seed)
        assert used_fraction <= 1.0, f"{attempts} attempts, but only {allowed:.1f} are allowed"
