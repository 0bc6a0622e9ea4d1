"""Load estimation, outlier detection and migration."""

from __future__ import annotations

import pytest
from relay_driver import RelayDriver

from violetdoor.balancing.actions import (
    CheckHealth,
    Migrate,
    StartAttempt,
)
from violetdoor.balancing.events import (
    AttemptResult,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionMeasured,
    HealthCheckEnded,
    MeasurementKind,
)
from violetdoor.balancing.load_estimation import MAX_LOCAL_LOAD


def test_outlier_loses_health_at_once_and_recovers() -> None:
    relay = RelayDriver(servers=2)
    relay.request(1)
    outlier = relay.attempted_servers(1)[0]
    relay.end_attempt(1, AttemptResult.ERROR)
    assert relay.balancer.servers[outlier].health < 0.5
    relay.advance_to(20_000.0)
    assert relay.balancer.servers[outlier].health == 1.0


def test_overloaded_server_loses_connections_once_per_migration_interval() -> None:
    relay = RelayDriver(servers=1)
    for n in range(40):
        relay.request(n + 1)
    server = relay.balancer.servers["s0"]
    for load, moves in ((0.9, 0), (3.0, 30), (3.0, 30)):
        relay.balancer.context.actions = relay.actions
        relay.balancer.load_reports.record(server, {"load": load})
        assert len(relay.actions_of(Migrate)) == pytest.approx(moves, abs=6)


def test_load_sent_by_other_relays_is_anticipated() -> None:
    """After the loss of a zone, all relays saw the same free capacity and together overloaded it."""
    relay = RelayDriver(servers=4)
    for n in range(10):
        relay.request(n + 1)
    relay.balancer.load.fleet_load = 0.5
    assert relay.balancer.load.load_sent_since_reports() == pytest.approx(MAX_LOCAL_LOAD)
    relay.advance_to(5000.0)
    relay.request(20)
    assert 0 < relay.balancer.load.load_sent_since_reports() < 0.06


def test_late_message_starts_a_health_check() -> None:
    relay = RelayDriver(servers=1, health_checks_report_load=True)
    relay.request(1)
    relay.finish_health_checks(0.5)
    relay.advance_to(3000.0)
    relay.deliver(3000.0, ConnectionMeasured(1, 0, "s0", MeasurementKind.MESSAGE_DELAY, 400.0))
    assert relay.actions_of(CheckHealth) == [CheckHealth("s0")]


def test_load_measurement_changes_the_tenants_load() -> None:
    relay = RelayDriver(servers=1)
    relay.request(1, load=10.0)
    relay.deliver(1.0, ConnectionMeasured(1, 0, "s0", MeasurementKind.LOAD, 25.0))
    assert relay.balancer.context.tenants[""].load == 25.0


def test_requests_without_load_hint_count_one_each_and_ignore_load_measurements() -> None:
    relay = RelayDriver()
    relay.request(1)
    relay.deliver(1.0, ConnectionMeasured(1, 0, "s0", MeasurementKind.LOAD, 25.0))
    assert relay.balancer.context.tenants[""].load == 1.0


def test_no_health_check_where_settings_forbid_them() -> None:
    relay = RelayDriver(servers=3, health_checks_report_load=False)
    for n in range(9):
        relay.request(n + 1)
        relay.deliver(
            relay.now_ms,
            ConnectionMeasured(
                n + 1, 0, relay.attempted_servers(n + 1)[0], MeasurementKind.MESSAGE_DELAY, 20.0
            ),
        )
    relay.advance_to(5000.0)
    assert not relay.actions_of(CheckHealth)


def test_load_report_without_load_is_accepted() -> None:
    relay = RelayDriver(servers=2, health_checks_report_load=True)
    relay.request(1)
    for check in relay.actions_of(CheckHealth):
        relay.deliver(
            1.0, HealthCheckEnded(check.server, AttemptResult.OK, 1.0, {"queue": 3.0, "unheard_of": 1.0})
        )
    assert len(relay.attempted_servers(1)) == 1


def test_late_messages_show_overload_where_nothing_reports_load() -> None:
    """The server gets no new connections and loses some, until its messages are in time again."""
    relay = RelayDriver(servers=2)
    for n in range(20):
        relay.request(n + 1)
    late = relay.attempted_servers(1)[0]
    relay.deliver(10.0, ConnectionMeasured(1, 0, late, MeasurementKind.MESSAGE_DELAY, 700.0))
    assert 0 < len(relay.actions_of(Migrate)) < 10
    for n in range(20, 30):
        relay.request(n + 1)
        assert relay.attempted_servers(n + 1)
        assert relay.attempted_servers(n + 1)[0] != late
    relay.deliver(20.0, ConnectionMeasured(1, 0, late, MeasurementKind.MESSAGE_DELAY, 5.0))
    for n in range(30, 50):
        relay.request(n + 1)
    assert any(relay.attempted_servers(n + 1)[0] == late for n in range(30, 50))


def test_own_connections_estimate_load_where_nothing_reports_it() -> None:
    """Without the estimate, the candidate of the largest weight always won; 3 of 4 servers stayed almost idle."""
    relay = RelayDriver(servers=2, weights=[1.0, 3.0])
    for n in range(80):
        relay.request(n + 1)
        if n == 40:
            relay.advance_to(1200.0)
    assert sum(relay.attempted_servers(n + 1) == ["s0"] for n in range(80)) == pytest.approx(20, abs=2)


