"""The active rules: evaluated for every request, replaced as a complete set."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Container

from violetdoor.match.runtime import Request, RuleSet, Verdict
from violetdoor.net.counters import Counters
from violetdoor.rules.source import CompiledRules, RulesSource

log = logging.getLogger("violetdoor.rules")

MAX_COUNTED_OUTCOMES = 256  # pools and labels counted by name; also the rules listed on the console
MAX_SHOWN_CLASS_LENGTH = 32  # characters shown of an unknown class name
NS_PER_US = 1000


class ActiveRules:
    """Evaluates the active rule set; a reload does not change verdicts that were already given."""

    def __init__(self, counters: Counters, compiled: CompiledRules) -> None:
        """Activate a compiled set immediately."""
        self.counters = counters
        self.source: RulesSource = compiled.source
        self.rule_set: RuleSet = compiled.build()
        self.hits_by_rule: Counter[str] = Counter()
        self.hits_by_outcome: Counter[str] = Counter()  # by `pool NAME` and `label NAME=VALUE`
        self._counted_failures = 0  # failures of the active set that are in `counters`

    @property
    def used_fields(self) -> frozenset[str]:
        """Request fields that the rules read; a front need not determine any other."""
        return self.rule_set.used_fields

    async def replace(self, compiled: CompiledRules) -> None:
        """Replace the active set; it is built in small steps and then activated in one."""
        rule_set = RuleSet(compiled.data)
        for _ in rule_set.install():
            await asyncio.sleep(0)
        self.source = compiled.source
        self.rule_set = rule_set
        self._counted_failures = 0
        self.hits_by_rule.clear()
        self.hits_by_outcome.clear()
        log.info(
            "activated rules from %s: %d rules, at most %.0f us per request",
            rule_set.origin,
            len(rule_set.rule_names),
            rule_set.cost_ns / NS_PER_US,
        )

    def decide(self, request: Request, classes: Container[str]) -> Verdict:
        """Return the rules' verdict on a request.

        A class that is not configured at this site counts as a failure of its rule.
        """
        rule_set = self.rule_set
        verdict = rule_set.decide(request)
        if verdict.cls is not None and verdict.cls not in classes:
            shown_class = verdict.cls[:MAX_SHOWN_CLASS_LENGTH]
            verdict = rule_set.record_failure(verdict.rule, f"unknown class {shown_class!r}", request)
            if verdict.cls not in classes:
                verdict = verdict._replace(cls=None)
        self.hits_by_rule[verdict.rule] += 1
        if verdict.pool is not None:
            self._count_outcome(f"pool {verdict.pool}")
        for name, value in verdict.labels.items():
            self._count_outcome(f"label {name}={value}")
        if rule_set.failure_count > self._counted_failures:
            self._count_failures(rule_set)
        return verdict

    def _count_failures(self, rule_set: RuleSet) -> None:
        """Count rule failures; only a set's first is logged, because every request may cause one."""
        self.counters["rules_failed"] += rule_set.failure_count - self._counted_failures
        if self._counted_failures == 0:
            log.error(
                "rule failed, using the default; later failures of this set are only counted: %s",
                rule_set.last_failure,
            )
        self._counted_failures = rule_set.failure_count

    def _count_outcome(self, name: str) -> None:
        if name in self.hits_by_outcome or len(self.hits_by_outcome) < MAX_COUNTED_OUTCOMES:
            self.hits_by_outcome[name] += 1

    def status_text(self) -> str:
        """Return the console's status: the active set and its decisions, one value per line."""
        rule_set = self.rule_set
        lines = [
            f"rules {rule_set.origin}",
            f"count {len(rule_set.rule_names)}",
            f"cost_us {rule_set.cost_ns / NS_PER_US:.1f}",
            f"failed {rule_set.failure_count}",
        ]
        most_common = self.hits_by_rule.most_common(MAX_COUNTED_OUTCOMES)
        lines += [f"hits {name}: {count}" for name, count in most_common]
        lines += [f"{name}: {count}" for name, count in sorted(self.hits_by_outcome.items())]
        return "\n".join(lines) + "\n"
