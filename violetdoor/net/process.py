"""Resource use of this process, as the system reports it."""

from __future__ import annotations

import os

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_memory_bytes() -> int:
    """Return the resident memory of this process in bytes, read from /proc/self/statm (see proc(5))."""
    with open("/proc/self/statm", "rb", buffering=0) as file:
        return int(file.read().split()[1]) * PAGE_BYTES
