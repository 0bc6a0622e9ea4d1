"""Fits recover known slopes and reject those that mispredict the largest size; the pages match the stored data."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Sequence
from random import Random

import pytest
from msgspec import structs

from benchmarks.capacity import page, scale_figures
from benchmarks.capacity.fits import GROWTH, FitError, Form, fit, judge
from benchmarks.capacity.needs import Kind, Measured
from benchmarks.capacity.records import Point, Series, Store, load

SIZES = 50, 100, 200, 400, 800


def series(
    cost: Callable[[float], float], sizes: Sequence[int] = SIZES, noise: float = 0.0, seed: int = 1
) -> list[Point]:
    random = Random(seed)
    values = [(n, cost(n) * (1 + random.uniform(-noise, noise))) for n in sizes]
    return [Point(n, value, value, value) for n, value in values]


@pytest.mark.parametrize("form", Form)
def test_fit_recovers_a_known_form_with_its_base_and_slope(form: Form) -> None:
    found = judge(series(lambda n: 30.0 + 2.0 * GROWTH[form](n)))
    assert found.fit.form is form
    assert found.counts
    assert abs(found.prediction_error) < 1e-6
    assert found.fit.residual < 1e-6
    assert found.fit.at(5600) == pytest.approx(30.0 + 2.0 * GROWTH[form](5600))


@pytest.mark.parametrize("form", [Form.LINEAR, Form.N_LOG_N, Form.SQUARE])
def test_with_some_noise_the_slope_counts_and_its_range_contains_the_truth(form: Form) -> None:
    def truth(n: float) -> float:
        return 0.5 + 2.0 * GROWTH[form](n)

    found = judge(series(truth, noise=0.03))
    low, high = found.range_at(1600)
    assert found.counts
    assert low * 0.95 <= truth(1600) <= high * 1.05


@pytest.mark.parametrize(
    ("truth", "wrong"),
    [(Form.SQUARE, Form.LINEAR), (Form.LINEAR, Form.LOG), (Form.N_LOG_N, Form.CONSTANT)],
)
def test_a_wrong_form_does_not_predict_the_largest(truth: Form, wrong: Form) -> None:
    found = judge(series(GROWTH[truth]), wrong)
    assert not found.counts
    assert found.prediction_error < -0.2


def test_a_cost_that_turns_steep_at_the_largest_size_does_not_count() -> None:
    points = [*series(lambda n: 10.0 + n, SIZES[:-1]), Point(800, 2000.0, 2000.0, 2000.0)]
    found = judge(points)
    assert not found.counts
    assert found.measured == 2000.0
    assert found.predicted == pytest.approx(810.0)


def test_the_size_at_which_a_cost_reaches_a_budget() -> None:
    found = fit(series(lambda n: 100.0 + 2.0 * n), Form.LINEAR)
    assert found.size_at(6000.0) == pytest.approx(2950.0, rel=0.002)
    assert fit(series(lambda n: 7.0), Form.CONSTANT).size_at(8.0) == math.inf


def test_three_sizes_are_too_few_for_a_slope() -> None:
    with pytest.raises(FitError):
        judge(series(lambda n: n, SIZES[:3]))


def test_the_page_matches_the_stored_figures() -> None:
    store, text = load(), page.PAGE.read_text()
    assert store.series
    assert store.figures
    assert page.with_current_blocks(text, store) == text


def test_a_changed_figure_changes_the_page() -> None:
    store = load()
    name = next(iter(store.series))
    points = [structs.replace(p, value=p.value * 3, high=p.high * 3) for p in store.series[name].points]
    store.series[name] = structs.replace(store.series[name], points=points)
    assert page.with_current_blocks(page.PAGE.read_text(), store) != page.PAGE.read_text()


def test_a_page_without_one_of_its_blocks_is_rejected() -> None:
    text = page.PAGE.read_text().replace("<!-- generated: summary -->\n", "")
    with pytest.raises(page.PageError):
        page.with_current_blocks(text, load())


def test_a_slope_that_does_not_count_is_not_extrapolated() -> None:
    steep = Series(
        "steep", "", "members", "B", [*series(lambda n: 10.0 + n, SIZES[:-1]), Point(800, 2e3, 2e3, 2e3)]
    )
    found = Measured(Store({"steep": steep})).at("steep", 5600)
    assert found.kind is Kind.FLOOR
    assert found.value == 2000.0
    assert Measured(Store()).at("steep", 5600).kind is Kind.MISSING
    within = Measured(Store({"steep": steep})).at("steep", 300)
    assert within.kind is Kind.MEASURED
    assert within.value == 310.0
    assert Measured(Store({"steep": steep})).size_at_budget("steep", 260.0) == 250.0


def test_the_large_fleets_page_is_read_completely_or_rejected() -> None:
    text = scale_figures.PAGE.read_text()
    found = {figure.name: figure for figure in scale_figures.figures(text)}
    assert set(found) == set(scale_figures.TITLES.values())
    assert found["scale_bytes_rest"].unit == "B/s"
    assert 0 < found["scale_bytes_rest"].value < 6000
    with pytest.raises(scale_figures.PageFormatError, match="scale_restart"):
        scale_figures.figures(text.replace("| a restart is in", "| a restart was in"))
    with pytest.raises(scale_figures.PageFormatError, match="memory of a control machine"):
        scale_figures.figures(
            re.sub(r"(\| memory of a control machine.*) MiB( \| \d+ \|)", r"\1 much\2", text)
        )
