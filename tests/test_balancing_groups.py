"""Group affinity: connections of a group are placed on the same servers."""

from __future__ import annotations

import pytest
from relay_driver import RelayDriver

from violetdoor.balancing.actions import (
    CheckHealth,
    Reject,
)
from violetdoor.balancing.budget import BUDGET_INTERVAL_MS
from violetdoor.balancing.events import (
    AttemptResult,
    HealthCheckEnded,
    RequestAbandoned,
    ServerEntry,
)
from violetdoor.balancing.group_affinity import BASE_HOME_SERVERS
from violetdoor.balancing.placement import MAX_CANDIDATES
from violetdoor.balancing.timed_health_checks import CHECK_JITTER_MS


def test_group_is_placed_on_the_same_server_by_all_relays() -> None:
    """A group costs its shared work at each server that it uses, so it must not spread over all servers."""
    used_servers = set()
    for seed in range(8):
        relay = RelayDriver(servers=12, seed=seed)
        for n in range(3):
            relay.request(n + 1, group=77)
        used_servers |= {s for n in range(3) for s in relay.attempted_servers(n + 1)}
    assert len(used_servers) == 1
    groups = RelayDriver(servers=2, weights=[1.0, 3.0])
    for n in range(400):
        groups.request(n + 1, group=n)
    assert 250 < sum(groups.attempted_servers(n + 1) == ["s1"] for n in range(400)) < 350


def test_group_skips_overloaded_and_warming_up_servers() -> None:
    relay = RelayDriver(servers=6, slow_start_ms=9000.0, slow_start_initial_fraction=0.3)
    relay.request(1, group=5)
    home = relay.balancer.servers[relay.attempted_servers(1)[0]]
    home.load = 0.9
    relay.request(2, group=5)
    second = relay.balancer.servers[relay.attempted_servers(2)[0]]
    assert second is not home
    relay.advance_to(50.0)
    relay.update_servers(ServerEntry(second.name, zone="a", started_at_ms=49.0))
    relay.request(3, group=5)
    assert relay.attempted_servers(3)[0] not in (home.name, second.name)


def test_group_spills_over_only_when_its_server_is_certainly_full() -> None:
    """A group stayed on one server with 180 connections while another had 7.

    In a large fleet, the few connections of one relay are a poor estimate of a server's load.
    """
    for size, spilled in ((3, False), (60, True)):
        relay = RelayDriver(servers=4)
        for n in range(12 if spilled else 200):
            relay.request(1000 + n, group=n)
        relay.advance_to(1200.0)
        for n in range(size):
            relay.request(n + 1, group=77)
        assert (len({s for n in range(size) for s in relay.attempted_servers(n + 1)}) > 1) is spilled


def test_group_checks_servers_again_when_overload_reports_are_old() -> None:
    """After all servers were overloaded, a group sent and checked nothing although they were idle again."""
    relay = RelayDriver(servers=3, health_checks_report_load=True)
    relay.request(1, group=7)
    relay.finish_health_checks(0.9)
    assert not relay.attempted_servers(1)
    relay.advance_to(9000.0)
    relay.request(2, group=7)
    relay.finish_health_checks(0.1)
    assert len(relay.attempted_servers(2)) == 1


def test_group_leaves_its_first_server_for_one_with_much_more_capacity() -> None:
    # The duration of a health check is a less certain load than a report, so more capacity must be gained.
    for setting, stays in (
        ("health_checks_report_load", [True, True, False, False]),
        ("health_checks_are_timed", [True, True, True, False]),
    ):
        taken = []
        for load in (0.6, 0.55, 0.4, 0.1):
            relay = RelayDriver(servers=4, **{setting: True})  # type: ignore[arg-type]
            relay.request(1, group=7)
            first = relay.balancer.groups.candidates(relay.balancer.requests[1], 7, MAX_CANDIDATES)[0].name
            for check in relay.actions_of(CheckHealth):
                relay.actions.remove(check)
                its = 0.6 if check.server == first else load
                relay.balancer.servers[check.server].min_health_check_ms = 2.0
                late = CHECK_JITTER_MS + 2.0 * its * its / (4 * (1 - its))
                relay.deliver(
                    1.0,
                    HealthCheckEnded(
                        check.server,
                        AttemptResult.OK,
                        2.0 + late,
                        {"load": its} if setting == "health_checks_report_load" else {},
                    ),
                )
            taken.append(relay.attempted_servers(1) == [first])
        assert taken == stays


