"""Group affinity: connections of one group share servers."""

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
from violetdoor.balancing.group_affinity import MIN_HOME_SERVERS
from violetdoor.balancing.placement import MAX_CANDIDATES
from violetdoor.balancing.timed_health_checks import CHECK_JITTER_MS


def test_group_is_placed_on_the_same_server_by_all_relays() -> None:
    """A server pays once for a group: spread over all servers a group costs as often as there are servers."""
    met = set()
    for seed in range(8):
        relay = RelayDriver(servers=12, seed=seed)
        for n in range(3):
            relay.request(n + 1, group=77)
        met |= {s for n in range(3) for s in relay.attempted_servers(n + 1)}
    assert len(met) == 1
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
    """One server had 180 connections and another 7; few own connections make a poor estimate in a large fleet."""
    for size, spilled in ((3, False), (60, True)):
        relay = RelayDriver(servers=4)
        for n in range(12 if spilled else 200):
            relay.request(1000 + n, group=n)
        relay.advance_to(1200.0)
        for n in range(size):
            relay.request(n + 1, group=77)
        assert (len({s for n in range(size) for s in relay.attempted_servers(n + 1)}) > 1) is spilled


def test_group_checks_servers_again_when_overload_reports_are_old() -> None:
    """Once all of them were overloaded nothing was sent or checked any more, though they had long been idle."""
    relay = RelayDriver(servers=3, health_checks_report_load=True)
    relay.request(1, group=7)
    relay.finish_health_checks(0.9)
    assert not relay.attempted_servers(1)
    relay.advance_to(9000.0)
    relay.request(2, group=7)
    relay.finish_health_checks(0.1)
    assert len(relay.attempted_servers(2)) == 1


def test_group_leaves_its_first_server_for_one_with_much_more_capacity() -> None:
    # A health check's time tells load less certainly than a report, so more has to be gained there.
    for way, stays in (
        ("health_checks_report_load", [True, True, False, False]),
        ("health_checks_are_timed", [True, True, True, False]),
    ):
        taken = []
        for load in (0.6, 0.55, 0.4, 0.1):
            relay = RelayDriver(servers=4, **{way: True})  # type: ignore[arg-type]
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
                        {"load": its} if way == "health_checks_report_load" else {},
                    ),
                )
            taken.append(relay.attempted_servers(1) == [first])
        assert taken == stays


def test_server_with_the_group_is_preferred_to_a_less_loaded_one() -> None:
    """Where loads are reported: members spread by small differences cost more than they gained."""
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
    """Each of forty relays has one connection of a group; only a health check tells what all have sent."""
    homes: set[str] = set()
    for seed in range(40):
        relay = RelayDriver(servers=6, seed=seed, relay_count=40, health_checks_are_timed=True)
        for request, busy in ((1, frozenset[str]()), (2, frozenset(homes))):
            relay.now_ms += 2_000.0
            relay.request(request, group=7)
            while checks := relay.actions_of(CheckHealth):
                assert len(checks) <= 2  # each has its cost
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
        assert len(homes) == 1  # the same at all relays while nothing is known


def test_group_stays_on_its_first_server_while_that_has_capacity() -> None:
    """Each server that holds any of a group pays for it: spread over thirteen, groups cost as much as all clients."""
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
    """Its first server probably reset it, and to the relay that gets it now that server looks sound."""
    relay = RelayDriver(servers=8, relay_count=40, health_checks_are_timed=True)
    for n in range(8):
        relay.deliver(1.0, HealthCheckEnded(f"s{n}", AttemptResult.OK, 2.0))
    homes = [s.name for s in relay.balancer.groups.server_order(7)][:MIN_HOME_SERVERS]
    gone = []
    for request in range(1, 41):
        relay.now_ms += 2_000.0
        relay.request(request, group=7, is_reconnect=bool(request % 2))
        for check in relay.actions_of(CheckHealth):
            relay.actions.remove(check)
            relay.deliver(relay.now_ms, HealthCheckEnded(check.server, AttemptResult.OK, 2.0))
        (server,) = relay.attempted_servers(request)
        if request % 2:
            gone.append(server)
        else:
            assert server == homes[0]
        relay.deliver(relay.now_ms, RequestAbandoned(request))
    assert homes[0] not in gone
    assert set(gone) <= set(homes)
    assert len(set(gone)) > 1


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
    """Each server with any of it pays for it: 95 pairs of server and group became 900, half of all work."""
    looked: set[str] = set()
    for seed in range(relays):
        relay = RelayDriver(servers=24, seed=seed, relay_count=relays, health_checks_are_timed=True)
        relay.request(1, group=7)
        while not relay.final_answers(1) and relay.now_ms < 2_000.0:
            for check in (checks := relay.actions_of(CheckHealth)):
                relay.actions.remove(check)
                relay.deliver(relay.now_ms + 1.0, HealthCheckEnded(check.server, AttemptResult.ERROR, 1.0))
                looked.add(check.server)
            relay.advance_to(relay.now_ms + (1.0 if checks else 50.0))
        # A server that rejects health checks has no capacity, however quickly it answers.
        assert not relay.attempted_servers(1)
        assert isinstance(relay.final_answers(1)[0], Reject)
    assert len(looked) <= MIN_HOME_SERVERS


def test_large_group_gets_more_servers() -> None:
    sizes = []
    for part in (1, 8, 30):
        relay = RelayDriver(servers=24, relay_count=40)
        for request in range(1, 41):
            relay.request(request, group=7 if request <= part else 100 + request)
        sizes.append(len(relay.balancer.groups.candidates(relay.balancer.requests[part], 7, limit=24)))
    # Each of 40 relays finds other servers full.
    assert sizes[0] < MIN_HOME_SERVERS <= sizes[1] < 8 < sizes[2] <= 20


def test_warming_up_server_takes_only_groups_that_belong_there() -> None:
    """Servers that warm up took whoever had their turn: each such connection brought its group's work along."""
    relay = RelayDriver(servers=12, slow_start_ms=9_000.0, slow_start_initial_fraction=0.3)
    relay.balancer.load.load_per_weight = 1e6  # its slow-start turns come at once
    relay.advance_to(100.0)
    relay.update_servers(ServerEntry("s0", zone="a", started_at_ms=100.0))
    relay.advance_to(200.0)
    for group in range(200):
        relay.request(group + 1, group=group)
    taken = [g for g in range(200) if relay.attempted_servers(g + 1) == ["s0"]]
    ranks = [[s.name for s in relay.balancer.groups.server_order(g)].index("s0") for g in taken]
    assert taken
    assert max(ranks) < MIN_HOME_SERVERS
