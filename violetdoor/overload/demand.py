"""Demand: current and usual request rates by tenant and class."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

MAX_TENANTS = 256  # with their own rows; all others share one row per class
OTHER_TENANTS = "*"  # name of the shared rows
CURRENT_RATE_TIME_CONSTANT_SECONDS = 0.4
USUAL_RATE_TIME_CONSTANT_SECONDS = 300.0
MIN_USUAL_RATE_TIME_CONSTANT_SECONDS = 10.0  # for new tenants, whose usual rate is a plain mean
IDLE_RATE = 1e-3  # requests per second; tenants below it are removed when the table is full


@dataclass(slots=True)
class DemandRate:
    """Request rates of one tenant and class, in requests per second."""

    current: float = 0.0  # short-term average
    usual: float = 0.0  # long-term average
    count: float = 0.0  # requests since the last update
    first_update_at: float = math.nan  # s, monotonic clock

    def update(self, now: float, elapsed: float, *, learn_usual: bool) -> None:
        """Update the rates with the requests counted in the last `elapsed` seconds."""
        rate = self.count / elapsed
        self.count = 0.0
        if math.isnan(self.first_update_at):
            self.first_update_at = now
        self.current += (rate - self.current) * (
            1.0 - math.exp(-elapsed / CURRENT_RATE_TIME_CONSTANT_SECONDS)
        )
        if learn_usual:
            age = now - self.first_update_at
            # A plain mean until the tenant is older than the time constant.
            time_constant = (
                USUAL_RATE_TIME_CONSTANT_SECONDS
                if age > USUAL_RATE_TIME_CONSTANT_SECONDS
                else max(MIN_USUAL_RATE_TIME_CONSTANT_SECONDS, age)
            )
            self.usual += (rate - self.usual) * (1.0 - math.exp(-elapsed / time_constant))


@dataclass(slots=True)
class DemandTable:
    """Request rates of all tenants, in a table of bounded size."""

    rates: OrderedDict[tuple[str, str], DemandRate] = field(default_factory=OrderedDict)  # by (tenant, class)
    tenants: OrderedDict[str, None] = field(default_factory=OrderedDict)  # with their own rows

    def row_tenant(self, tenant: str) -> str:
        """Return the row name of a tenant: its own name, or the shared one if the table is full.

        A client that invents tenant names cannot grow the table without limit: they share rows.
        """
        if tenant in self.tenants:
            return tenant
        if len(self.tenants) >= MAX_TENANTS:
            return OTHER_TENANTS
        self.tenants[tenant] = None
        return tenant

    def record_request(self, tenant: str, class_name: str) -> str:
        """Count a request; return the row name of its tenant."""
        name = self.row_tenant(tenant)
        rate = self.rates.get((name, class_name))
        if rate is None:
            rate = self.rates[name, class_name] = DemandRate()
        rate.count += 1
        return name

    def update(self, now: float, elapsed: float, *, learn_usual: bool) -> None:
        """Update all rates; remove idle tenants if the table is full."""
        for rate in self.rates.values():
            rate.update(now, elapsed, learn_usual=learn_usual)
        if len(self.tenants) >= MAX_TENANTS:
            self._remove_idle_tenants()

    def _remove_idle_tenants(self) -> None:
        busy = {tenant for (tenant, _), rate in self.rates.items() if not rate.current < IDLE_RATE}
        for tenant in [tenant for tenant in self.tenants if tenant not in busy]:
            del self.tenants[tenant]
            for key in [key for key in self.rates if key[0] == tenant]:
                del self.rates[key]
