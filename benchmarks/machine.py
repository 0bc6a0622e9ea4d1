"""Description of the machine, timing of calls and memory use, for all benchmarks."""

from __future__ import annotations

import os
import platform
import time
from collections.abc import Callable
from pathlib import Path


def describe_machine() -> str:
    """Return the cores, processor, memory and Python version of this machine, without host name or paths."""
    model = "unknown processor"
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    memory = int(Path("/proc/meminfo").read_text().split()[1]) // (1 << 20)
    return f"{os.cpu_count()} cores ({model}), {memory} GiB, CPython {platform.python_version()}"


def time_batches(step: Callable[[], object], calls: int, rounds: int) -> list[float]:
    """Return the mean ns per call of each round of `calls` calls, in ascending order."""
    ns_per_call = []
    for _ in range(rounds):
        started_at = time.perf_counter_ns()
        for _ in range(calls):
            step()
        ns_per_call.append((time.perf_counter_ns() - started_at) / calls)
    return sorted(ns_per_call)


def time_calls(step: Callable[[object], object], values: list[object]) -> list[float]:
    """Return the ns of each call with one of the values, in ascending order, including clock reads."""
    ns_per_call = []
    for value in values:
        started_at = time.perf_counter_ns()
        step(value)
        ns_per_call.append(time.perf_counter_ns() - started_at)
    return sorted(ns_per_call)


def quantile(ordered: list[float], fraction: float) -> float:
    """Return the value below which the fraction of the ordered values lies."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def rss_kib() -> int:
    """Return the resident memory of this process."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0
