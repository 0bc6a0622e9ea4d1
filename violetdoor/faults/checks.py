"""Invariants of every run, checked on its history alone.

Each check yields its failures, each with the row that shows it. A tail of a history is a valid history, too:
a check ignores what began before it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from violetdoor.faults.actors import ANSWER_SLACK_SECONDS
from violetdoor.faults.history import History, Row
from violetdoor.fleet.lease import LEASE_DURATION_SECONDS, LEASE_EXPIRY_SECONDS

SETTLED_TIMEOUT_SECONDS = 5.0  # from the last change of links until relays that reach each other share a view
STALE_TIMEOUT_SECONDS = LEASE_DURATION_SECONDS + 1.0  # until a minority has reported its leases as expired
MAX_CHECKED_LOSS = 0.15  # fraction of datagrams lost; from it on, settling has no time limit


@dataclass(slots=True, frozen=True)
class CheckFailure:
    """A check that does not hold, and where that shows."""

    check: str
    description: str
    row: int  # index in the history


Check = Callable[[History], Iterator[CheckFailure]]


def check_answers(history: History) -> Iterator[CheckFailure]:
    """Each connection gets one answer in time, unless its relay was dead or stopped meanwhile."""
    opened: dict[str, Row] = {}
    answered: set[str] = set()
    down = _down_periods(history)
    for index, row in enumerate(history.rows):
        match row.kind, row.values:
            case "open", {"id": str(name)}:
                opened[name] = row
            case "answer", {"id": str(name)}:
                if name in answered:
                    yield CheckFailure("answers", f"{name} has two answers", index)
                answered.add(name)
            case "end", {"id": str(name), "how": str(how), "relay": str(relay)}:
                first = opened.pop(name, None)
                if first is None:
                    continue
                is_excused = any(
                    start <= row.at + ANSWER_SLACK_SECONDS and end >= first.at - ANSWER_SLACK_SECONDS
                    for start, end in down[relay]
                )
                if how == "no answer" and not is_excused:
                    yield CheckFailure(
                        "answers", f"{name} at {relay} has no answer within {row.at - first.at:.2f} s", index
                    )
                elif (
                    how == "second answer"
                    or how.startswith("wrong line")
                    or (how == "silent" and not is_excused)
                ):
                    yield CheckFailure("answers", f"{name} at {relay}: {how}", index)


def _down_periods(history: History) -> dict[str, list[tuple[float, float]]]:
    """Return the periods in which the rig had killed or stopped each relay."""
    down: dict[str, list[tuple[float, float]]] = defaultdict(list)
    since: dict[str, float] = {}
    for row in history.of_kinds("down", "up"):
        if row.kind == "down":
            since.setdefault(row.who, row.at)
        elif row.who in since:
            down[row.who].append((since.pop(row.who), row.at))
    for who, at in since.items():
        down[who].append((at, float("inf")))
    return down


def check_numbers(history: History) -> Iterator[CheckFailure]:
    """Relays at views with the same id have the same members."""
    first_seen: dict[str, tuple[str, str]] = {}
    for index, row in enumerate(history.rows):
        if row.kind == "fleet.view":
            number, digest = row.values["view"], row.values["digest"]
            first = first_seen.setdefault(number, (digest, row.who))
            if first[0] != digest:
                yield CheckFailure(
                    "numbers", f"view {number} is {digest} at {row.who} and {first[0]} at {first[1]}", index
                )


def check_owners(history: History) -> Iterator[CheckFailure]:
    """A key has one owner at a time, and a later owner never acts under an earlier view of the same epoch."""
    last: dict[str, Row] = {}
    for index, row in enumerate(history.rows):
        if row.kind != "owns":
            continue
        key, previous = row.values["key"], last.get(row.values["key"])
        if previous is not None and previous.who != row.who and row.values["asked"] > previous.at:
            own_number, previous_number = (
                _epoch_and_seq(row.values["view"]),
                _epoch_and_seq(previous.values["view"]),
            )
            if own_number[0] == previous_number[0] and own_number[1] < previous_number[1]:
                after = f"after {previous.who} by {previous.values['view']}"
                yield CheckFailure("owners", f"{row.who} owns {key} by {row.values['view']} {after}", index)
            if row.values["view"] == previous.values["view"]:
                yield CheckFailure(
                    "owners",
                    f"{row.who} and {previous.who} both own {key} by view {row.values['view']}",
                    index,
                )
        if (
            previous is None
            or _epoch_and_seq(row.values["view"]) >= _epoch_and_seq(previous.values["view"])
            or row.at > previous.at
        ):
            last[key] = row


def _epoch_and_seq(view: str) -> tuple[int, int]:
    epoch, _, seq = view.partition("/")
    return int(epoch, 16), int(seq)


def check_leases(history: History) -> Iterator[CheckFailure]:
    """No relay owns a key without a lease: only between acquiring a lease and its expiry."""
    stale_since: dict[str, float] = {}
    for index, row in enumerate(history.rows):
        if row.kind in ("fleet.lease_expired", "fleet.removed", "fleet.left"):
            stale_since[row.who] = row.at
        elif row.kind in ("fleet.lease_acquired", "started"):
            stale_since.pop(row.who, None)
        elif (
            row.kind == "owns"
            and row.who in stale_since
            and row.values["asked"] > stale_since[row.who] + 0.01
        ):
            yield CheckFailure(
                "leases",
                f"{row.who} owns {row.values['key']} but has no lease since {stale_since[row.who]:.3f} s",
                index,
            )


def check_clear(history: History) -> Iterator[CheckFailure]:
    """A relay that a view excludes owns nothing once the view's members may act."""
    cleared_at: dict[str, tuple[float, str]] = {}  # by excluded relay: when it may no longer own keys, view
    members_by_view: dict[str, set[str]] = {}
    previous: dict[str, str] = {}  # the last view of each relay
    for index, row in enumerate(history.rows):
        if row.kind == "fleet.view":
            view = row.values["view"]
            members_by_view[view] = set(row.values["members"])
            if (old := previous.get(row.who)) is not None and old in members_by_view:
                for excluded in members_by_view[old] - members_by_view[view]:
                    cleared_at.setdefault(excluded, (row.at + LEASE_EXPIRY_SECONDS, view))
            for name in members_by_view[view]:
                cleared_at.pop(name, None)
            previous[row.who] = view
        elif row.kind == "owns" and row.who in cleared_at:
            at, view = cleared_at[row.who]
            if row.values["asked"] > at and _epoch_and_seq(row.values["view"])[0] == _epoch_and_seq(view)[0]:
                yield CheckFailure(
                    "clear",
                    f"{row.who} owns {row.values['key']} though it is excluded by view {view}",
                    index,
                )


