"""Measure, fit, and update the page: `python -m benchmarks.capacity [--quick] [--only PART] [--write]`."""

from __future__ import annotations

import argparse
import importlib
import sys

from benchmarks.capacity import page, records
from benchmarks.capacity.fits import FitError, judge
from benchmarks.machine import describe_machine

# The module that measures each part; imported only when the part runs.
PARTS = {
    "fleet": "fleet_slopes",
    "moments": "moment_slopes",
    "module": "module_slopes",
    "control": "control_slopes",
    "hollow": "hollow",
    "connections": "connections",
    "scale": "scale_figures",
}


def format_result(result: records.Series | records.Figure) -> str:
    """Return a result as one line for the terminal."""
    if isinstance(result, records.Figure):
        return f"{result.name}: {result.value:.4g} {result.unit} ({result.low:.4g} to {result.high:.4g}, {result.runs} runs)"
    points = ", ".join(f"{p.size:g}: {p.value:.4g}" for p in result.points)
    try:
        verdict = judge(result.points)
    except FitError as err:
        return f"{result.name} [{result.unit}]: {points}; no slope: {err}"
    fit = verdict.fit
    return (
        f"{result.name} [{result.unit}]: {points}; {fit.base:.4g} + {fit.slope:.4g} * {fit.form.value}, "
        f"residual {fit.residual:.1%}, largest predicted {verdict.prediction_error:+.1%}, counts: {verdict.counts}"
    )


def main() -> int:
    """Measure the selected parts; with `--write`, store the results and update the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--quick", action="store_true", help="measure small sizes; the results can't be written"
    )
    parser.add_argument(
        "--only", action="append", choices=PARTS, help="measure this part only; may be repeated"
    )
    parser.add_argument("--write", action="store_true", help="store the results and update the page's tables")
    parser.add_argument("--page", action="store_true", help="measure nothing, only update the page's tables")
    args = parser.parse_args()
    if args.quick and args.write:
        parser.error("--write can't be combined with --quick: only full runs are stored")
    store = records.load()
    for part in [] if args.page else args.only or PARTS:
        results = importlib.import_module(f"benchmarks.capacity.{PARTS[part]}").measure(args.quick)
        for result in results:
            print(format_result(result), flush=True)
        store.add(results, f"python -m benchmarks.capacity --only {part}", describe_machine())
        if args.write:
            records.save(store)
    if args.write or args.page:
        page.update_page(store)
    return 0


if __name__ == "__main__":
    sys.exit(main())
