"""What a measurement was made on, and how times are taken."""

from __future__ import annotations

import os
import platform
import time
from collections.abc import Callable
from pathlib import Path


def described() -> str:
    """Cores, memory, processor and Python of this machine; no name and no path."""
    model = "unknown processor"
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    memory = int(Path("/proc/meminfo").read_text().split()[1]) // (1 << 20)
    return f"{os.cpu_count()} cores ({model}), {memory} GiB, CPython {platform.python_version()}"


def batches(step: Callable[[], object], calls: int, rounds: int) -> list[float]:
    """Ns per call, one figure a round of so many calls, smallest first."""
    found = []
    for _ in range(rounds):
        began = time.perf_counter_ns()
        for _ in range(calls):
            step()
        found.append((time.perf_counter_ns() - began) / calls)
    return sorted(found)


def singles(step: Callable[[object], object], values: list[object]) -> list[float]:
    """Ns of each call, smallest first; the clock's own cost is in them."""
    found = []
    for value in values:
        began = time.perf_counter_ns()
        step(value)
        found.append(time.perf_counter_ns() - began)
    return sorted(found)


def quantile(ordered: list[float], part: float) -> float:
    """The value under which such a part of ordered figures lies."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def rss_kib() -> int:
    """Memory of this process now."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0
