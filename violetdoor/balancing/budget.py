"""Capacity sharing among tenants: demand forecast, tiered budget and connection limit.

Based on King, Song and Dias, "A System for Resource Sharing and Control of a Cluster-Based Web Server Farm",
sections 3.1 and 3.2. A tenant corresponds to the paper's service group, and load to its bandwidth.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from violetdoor.balancing.model import Tenant

BUDGET_INTERVAL_MS = 1_000.0  # several load reports long, far shorter than the lifetime of a connection
SMOOTHING_FACTOR = 0.3  # weight of the newest interval in the moving averages of demand changes
STANDARD_DEVIATIONS = 5 / 3  # multiple of the estimated deviation that a forecast adds, section 3.1.1
ROUNDING_TOLERANCE = 1e-6  # connections; a limit this little above an integer is not rounded up


def tiered_budget(
    forecast: Sequence[float], guarantee: Sequence[float], priority: Sequence[float], capacity: float
) -> list[float]:
    """Allocate capacity to tenants as in section 3.1.2 of the paper.

    Each tenant gets the lesser of its guarantee and its forecast. Spare capacity then goes to the priorities
    in descending order, up to the tenants' forecasts; if it is short, in proportion to their unmet demand
    (section 3.1.3). The residue is split equally.
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
    """Close an interval and forecast the tenant's demand in the next one, as in section 3.1.1 of the paper.

    The forecast is the last demand, plus the moving average of its changes, plus 5/3 of the moving average
    of its increases, which estimates the standard deviation.
    """
    change = tenant.load + tenant.unserved_load - tenant.last_demand
    tenant.last_demand += change
    tenant.unserved_load = 0.0
    tenant.smoothed_change += SMOOTHING_FACTOR * (change - tenant.smoothed_change)
    tenant.smoothed_increase += SMOOTHING_FACTOR * (max(0.0, change) - tenant.smoothed_increase)
    deviation = STANDARD_DEVIATIONS * tenant.smoothed_increase
    return max(0.0, tenant.last_demand + tenant.smoothed_change + deviation)


def set_connection_limit(tenant: Tenant, budget: float) -> None:
    """Set the connection limit for admission control, as in section 3.2 of the paper.

    It is the budget divided by the minimum rate of a connection, for which the mean load of the tenant's
    connections is used. It is rounded up and at least one: a relay often has one connection of a tenant.
    """
    tenant.budget = budget
    has_known_rate = tenant.connection_count > 0 and tenant.load > 0
    if not has_known_rate or budget == math.inf:
        tenant.connection_limit = math.inf
        return
    limit = budget * tenant.connection_count / tenant.load
    tenant.connection_limit = max(1, math.ceil(limit - ROUNDING_TOLERANCE))
