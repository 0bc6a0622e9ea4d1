"""The ids by which a subscription of the NATS front recognizes a second copy of a message."""

from __future__ import annotations

import pytest

from violetdoor.fronts.nats.message_ids import RETENTION_SECONDS, RecentMessageIds, RetentionBudget
from violetdoor.net.counters import Counters


def message_id(number: int) -> bytes:
    return b"id-%d" % number


def add_all(ids: RecentMessageIds, numbers: range, now: float) -> list[bool]:
    return [ids.add(message_id(number), now) for number in numbers]


def test_second_copy_is_recognized_for_the_retention_time_at_any_rate() -> None:
    """Guards against a limit by count, which a busy subscription reaches before a stopped server continues."""
    ids = RecentMessageIds(128, RetentionBudget(Counters()))
    assert all(add_all(ids, range(100), 10.0))
    for second in range(1, int(RETENTION_SECONDS)):
        assert all(add_all(ids, range(1000 * second, 1000 * second + 500), 10.0 + second))
        assert not any(add_all(ids, range(100), 10.0 + second))


def test_last_ids_are_recognized_however_old_they_are() -> None:
    ids = RecentMessageIds(128, RetentionBudget(Counters()))
    for number in range(1000):
        assert ids.add(message_id(number), number * RETENTION_SECONDS)
        oldest = max(0, number - 127)
        assert not ids.add(message_id(oldest), number * RETENTION_SECONDS)


def test_server_that_continues_after_the_retention_time_breaks_the_assumption() -> None:
    ids = RecentMessageIds(1, RetentionBudget(Counters()))
    ids.add(message_id(0), 0.0)
    for number, now in enumerate((RETENTION_SECONDS, 2 * RETENTION_SECONDS), start=1):
        ids.add(message_id(number), now)
    assert ids.add(message_id(0), 2 * RETENTION_SECONDS), "forgotten, so a second copy is delivered"


@pytest.mark.parametrize("min_count", [1, 128])
def test_retained_ids_are_bounded_and_early_forgetting_is_counted(min_count: int) -> None:
    counts = Counters()
    budget = RetentionBudget(counts, max_ids=1000)
    subscriptions = [RecentMessageIds(min_count, budget) for _ in range(4)]
    for number in range(20_000):
        assert subscriptions[number % 4].add(message_id(number), 0.0)
        assert budget.retained_ids <= 1000 + 4 * 2 * min_count
    assert counts["message_ids_forgotten_early"] > 0
    for number in range(20_000 - 4 * min_count, 20_000):
        assert not subscriptions[number % 4].add(message_id(number), 0.0), "the last ones of each"
    for subscription in subscriptions:
        subscription.clear()
    assert budget.retained_ids == 0
