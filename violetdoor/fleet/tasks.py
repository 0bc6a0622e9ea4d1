"""Background tasks of a fleet endpoint, cancelled when the endpoint stops."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger("violetdoor.fleet")


class TaskOwner:
    """Runs coroutines as tasks; an exception in one is logged and counted, and affects no other task."""

    def __init__(self, counts: Counter[str]) -> None:
        """Count failed tasks in `counts["faults"]`."""
        self.counts = counts
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until it ends or `cancel` is called."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def cancel(self) -> None:
        """Cancel all tasks; they end when the event loop next runs them."""
        for task in list(self.tasks):
            task.cancel()

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.counts["faults"] += 1
            log.error("background task of the fleet endpoint failed", exc_info=error)
