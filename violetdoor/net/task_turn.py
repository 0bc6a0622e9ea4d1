"""Turns of a task among the others of the event loop.

A read from a socket that has data, and a write to one that takes it, complete without suspending the task.
So a task whose peer sends faster than it is read would never let another one run.
"""

from __future__ import annotations

MAX_STEPS_PER_TURN = 16  # operations of one peer; each takes some 10 to 50 microseconds


class TaskTurn:
    """Counts the steps of a task; it has to yield to the event loop when its turn is over."""

    __slots__ = ("_steps",)

    def __init__(self) -> None:
        """Start with the first turn."""
        self._steps = 0

    def is_over_after_step(self) -> bool:
        """Count a step; return whether to yield now, by `asyncio.sleep(0)`."""
        self._steps += 1
        if self._steps < MAX_STEPS_PER_TURN:
            return False
        self._steps = 0
        return True