def test_server_with_the_group_is_preferred_to_a_less_loaded_one() -> None:
    """With reported loads, small load differences must not spread a group: its shared work costs more."""
    sent = []
    for held in (True, False):
        relay = RelayDriver(servers=4, health_checks_report_load=True)
        relay.balancer.load.load_per_weight = 20.0
        relay.request(1, group=7)
        first, second = (
            s.name
            for s in relay.balancer.groups.candidates(relay.balancer.requests[1], 7, MAX_CANDIDATES)[:2]
        )
        relay.finish_health_checks(0.7, {first: 0.4})
        assert relay.attempted_servers(1) == [first]
        if not held:
            relay.end_attempt(1, AttemptResult.CANCELLED, is_final=True)
        relay.now_ms += 2 * BUDGET_INTERVAL_MS
        relay.request(2, group=7)
        relay.finish_health_checks(0.7, {first: 0.6, second: 0.35})
        sent.append(relay.attempted_servers(2))
    assert sent == [[first], [second]]


def test_placement_checks_server_that_other_relays_may_have_filled() -> None:
    """Each of 40 relays has one connection of a group; only a health check shows the load of all of them."""
    homes: set[str] = set()
    for seed in range(40):
        relay = RelayDriver(servers=6, seed=seed, relay_count=40, health_checks_are_timed=True)
        for request, busy in ((1, frozenset[str]()), (2, frozenset(homes))):
            relay.now_ms += 2_000.0
            relay.request(request, group=7)
            while checks := relay.actions_of(CheckHealth):
                assert len(checks) <= 2  # each check has a cost
                for check in checks:
                    relay.actions.remove(check)
                    relay.deliver(
                        relay.now_ms + 2.0,
                        HealthCheckEnded(
                            check.server, AttemptResult.OK, 8.0 if check.server in busy else 2.0
                        ),
                    )
            (server,) = relay.attempted_servers(request)
            assert server not in busy
            if request == 1:
                homes.add(server)
        assert len(homes) == 1  # the same at all relays while no load is known


def test_group_stays_on_its_first_server_while_that_has_capacity() -> None:
    """Each server does a group's shared work: spread over 13 servers, groups cost as much as all clients."""
    relay = RelayDriver(servers=6, relay_count=40, health_checks_are_timed=True)
    for n in range(6):
        relay.deliver(1.0, HealthCheckEnded(f"s{n}", AttemptResult.OK, 2.0))
    first = ""
    for request in range(1, 9):
        relay.now_ms += 2_000.0
        relay.request(request, group=7)
        for check in relay.actions_of(CheckHealth):
            relay.actions.remove(check)
            latency_ms = 2.3 if check.server == first else 2.0  # 2.3 ms: a load of 0.36
            relay.deliver(relay.now_ms, HealthCheckEnded(check.server, AttemptResult.OK, latency_ms))
        first = first or relay.attempted_servers(request)[0]
        assert relay.attempted_servers(request) == [first]


