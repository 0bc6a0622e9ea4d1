"""`violetdoor rules`: check, explain, test and benchmark match rules."""

from __future__ import annotations

import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec
import orjson

from violetdoor.cli.exit_status import EXIT_STATUS_HELP, FILE_TYPE, fail
from violetdoor.configuration.errors import ConfigError
from violetdoor.configuration.files import read_table
from violetdoor.configuration.operator_config import load_operator_config

if TYPE_CHECKING:  # the rules' grammar is loaded only by the commands that need it
    from violetdoor.match.cases import Cases
    from violetdoor.match.explain import Explanation, Step
    from violetdoor.match.load import Loaded
    from violetdoor.match.runtime import Request, RuleSet
    from violetdoor.rules.source import RulesSource

DEFAULT_FRONT = "nats"  # the front that a file of rules applies to, unless an option names one
CONFIG_SUFFIXES = (".toml", ".json")  # of operators' configurations; any other file contains rules
NS_PER_US = 1000

FRONT_OPTION = click.option(
    "--front", type=click.Choice(["line", "nats"]), help="Whose requests; else the configuration's."
)
LIMIT_OPTION = click.option(
    "--limit-us", type=float, help="Cost that a set may have; else the configuration's."
)


@click.group("rules")
def rules_group() -> None:
    """Check and try match rules.

    FILE is a file of rules, or an operator's configuration that has rules in it.
    """


def rules_errors(source: RulesSource) -> list[str]:
    """Return the errors in a set of rules, one per line; empty if it compiles."""
    from violetdoor.match.faults import RulesError
    from violetdoor.rules.worker import compile_source

    try:
        compile_source(source)
    except RulesError as error:
        return str(error).splitlines()
    return []


def _load_rules(path: Path, front: str | None, limit_us: float | None = None) -> Loaded:
    """Return the compiled rules of a file; if there are errors, print them and exit with status 2.

    `front` and `limit_us` (cost limit, microseconds per request) take precedence over the file's values.
    """
    from violetdoor.match.faults import RulesError
    from violetdoor.rules.worker import compile_source

    if path.suffix in CONFIG_SUFFIXES:
        source = _rules_from_configuration(path)
    else:
        source = _rules_from_file(path, front)
    if limit_us is not None or front is not None:
        source = replace(source, limit_us=limit_us or source.limit_us, front=front or source.front)
    try:
        return compile_source(source).loaded
    except RulesError as error:
        fail(str(error))


def _rules_from_configuration(path: Path) -> RulesSource:
    try:
        config = load_operator_config(path)
    except ConfigError as error:
        fail(str(error))
    if config.rules is None:
        fail(f"{path}: it has no rules")
    return config.rules


def _rules_from_file(path: Path, front: str | None) -> RulesSource:
    from violetdoor.match.load import DEFAULT_LIMIT_US
    from violetdoor.rules.source import RulesSource

    try:
        text = path.read_text()
    except (OSError, ValueError) as error:
        fail(f"{path}: {_reason(error)}")
    return RulesSource(
        front=front or DEFAULT_FRONT,
        text=text,
        file=str(path),
        folder=str(path.parent),
        classes=(),
        limit_us=DEFAULT_LIMIT_US,
    )


def _reason(error: Exception) -> object:
    """Return the operating system's message for an error if there is one, else the error."""
    return getattr(error, "strerror", None) or error


@rules_group.command("check", epilog=EXIT_STATUS_HELP)
@click.argument("path", type=FILE_TYPE)
@FRONT_OPTION
@LIMIT_OPTION
def rules_check(path: Path, front: str | None, limit_us: float | None) -> int:
    """Say all faults of rules, or what they cost a request at the worst."""
    loaded = _load_rules(path, front, limit_us)
    data = loaded.data
    groups = ", ".join(f"{kind} ({len(table)})" for kind, _, table in data["groups"]) or "none"
    click.echo(
        f"{path}: {len(loaded.rules)} rules, up to {data['cost'] / NS_PER_US:.1f} us a request; "
        f"looked up: {groups}; "
        f"tested one by one: {len(data['fixed'])}; fields read: {', '.join(data['used']) or 'none'}"
    )
    return 0


@rules_group.command("explain", epilog=EXIT_STATUS_HELP)
@click.argument("path", type=FILE_TYPE)
@click.argument("request_text", metavar="REQUEST")
@FRONT_OPTION
@click.option("--json", "as_json", is_flag=True, help="The same as JSON.")
def rules_explain(path: Path, request_text: str, front: str | None, *, as_json: bool) -> int:
    """Show which rule decides a REQUEST, given as JSON or @FILE, and why those before it did not."""
    from violetdoor.match.explain import explain

    loaded = _load_rules(path, front)
    explanation = explain(loaded, _read_request(request_text, loaded))
    if as_json:
        click.echo(_explanation_json(explanation))
    else:
        _print_explanation(explanation)
    return 0


