"""Measure a large fleet on loopback under faults: `python -m benchmarks.fleet_scale [--quick] [--write]`.

Exit status: 0 if every bound was met, 1 on a missed bound or a failure, 2 if no fleet has the given numbers.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import signal
import sys
from dataclasses import replace

import uvloop

from benchmarks.fleet_scale.bounds import missed_bounds
from benchmarks.fleet_scale.layout import LayoutError, Size
from benchmarks.fleet_scale.report import TARGET, Outcome, page
from benchmarks.fleet_scale.run import Request, run
from benchmarks.fleet_scale.timeline import FULL, QUICK

FULL_SIZE, QUICK_SIZE = Size(5600, 46, 10, 24), Size(700, 7, 2, 4)
REAL, QUICK_REAL = 20, 2  # relays that run as violetdoor processes


def parse(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.fleet_scale", description=__doc__)
    parser.add_argument("--relays", type=int, help="stub and real relays together")
    parser.add_argument("--control", type=int, help="control machines, three to seven per region")
    parser.add_argument("--regions", type=int)
    parser.add_argument("--zones", type=int)
    parser.add_argument("--seconds", type=float, help="duration for which a region is cut off")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="700 relays and short phases: within 45 s")
    parser.add_argument(
        "--alone",
        action="store_true",
        help="skip the small fleet for comparison and the scenarios in virtual time",
    )
    parser.add_argument("--write", action="store_true", help="write the result page to docs/measurements")
    return parser.parse_args(arguments)


def request(args: argparse.Namespace) -> Request:
    """Build the request from the command line. Raises LayoutError if no fleet has the given numbers."""
    normal, schedule = (QUICK_SIZE, QUICK) if args.quick else (FULL_SIZE, FULL)
    size = Size(
        normal.relays if args.relays is None else args.relays,
        normal.control if args.control is None else args.control,
        normal.regions if args.regions is None else args.regions,
        normal.zones if args.zones is None else args.zones,
    )
    size.check()
    if args.seconds is not None:
        schedule = replace(schedule, cut=args.seconds)
    real = min(QUICK_REAL if args.quick else REAL, size.zones)
    words = [
        f"--{name} {value}" for name, value in vars(args).items() if value and not isinstance(value, bool)
    ]
    words += [f"--{name}" for name, value in vars(args).items() if value is True]
    command = " ".join(["python -m benchmarks.fleet_scale", *words])
    more = not (args.quick or args.alone)
    return Request(size, schedule, real, args.seed, command, compare=more, virtual=more)


def show(outcome: Outcome) -> None:
    """Print the page, failures and missed bounds, and the figures in the last line."""
    print(page(outcome))
    for failure in outcome.failures:
        print(f"BROKE: {failure}")
    for bound in missed_bounds(outcome.bounds):
        print(
            f"BROKE: {bound.title}: {bound.unit.show(bound.value)}, expected {bound.unit.show(bound.limit)} at most"
        )
    print(outcome.last_line())


async def run_until_terminated(run_request: Request) -> Outcome:
    """Run the request. On SIGTERM, end all child processes before this process."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run(run_request)


def main() -> int:
    """Run and print the result, and write the result page if requested."""
    args = parse()
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(relativeCreated)7d ms %(message)s")
    try:
        run_request = request(args)
    except LayoutError as err:
        print(f"fleet_scale: {err}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            outcome = runner.run(run_until_terminated(run_request))
    except asyncio.CancelledError:
        print("fleet_scale: terminated by SIGTERM; all child processes have ended", file=sys.stderr)
        return 1
    show(outcome)
    if args.write:
        TARGET.write_text(page(outcome))
    return 0 if outcome.good else 1


if __name__ == "__main__":
    sys.exit(main())
