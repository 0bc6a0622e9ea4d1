"""What must hold in every run, proved or refuted from its history alone.

Each check yields what is wrong with the row at which that shows. A tail of a history is a history too: a
check says nothing about what began before it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from violetdoor.faults.actors import ANSWER_SLACK_SECONDS
from violetdoor.faults.history import History, Row
from violetdoor.fleet.lease import LEASE_DURATION_SECONDS, LEASE_EXPIRY_SECONDS

SETTLED_WITHIN = 5.0  # s from the last change of faults until all that reach each other hold one view
STALE_WITHIN = LEASE_DURATION_SECONDS + 1.0  # s until a relay without a majority has said so
HURT = 0.15  # part of datagrams lost from which on no time is promised


@dataclass(slots=True, frozen=True)
class CheckFailure:
    """A check that does not hold, and where."""

    check: str
    description: str
    row: int  # of the history


Check = Callable[[History], Iterator[CheckFailure]]


def check_answers(history: History) -> Iterator[CheckFailure]:
    """Each connection has one answer in time, unless its relay died, was stopped, or left meanwhile."""
    opened: dict[str, Row] = {}
    answered: set[str] = set()
    down = _down(history)
    for n, row in enumerate(history.rows):
        match row.kind, row.values:
            case "open", {"id": str(name)}:
                opened[name] = row
            case "answer", {"id": str(name)}:
                if name in answered:
                    yield CheckFailure("answers", f"{name} has two answers", n)
                answered.add(name)
            case "end", {"id": str(name), "how": str(how), "relay": str(relay)}:
                first = opened.pop(name, None)
                if first is None:
                    continue
                excused = any(
                    start <= row.at + ANSWER_SLACK_SECONDS and end >= first.at - ANSWER_SLACK_SECONDS
                    for start, end in down[relay]
                )
                if how == "no answer" and not excused:
                    yield CheckFailure(
                        "answers", f"{name} at {relay} has no answer within {row.at - first.at:.2f} s", n
                    )
                elif (
                    how == "second answer"
                    or how.startswith("wrong line")
                    or (how == "silent" and not excused)
                ):
                    yield CheckFailure("answers", f"{name} at {relay}: {how}", n)


def _down(history: History) -> dict[str, list[tuple[float, float]]]:
    """When each relay was dead or stopped by the rig's hand."""
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
    """Two relays that hold the same number hold the same members."""
    known: dict[str, tuple[str, str]] = {}
    for n, row in enumerate(history.rows):
        if row.kind == "fleet.view":
            number, digest = row.values["view"], row.values["digest"]
            first = known.setdefault(number, (digest, row.who))
            if first[0] != digest:
                yield CheckFailure(
                    "numbers", f"view {number} is {digest} at {row.who} and {first[0]} at {first[1]}", n
                )


def check_owners(history: History) -> Iterator[CheckFailure]:
    """A key has one owner at a time, and owners follow each other by the number of their view."""
    last: dict[str, Row] = {}
    for n, row in enumerate(history.rows):
        if row.kind != "owns":
            continue
        key, before = row.values["key"], last.get(row.values["key"])
        if before is not None and before.who != row.who and row.values["asked"] > before.at:
            mine, its = _number(row.values["view"]), _number(before.values["view"])
            if mine[0] == its[0] and mine[1] < its[1]:
                after = f"after {before.who} by {before.values['view']}"
                yield CheckFailure("owners", f"{row.who} owns {key} by {row.values['view']} {after}", n)
            if row.values["view"] == before.values["view"]:
                yield CheckFailure(
                    "owners", f"{row.who} and {before.who} both own {key} by view {row.values['view']}", n
                )
        if (
            before is None
            or _number(row.values["view"]) >= _number(before.values["view"])
            or row.at > before.at
        ):
            last[key] = row


def _number(text: str) -> tuple[int, int]:
    line, _, seq = text.partition("/")
    return int(line, 16), int(seq)


def check_leases(history: History) -> Iterator[CheckFailure]:
    """No relay acts without a lease: what it says it owns it says between `live` and `stale`."""
    stale: dict[str, float] = {}
    for n, row in enumerate(history.rows):
        if row.kind in ("fleet.lease_expired", "fleet.removed", "fleet.left"):
            stale[row.who] = row.at
        elif row.kind in ("fleet.lease_acquired", "started"):
            stale.pop(row.who, None)
        elif row.kind == "owns" and row.who in stale and row.values["asked"] > stale[row.who] + 0.01:
            yield CheckFailure(
                "leases",
                f"{row.who} owns {row.values['key']} though it is stale since {stale[row.who]:.3f}",
                n,
            )


