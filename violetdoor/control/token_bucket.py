"""A token bucket, which limits a rate but allows bursts."""

from __future__ import annotations


class TokenBucket:
    """Admits `rate` events per second on average, and up to `burst` at once when full."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Start full."""
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    def try_acquire(self, now: float) -> bool:
        """Take one token; return False if none is available."""
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
