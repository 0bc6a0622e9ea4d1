"""Planning: look-ups that exclude rules, rules that are unreachable, and the worst-case cost of the set."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations
from typing import Any

from violetdoor.match.check import Sets, constant_alternatives
from violetdoor.match.typed import TypedNode

MIN_GROUP_RULES = 4  # fewest rules testing the same value for which a look-up is worth its cost
MAX_PREFIX_LENGTHS = 24  # different lengths of string prefixes in one look-up
MAX_LOOKUP_ENTRIES = 2_000_000  # of all look-up tables together
MAX_SUBSET_TERMS = 6  # rules of more terms are not compared with earlier rules by subsets of their terms

Prefix = tuple[bytes, int]


@dataclass(slots=True)
class RulePlan:
    """A rule's condition as terms that must all hold; without terms it always holds."""

    name: str
    terms: tuple[TypedNode, ...]
    index_term: TypedNode | None = None  # the term that a look-up replaces

    @property
    def remaining_terms(self) -> tuple[TypedNode, ...]:
        """The terms that must be tested after the look-up."""
        return tuple(t for t in self.terms if t is not self.index_term)


@dataclass(slots=True)
class Group:
    """Rules that are looked up by the same value."""

    kind: str  # "value", "prefix" (of a string) or "net" (address prefix)
    value: TypedNode
    rules: list[int] = field(default_factory=list)


def split_terms(when: TypedNode) -> tuple[TypedNode, ...]:
    """Return the terms of a condition that must all hold."""
    if when.is_constant:
        return () if when.value else (when,)
    return when.args if when.op == "and" else (when,)


class Planner:
    """Plans the look-ups of a set of rules."""

    def __init__(self, rules: list[RulePlan], sets: Sets) -> None:
        self.rules, self.sets = rules, sets
        self.entry_count = 0

    def lookup_keys(self, term: TypedNode) -> tuple[str, Iterable[Any]] | None:
        """Return the kind of look-up that can replace a term and its keys, None if no look-up can."""
        if (found := constant_alternatives(term)) is not None:
            return "value", found[1]
        if term.op == "in set":
            return "value", self.sets.string_sets[term.value[1]]
        if term.op == "starts_with" and term.args[1].is_constant and term.args[1].value is not None:
            return "prefix", (term.args[1].value,)
        if term.op == "in nets":
            return "net", self.sets.prefix_sets[term.value[1]]
        return None

    def plan_groups(self) -> list[Group]:
        """Choose for each rule the term whose look-up it shares with the most other rules."""
        found: dict[tuple[str, int], Group] = {}
        candidates_by_rule: list[list[tuple[tuple[str, int], TypedNode]]] = []
        rule_count: Counter[tuple[str, int]] = Counter()
        for rule in self.rules:
            candidates: list[tuple[tuple[str, int], TypedNode]] = []
            for term in rule.terms:
                if keys := self.lookup_keys(term):
                    candidates.append(((keys[0], term.args[0].node_id), term))
            candidates_by_rule.append(candidates)
            rule_count.update({key for key, _ in candidates})
        for index, candidates in enumerate(candidates_by_rule):
            if not candidates:
                continue
            key, term = max(candidates, key=lambda m: (rule_count[m[0]], -m[1].node_id))
            if rule_count[key] >= MIN_GROUP_RULES:
                found.setdefault(key, Group(key[0], term.args[0])).rules.append(index)
                self.rules[index].index_term = term
        kept_groups = []
        for group in found.values():
            self._limit_group(group)
            if len(group.rules) < MIN_GROUP_RULES:
                for index in group.rules:
                    self.rules[index].index_term = None
            else:
                kept_groups.append(group)
        return kept_groups

    def _limit_group(self, group: Group) -> None:
        """Remove the rules from a look-up that would make it too large or too slow."""
        lengths: Counter[int] = Counter()
        if group.kind == "prefix":
            lengths.update(len(self._index_keys(index)[0]) for index in group.rules)
        common_lengths = {n for n, _ in lengths.most_common(MAX_PREFIX_LENGTHS)}
        kept_rules = []
        for index in group.rules:
            keys = self._index_keys(index)
            too_many = self.entry_count + len(keys) > MAX_LOOKUP_ENTRIES
            if too_many or (group.kind == "prefix" and len(keys[0]) not in common_lengths):
                self.rules[index].index_term = None
            else:
                self.entry_count += len(keys)
                kept_rules.append(index)
        group.rules = kept_rules

    def _index_keys(self, index: int) -> tuple[Any, ...]:
        term = self.rules[index].index_term
        found = self.lookup_keys(term) if term else None
        return tuple(found[1]) if found else ()

    def lookup_table(self, group: Group) -> tuple[Any, list[tuple[int, ...]]]:
        """Return a group's look-up table, and the rules that each of its results leaves to be tested."""
        by_key: dict[Any, list[int]] = defaultdict(list)
        for index in group.rules:
            for key in dict.fromkeys(self._index_keys(index)):
                by_key[key].append(index)
        rules = {key: tuple(found) for key, found in by_key.items()}
        if group.kind == "value":
            return rules, list(rules.values())
        if group.kind == "prefix":
            by_length: dict[int, dict[str, tuple[int, ...]]] = defaultdict(dict)
            for key, found in rules.items():
                by_length[len(key)][key] = found
            rules_to_test = [
                sum((by_length[n].get(key[:n], ()) for n in by_length if n <= len(key)), ()) for key in rules
            ]
            return sorted(by_length.items()), rules_to_test
        hierarchy = PrefixHierarchy()
        for key in rules:
            hierarchy.add(key)
        table = []
        for key in rules:
            containing = {index for other in hierarchy.containing(key) for index in rules[other]}
            table.append((*key, tuple(sorted(containing))))
        return table, [found for _, _, found in table]


