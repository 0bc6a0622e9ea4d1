"""The admission plan: divides a budget of processor time by tenant share and priority weight.

The budget admits demand within tenants' shares first, then demand beyond them, each in the order of the
classes' priority weights. At most one combination of share and class is admitted partly.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from violetdoor.overload.demand import DemandRate

MIN_TENANT_FRACTION = 0.02  # minimum share of any tenant, as a fraction of the budget


@dataclass(slots=True)
class AdmissionPlan:
    """Fractions to admit until the next reading; demand without an entry is admitted."""

    # Fraction of the demand that is within the tenant's share, by tenant and class.
    within_share_fractions: dict[tuple[str, str], float] = field(default_factory=dict)
    # Admitted fractions of the demand within shares and beyond them, by class.
    admitted_within_share: dict[str, float] = field(default_factory=dict)
    admitted_beyond_share: dict[str, float] = field(default_factory=dict)
    accepted_connection_fraction: float = 1.0  # of new connections; the others are rejected unread


def plan_admission(
    budget: float,
    classes: Sequence[str],
    rates: Mapping[tuple[str, str], DemandRate],
    setup_seconds: float,
) -> AdmissionPlan:
    """Divide a budget among the demand.

    `budget` is in cores, `classes` are in descending order of priority weight, `rates` are by tenant and
    class, and `setup_seconds` is the processor time of one request.
    """
    plan = AdmissionPlan()
    demanded_within: dict[str, float] = {}
    demanded_beyond: dict[str, float] = {}
    for tenant, share in _tenant_shares(budget, rates, setup_seconds).items():
        remaining = share
        for class_name in classes:  # classes of higher priority use the tenant's share first
            rate = rates.get((tenant, class_name))
            demanded = 0.0 if rate is None else rate.current * setup_seconds
            if demanded <= 0.0:
                continue
            within = min(demanded, remaining)
            remaining -= within
            plan.within_share_fractions[tenant, class_name] = within / demanded
            demanded_within[class_name] = demanded_within.get(class_name, 0.0) + within
            demanded_beyond[class_name] = demanded_beyond.get(class_name, 0.0) + demanded - within
    budget = _admit_classes(plan.admitted_within_share, classes, demanded_within, budget)
    _admit_classes(plan.admitted_beyond_share, classes, demanded_beyond, budget)
    return plan


def _tenant_shares(
    budget: float, rates: Mapping[tuple[str, str], DemandRate], setup_seconds: float
) -> dict[str, float]:
    """Return each tenant's share of the budget in cores, in proportion to its usual demand."""
    usual: dict[str, float] = {}
    for (tenant, _), rate in rates.items():
        usual[tenant] = usual.get(tenant, 0.0) + rate.usual * setup_seconds
    total = sum(usual.values())
    scale = budget / total if total > 0 else 1.0
    return {tenant: max(cores * scale, MIN_TENANT_FRACTION * budget) for tenant, cores in usual.items()}


def _admit_classes(
    admitted: dict[str, float], classes: Sequence[str], demanded: Mapping[str, float], budget: float
) -> float:
    """Set the admitted fraction of each class, in order of `classes`; return the remaining budget."""
    for class_name in classes:
        cores = demanded.get(class_name, 0.0)
        if cores <= 0:
            admitted[class_name] = 1.0 if budget > 0 else 0.0
        elif cores <= budget:
            admitted[class_name] = 1.0
        else:
            admitted[class_name] = budget / cores
        budget = max(0.0, budget - cores)
    return budget
