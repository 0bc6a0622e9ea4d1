"""Bandwidth sharing among tenants: demand forecast, tiered budget and connection limit.

After King, Song and Dias, "A System for Resource Sharing and Control of a Cluster-Based Web Server Farm",
sections 3.1 and 3.2; a tenant is the paper's service group, and load takes the place of its bandwidth.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from violetdoor.balancing.model import Tenant

BUDGET_INTERVAL_MS = 1_000.0  # between budgets: a few load reports, far less than a connection's life
SMOOTHING_FACTOR = 0.3  # weight of the newest interval in the moving averages of the change of demand
STANDARD_DEVIATIONS = 5 / 3  # multiple of the estimated deviation in a forecast, from section 3.1.1
ROUNDING_TOLERANCE = 1e-6  # connections: a limit that is whole but for rounding is not rounded up


def tiered_budget(
    forecast: Sequence[float], guarantee: Sequence[float], priority: Sequence[float], capacity: float
) -> list[float]:
    """Allocate capacity to tenants as in the paper's section 3.1.2.

    Each gets its guarantee up to its forecast; spare capacity then goes to the tenants of each priority,
    the highest first, up to their forecasts, and in proportion to what they lack where it is short (section
    3.1.3); the residue is split equally.
    """
    budget = [min(demand, guaranteed) for demand, guaranteed in zip(forecast, guarantee, strict=True)]
    spare = max(0.0, capacity - sum(budget))
    for level in sorted(set(priority), reverse=True):
        members = [index for index, own_level in enumerate(priority) if own_level == level]
        wanted = {index: forecast[index] - budget[index] for index in members}
        total = sum(wanted.values())
        granted_fraction = min(1.0, spare / total) if total > 0 else 0.0
        for index, amount in wanted.items():
            budget[index] += amount * granted_fraction
        spare = max(0.0, spare - total)
    return [allocated + spare / len(budget) for allocated in budget]


def forecast(tenant: Tenant) -> float:
    """Close an interval and forecast the tenant's demand in the next one, as in the paper's section 3.1.1.

    The forecast is the last demand, plus the moving average of its change, plus 5/3 of the moving average
    of its positive changes, which stands for the standard deviation.
    """
    change = tenant.load + tenant.unserved_load - tenant.last_demand
    tenant.last_demand += change
    tenant.unserved_load = 0.0
    tenant.smoothed_change += SMOOTHING_FACTOR * (change - tenant.smoothed_change)
    tenant.smoothed_increase += SMOOTHING_FACTOR * (max(0.0, change) - tenant.smoothed_increase)
    deviation = STANDARD_DEVIATIONS * tenant.smoothed_increase
    return max(0.0, tenant.last_demand + tenant.smoothed_change + deviation)


def set_connection_limit(tenant: Tenant, budget: float) -> None:
    """Set the connection limit that admission control goes by, as in the paper's section 3.2.

    It is the budget over the minimum rate of a connection, here the mean load of the tenant's connections,
    rounded up and at least one, since a relay often holds one connection of a tenant.
    """
    tenant.budget = budget
    has_known_rate = tenant.connection_count > 0 and tenant.load > 0
    if not has_known_rate or budget == math.inf:
        tenant.connection_limit = math.inf
        return
    limit = budget * tenant.connection_count / tenant.load
    tenant.connection_limit = max(1, math.ceil(limit - ROUNDING_TOLERANCE))
