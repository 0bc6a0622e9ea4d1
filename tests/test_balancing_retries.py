"""Retries: execution semantics, final answers, timeouts and reconnects."""

from __future__ import annotations

import math

import pytest
from relay_driver import RelayDriver

from violetdoor.balancing.actions import (
    CheckHealth,
    FailRequest,
    Reject,
    StartAttempt,
)
from violetdoor.balancing.events import (
    AttemptResult,
    HealthCheckEnded,
    ServerEntry,
)
from violetdoor.balancing.retries import MIN_CONNECTIONS_FOR_BACKOFF, RECONNECT_BACKOFF_MS
from violetdoor.balancing.settings import DeduplicationScope, ExecutionSemantics, RequestClass

AT_MOST_ONCE_CLASS = RequestClass(latency_objective_ms=300.0, semantics=ExecutionSemantics.AT_MOST_ONCE)


DEDUPLICATED_CLASS = RequestClass(
    latency_objective_ms=300.0,
    semantics=ExecutionSemantics.DEDUPLICATED,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_ms=500.0,
)


@pytest.mark.parametrize(
    "cls",
    [RequestClass(latency_objective_ms=300.0), DEDUPLICATED_CLASS, AT_MOST_ONCE_CLASS],
    ids=["safe", "keyed", "unsafe"],
)
@pytest.mark.parametrize(
    "result",
    [AttemptResult.OVERLOADED, AttemptResult.TIMEOUT, AttemptResult.ERROR, AttemptResult.UNREACHABLE],
)
def test_one_final_answer_in_time_and_one_attempt_in_flight(cls: RequestClass, result: AttemptResult) -> None:
    relay = RelayDriver(servers=6, classes={"feed": cls})
    relay.request(1, time_left_ms=1000.0)
    for _ in range(8):
        before = len(relay.attempted_servers(1))
        if relay.final_answers(1):
            break
        relay.advance_to(relay.now_ms + 50.0)
        assert len(relay.attempted_servers(1)) == before  # nothing while an attempt is in flight
        relay.end_attempt(1, result)
    relay.advance_to(1100.0)
    assert len(relay.final_answers(1)) == 1
    assert len(relay.attempted_servers(1)) <= 4
    relay.advance_to(5000.0)
    assert len(relay.final_answers(1)) == 1


def test_at_most_once_request_that_may_have_been_executed_fails_without_retry() -> None:
    relay = RelayDriver(classes={"feed": AT_MOST_ONCE_CLASS})
    relay.request(1)
    relay.end_attempt(1, AttemptResult.TIMEOUT)
    assert len(relay.attempted_servers(1)) == 1
    relay.advance_to(2500.0)
    assert [type(a) for a in relay.final_answers(1)] == [FailRequest]


def test_at_most_once_request_proven_not_executed_is_retried_elsewhere() -> None:
    relay = RelayDriver(classes={"feed": AT_MOST_ONCE_CLASS})
    relay.request(1)
    relay.end_attempt(1, AttemptResult.OVERLOADED)
    assert len(set(relay.attempted_servers(1))) == 2


def test_deduplicated_retry_stays_in_cell_and_window() -> None:
    relay = RelayDriver(servers=0, classes={"feed": DEDUPLICATED_CLASS})
    relay.update_servers(*(ServerEntry(f"c{n}", zone="a", cell=n % 3) for n in range(9)))
    relay.request(1)
    relay.advance_to(10.0)
    relay.end_attempt(1, AttemptResult.RESET)
    first, second = relay.attempted_servers(1)
    assert int(first[1]) % 3 == int(second[1]) % 3
    assert [a.start_by_ms for a in relay.actions_of(StartAttempt)] == [
        math.inf,
        9.0 + DEDUPLICATED_CLASS.deduplication_window_ms,
    ]
    relay.advance_to(700.0)
    relay.end_attempt(1, AttemptResult.RESET)
    relay.advance_to(2500.0)
    assert len(relay.attempted_servers(1)) == 2
    assert [type(a) for a in relay.final_answers(1)] == [FailRequest]


def test_attempt_timeout_leaves_time_for_a_retry_and_the_final_answer() -> None:
    relay = RelayDriver(max_attempts=2)
    relay.request(1, time_left_ms=1000.0)
    relay.advance_to(600.0)
    relay.end_attempt(1, AttemptResult.TIMEOUT)
    first, second = relay.actions_of(StartAttempt)
    assert first.timeout_at_ms <= 600.0
    assert second.timeout_at_ms < 1000.0


def test_widespread_timeouts_get_all_the_time_and_no_retry() -> None:
    """A slow session store stayed jammed for 10 s after it recovered, because of retries."""
    relay = RelayDriver(servers=20)
    for n in range(8):
        relay.request(n + 1)
        relay.advance_to(relay.now_ms + 10)
        relay.end_attempt(n + 1, AttemptResult.TIMEOUT)
    relay.actions.clear()
    relay.request(50)
    send = relay.actions_of(StartAttempt)[-1]
    assert send.timeout_at_ms > relay.now_ms + 1900
    relay.advance_to(relay.now_ms + 300)
    relay.end_attempt(50, AttemptResult.TIMEOUT)
    assert len(relay.attempted_servers(50)) == 1
    assert [type(a) for a in relay.final_answers(50)] == [Reject]