def test_late_messages_on_most_servers_make_budgets_bind() -> None:
    """Without reports, budgets limited nothing: an overloaded fleet accepted all requests and served none."""
    relay = RelayDriver(servers=4)
    for n in range(40):
        relay.request(n + 1)
    for n in range(40):
        relay.deliver(
            10.0,
            ConnectionMeasured(
                n + 1, 0, relay.attempted_servers(n + 1)[0], MeasurementKind.MESSAGE_DELAY, 60.0
            ),
        )
    relay.advance_to(1200.0)
    assert relay.balancer.context.tenants[""].connection_limit < 40


def test_overload_seen_by_message_delay_expires_without_connections() -> None:
    """Without connections there are no new measurements, so half of the servers stayed unused permanently."""
    relay = RelayDriver(servers=2)
    relay.request(1)
    server = relay.attempted_servers(1)[0]
    relay.deliver(10.0, ConnectionMeasured(1, 0, server, MeasurementKind.MESSAGE_DELAY, 60.0))
    relay.end_attempt(1, AttemptResult.CANCELLED, is_final=True)
    relay.advance_to(6000.0)
    for n in range(10):
        relay.request(n + 2)
    assert any(relay.attempted_servers(n + 2) == [server] for n in range(10))


def test_slow_connection_setup_counts_as_overload() -> None:
    """Detects an overloaded server without load reports and late messages."""
    relay = RelayDriver(servers=4)
    for n in range(1, 21):
        relay.request(n)
        (server,) = relay.attempted_servers(n)
        relay.deliver(
            relay.now_ms + 10.0, ConnectionEstablished(n, 0, server, 60.0 if server == "s0" else 5.0)
        )
    sent = [relay.attempted_servers(n)[0] for n in range(1, 21)]
    assert 1 <= sent.count("s0") <= 3 < sent.count("s1")
    moved = {m.request_id for m in relay.actions_of(Migrate)}
    assert moved <= {n for n in range(1, 21) if sent[n - 1] == "s0"}


def test_unreachable_server_is_ejected_at_once() -> None:
    """The list drops a dead server seconds late; meanwhile, each relay attempted it three times or more."""
    relay = RelayDriver(servers=4, max_attempts=3)
    for request in range(1, 9):
        relay.request(request)
    dead = relay.attempted_servers(1)[0]
    for request in range(1, 9):
        if relay.attempted_servers(request)[-1] == dead:
            relay.end_attempt(request, AttemptResult.UNREACHABLE)
    before = sum(a.server == dead for a in relay.actions_of(StartAttempt))
    for request in range(10, 60):
        relay.request(request)
    assert sum(a.server == dead for a in relay.actions_of(StartAttempt)) <= before + 3


def test_migration_begins_with_groups_far_from_home() -> None:
    """Migrating random connections split groups, so that both servers had to do their shared work."""
    relay = RelayDriver(servers=12)
    server = relay.balancer.servers["s0"]
    groups = sorted(range(200), key=lambda g: relay.balancer.groups.server_order(g).index(server))
    for request, group in enumerate(groups[:8] + groups[-8:]):
        relay.deliver(relay.now_ms, ConnectionAdopted(request, "feed", "s0", group=group))
    relay.deliver(relay.now_ms, ConnectionMeasured(0, 0, "s0", MeasurementKind.MESSAGE_DELAY, 1_000.0))
    moved = {a.request_id for a in relay.actions_of(Migrate)}
    assert 4 <= len(moved) <= 8
    assert moved <= set(range(8, 16))


def test_delay_within_objective_ejects_server_but_migrates_nothing() -> None:
    """At 30 ms of 50 ms, objectives are met; if 40 relays each migrate a third at once, the server empties."""
    relay = RelayDriver(servers=1)
    for request in range(1, 41):
        relay.request(request)
        relay.establish(request)
    relay.deliver(relay.now_ms, ConnectionMeasured(1, 0, "s0", MeasurementKind.MESSAGE_DELAY, 30.0))
    assert not relay.actions_of(Migrate)
    assert relay.balancer.avoided_servers() == {"s0"}
    relay.deliver(relay.now_ms, ConnectionMeasured(1, 0, "s0", MeasurementKind.MESSAGE_DELAY, 400.0))
    assert 5 <= len(relay.actions_of(Migrate)) <= 24


def test_migrated_fraction_grows_with_message_delay() -> None:
    """Migrating a third at every delay was three times too much at 60 ms and too little at one second."""
    moved = []
    for delay in (60.0, 300.0, 1_200.0):
        relay = RelayDriver(servers=1)
        for request in range(1, 201):
            relay.request(request)
            relay.establish(request)
        relay.deliver(relay.now_ms, ConnectionMeasured(1, 0, "s0", MeasurementKind.MESSAGE_DELAY, delay))
        moved.append(len(relay.actions_of(Migrate)) / 200)
    assert moved[0] < 0.16 < moved[1] < 0.45
    assert moved[1] < moved[2] < 0.6
