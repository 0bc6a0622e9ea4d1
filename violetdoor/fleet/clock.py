"""Clocks of the fleet: a monotonic one for leases and timers, and Unix time."""

from __future__ import annotations

import time

MILLISECONDS_PER_SECOND = 1000


def boot_time() -> float:
    """Return the monotonic time in s, including time in which the machine sleeps.

    A lease must expire even if the machine sleeps meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time_ms() -> float:
    """Return the Unix time in ms, which may jump when an administrator or NTP sets it."""
    return time.time() * MILLISECONDS_PER_SECOND
