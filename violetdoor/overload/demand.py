"""Who asks for how much: rates by tenant and class, learned shares, and what each kind of work costs."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

TENANTS_MOST = 256  # that have a row of their own; all others share one
OTHERS = "*"
FAST = 0.4  # s, time constant of the demand now
USUAL = 300.0  # s, of what a tenant usually asks for
LEARN_FIRST = 10.0  # s after which a new tenant counts as known
KINDS = ("setup", "refusal", "line")  # a request taken, one turned away, a line or message passed on
PRIOR = {"setup": 1.0e-3, "refusal": 1.5e-4, "line": 4.0e-5}  # s of a core, until it is measured
SPAN = 12.0  # a measured cost stays within the prior times and over this
STEP = 0.08  # of the error of one look that the costs take over


@dataclass(slots=True)
class Rate:
    """Events a second, in the last moments and usually."""

    now: float = 0.0
    usual: float = 0.0
    count: float = 0.0  # since the last look
    since: float = math.nan

    def look(self, at: float, span: float, learn: bool) -> None:
        """Close a span of time."""
        rate, self.count = self.count / span, 0.0
        if math.isnan(self.since):
            self.since = at
        self.now += (rate - self.now) * (1.0 - math.exp(-span / FAST))
        if learn:
            age = at - self.since
            slow = (
                USUAL if age > USUAL else max(LEARN_FIRST, age)
            )  # a plain mean, until there is enough of it
            self.usual += (rate - self.usual) * (1.0 - math.exp(-span / slow))


@dataclass(slots=True)
class Demand:
    """What tenants ask for, in a table that can't grow."""

    rows: OrderedDict[tuple[str, str], Rate] = field(default_factory=OrderedDict)
    tenants: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def name(self, tenant: str) -> str:
        """The row's name for a tenant: its own, or that of all who found no room.

        Guards against a client that makes up tenants: the table is bounded, and they share one row.
        """
        if tenant in self.tenants:
            return tenant
        if len(self.tenants) >= TENANTS_MOST:
            return OTHERS
        self.tenants[tenant] = None
        return tenant

    def count(self, tenant: str, cls: str) -> str:
        """One request; the name of its row."""
        name = self.name(tenant)
        row = self.rows.get((name, cls))
        if row is None:
            row = self.rows[name, cls] = Rate()
        row.count += 1
        return name

    def look(self, at: float, span: float, learn: bool) -> None:
        """Close a span; forget tenants that have not asked for long."""
        for row in self.rows.values():
            row.look(at, span, learn)
        if len(self.tenants) >= TENANTS_MOST:
            idle = [t for t in self.tenants if all(r.now < 1e-3 for (n, _), r in self.rows.items() if n == t)]
            for tenant in idle:
                del self.tenants[tenant]
                for key in [k for k in self.rows if k[0] == tenant]:
                    del self.rows[key]


@dataclass(slots=True)
class Costs:
    """Seconds of a core for each kind of work, from the processor time of the whole process.

    A normalised least-mean-squares filter (Widrow and Hoff, 1960) on the counts of each look: the kinds can't
    be timed one by one in one loop, yet together they are what was used. Each cost stays within bounds of its
    prior, so that one odd look moves it little.
    """

    costs: dict[str, float] = field(default_factory=lambda: dict(PRIOR))
    counts: dict[str, float] = field(default_factory=lambda: dict.fromkeys(KINDS, 0.0))

    def count(self, kind: str, number: float = 1.0) -> None:
        """So much work of a kind was done."""
        self.counts[kind] += number

    def look(self, used: float) -> None:
        """Learn from the processor time of a look, in s of a core."""
        counts, self.counts = self.counts, dict.fromkeys(KINDS, 0.0)
        # In units of the priors all kinds weigh alike, whatever their size.
        work = {kind: counts[kind] * PRIOR[kind] for kind in KINDS}
        norm = sum(w * w for w in work.values())
        if norm <= 1e-8:
            return
        error = used - sum(self.costs[kind] * counts[kind] for kind in KINDS)
        for kind in KINDS:
            changed = self.costs[kind] + STEP * error * work[kind] / norm * PRIOR[kind]
            self.costs[kind] = min(PRIOR[kind] * SPAN, max(PRIOR[kind] / SPAN, changed))
