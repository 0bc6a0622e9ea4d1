"""Placement: weighted round robin, zones, and health checks before the choice of a server."""

from __future__ import annotations

from collections import Counter

import pytest
from relay_driver import RelayDriver

from violetdoor.balancing.actions import (
    CheckHealth,
    StartAttempt,
)
from violetdoor.balancing.events import (
    AttemptResult,
    HealthCheckEnded,
    RequestArrived,
    ServerEntry,
    ServerState,
)


def test_turns_follow_listed_weights() -> None:
    relay = RelayDriver(weights=[1.0, 2.0, 3.0] * 5)
    order = relay.balancer.placement.next_candidates
    request = relay.balancer.admission.register(RequestArrived(9, "feed", 2000.0), 2000.0)
    counts = Counter(int(server.name[1:]) % 3 for _ in range(600) for server in order(request))
    total = sum(counts.values())
    assert [counts[n] / total for n in range(3)] == pytest.approx([1 / 6, 2 / 6, 3 / 6], abs=0.02)


def test_equal_servers_get_equal_turns_without_load_reports() -> None:
    relay = RelayDriver(servers=5)
    for n in range(100):
        relay.request(n + 1)
    counts = Counter(a.server for a in relay.actions_of(StartAttempt))
    assert max(counts.values()) - min(counts.values()) <= 2


def test_relays_start_at_different_places_in_the_rotation() -> None:
    first = {RelayDriver(servers=30, seed=s).request(1)[-1] for s in range(12)}
    assert len({a.server for a in first if isinstance(a, StartAttempt)}) > 5


def test_candidate_with_most_capacity_is_chosen() -> None:
    relay = RelayDriver(servers=4, health_checks_report_load=True)
    relay.request(1)
    relay.finish_health_checks(0.7, {"s2": 0.1})
    assert relay.attempted_servers(1) == ["s2"]


def test_request_waits_until_a_candidate_has_capacity() -> None:
    relay = RelayDriver(servers=4, health_checks_report_load=True)
    relay.request(1)
    relay.finish_health_checks(1.4)
    assert relay.attempted_servers(1) == []
    for _ in range(10):
        relay.advance_to(relay.now_ms + 50)
        relay.finish_health_checks(0.3)
    assert len(relay.attempted_servers(1)) == 1


def test_server_without_health_check_answer_is_chosen_last() -> None:
    relay = RelayDriver(servers=2, health_checks_report_load=True)
    relay.request(1)
    for p in relay.actions_of(CheckHealth):
        if p.server == "s1":
            relay.deliver(2.0, HealthCheckEnded("s1", AttemptResult.OK, 1.0, {"load": 0.7}))
    relay.advance_to(200.0)
    assert relay.attempted_servers(1) == ["s1"]


def test_other_zone_is_chosen_only_where_capacity_outweighs_its_price() -> None:
    for other, want in ((0.5, "s0"), (0.2, "far")):
        relay = RelayDriver(servers=1, health_checks_report_load=True, cross_zone_price=0.02)
        relay.update_servers(ServerEntry("far", zone="b"))
        relay.request(1)
        relay.finish_health_checks(0.55, {"far": other})
        assert relay.attempted_servers(1) == [want]


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_draining_or_removed_server_gets_no_new_connection(state: ServerState) -> None:
    relay = RelayDriver(servers=3)
    relay.update_servers(ServerEntry("s1", zone="a", state=state))
    for n in range(12):
        relay.request(n + 1)
    assert Counter(a.server for a in relay.actions_of(StartAttempt)).keys() == {"s0", "s2"}


def test_server_draining_during_its_health_check_is_not_chosen() -> None:
    relay = RelayDriver(servers=2, health_checks_report_load=True)
    relay.request(1)
    relay.update_servers(ServerEntry("s1", zone="a", state=ServerState.DRAINING))
    relay.finish_health_checks(0.5, {"s1": 0.0})
    assert relay.attempted_servers(1) == ["s0"]


def test_heavy_connection_is_placed_where_a_light_one_is() -> None:
    """In a fleet filled by light connections, heavy ones with most of the priority weight were rejected."""
    relay = RelayDriver(servers=2, health_checks_report_load=True)
    relay.balancer.load.load_per_weight = 10.0
    for number, load in ((1, 0.1), (2, 5.0)):
        relay.advance_to(relay.now_ms + 500.0)
        relay.request(number, load=load)
        relay.finish_health_checks(0.7)
        assert len(relay.attempted_servers(number)) == 1