class PrefixHierarchy:
    """Address prefixes by family and length, to find those that contain another."""

    def __init__(self) -> None:
        self.by_length: dict[tuple[int, int], set[int]] = defaultdict(set)

    def add(self, prefix: Prefix) -> None:
        """Add a prefix."""
        bits = len(prefix[0]) * 8
        self.by_length[bits, prefix[1]].add(int.from_bytes(prefix[0], "big") >> (bits - prefix[1]))

    def containing(self, prefix: Prefix) -> Iterator[Prefix]:
        """Yield the added prefixes that contain this one, itself included."""
        bits, number = len(prefix[0]) * 8, int.from_bytes(prefix[0], "big")
        for (family, length), numbers in self.by_length.items():
            if family == bits and length <= prefix[1] and (network := number >> (bits - length)) in numbers:
                yield (network << (bits - length)).to_bytes(bits // 8, "big"), length


@dataclass(slots=True)
class _CoveredRequests:
    """Keys of one value for which an earlier rule always matches, and that rule's name."""

    rules_by_value: dict[Any, str] = field(default_factory=dict)
    rules_by_string_prefix: dict[str, str] = field(default_factory=dict)
    string_prefix_lengths: set[int] = field(default_factory=set)
    hierarchy: PrefixHierarchy = field(default_factory=PrefixHierarchy)
    rules_by_prefix: dict[Prefix, str] = field(default_factory=dict)

    def covering_rule(self, kind: str, key: Any) -> str:
        """Return the rule that matches all requests with this key, or an empty string."""
        if kind == "net":
            return next((self.rules_by_prefix[p] for p in self.hierarchy.containing(key)), "")
        if kind == "value" and key in self.rules_by_value:
            return self.rules_by_value[key]
        if isinstance(key, str):
            for length in self.string_prefix_lengths:
                if length <= len(key) and key[:length] in self.rules_by_string_prefix:
                    return self.rules_by_string_prefix[key[:length]]
        return ""

    def cover(self, kind: str, keys: Iterable[Any], rule: str) -> None:
        """Record that a rule matches all requests with these keys."""
        for key in keys:
            if kind == "value":
                self.rules_by_value.setdefault(key, rule)
            elif kind == "prefix":
                self.rules_by_string_prefix.setdefault(key, rule)
                self.string_prefix_lengths.add(len(key))
            else:
                self.rules_by_prefix.setdefault(key, rule)
                self.hierarchy.add(key)


def unreachable_rules(planner: Planner) -> Iterator[tuple[int, str]]:
    """Yield the index of each rule that can never decide, and the reason."""
    rules_by_terms: dict[frozenset[int], str] = {}
    covered: dict[int, _CoveredRequests] = defaultdict(_CoveredRequests)
    for index, rule in enumerate(planner.rules):
        if any(term.is_constant for term in rule.terms):
            yield index, "its condition is never true"
            continue
        if contradiction := _find_contradiction(planner, rule):
            yield index, contradiction
            continue
        if (earlier_rule := rules_by_terms.get(frozenset())) or (
            earlier_rule := _covering_rule(planner, rule, covered)
        ):
            yield index, f"rule {earlier_rule!r} before it takes all of its requests"
            continue
        term_ids = [term.node_id for term in rule.terms]
        combinable_ids = term_ids if len(term_ids) <= MAX_SUBSET_TERMS else []
        subsets = [
            frozenset(c) for n in range(1, len(combinable_ids) + 1) for c in combinations(combinable_ids, n)
        ]
        if earlier_rule := next(
            (rules_by_terms[p] for p in (subsets or [frozenset(term_ids)]) if p in rules_by_terms), ""
        ):
            yield index, f"rule {earlier_rule!r} before it takes all of its requests"
            continue
        rules_by_terms.setdefault(frozenset(term_ids), rule.name)
        if len(rule.terms) == 1 and (keys := planner.lookup_keys(rule.terms[0])):
            covered[rule.terms[0].args[0].node_id].cover(*keys, rule.name)


def _covering_rule(planner: Planner, rule: RulePlan, covered: dict[int, _CoveredRequests]) -> str:
    for term in rule.terms:
        if (found := planner.lookup_keys(term)) and (covered_requests := covered.get(term.args[0].node_id)):
            earlier_rules = {covered_requests.covering_rule(found[0], key) for key in found[1]}
            if earlier_rules and "" not in earlier_rules:
                return min(earlier_rules)
    return ""


def _find_contradiction(planner: Planner, rule: RulePlan) -> str:
    """Return the fault if terms of one rule exclude each other, else an empty string."""
    allowed: dict[int, set[Any]] = {}
    for term in rule.terms:
        if (found := planner.lookup_keys(term)) and found[0] == "value":
            value_id = term.args[0].node_id
            allowed[value_id] = allowed.get(value_id, set(found[1])) & set(found[1])
            if not allowed[value_id]:
                return "its terms exclude each other"
    return ""


@dataclass(slots=True)
class Costs:
    """Worst-case costs of expressions; a shared expression is computed once."""

    shared_read_ns: float  # cost of reading a shared value that is already computed
    min_shared_cost_ns: float  # cheaper expressions are computed at each use
    total_ns: dict[int, float] = field(default_factory=dict)
    shared: dict[int, TypedNode] = field(default_factory=dict)

    def analyze(self, roots: Iterable[TypedNode]) -> None:
        """Find the nodes below these roots that are worth sharing, and the cost of every node."""
        uses: Counter[int] = Counter()
        nodes: dict[int, TypedNode] = {}
        for root in roots:
            uses[root.node_id] += 1
            pending = [root]
            while pending:
                node = pending.pop()
                if node.node_id not in nodes:
                    nodes[node.node_id] = node
                    for arg in node.args:
                        uses[arg.node_id] += 1
                        pending.append(arg)
        for node_id in sorted(nodes):  # operands have lower ids than the nodes that use them
            node = nodes[node_id]
            cost = node.own_cost_ns + sum(self.cost_of(arg) for arg in node.args)
            self.total_ns[node_id] = cost
            if uses[node_id] > 1 and node.args and cost >= self.min_shared_cost_ns:
                self.shared[node_id] = node

    def cost_of(self, node: TypedNode) -> float:
        """Return the cost of a node at each use."""
        return self.shared_read_ns if node.node_id in self.shared else self.total_ns[node.node_id]

    def shared_cost_ns(self) -> float:
        """Return the cost of computing each shared node once."""
        return sum(self.total_ns[node_id] for node_id in self.shared)
