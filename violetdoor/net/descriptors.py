"""File descriptors of this process: the system limit, and a spare one reserved for calls to discovery."""

from __future__ import annotations

import contextlib
import os
import resource
import sys
from collections.abc import Iterator


def descriptor_limit() -> int:
    """Return the system's descriptor limit for this process, which may be below the configured one."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


class SpareDescriptor:
    """A reserved descriptor for a connection that must succeed even when all others are in use."""

    def __init__(self) -> None:
        """Acquire a descriptor if the system has a free one."""
        self._descriptor: int | None = None
        self._acquire()

    def _acquire(self) -> None:
        with contextlib.suppress(OSError):  # none is free: `released` retries afterwards
            self._descriptor = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    @contextlib.contextmanager
    def released(self) -> Iterator[None]:
        """Release it within the block, which must close the one descriptor that it opens instead."""
        self.close()
        try:
            yield
        finally:
            if self._descriptor is None:
                self._acquire()

    def close(self) -> None:
        """Release it permanently."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
