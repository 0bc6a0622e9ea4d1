"""The complete decision module, driven by events."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from relay_driver import RelayDriver

from violetdoor import balancing, simhost
from violetdoor.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionAdopted,
    PeerMessage,
    RequestAbandoned,
    ServerListKind,
    ServerState,
    TimerFired,
)
from violetdoor.configuration.platform_form import Facts


def test_modules_are_small_and_narrow() -> None:
    for path in (*Path(balancing.__file__).parent.glob("*.py"), *Path(simhost.__file__).parent.glob("*.py")):
        lines = path.read_text().splitlines()
        assert len(lines) <= 400, path
        assert max(map(len, lines), default=0) <= 110, path


def test_finished_requests_leave_no_state() -> None:
    relay = RelayDriver(servers=3)
    for n in range(30):
        relay.request(n + 1)
        relay.end_attempt(n + 1, AttemptResult.OK, is_final=True)
    assert not relay.balancer.requests
    assert not any(s.connections for s in relay.balancer.servers.values())
    assert relay.balancer.context.tenants[""].connection_count == 0
    relay.deliver(9.0, AttemptEnded(1, 0, "s0", AttemptResult.OK, 1.0, is_final=True))
    relay.deliver(9.0, TimerFired("1"))


def test_same_events_give_same_actions() -> None:
    logs = []
    for _ in range(2):
        relay = RelayDriver(servers=7, seed=5, health_checks_report_load=True)
        for n in range(20):
            relay.request(n + 1)
            relay.finish_health_checks(0.4 + 0.02 * n)
            relay.advance_to(relay.now_ms + 100.0)
        logs.append(relay.actions)
    assert logs[0] == logs[1]


def test_adopted_connections_count_until_they_end() -> None:
    relay = RelayDriver()
    relay.deliver(0.0, ConnectionAdopted(7, "feed", "s1", "t", load=3.0))
    assert relay.balancer.context.tenants["t"].load == 3.0
    relay.deliver(5.0, AttemptEnded(7, 0, "s1", AttemptResult.RESET, 5.0, is_final=True))
    assert relay.balancer.context.tenants["t"].connection_count == 0
    assert not relay.balancer.requests


def test_abandoned_request_gets_no_attempt_and_no_answer() -> None:
    relay = RelayDriver(health_checks_report_load=True)
    relay.request(1)
    relay.deliver(1.0, RequestAbandoned(1))
    relay.finish_health_checks(0.1)
    relay.advance_to(4000.0)
    assert relay.attempted_servers(1) == []
    assert relay.final_answers(1) == []


def test_peer_message_is_ignored() -> None:
    relay = RelayDriver()
    assert relay.deliver(0.5, PeerMessage(3, b"hi")) == []


@pytest.mark.parametrize("balancers", [0, -1, "many", 1.5])
def test_invalid_relay_count_is_rejected(balancers: object) -> None:
    facts = {"classes": [{"name": "a", "goalTime": 1.0, "hardLimit": 2.0}], "policyLimits": {"sendCap": 1}}
    assert msgspec.convert(facts, Facts).relay_count == 1  # absent: this relay alone
    with pytest.raises(msgspec.ValidationError, match="balancers"):
        msgspec.convert(facts | {"balancers": balancers}, Facts)


def test_values_of_enums_that_counters_and_stored_state_are_named_by_stay() -> None:
    assert [result.value for result in AttemptResult] == [
        "ok",
        "error",
        "full",
        "timeout",
        "unreachable",
        "reset",
        "cancelled",
        "void",
    ]
    assert [state.value for state in ServerState] == ["ready", "draining", "gone"]
    assert [kind.value for kind in ServerListKind] == ["changes", "complete", "remembered", "refused"]