def check_clear(history: History) -> Iterator[CheckFailure]:
    """A relay that a view has left out owns nothing once others may act on that view."""
    cleared: dict[str, tuple[float, str]] = {}  # by name of who was left out: from when, by which view
    members: dict[str, set[str]] = {}  # by view
    before: dict[str, str] = {}  # the view that each relay stood at
    for n, row in enumerate(history.rows):
        if row.kind == "fleet.view":
            view = row.values["view"]
            members[view] = set(row.values["members"])
            if (old := before.get(row.who)) is not None and old in members:
                for gone in members[old] - members[view]:
                    cleared.setdefault(gone, (row.at + LEASE_EXPIRY_SECONDS, view))
            for name in members[view]:
                cleared.pop(name, None)
            before[row.who] = view
        elif row.kind == "owns" and row.who in cleared:
            at, view = cleared[row.who]
            if row.values["asked"] > at and _number(row.values["view"])[0] == _number(view)[0]:
                yield CheckFailure(
                    "clear", f"{row.who} owns {row.values['key']} after view {view} without it was clear", n
                )


def check_settled(history: History) -> Iterator[CheckFailure]:
    """All that reach each other hold one view of just themselves, or know that they hold none, in time.

    But for those that were told to wait since they come and go.
    """
    at_view: dict[str, tuple[str, frozenset[str]]] = {}
    live: dict[str, bool] = {}
    changed, promised, groups = 0.0, True, list[list[str]]()
    last_big: frozenset[str] | None = None
    waiting: set[str] = set()
    for n, row in enumerate(history.rows):
        if row.kind == "links":
            groups = [left for group in groups if (left := [n for n in group if n not in waiting])]
            # What was reached until now, once it had time to settle.
            yield from _held(groups, at_view, live, last_big, row.at - changed, promised, n)
            big = [frozenset(g) for g in groups if _one(g, at_view, live)]
            last_big = big[0] if big else last_big
            changed, promised = row.at, row.values["worst"] < HURT
            groups = row.values["groups"]
        elif row.kind == "fleet.view":
            at_view[row.who] = row.values["view"], frozenset(row.values["members"])
            waiting.discard(row.who)
        elif row.kind == "fleet.join_rejected" and row.values["why"] == "held":
            waiting.add(row.who)
        elif row.kind in ("fleet.lease_acquired", "fleet.handover_completed"):
            live[row.who] = row.kind == "fleet.lease_acquired" or row.values["lease"] > 0
        elif row.kind in ("fleet.lease_expired", "fleet.removed", "fleet.left", "started"):
            live[row.who] = False


def _one(group: list[str], at_view: dict[str, tuple[str, frozenset[str]]], live: dict[str, bool]) -> bool:
    views = {at_view.get(name, ("", frozenset()))[0] for name in group}
    return len(views) == 1 and at_view.get(group[0], ("", frozenset()))[1] == frozenset(group) and all(
        live.get(name, False) for name in group
    )  # fmt: skip


def _held(
    groups: list[list[str]], at_view: dict[str, tuple[str, frozenset[str]]], live: dict[str, bool],
    last_big: frozenset[str] | None, quiet: float, promised: bool, row: int,
) -> Iterator[CheckFailure]:  # fmt: skip
    if not promised or quiet < SETTLED_WITHIN:
        return
    for group in groups:
        if _one(group, at_view, live):
            continue
        if last_big is not None and 2 * len(last_big & set(group)) > len(last_big):
            told = {
                n: at_view.get(n, ("none", frozenset()))[0] + ("" if live.get(n) else " stale") for n in group
            }
            yield CheckFailure(
                "settled", f"{quiet:.1f} s after the last change {sorted(group)} stand at {told}", row
            )
        elif quiet > STALE_WITHIN and last_big is not None and 2 * len(last_big & set(group)) < len(last_big):
            for name in group:
                if live.get(name):
                    yield CheckFailure(
                        "settled", f"{name} holds a lease among {sorted(group)}, no majority", row
                    )


CHECKS: dict[str, Check] = {
    "answers": check_answers, "numbers": check_numbers, "owners": check_owners, "leases": check_leases,
    "clear": check_clear, "settled": check_settled,
}  # fmt: skip


def run(history: History) -> list[CheckFailure]:
    """All that is wrong, by the order of the checks."""
    return [wrong for check in CHECKS.values() for wrong in check(history)]


def shortest_tail(history: History, wrong: CheckFailure) -> History:
    """The rows up to the fault, from the latest one on from which its check still finds it."""
    upto = History(history.rows[: wrong.row + 1])
    check = CHECKS[wrong.check]
    low, high = 0, len(upto.rows) - 1  # found from `low` on; halve as long as it still is
    while low < high:
        middle = (low + high + 1) // 2
        if any(w.description == wrong.description for w in check(upto.tail(middle))):
            low = middle
        else:
            high = middle - 1
    return upto.tail(low)
