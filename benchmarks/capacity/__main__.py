"""Measure, fit, and renew the page: `python -m benchmarks.capacity [--quick] [--only PART] [--write]`."""

from __future__ import annotations

import argparse
import importlib
import sys

from benchmarks.capacity import page, records
from benchmarks.capacity.fits import FitError, judge
from benchmarks.machine import described

# The module of each part; one is loaded when it is run.
PARTS = {
    "fleet": "fleet_slopes",
    "moments": "moment_slopes",
    "module": "module_slopes",
    "control": "control_slopes",
    "hollow": "hollow",
    "connections": "connections",
    "scale": "scale_figures",
}


def format_result(one: records.Series | records.Figure) -> str:
    """A result as a line for the terminal."""
    if isinstance(one, records.Figure):
        return f"{one.name}: {one.value:.4g} {one.unit} ({one.low:.4g} to {one.high:.4g}, {one.runs} runs)"
    shown = ", ".join(f"{p.size:g}: {p.value:.4g}" for p in one.points)
    try:
        verdict = judge(one.points)
    except FitError as err:
        return f"{one.name} [{one.unit}]: {shown}; no slope: {err}"
    fitted = verdict.fit
    return (
        f"{one.name} [{one.unit}]: {shown}; {fitted.base:.4g} + {fitted.slope:.4g} * {fitted.form.value}, "
        f"residual {fitted.residual:.1%}, largest predicted {verdict.prediction_error:+.1%}, counts: {verdict.counts}"
    )


def main() -> int:
    """Measure what was asked for; `--write` keeps the figures and writes the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="small sizes; the figures are not the page's")
    parser.add_argument("--only", action="append", choices=PARTS, help="a part; may be given again")
    parser.add_argument("--write", action="store_true", help="keep the figures and renew the page's tables")
    parser.add_argument("--page", action="store_true", help="measure nothing, only renew the page's tables")
    args = parser.parse_args()
    if args.quick and args.write:
        parser.error("--write keeps full runs only")
    store = records.load()
    for part in [] if args.page else args.only or PARTS:
        found = importlib.import_module(f"benchmarks.capacity.{PARTS[part]}").measure(args.quick)
        for one in found:
            print(format_result(one), flush=True)
        store.add(found, f"python -m benchmarks.capacity --only {part}", described())
        if args.write:
            records.save(store)
    if args.write or args.page:
        page.update_page(store)
    return 0


if __name__ == "__main__":
    sys.exit(main())