def _read_request(request_text: str, loaded: Loaded) -> Request:
    """Return the request given as JSON or @FILE; exit with status 2 if it can't be read."""
    from violetdoor.match.values import RequestError, parse_request

    try:
        text = Path(request_text[1:]).read_text() if request_text.startswith("@") else request_text
        return parse_request(orjson.loads(text), loaded.checker.schema)
    except (OSError, orjson.JSONDecodeError, RequestError) as error:
        fail(f"request: {_reason(error)}")


def _explanation_json(explanation: Explanation) -> str:
    from violetdoor.match.cases import verdict_fields

    fields: dict[str, Any] = {
        "verdict": verdict_fields(explanation.verdict),
        "steps": explanation.steps,
        "cost_us": explanation.cost_us,
        "tested": explanation.tested_rules,
        "failure": explanation.failure,
    }
    return orjson.dumps(fields).decode()


def _print_explanation(explanation: Explanation) -> None:
    from violetdoor.match.cases import verdict_fields

    for step in explanation.steps:
        click.echo(_step_line(step))
    if explanation.failure:
        click.echo(f"a rule failed: {explanation.failure}")
    verdict = {
        name: value for name, value in verdict_fields(explanation.verdict).items() if value not in (None, {})
    }
    click.echo("verdict: " + ", ".join(f"{name} {value!r}" for name, value in verdict.items()))
    tested = f"{explanation.tested_rules} rules tested one by one"
    click.echo(f"{tested}; the whole set costs up to {explanation.cost_us:.1f} us")


def _step_line(step: Step) -> str:
    if step.matched:
        return f"line {step.line}: {step.rule!r} decides"
    operands = f"  ({'; '.join(step.values)})" if step.values else ""
    cost = ", left out by a look-up" if step.looked_up else f", {step.cost_us:.2f} us at the worst"
    return f"line {step.line}: {step.rule!r} no: {step.term}{operands}{cost}"


@rules_group.command("test", epilog=EXIT_STATUS_HELP)
@click.argument("path", type=FILE_TYPE)
@click.argument("cases_path", metavar="CASES", type=FILE_TYPE)
@FRONT_OPTION
def rules_test(path: Path, cases_path: Path, front: str | None) -> int:
    """Run the cases of a TOML or JSON file against rules; status 1 if one of them differs."""
    from violetdoor.match.cases import run_cases

    loaded = _load_rules(path, front)
    try:
        cases = _read_cases(cases_path)
    except ConfigError as error:
        fail(str(error))
    except msgspec.ValidationError as error:
        fail(f"{cases_path}: {error}")
    outcomes = list(run_cases(loaded.build(), loaded.checker.schema, cases))
    for outcome in outcomes:
        for difference in outcome.differences:
            click.echo(f"{outcome.name}: {difference}")
    failed = sum(1 for outcome in outcomes if outcome.differences)
    click.echo(f"{len(outcomes) - failed} passed, {failed} failed")
    return 1 if failed else 0


def _read_cases(path: Path) -> Cases:
    from violetdoor.match.cases import parse_cases

    return parse_cases(read_table(path))


@rules_group.command("bench", epilog=EXIT_STATUS_HELP)
@click.argument("path", type=FILE_TYPE)
@click.argument("cases_path", metavar="CASES", type=FILE_TYPE)
@FRONT_OPTION
@click.option("--rounds", type=click.IntRange(1, 1_000_000), default=2000, show_default=True)
def rules_bench(path: Path, cases_path: Path, front: str | None, rounds: int) -> int:
    """Measure how long the rules take to decide the requests of a file of cases."""
    from violetdoor.match.values import RequestError, parse_request

    loaded = _load_rules(path, front)
    try:
        cases = _read_cases(cases_path).cases
        requests = [parse_request(case.request, loaded.checker.schema) for case in cases]
    except (ConfigError, msgspec.ValidationError, RequestError) as error:
        fail(f"{cases_path}: {error}")
    if not requests:
        fail(f"{cases_path}: expected at least one case")
    rules = loaded.build()
    durations_us = [duration / NS_PER_US for duration in _decision_durations_ns(rules, requests, rounds)]
    durations_us.sort()
    count = len(durations_us)
    p50_us = durations_us[count // 2]
    p99_us = durations_us[count * 99 // 100]
    click.echo(
        f"{count} decisions: p50 {p50_us:.2f} us, p99 {p99_us:.2f} us, max {durations_us[-1]:.2f} us; "
        f"by the price table up to {rules.cost_ns / NS_PER_US:.2f} us"
    )
    return 0


def _decision_durations_ns(rules: RuleSet, requests: list[Request], rounds: int) -> list[int]:
    """Decide each request once per round; return the duration of each decision."""
    durations_ns = []
    for _ in range(rounds):
        for request in requests:
            started_at = time.perf_counter_ns()
            rules.decide(request)
            durations_ns.append(time.perf_counter_ns() - started_at)
    return durations_ns
