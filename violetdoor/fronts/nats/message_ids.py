"""The ids of delivered messages, by which a second copy of a message is recognized.

A relay sends an unconfirmed publication again on another server. The first server may run its own copy much
later, once it recovers. Each subscription therefore recognizes an id for `RETENTION_SECONDS` after its first
delivery, and the last `min_count` ids however long ago that was. What a client got on an ended subscription,
or in an earlier session, is recognized by the relay's record of first deliveries.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left

import xxhash

from violetdoor.net.counters import Counters

RETENTION_SECONDS = 60.0  # servers that hang recover within 25 s
MAX_RETAINED_IDS = 262_144  # of all subscriptions of a relay together; 8 bytes each
MAX_REPORTED_DELIVERIES = 20_000  # in one message to a successor
MAX_GENERATION_DELIVERIES = 131_072  # first deliveries in each of the two generations


def message_hash(account: bytes, subject: bytes, message_id: bytes) -> int:
    """Return the hash of a message, which is the same in all processes of a relay."""
    return xxhash.xxh3_64_intdigest(b" ".join((account, subject, message_id)))


class RetentionBudget:
    """The number of ids that all subscriptions of a relay retain, and its limit."""

    def __init__(self, counts: Counters, max_ids: int = MAX_RETAINED_IDS) -> None:
        """Start with no ids; `counts` gets the number of generations that were forgotten early."""
        self.counts = counts
        self.max_ids = max_ids
        self.retained_ids = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether the limit is reached."""
        return self.retained_ids >= self.max_ids


class RecentMessageIds:
    """The ids that one subscription has delivered, in two generations of at least the retention time.

    Once the newer generation is old enough it becomes the older one, which is forgotten.
    """

    __slots__ = ("_budget", "_min_count", "_newer", "_newer_since", "_older")

    def __init__(self, min_count: int, budget: RetentionBudget) -> None:
        """Retain at least the last `min_count` ids, even if the budget is exhausted."""
        self._min_count = min_count
        self._budget = budget
        self._newer = array("q")  # hashes, sorted
        self._older = array("q")
        self._newer_since = 0.0  # time of the first id of the newer generation, s

    def add(self, message_id: bytes, now: float) -> bool:
        """Retain an id; return False if it is retained already. `now` is in s."""
        value = hash(message_id)
        position = bisect_left(self._newer, value)
        if _has(self._newer, position, value) or _has(self._older, bisect_left(self._older, value), value):
            return False
        if self._is_newer_complete(now):
            self._start_generation()
            position = 0
        if not self._newer:
            self._newer_since = now
        self._newer.insert(position, value)
        self._budget.retained_ids += 1
        return True

    def clear(self) -> None:
        """Forget all ids: the subscription has ended."""
        self._budget.retained_ids -= len(self._newer) + len(self._older)
        self._newer = array("q")
        self._older = array("q")

    def _is_newer_complete(self, now: float) -> bool:
        """Return whether the older generation may be forgotten."""
        if len(self._newer) < self._min_count:
            return False
        if now - self._newer_since >= RETENTION_SECONDS:
            return True
        if self._budget.is_exhausted:
            self._budget.counts["message_ids_forgotten_early"] += 1
            return True
        return False

    def _start_generation(self) -> None:
        self._budget.retained_ids -= len(self._older)
        self._older = self._newer
        self._newer = array("q")


class FirstDeliveries:
    """The messages that a relay has delivered to anyone, in two generations of at least the retention time.

    A subscription is owed no message that was published before it began. So if the first delivery of a
    message came before that, whoever received it, then what arrives on the subscription is a second copy.
    """

    def __init__(self, counts: Counters, max_per_generation: int = MAX_GENERATION_DELIVERIES) -> None:
        """Start without deliveries; `counts` gets the number of generations that were forgotten early."""
        self._counts = counts
        self._max_per_generation = max_per_generation
        self._subscription_count = 0  # subscriptions begun so far
        self._unreported: list[int] | None = (
            None  # deliveries that the successor was not sent; None without one
        )
        # By the message's hash: the number of subscriptions that had begun at the first delivery.
        self._newer: dict[int, int] = {}
        self._older: dict[int, int] = {}
        self._newer_since = 0.0  # time of the first delivery of the newer generation, s

    def begin_subscription(self) -> int:
        """Return the number of a subscription that begins now."""
        self._subscription_count += 1
        return self._subscription_count

    def precedes(self, message: int, subscription_number: int) -> bool:
        """Return whether a message was first delivered before this subscription began."""
        begun_before = self._newer.get(message, self._older.get(message))
        return begun_before is not None and begun_before < subscription_number

    def record(self, message: int, now: float) -> None:
        """Record a delivery of a message unless one is recorded already. `now` is in s."""
        if message in self._newer or message in self._older:
            return
        if self._is_newer_complete(now):
            self._older = self._newer
            self._newer = {}
        if not self._newer:
            self._newer_since = now
        self._newer[message] = self._subscription_count
        if self._unreported is not None and len(self._unreported) < self._max_per_generation:
            self._unreported.append(message)

    def start_reporting(self) -> None:
        """Report all deliveries to a successor from now on, those until now first."""
        self._unreported = [*self._older, *self._newer]

    def stop_reporting(self) -> None:
        """Report no deliveries any more."""
        self._unreported = None

    def next_report(self) -> list[int]:
        """Return the hashes of deliveries that were not reported yet, a limited number."""
        if not self._unreported:
            return []
        report = self._unreported[:MAX_REPORTED_DELIVERIES]
        del self._unreported[:MAX_REPORTED_DELIVERIES]
        return report

    def _is_newer_complete(self, now: float) -> bool:
        """Return whether the older generation may be forgotten."""
        if not self._newer:
            return False
        if now - self._newer_since >= RETENTION_SECONDS:
            return True
        if len(self._newer) >= self._max_per_generation:
            self._counts["message_ids_forgotten_early"] += 1
            return True
        return False


def _has(values: array[int], position: int, value: int) -> bool:
    return position < len(values) and values[position] == value
