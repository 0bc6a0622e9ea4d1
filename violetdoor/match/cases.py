"""Test cases of rules: a request and the verdict that is expected of the rules."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct, convert
from msgspec import field as struct_field

from violetdoor.match.runtime import RuleSet, Verdict
from violetdoor.match.types import Schema
from violetdoor.match.values import RequestError, parse_request


class Expected(Struct, forbid_unknown_fields=True):
    """Expected values of a verdict; None is not compared, `refuse` of "" expects no refusal."""

    rule: str | None = None
    cls: str | None = struct_field(name="class", default=None)
    tenant: str | None = None
    group: int | None = None
    key: int | None = None
    pool: str | None = None
    refuse: str | None = None
    labels: dict[str, str] | None = None


class Case(Struct, forbid_unknown_fields=True):
    """One test case."""

    name: str
    request: dict[str, Any]
    expect: Expected


class Cases(Struct, forbid_unknown_fields=True):
    """A file of test cases."""

    cases: list[Case]


@dataclass(slots=True)
class Outcome:
    """Result of one case; it passed if there are no differences."""

    name: str
    differences: list[str] = field(default_factory=list)


def parse_cases(data: Any) -> Cases:
    """Return the cases in a file's parsed data; raises msgspec.ValidationError if they do not validate."""
    return convert(data, Cases)


def run_cases(rules: RuleSet, schema: Schema, cases: Cases) -> Iterator[Outcome]:
    """Decide each case's request and compare the verdict with the expected one."""
    for case in cases.cases:
        outcome = Outcome(case.name)
        try:
            verdict = rules.decide(parse_request(case.request, schema))
        except RequestError as err:
            outcome.differences.append(f"request: {err}")
        else:
            outcome.differences += _differences(case.expect, verdict)
        yield outcome


def verdict_fields(verdict: Verdict) -> dict[str, Any]:
    """Return a verdict's values by their names in the rule language."""
    return {
        "rule": verdict.rule, "class": verdict.cls, "tenant": verdict.tenant, "group": verdict.group,
        "key": verdict.key, "pool": verdict.pool, "refuse": verdict.refusal, "labels": dict(verdict.labels),
    }  # fmt: skip


def _differences(expect: Expected, verdict: Verdict) -> Iterator[str]:
    found = verdict_fields(verdict)
    expected = {"rule": expect.rule, "class": expect.cls, "tenant": expect.tenant, "group": expect.group,
                "key": expect.key, "pool": expect.pool, "refuse": expect.refuse,
                "labels": expect.labels}  # fmt: skip
    for name, value in expected.items():
        if name == "refuse" and value == "":
            value, is_expected = None, True
        else:
            is_expected = value is not None
        if is_expected and found[name] != value:
            yield f"{name}: found {found[name]!r}, expected {value!r}"
