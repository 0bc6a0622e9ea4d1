"""Which control machine a relay connects to, and when it retries one.

Rendezvous hashing ranks the control machines of a region, differently for each relay, so that relays spread
evenly. A relay prefers the first in its ranking; while its session is at another one, it tries to return to
the preferred one, with a delay that grows with each failed try. Times are seconds of the attachment's clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from violetdoor.control.actions import Address
from violetdoor.fleet.view import rendezvous_weight

# Relays that lost the same control machine spread their connections to the next one over this time.
MAX_SWITCH_DELAY_SECONDS = 0.1
# Backoff of one control machine: it doubles with each failure since the last session there.
INITIAL_RETRY_DELAY_SECONDS = 0.25
MAX_RETRY_DELAY_SECONDS = 4.0
# Upper bound of the backoff's exponent: further doublings would exceed the maximum delay anyway, and the
# bound keeps the power small.
MAX_RETRY_DOUBLINGS = 16
# Jitter of the backoff: the delay is drawn between this fraction of it and the full value.
MIN_RETRY_DELAY_FRACTION = 0.5
# Delay before a relay attached elsewhere tries its preferred control machine again, doubled with each failed
# try. Returning keeps a restarted control machine from staying without sessions.
INITIAL_RETURN_DELAY_SECONDS = 60.0
MAX_RETURN_DELAY_SECONDS = 960.0
# Jitter of the return delay: its factor is drawn between this fraction and 1 plus this fraction.
MIN_RETURN_DELAY_FRACTION = 0.5


@dataclass(slots=True)
class ControlCandidate:
    """A control machine of the region, and the state of its backoff."""

    address: Address
    failures: int = 0  # since the last session there was opened
    retry_at: float = -math.inf  # not to be tried before this time


class ControlSelector:
    """The ranked control machines of a region, each with its backoff."""

    def __init__(self, relay_name: str, addresses: Iterable[Address], random: Random) -> None:
        """Rank the control machines for this relay; `random` is the source of all jitter."""
        self._random = random
        self._candidates = [
            ControlCandidate(address) for address in ranked_control_addresses(relay_name, addresses)
        ]
        self.current = self._candidates[0]  # the one with the session, or with the attempt to open one
        self.return_at = math.inf  # when to return to the preferred control machine; infinite: not planned
        self._previous: ControlCandidate | None = None  # had the session before a return was tried
        self._return_delay_seconds = INITIAL_RETURN_DELAY_SECONDS

    def draw_backoff_seconds(self) -> float:
        """Count a failure of the current control machine, and draw the delay until its next attempt."""
        candidate = self.current
        doublings = min(candidate.failures, MAX_RETRY_DOUBLINGS)
        full_delay_seconds = min(MAX_RETRY_DELAY_SECONDS, INITIAL_RETRY_DELAY_SECONDS * 2.0**doublings)
        candidate.failures += 1
        return full_delay_seconds * (MIN_RETRY_DELAY_FRACTION + self._random.random() / 2)

    def postpone_current(self, retry_after_seconds: float, now: float) -> None:
        """Don't try the current control machine again for `retry_after_seconds`."""
        self.current.retry_at = now + retry_after_seconds

    def draw_next_attempt_at(self, now: float, max_jitter_seconds: float) -> float:
        """Draw the time of the next attempt: once a candidate may be tried, plus a random delay."""
        return max(now, self.next_retry_at) + self._random.random() * max_jitter_seconds

    @property
    def next_retry_at(self) -> float:
        """The earliest time at which a candidate may be tried."""
        return min(candidate.retry_at for candidate in self._candidates)

    def select(self, now: float) -> bool:
        """Make the best candidate that may be tried the current one; return False if there is none yet.

        After a failed return to the preferred control machine, the best one is where the session was before.
        """
        available = [candidate for candidate in self._candidates if candidate.retry_at <= now]
        if not available:
            return False
        previous = self._previous
        self._previous = None
        if previous is not None and previous in available:
            self.current = previous
        else:
            self.current = available[0]
        return True

    def session_opened(self, now: float) -> None:
        """Reset the failures of the current control machine, and schedule a return to the preferred one."""
        self.current.failures = 0
        if self.current is self._candidates[0]:
            self.return_at = math.inf
            self._return_delay_seconds = INITIAL_RETURN_DELAY_SECONDS
            return
        jitter = MIN_RETURN_DELAY_FRACTION + self._random.random()
        self.return_at = now + self._return_delay_seconds * jitter
        self._return_delay_seconds = min(MAX_RETURN_DELAY_SECONDS, 2 * self._return_delay_seconds)

    def return_to_preferred(self, previous: ControlCandidate) -> None:
        """Make the preferred control machine the current one; if it fails, `previous` is selected next."""
        self._previous = previous
        self.current = self._candidates[0]


def ranked_control_addresses(relay_name: str, addresses: Iterable[Address]) -> list[Address]:
    """Return control machines in a relay's order of preference, by rendezvous hashing."""
    return sorted(
        addresses,
        key=lambda address: (rendezvous_weight(relay_name, f"{address[0]}:{address[1]}"), address),
        reverse=True,
    )
