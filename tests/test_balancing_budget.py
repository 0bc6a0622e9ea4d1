"""Tiered budget, demand forecast and connection limit."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from violetdoor.balancing.budget import SMOOTHING_FACTOR, forecast, set_connection_limit, tiered_budget
from violetdoor.balancing.model import Tenant

loads = st.floats(0.0, 1e4)
groups = st.lists(st.tuples(loads, loads, st.sampled_from([1.0, 2.0, 3.0])), min_size=1, max_size=6)


@given(groups, st.floats(0.0, 1e5))
def test_budget_shares_exactly_what_there_is(rows: list[tuple[float, float, float]], extra: float) -> None:
    wanted, guarantee, priority = (list(c) for c in zip(*rows, strict=True))
    capacity = sum(guarantee) + extra
    budget = tiered_budget(wanted, guarantee, priority, capacity)
    assert sum(budget) == pytest.approx(capacity)
    for b, f, g in zip(budget, wanted, guarantee, strict=True):
        assert b >= min(f, g) - 1e-6


@given(groups, st.floats(0.0, 1e5))
def test_higher_priority_is_filled_before_a_lower_one_gets_spare(
    rows: list[tuple[float, float, float]], extra: float
) -> None:
    wanted, guarantee, priority = (list(c) for c in zip(*rows, strict=True))
    budget = tiered_budget(wanted, guarantee, priority, sum(guarantee) + extra)
    short = [p for b, f, p in zip(budget, wanted, priority, strict=True) if b < f - 1e-3]
    for b, f, g, p in zip(budget, wanted, guarantee, priority, strict=True):
        if short and p < max(short):
            assert b <= min(f, g) + 1e-3


def test_equals_share_a_shortage_in_proportion_to_what_they_lack() -> None:
    assert tiered_budget([10.0, 20.0], [0.0, 0.0], [1.0, 1.0], 15.0) == pytest.approx([5.0, 10.0])


def test_residue_is_split_equally() -> None:
    assert tiered_budget([1.0, 2.0], [10.0, 10.0], [1.0, 1.0], 13.0) == pytest.approx([6.0, 7.0])


def test_unknown_capacity_leaves_every_budget_open() -> None:
    assert tiered_budget([1.0, 2.0], [math.inf, math.inf], [1.0, 1.0], math.inf) == [math.inf, math.inf]


def test_forecast_adds_smoothed_change_and_five_thirds_of_its_positive_part() -> None:
    tenant = Tenant()
    tenant.load, tenant.unserved_load = 6.0, 4.0
    assert forecast(tenant) == pytest.approx(10 + SMOOTHING_FACTOR * 10 + 5 / 3 * SMOOTHING_FACTOR * 10)
    tenant.load = 4.0
    change = SMOOTHING_FACTOR * 10 + SMOOTHING_FACTOR * (-6 - SMOOTHING_FACTOR * 10)
    rise = SMOOTHING_FACTOR * 10 * (1 - SMOOTHING_FACTOR)
    assert forecast(tenant) == pytest.approx(4 + change + 5 / 3 * rise)


def test_forecast_is_never_negative() -> None:
    tenant = Tenant()
    tenant.load = 10.0
    forecast(tenant)
    tenant.load = 0.0
    for _ in range(5):
        assert forecast(tenant) >= 0


def test_limit_is_budget_over_minimum_rate_rounded_up_and_at_least_one() -> None:
    tenant = Tenant()
    tenant.load, tenant.connection_count = 8.0, 4
    for budget, limit in ((8.0, 4), (9.0, 5), (0.1, 1)):
        set_connection_limit(tenant, budget)
        assert tenant.connection_limit == limit