def test_single_timeout_is_retried_elsewhere() -> None:
    relay = RelayDriver(servers=20)
    relay.request(1)
    relay.advance_to(1000.0)
    relay.end_attempt(1, AttemptResult.TIMEOUT)
    assert len(set(relay.attempted_servers(1))) == 2


@pytest.mark.parametrize("scope", [DeduplicationScope.ALL, DeduplicationScope.ZONE])
def test_deduplication_scope_decides_retry_server_and_final_answer(
    scope: DeduplicationScope,
) -> None:
    keyed = RequestClass(
        latency_objective_ms=300.0,
        semantics=ExecutionSemantics.DEDUPLICATED,
        deduplication_scope=scope,
        deduplication_window_ms=5000.0,
    )
    relay = RelayDriver(servers=0, classes={"feed": keyed}, max_attempts=2)
    relay.update_servers(*(ServerEntry(f"z{n}", zone="ab"[n % 2]) for n in range(8)))
    relay.request(1)
    relay.advance_to(10.0)
    relay.end_attempt(1, AttemptResult.RESET)
    first, second = relay.attempted_servers(1)
    if scope is DeduplicationScope.ZONE:
        assert int(first[1]) % 2 == int(second[1]) % 2
    relay.end_attempt(1, AttemptResult.RESET)
    assert [type(a) for a in relay.final_answers(1)] == [
        Reject if scope is DeduplicationScope.ALL else FailRequest
    ]


def reset_connection(relay: RelayDriver, request: int, result: AttemptResult = AttemptResult.OK) -> None:
    """Reset an established connection; the health check of whether its server runs ends with `result`."""
    server = relay.attempted_servers(request)[-1]
    relay.end_attempt(request, AttemptResult.RESET, is_final=True)
    for check in [check for check in relay.actions_of(CheckHealth) if check.server == server]:
        relay.actions.remove(check)
        relay.deliver(relay.now_ms, HealthCheckEnded(check.server, result, 2.0))


def is_placed(relay: RelayDriver, request: int, *, is_reconnect: bool = True) -> bool:
    """Return whether a new client or a reconnect is placed; else it is rejected at once."""
    relay.actions = [a for a in relay.actions if not isinstance(a, CheckHealth)]
    relay.request(request, group=request, is_reconnect=is_reconnect)
    if relay.final_answers(request):
        assert isinstance(relay.final_answers(request)[0], Reject)
        return False
    for check in relay.actions_of(CheckHealth):
        relay.actions.remove(check)
        relay.deliver(relay.now_ms, HealthCheckEnded(check.server, AttemptResult.OK, 2.0))
    return bool(relay.attempted_servers(request))


def relay_with_connections(count: int) -> RelayDriver:
    """Return a relay with so many established connections."""
    relay = RelayDriver(servers=8, relay_count=40, health_checks_are_timed=True)
    for request in range(1, count + 1):
        assert is_placed(relay, request, is_reconnect=False)
        relay.establish(request)
    return relay


def test_reconnects_are_rejected_while_running_servers_reset_connections() -> None:
    """An overloaded server resets its heaviest; these reconnect elsewhere and cause the next resets: a storm."""
    relay = relay_with_connections(20)
    assert is_placed(relay, 100)
    reset_connection(relay, 1)
    assert not is_placed(relay, 101)
    assert is_placed(relay, 102, is_reconnect=False)  # a new client is not held back
    # A relay with more connections has a smaller part of the loss, and a shorter pause.
    relay.now_ms += RECONNECT_BACKOFF_MS / 20 + 1_000.0
    assert is_placed(relay, 103)


def test_reconnect_pause_is_bounded_with_few_connections() -> None:
    relay = relay_with_connections(1)
    reset_connection(relay, 1)
    assert not is_placed(relay, 101)
    relay.now_ms += RECONNECT_BACKOFF_MS / MIN_CONNECTIONS_FOR_BACKOFF + 1.0
    assert is_placed(relay, 102)


@pytest.mark.parametrize("result", [AttemptResult.UNREACHABLE, AttemptResult.TIMEOUT, AttemptResult.RESET])
def test_reconnects_after_server_failure_are_placed_at_once(result: AttemptResult) -> None:
    """After the loss of a zone its clients reach all relays together, and nothing is to hold them back."""
    relay = relay_with_connections(8)
    reset_connection(relay, 1, result)
    assert is_placed(relay, 101)


def test_reset_before_establishment_starts_no_reconnect_pause() -> None:
    relay = relay_with_connections(8)
    assert is_placed(relay, 50, is_reconnect=False)
    relay.end_attempt(50, AttemptResult.RESET)
    for check in relay.actions_of(CheckHealth):
        relay.deliver(relay.now_ms, HealthCheckEnded(check.server, AttemptResult.OK, 2.0))
    assert is_placed(relay, 101)
