"""Cases for rules: a request and what the rules have to say of it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct, convert
from msgspec import field as named

from violetdoor.match.runtime import RuleSet, Verdict
from violetdoor.match.types import Schema
from violetdoor.match.values import RequestError, parse_request


class Expected(Struct, forbid_unknown_fields=True):
    """What is expected of a verdict; what is left out may be anything. A refusal of "" means none."""

    rule: str | None = None
    cls: str | None = named(name="class", default=None)
    tenant: str | None = None
    group: int | None = None
    key: int | None = None
    pool: str | None = None
    refuse: str | None = None
    labels: dict[str, str] | None = None


class Case(Struct, forbid_unknown_fields=True):
    """One case."""

    name: str
    request: dict[str, Any]
    expect: Expected


class Cases(Struct, forbid_unknown_fields=True):
    """A file of cases."""

    cases: list[Case]


@dataclass(slots=True)
class Outcome:
    """How one case went; no differences means it passed."""

    name: str
    differences: list[str] = field(default_factory=list)


def parse_cases(data: Any) -> Cases:
    """Cases out of a file's data; msgspec.ValidationError where it has another form."""
    return convert(data, Cases)


def run_cases(rules: RuleSet, schema: Schema, cases: Cases) -> Iterator[Outcome]:
    """Decide each case's request, and compare."""
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
    """A verdict by the names of the language."""
    return {
        "rule": verdict.rule, "class": verdict.cls, "tenant": verdict.tenant, "group": verdict.group,
        "key": verdict.key, "pool": verdict.pool, "refuse": verdict.refusal, "labels": dict(verdict.labels),
    }  # fmt: skip


def _differences(expect: Expected, verdict: Verdict) -> Iterator[str]:
    found = verdict_fields(verdict)
    wanted = {"rule": expect.rule, "class": expect.cls, "tenant": expect.tenant, "group": expect.group,
              "key": expect.key, "pool": expect.pool, "refuse": expect.refuse,
              "labels": expect.labels}  # fmt: skip
    for name, value in wanted.items():
        if name == "refuse" and value == "":
            value, there = None, True
        else:
            there = value is not None
        if there and found[name] != value:
            yield f"{name}: found {found[name]!r}, expected {value!r}"
