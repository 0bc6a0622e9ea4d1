"""Conversion of the platform's settings and load reports into the types of the decision module.

The simulator and the platform's file provide settings of the same form, which only this module reads. Unknown
keys are ignored.
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


def parse_platform_settings(data: dict[str, Any]) -> BalancerSettings:
    """Convert the platform's settings.

    Raises KeyError, TypeError, ValueError or AttributeError if they don't have the platform's form.
    """
    classes = _request_classes(data)  # first, since only the first error in a file is reported
    limits = data.get("policyLimits", {})
    rules = data.get("rules", {})
    prices = data.get("prices", {})
    has_retry_after = limits.get("retryAfter", False)
    return BalancerSettings(
        classes=classes,
        zone=data.get("locality") or "",
        relay_count=data.get("balancers", 1),
        min_call_interval_ms=data.get("period", 1.0),
        polls_server_list=data.get("discovery") == "on_request",
        poll_deadline_ms=rules.get("askWithin", DEFAULT_POLL_DEADLINE_MS),
        health_checks_report_load=(
            limits.get("probes", False) and data.get("report", {}).get("how") != "none"
        ),
        max_attempts=limits.get("sendCap", 1),
        max_retry_after_ms=limits.get("maxRetryAfter", 0.0) if has_retry_after else 0.0,
        cross_zone_price=prices.get("crossZone", 0.0),
        slow_start_ms=rules.get("cold", 0.0),
        slow_start_initial_fraction=rules.get("startCapacity", 1.0),
        slow_start_overload_factor=rules.get("overloadFactor", 1.0),
    )


def _request_classes(data: dict[str, Any]) -> dict[str, RequestClass]:
    message_objectives = data.get("familyInfo", {}).get("messageAim") or []
    classes = {}
    for position, request_class in enumerate(data.get("classes", [])):
        objective_ms = request_class["goalTime"]
        has_message_objective = position < len(message_objectives)
        classes[request_class["name"]] = RequestClass(
            latency_objective_ms=objective_ms,
            priority_weight=request_class.get("worth", 1.0),
            semantics=SEMANTICS[request_class.get("effect", "idempotent")],
            deduplication_scope=_deduplication_scope(request_class.get("dedupScope") or "all"),
            deduplication_window_ms=request_class.get("window") or 0.0,
            message_latency_objective_ms=(
                message_objectives[position] if has_message_objective else objective_ms
            ),
        )
    return classes


def _deduplication_scope(value: object) -> DeduplicationScope:
    """Return the scope of this name; the ValueError keeps the text that operators match."""
    try:
        return DeduplicationScope(value)
    except ValueError as err:
        # The configuration's error line contains this type and text, so both stay independent of class names.
        message = f"{value!r} is not a valid Scope"
        raise ValueError(message) from err


def parse_load_report(values: Any) -> dict[str, float]:
    """Return the numeric values of a load report by the decision module's names; empty if not a report."""
    if not isinstance(values, dict):
        return {}
    numbers: dict[str, float] = {
        name: value for name, value in values.items() if isinstance(value, (int, float))
    }
    return {REPORT_NAMES.get(name, name): value for name, value in numbers.items()}