def check_settled(history: History) -> Iterator[CheckFailure]:
    """Relays that reach each other soon share a view of exactly them, or have lost their leases.

    Relays whose join was held back, since they come and go, are ignored.
    """
    at_view: dict[str, tuple[str, frozenset[str]]] = {}
    has_lease: dict[str, bool] = {}
    changed_at, is_checked, groups = 0.0, True, list[list[str]]()
    last_majority_view: frozenset[str] | None = None
    rejected: set[str] = set()
    for index, row in enumerate(history.rows):
        if row.kind == "links":
            groups = [kept for group in groups if (kept := [name for name in group if name not in rejected])]
            # The groups up to this row, if they had time to settle.
            yield from _settled_failures(
                groups, at_view, has_lease, last_majority_view, row.at - changed_at, is_checked, index
            )
            settled_groups = [frozenset(g) for g in groups if _is_settled(g, at_view, has_lease)]
            last_majority_view = settled_groups[0] if settled_groups else last_majority_view
            changed_at, is_checked = row.at, row.values["worst"] < MAX_CHECKED_LOSS
            groups = row.values["groups"]
        elif row.kind == "fleet.view":
            at_view[row.who] = row.values["view"], frozenset(row.values["members"])
            rejected.discard(row.who)
        elif row.kind == "fleet.join_rejected" and row.values["why"] == "held":
            rejected.add(row.who)
        elif row.kind in ("fleet.lease_acquired", "fleet.handover_completed"):
            has_lease[row.who] = row.kind == "fleet.lease_acquired" or row.values["lease"] > 0
        elif row.kind in ("fleet.lease_expired", "fleet.removed", "fleet.left", "started"):
            has_lease[row.who] = False


def _is_settled(
    group: list[str], at_view: dict[str, tuple[str, frozenset[str]]], has_lease: dict[str, bool]
) -> bool:
    views = {at_view.get(name, ("", frozenset()))[0] for name in group}
    return len(views) == 1 and at_view.get(group[0], ("", frozenset()))[1] == frozenset(group) and all(
        has_lease.get(name, False) for name in group
    )  # fmt: skip


def _settled_failures(
    groups: list[list[str]], at_view: dict[str, tuple[str, frozenset[str]]], has_lease: dict[str, bool],
    last_majority_view: frozenset[str] | None, quiet_seconds: float, is_checked: bool, row: int,
) -> Iterator[CheckFailure]:  # fmt: skip
    if not is_checked or quiet_seconds < SETTLED_TIMEOUT_SECONDS:
        return
    for group in groups:
        if _is_settled(group, at_view, has_lease):
            continue
        if last_majority_view is not None and 2 * len(last_majority_view & set(group)) > len(
            last_majority_view
        ):
            views = {
                n: at_view.get(n, ("none", frozenset()))[0] + ("" if has_lease.get(n) else " stale")
                for n in group
            }
            yield CheckFailure(
                "settled",
                f"{quiet_seconds:.1f} s after the last change {sorted(group)} have views {views}",
                row,
            )
        elif (
            quiet_seconds > STALE_TIMEOUT_SECONDS
            and last_majority_view is not None
            and 2 * len(last_majority_view & set(group)) < len(last_majority_view)
        ):
            for name in group:
                if has_lease.get(name):
                    yield CheckFailure(
                        "settled", f"{name} holds a lease among {sorted(group)}, which is no majority", row
                    )


CHECKS: dict[str, Check] = {
    "answers": check_answers, "numbers": check_numbers, "owners": check_owners, "leases": check_leases,
    "clear": check_clear, "settled": check_settled,
}  # fmt: skip


def run(history: History) -> list[CheckFailure]:
    """Return all failures, in the order of the checks."""
    return [failure for check in CHECKS.values() for failure in check(history)]


def shortest_tail(history: History, failure: CheckFailure) -> History:
    """Return the shortest run of rows that ends with the failure and in which its check still finds it."""
    prefix = History(history.rows[: failure.row + 1])
    check = CHECKS[failure.check]
    low, high = 0, len(prefix.rows) - 1  # binary search: the check finds it from `low` on
    while low < high:
        middle = (low + high + 1) // 2
        if any(found.description == failure.description for found in check(prefix.tail(middle))):
            low = middle
        else:
            high = middle - 1
    return prefix.tail(low)
