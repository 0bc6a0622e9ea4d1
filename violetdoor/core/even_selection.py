"""Random selection of connections to migrate, so that the migrations are spread evenly over a period."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")


def select_evenly(waiting: Sequence[T], time_left: float, step: float) -> list[T]:
    """Choose the items to migrate in this step, so that all are migrated evenly by the end of the time left.

    `step` is the time between two calls, in the same unit as `time_left`. A fractional number of items per
    step is rounded up or down at random.
    """
    steps_left = max(1.0, time_left / step)
    share = len(waiting) / steps_left
    count = int(share)
    if random.random() < share % 1:
        count += 1
    return random.sample(waiting, min(len(waiting), count))