def test_reconnect_goes_to_a_later_server_of_the_group() -> None:
    """The first server probably reset the connection, but seems healthy to the relay that gets the reconnect."""
    relay = RelayDriver(servers=8, relay_count=40, health_checks_are_timed=True)
    for n in range(8):
        relay.deliver(1.0, HealthCheckEnded(f"s{n}", AttemptResult.OK, 2.0))
    homes = [s.name for s in relay.balancer.groups.server_order(7)][:BASE_HOME_SERVERS]
    reconnect_servers = []
    for request in range(1, 41):
        relay.now_ms += 2_000.0
        relay.request(request, group=7, is_reconnect=bool(request % 2))
        for check in relay.actions_of(CheckHealth):
            relay.actions.remove(check)
            relay.deliver(relay.now_ms, HealthCheckEnded(check.server, AttemptResult.OK, 2.0))
        (server,) = relay.attempted_servers(request)
        if request % 2:
            reconnect_servers.append(server)
        else:
            assert server == homes[0]
        relay.deliver(relay.now_ms, RequestAbandoned(request))
    assert homes[0] not in reconnect_servers
    assert set(reconnect_servers) <= set(homes)
    assert len(set(reconnect_servers)) > 1


def test_reconnect_starts_at_first_server_where_load_is_reported() -> None:
    relay = RelayDriver(servers=8, relay_count=40, health_checks_report_load=True)
    homes = [s.name for s in relay.balancer.groups.server_order(7)]
    for request in range(1, 11):
        relay.now_ms += 2_000.0
        relay.request(request, group=7, is_reconnect=True)
        relay.finish_health_checks(0.3)
        assert relay.attempted_servers(request) == homes[:1]


@pytest.mark.parametrize("relays", [1, 40, 200])
def test_overloaded_group_is_not_spread_over_all_servers(relays: int) -> None:
    """Each server does a group's shared work: 95 pairs of server and group grew to 900, half of all work."""
    checked: set[str] = set()
    for seed in range(relays):
        relay = RelayDriver(servers=24, seed=seed, relay_count=relays, health_checks_are_timed=True)
        relay.request(1, group=7)
        while not relay.final_answers(1) and relay.now_ms < 2_000.0:
            for check in (checks := relay.actions_of(CheckHealth)):
                relay.actions.remove(check)
                relay.deliver(relay.now_ms + 1.0, HealthCheckEnded(check.server, AttemptResult.ERROR, 1.0))
                checked.add(check.server)
            relay.advance_to(relay.now_ms + (1.0 if checks else 50.0))
        # A server that rejects health checks counts as overloaded even if it answers fast.
        assert not relay.attempted_servers(1)
        assert isinstance(relay.final_answers(1)[0], Reject)
    assert len(checked) <= BASE_HOME_SERVERS


def test_large_group_gets_more_servers() -> None:
    sizes = []
    for part in (1, 8, 30):
        relay = RelayDriver(servers=24, relay_count=40)
        for request in range(1, 41):
            relay.request(request, group=7 if request <= part else 100 + request)
        sizes.append(len(relay.balancer.groups.candidates(relay.balancer.requests[part], 7, limit=24)))
    # With 40 relays, a small group has fewer home servers: each relay finds other servers full.
    assert sizes[0] < BASE_HOME_SERVERS <= sizes[1] < 8 < sizes[2] <= 20


def test_warming_up_server_takes_only_groups_that_belong_there() -> None:
    """A warming-up server took connections of any group at its turn, each with its group's shared work."""
    relay = RelayDriver(servers=12, slow_start_ms=9_000.0, slow_start_initial_fraction=0.3)
    relay.balancer.load.load_per_weight = 1e6  # high capacity: its slow-start turns are due at once
    relay.advance_to(100.0)
    relay.update_servers(ServerEntry("s0", zone="a", started_at_ms=100.0))
    relay.advance_to(200.0)
    for group in range(200):
        relay.request(group + 1, group=group)
    taken = [g for g in range(200) if relay.attempted_servers(g + 1) == ["s0"]]
    ranks = [[s.name for s in relay.balancer.groups.server_order(g)].index("s0") for g in taken]
    assert taken
    assert max(ranks) < BASE_HOME_SERVERS
