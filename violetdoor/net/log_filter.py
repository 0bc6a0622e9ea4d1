"""Rate limit of repeated log lines: excess lines are suppressed and counted."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass

from violetdoor.events import is_event

MAX_LINES_PER_WINDOW = 5  # with the same logger and message template
WINDOW_SECONDS = 10.0
MAX_TRACKED_TEMPLATES = 256


@dataclass(slots=True)
class _TemplateWindow:
    window_ends_at: float  # s, monotonic clock
    written: int = 0
    suppressed: int = 0


class RepeatedLineFilter(logging.Filter):
    """Passes a limited number of lines per logger and message template in each time window.

    The first line of the next window states how many were suppressed. This prevents clients that repeat one
    action from filling the log and using processor time for it.
    """

    def __init__(self) -> None:
        """Start without any tracked lines."""
        super().__init__()
        self.windows: dict[tuple[str, str], _TemplateWindow] = {}
        self.suppressed = 0  # total over all windows

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a line; events and lines of the logger `violetdoor` always pass."""
        if record.name == "violetdoor":
            return True
        if isinstance(record.args, tuple) and is_event(record.args):
            return True
        now = time.monotonic()
        key = (record.name, str(record.msg))
        window = self.windows.get(key)
        if window is None or now >= window.window_ends_at:
            suppressed = window.suppressed if window else 0
            if len(self.windows) >= MAX_TRACKED_TEMPLATES:
                self.windows.clear()
            window = _TemplateWindow(now + WINDOW_SECONDS)
            self.windows[key] = window
            if suppressed:
                record.msg = f"{record.msg} (and {suppressed} like it left out)"
        if window.written >= MAX_LINES_PER_WINDOW:
            window.suppressed += 1
            self.suppressed += 1
            return False
        window.written += 1
        return True
