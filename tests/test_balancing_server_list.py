"""The server list: updates, polls and their backoff."""

from __future__ import annotations

import heapq
import itertools

import pytest
from relay_driver import RelayDriver

from violetdoor.balancing.actions import (
    SetTimer,
    StartAttempt,
    WatchServerList,
)
from violetdoor.balancing.events import (
    ServerEntry,
    ServerListKind,
)

POLL_TIME_MS, POLL_TIMEOUT_MS = 118.0, 2_000.0  # discovery serves 8 polls per second and drops older ones


def test_complete_list_removes_missing_server_until_it_is_listed_again() -> None:
    relay = RelayDriver(servers=2)
    relay.update_servers(relay.entries[0], kind=ServerListKind.COMPLETE)
    for n in range(4):
        relay.request(n + 1)
    assert {a.server for a in relay.actions_of(StartAttempt)} == {"s0"}
    relay.update_servers(relay.entries[1])
    for n in range(10, 18):
        relay.request(n)
    assert "s1" in {a.server for a in relay.actions_of(StartAttempt)}


def test_polling_relay_polls_soon_and_again_after_failure() -> None:
    relay = RelayDriver(servers=0, polls_server_list=True, poll_deadline_ms=10_000.0)
    relay.update_servers(ServerEntry("s0", zone="a"), kind=ServerListKind.CACHED)
    relay.advance_to(2000.0)
    assert len(relay.actions_of(WatchServerList)) == 1
    for n in range(6):
        relay.update_servers(kind=ServerListKind.FAILED)
        relay.advance_to(relay.now_ms + 2600.0)
        assert len(relay.actions_of(WatchServerList)) == n + 2


class Discovery:
    """Serves the polls of all relays in sequence; a poll that times out fails, but still takes its time."""

    def __init__(self) -> None:
        self.idle_at, self.served, self.failed = 0.0, 0, 0

    def poll(self, now: float) -> tuple[float, bool]:
        """Return the time of the answer, and whether it contains the list."""
        self.idle_at = max(self.idle_at, now) + POLL_TIME_MS
        is_late = self.idle_at > now + POLL_TIMEOUT_MS
        self.failed, self.served = self.failed + is_late, self.served + (not is_late)
        return (now + POLL_TIMEOUT_MS, False) if is_late else (self.idle_at, True)


def start_together(relays: int, restarted: int) -> tuple[Discovery, float]:
    """Start relays at once from cached lists; return discovery and the time of the last event."""
    service, order = Discovery(), itertools.count()
    fleet = [
        RelayDriver(servers=2, seed=n, relay_count=relays, polls_server_list=True) for n in range(restarted)
    ]
    due: list[tuple[float, int, RelayDriver, ServerListKind | None]] = []
    for relay in fleet:
        heapq.heappush(due, (0.0, next(order), relay, ServerListKind.CACHED))
    last = 0.0
    while due:
        now, _, relay, answer = heapq.heappop(due)
        last = max(last, now)
        relay.now_ms = now
        if answer is None:
            at, succeeded = service.poll(now)
            heapq.heappush(
                due,
                (at, next(order), relay, ServerListKind.INCREMENTAL if succeeded else ServerListKind.FAILED),
            )
            continue
        for action in relay.update_servers(*relay.entries, kind=answer):
            if isinstance(action, SetTimer) and action.token == "list":
                heapq.heappush(due, (action.at_ms, next(order), relay, None))
    return service, last


@pytest.mark.parametrize(("relays", "restarted"), [(1, 1), (2, 2), (8, 8), (40, 40), (40, 30)])
def test_polls_of_a_fleet_stay_within_discovery_capacity(relays: int, restarted: int) -> None:
    """If 40 relays poll within a second, failed polls and their repeats reduce the served rate to a tenth."""
    service, last = start_together(relays, restarted)
    assert service.served == restarted
    assert service.failed <= restarted / 10
    assert last <= 7_500.0


def test_few_relays_poll_within_a_second() -> None:
    for relays in (1, 2, 4):
        assert start_together(relays, relays)[1] <= 1_000.0 + relays * POLL_TIME_MS
