"""Slow start: warming-up servers get timed turns, so few that all relays together stay within the ramp."""

from __future__ import annotations

import math

from violetdoor.balancing.context import Context
from violetdoor.balancing.load_estimation import LoadEstimator
from violetdoor.balancing.model import Server

USED_OVERLOAD_FRACTION = 0.4  # part that all relays use of the load at which a warming-up server fails
MIN_SLOW_START_MS = 1e-9  # avoids a division by zero where servers need no warm-up
MIN_TURN_JITTER = 0.5  # least random factor on the interval between turns, so that relays differ
MAX_TURN_JITTER = 1.5  # greatest random factor on the interval between turns


class SlowStart:
    """Owns the turns of warming-up servers (`Server.next_turn_at_ms`)."""

    def __init__(self, context: Context, load: LoadEstimator) -> None:
        """Use the shared state and the estimate of the fleet's capacity."""
        self.context = context
        self.load = load

    def capacity_fraction(self, server: Server) -> float:
        """Return the least fraction of its full capacity that a server has at its present age."""
        settings = self.context.settings
        started_at_ms = server.entry.started_at_ms
        age_ms = self.context.now_ms - started_at_ms if started_at_ms > 0 else math.inf
        initial = settings.slow_start_initial_fraction
        slow_start_ms = max(MIN_SLOW_START_MS, settings.slow_start_ms)
        return min(1.0, initial + (1 - initial) * max(0.0, age_ms) / slow_start_ms)

    def schedule_first_turn(self, server: Server) -> None:
        """Schedule a server's first turn after a random part of an interval, to spread the relays' turns.

        Without a known fleet capacity, no turn is scheduled.
        """
        is_unscheduled = server.is_ready and server.next_turn_at_ms == math.inf
        if not is_unscheduled or self.load.load_per_weight == math.inf:
            return
        if self.capacity_fraction(server) < 1:
            mean_load = self.load.total_connection_load() / max(1, len(self.context.requests))
            interval_ms = self._turn_interval_ms(server, mean_load)
            server.next_turn_at_ms = self.context.now_ms + self.context.random.random() * interval_ms

    def try_consume_turn(self, server: Server, load: float) -> bool:
        """Return whether a server may get this load now; if so, a warming-up server consumes its turn."""
        is_due = self.context.now_ms >= server.next_turn_at_ms
        is_warming_up = self.capacity_fraction(server) < 1
        if is_due and is_warming_up:
            interval_ms = self._turn_interval_ms(server, load)
            jitter = self.context.random.uniform(MIN_TURN_JITTER, MAX_TURN_JITTER)
            server.next_turn_at_ms = self.context.now_ms + interval_ms * jitter
        return is_due or not is_warming_up

    def _turn_interval_ms(self, server: Server, load: float) -> float:
        """Return the time between two connections of this load from this relay to a warming-up server.

        Prevents all relays from filling the same empty server.
        """
        settings = self.context.settings
        fraction = self.capacity_fraction(server) * settings.slow_start_overload_factor
        local_fraction = fraction * USED_OVERLOAD_FRACTION / settings.relay_count
        capacity = self.load.load_per_weight * server.entry.weight
        return settings.slow_start_ms * load / (capacity * local_fraction)
