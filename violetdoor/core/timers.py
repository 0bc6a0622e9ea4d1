"""The timers that the decision module sets."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from violetdoor.balancing.events import TimerFired

log = logging.getLogger("violetdoor.core")


class BalancerTimers:
    """Delivers timer events to the decision module at or shortly after the requested times, never early."""

    def __init__(
        self,
        clock: Callable[[], float],
        emit: Callable[[TimerFired], None],
        on_failure: Callable[[str], None],
    ) -> None:
        """Pass timer events to `emit`, and the token to `on_failure` if that fails; `clock` returns ms."""
        self._clock = clock
        self._emit = emit
        self._on_failure = on_failure
        self._loop = asyncio.get_running_loop()

    def set(self, token: str, at_ms: float) -> None:
        """Deliver TimerFired with `token` at `at_ms` or shortly after."""
        delay_ms = max(0.0, at_ms - self._clock())
        self._loop.call_later(delay_ms / 1000, self._fire, token, at_ms)

    def _fire(self, token: str, at_ms: float) -> None:
        # uvloop measures a delay from the start of the current loop iteration, so a timer can fire early by
        # the duration of that iteration. The decision module ignores early timers, and a request whose only
        # timer was ignored would wait forever. So the timer is set again.
        if self._clock() < at_ms:
            self.set(token, at_ms)
            return
        try:
            self._emit(TimerFired(token))
        except Exception:  # a failure for one request must not stop the timers of all others
            log.exception("timer %s failed in the decision module", token)
            self._on_failure(token)
