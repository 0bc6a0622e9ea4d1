"""Which rules a look-up can leave out, which can never match, and what the whole set costs at the worst."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations
from typing import Any

from violetdoor.match.check import Sets, alternatives
from violetdoor.match.typed import Typed

GROUP_FROM = 4  # rules that test one value from which a look-up is worth its price
LENGTHS_MOST = 24  # different lengths of prefixes in one look-up
ENTRIES_MOST = 2_000_000  # of all look-ups together
TERMS_MOST = 6  # of a rule, up to which it is compared with the parts of all rules before

Prefix = tuple[bytes, int]


@dataclass(slots=True)
class RulePlan:
    """A rule's condition as the terms that must all hold; none hold always."""

    name: str
    terms: tuple[Typed, ...]
    index: Typed | None = None  # the term that a look-up stands for

    @property
    def rest(self) -> tuple[Typed, ...]:
        """The terms that are left to test."""
        return tuple(t for t in self.terms if t is not self.index)


@dataclass(slots=True)
class Group:
    """Rules that are looked up by one value."""

    kind: str  # value, prefix or net
    value: Typed
    rules: list[int] = field(default_factory=list)


def terms_of(when: Typed) -> tuple[Typed, ...]:
    """The parts of a condition that must all hold."""
    if when.constant:
        return () if when.value else (when,)
    return when.args if when.op == "and" else (when,)


class Planner:
    """Plans the look-ups of one set of rules."""

    def __init__(self, rules: list[RulePlan], sets: Sets) -> None:
        self.rules, self.sets = rules, sets
        self.entries = 0

    def keys(self, term: Typed) -> tuple[str, Iterable[Any]] | None:
        """How a term can be looked up, and by which keys."""
        if (found := alternatives(term)) is not None:
            return "value", found[1]
        if term.op == "in set":
            return "value", self.sets.texts[term.value[1]]
        if term.op == "starts_with" and term.args[1].constant and term.args[1].value is not None:
            return "prefix", (term.args[1].value,)
        if term.op == "in nets":
            return "net", self.sets.nets[term.value[1]]
        return None

    def groups(self) -> list[Group]:
        """Choose for each rule the term by which most others can be looked up with it."""
        found: dict[tuple[str, int], Group] = {}
        usable: list[list[tuple[tuple[str, int], Typed]]] = []
        count: Counter[tuple[str, int]] = Counter()
        for rule in self.rules:
            mine: list[tuple[tuple[str, int], Typed]] = []
            for term in rule.terms:
                if keys := self.keys(term):
                    mine.append(((keys[0], term.args[0].number), term))
            usable.append(mine)
            count.update({key for key, _ in mine})
        for at, mine in enumerate(usable):
            if not mine:
                continue
            key, term = max(mine, key=lambda m: (count[m[0]], -m[1].number))
            if count[key] >= GROUP_FROM:
                found.setdefault(key, Group(key[0], term.args[0])).rules.append(at)
                self.rules[at].index = term
        kept = []
        for group in found.values():
            self._trim(group)
            if len(group.rules) < GROUP_FROM:
                for at in group.rules:
                    self.rules[at].index = None
            else:
                kept.append(group)
        return kept

    def _trim(self, group: Group) -> None:
        """Leave out of a look-up what would make it large or slow."""
        lengths: Counter[int] = Counter()
        if group.kind == "prefix":
            lengths.update(len(self._keys(at)[0]) for at in group.rules)
        common = {n for n, _ in lengths.most_common(LENGTHS_MOST)}
        held = []
        for at in group.rules:
            keys = self._keys(at)
            too_many = self.entries + len(keys) > ENTRIES_MOST
            if too_many or (group.kind == "prefix" and len(keys[0]) not in common):
                self.rules[at].index = None
            else:
                self.entries += len(keys)
                held.append(at)
        group.rules = held

    def _keys(self, at: int) -> tuple[Any, ...]:
        term = self.rules[at].index
        found = self.keys(term) if term else None
        return tuple(found[1]) if found else ()

    def table(self, group: Group) -> tuple[Any, list[tuple[int, ...]]]:
        """A group's look-up table, and the rules that each outcome of it leaves to be tested."""
        by_key: dict[Any, list[int]] = defaultdict(list)
        for at in group.rules:
            for key in dict.fromkeys(self._keys(at)):
                by_key[key].append(at)
        rules = {key: tuple(found) for key, found in by_key.items()}
        if group.kind == "value":
            return rules, list(rules.values())
        if group.kind == "prefix":
            by_length: dict[int, dict[str, tuple[int, ...]]] = defaultdict(dict)
            for key, found in rules.items():
                by_length[len(key)][key] = found
            chains = [
                sum((by_length[n].get(key[:n], ()) for n in by_length if n <= len(key)), ()) for key in rules
            ]
            return sorted(by_length.items()), chains
        held = Networks()
        for key in rules:
            held.add(key)
        table = []
        for key in rules:
            above = {at for other in held.above(key) for at in rules[other]}
            table.append((*key, tuple(sorted(above))))
        return table, [found for _, _, found in table]


