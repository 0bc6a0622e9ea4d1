"""The platform's settings and load reports, translated into the types of the decision module.

The simulator and the platform's file hand over the same settings; this is the one place that reads them. Keys
that are not known here are skipped.
"""

from __future__ import annotations

from typing import Any

from violetdoor.balancing.settings import (
    BalancerSettings,
    DeduplicationScope,
    ExecutionSemantics,
    RequestClass,
)

SEMANTICS = {
    "idempotent": ExecutionSemantics.IDEMPOTENT,
    "deduplicated": ExecutionSemantics.DEDUPLICATED,
    "at_most_once": ExecutionSemantics.AT_MOST_ONCE,
}
DEFAULT_POLL_DEADLINE_MS = 10_000.0
REPORT_NAMES = {"active": "inflight", "waiting": "queue", "cpu": "util", "x0": "load", "x1": "backlog"}


def parse_platform_settings(facts: dict[str, Any]) -> BalancerSettings:
    """Translate the platform's settings.

    KeyError, TypeError, ValueError or AttributeError where they don't have the platform's form.
    """
    classes = _request_classes(facts)  # first: of several errors in a file the first one is reported
    limits = facts.get("policyLimits", {})
    rules = facts.get("rules", {})
    prices = facts.get("prices", {})
    has_retry_after = limits.get("retryAfter", False)
    return BalancerSettings(
        classes=classes,
        zone=facts.get("locality") or "",
        relay_count=facts.get("balancers", 1),
        min_call_interval_ms=facts.get("period", 1.0),
        polls_server_list=facts.get("discovery") == "on_request",
        poll_deadline_ms=rules.get("askWithin", DEFAULT_POLL_DEADLINE_MS),
        health_checks_report_load=(
            limits.get("probes", False) and facts.get("report", {}).get("how") != "none"
        ),
        max_attempts=limits.get("sendCap", 1),
        max_retry_after_ms=limits.get("maxRetryAfter", 0.0) if has_retry_after else 0.0,
        cross_zone_price=prices.get("crossZone", 0.0),
        slow_start_ms=rules.get("cold", 0.0),
        slow_start_initial_fraction=rules.get("startCapacity", 1.0),
        slow_start_overload_factor=rules.get("overloadFactor", 1.0),
    )


def _request_classes(facts: dict[str, Any]) -> dict[str, RequestClass]:
    message_objectives = facts.get("familyInfo", {}).get("messageAim") or []
    classes = {}
    for position, form in enumerate(facts.get("classes", [])):
        objective_ms = form["goalTime"]
        has_message_objective = position < len(message_objectives)
        classes[form["name"]] = RequestClass(
            latency_objective_ms=objective_ms,
            priority_weight=form.get("worth", 1.0),
            semantics=SEMANTICS[form.get("effect", "idempotent")],
            deduplication_scope=_deduplication_scope(form.get("dedupScope") or "all"),
            deduplication_window_ms=form.get("window") or 0.0,
            message_latency_objective_ms=(
                message_objectives[position] if has_message_objective else objective_ms
            ),
        )
    return classes


def _deduplication_scope(word: object) -> DeduplicationScope:
    """Look up the scope that the settings name; ValueError in the words that operators know."""
    try:
        return DeduplicationScope(word)
    except ValueError as err:
        # The configuration's error line quotes type and text, so neither may follow our names.
        message = f"{word!r} is not a valid Scope"
        raise ValueError(message) from err


def parse_load_report(values: Any) -> dict[str, float]:
    """Return the numbers of a load report under the decision module's names; empty where there is none."""
    if not isinstance(values, dict):
        return {}
    numbers: dict[str, float] = {
        name: value for name, value in values.items() if isinstance(value, (int, float))
    }
    return {REPORT_NAMES.get(name, name): value for name, value in numbers.items()}