class Networks:
    """Prefixes by family and length, to find those that hold another."""

    def __init__(self) -> None:
        self.held: dict[tuple[int, int], set[int]] = defaultdict(set)

    def add(self, prefix: Prefix) -> None:
        """Take one in."""
        bits = len(prefix[0]) * 8
        self.held[bits, prefix[1]].add(int.from_bytes(prefix[0], "big") >> (bits - prefix[1]))

    def above(self, prefix: Prefix) -> Iterator[Prefix]:
        """Those that hold this one, itself too."""
        bits, number = len(prefix[0]) * 8, int.from_bytes(prefix[0], "big")
        for (family, length), numbers in self.held.items():
            if family == bits and length <= prefix[1] and (top := number >> (bits - length)) in numbers:
                yield (top << (bits - length)).to_bytes(bits // 8, "big"), length


@dataclass(slots=True)
class _Covered:
    """What rules before have taken of one value, whatever else the request is."""

    values: dict[Any, str] = field(default_factory=dict)
    prefixes: dict[str, str] = field(default_factory=dict)
    lengths: set[int] = field(default_factory=set)
    nets: Networks = field(default_factory=Networks)
    by_net: dict[Prefix, str] = field(default_factory=dict)

    def taker(self, kind: str, key: Any) -> str:
        """The rule that takes all requests of this key, or nothing."""
        if kind == "net":
            return next((self.by_net[p] for p in self.nets.above(key)), "")
        if kind == "value" and key in self.values:
            return self.values[key]
        if isinstance(key, str):
            for length in self.lengths:
                if length <= len(key) and key[:length] in self.prefixes:
                    return self.prefixes[key[:length]]
        return ""

    def take(self, kind: str, keys: Iterable[Any], rule: str) -> None:
        """A rule takes all requests of these keys."""
        for key in keys:
            if kind == "value":
                self.values.setdefault(key, rule)
            elif kind == "prefix":
                self.prefixes.setdefault(key, rule)
                self.lengths.add(len(key))
            else:
                self.by_net.setdefault(key, rule)
                self.nets.add(key)


def unreachable(planner: Planner) -> Iterator[tuple[int, str]]:
    """The rules that can never decide, and why."""
    seen: dict[frozenset[int], str] = {}
    covered: dict[int, _Covered] = defaultdict(_Covered)
    for at, rule in enumerate(planner.rules):
        if any(term.constant for term in rule.terms):
            yield at, "its condition is never true"
            continue
        if reason := _contradiction(planner, rule):
            yield at, reason
            continue
        if (taker := seen.get(frozenset())) or (taker := _taken(planner, rule, covered)):
            yield at, f"rule {taker!r} before it takes all of its requests"
            continue
        numbers = [term.number for term in rule.terms]
        few = numbers if len(numbers) <= TERMS_MOST else []
        parts = [frozenset(c) for n in range(1, len(few) + 1) for c in combinations(few, n)]
        if taker := next((seen[p] for p in (parts or [frozenset(numbers)]) if p in seen), ""):
            yield at, f"rule {taker!r} before it takes all of its requests"
            continue
        seen.setdefault(frozenset(numbers), rule.name)
        if len(rule.terms) == 1 and (keys := planner.keys(rule.terms[0])):
            covered[rule.terms[0].args[0].number].take(*keys, rule.name)


def _taken(planner: Planner, rule: RulePlan, covered: dict[int, _Covered]) -> str:
    for term in rule.terms:
        if (found := planner.keys(term)) and (held := covered.get(term.args[0].number)):
            takers = {held.taker(found[0], key) for key in found[1]}
            if takers and "" not in takers:
                return min(takers)
    return ""


def _contradiction(planner: Planner, rule: RulePlan) -> str:
    """Whether terms of one rule exclude each other."""
    allowed: dict[int, set[Any]] = {}
    for term in rule.terms:
        if (found := planner.keys(term)) and found[0] == "value":
            value = term.args[0].number
            allowed[value] = allowed.get(value, set(found[1])) & set(found[1])
            if not allowed[value]:
                return "its terms exclude each other"
    return ""


@dataclass(slots=True)
class Costs:
    """What parts cost at the worst, each shared one once; in ns."""

    read: float  # of a shared value that is there already
    share_from: float
    total: dict[int, float] = field(default_factory=dict)
    shared: dict[int, Typed] = field(default_factory=dict)

    def learn(self, roots: Iterable[Typed]) -> None:
        """Find which parts are worth sharing among these, and the cost of every part."""
        uses: Counter[int] = Counter()
        parts: dict[int, Typed] = {}
        for root in roots:
            uses[root.number] += 1
            todo = [root]
            while todo:
                node = todo.pop()
                if node.number not in parts:
                    parts[node.number] = node
                    for arg in node.args:
                        uses[arg.number] += 1
                        todo.append(arg)
        for number in sorted(parts):  # what a part is made of has lower numbers
            node = parts[number]
            cost = node.own + sum(self.of(arg) for arg in node.args)
            self.total[number] = cost
            if uses[number] > 1 and node.args and cost >= self.share_from:
                self.shared[number] = node

    def of(self, node: Typed) -> float:
        """The cost of a part where it is used."""
        return self.read if node.number in self.shared else self.total[node.number]

    def once(self) -> float:
        """The cost of computing each shared part once."""
        return sum(self.total[number] for number in self.shared)
