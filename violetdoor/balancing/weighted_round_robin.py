"""Weighted round robin: the order of turns of the servers that are warm, own zone and other zones apart.

After King, Song and Dias, section 4.2, where the front end chooses a back-end node for each connection; see
docs/design.md for what differs.
"""

from __future__ import annotations

import heapq

from violetdoor.balancing.context import Context
from violetdoor.balancing.model import Request, Server
from violetdoor.balancing.outlier_detection import OutlierDetector
from violetdoor.balancing.slow_start import SlowStart

MAX_STEPS_PER_CANDIDATE = 3  # turns that are looked at for each candidate wanted


class Rotation:
    """The servers of some zones by their next turns; a server of twice the weight has twice the turns."""

    __slots__ = ("position", "turns")

    def __init__(self) -> None:
        """Start without a server."""
        self.turns: list[tuple[float, float, Server]] = []  # heap of turn, random tie-breaker and server
        self.position = 0.0  # the last turn that came up


class WeightedRoundRobin:
    """Owns the order of turns; a turn that is not used is over, none is saved up."""

    def __init__(self, context: Context, outliers: OutlierDetector, slow_start: SlowStart) -> None:
        """Start without a server."""
        self.context = context
        self.outliers = outliers
        self.slow_start = slow_start
        self.local_zone = Rotation()
        self.other_zones = Rotation()

    def add(self, server: Server) -> None:
        """Give a server a random place in the order.

        Relays start at places of their own, or all would pick the same server.
        """
        is_local_zone = server.entry.zone == self.context.settings.zone
        rotation = self.local_zone if is_local_zone else self.other_zones
        random = self.context.random.random
        turn = rotation.position + random() / server.entry.weight
        heapq.heappush(rotation.turns, (turn, random(), server))
        server.is_in_rotation = True

    def candidates(self, request: Request, limit: int) -> list[Server]:
        """Return the servers of the next turns, `limit` at the most; their turns are used up.

        Servers that warm up come first, for half of the places; the own zone gets half of what is left
        then, where there are other zones.
        """
        found = self._warming_up(request, limit // 2)
        max_steps = MAX_STEPS_PER_CANDIDATE * limit
        local_limit = (len(found) + limit) // 2 if self.other_zones.turns else limit
        self._add_from(self.local_zone, request, found, local_limit, max_steps)
        self._add_from(self.other_zones, request, found, limit, max_steps)
        return found

    def _warming_up(self, request: Request, limit: int) -> list[Server]:
        """Return servers that warm up and whose turn has come, the longest due first."""
        now_ms = self.context.now_ms
        capacity_fraction = self.slow_start.capacity_fraction
        due = [
            server
            for server in self.context.servers.values()
            if server.is_ready and server.next_turn_at_ms <= now_ms and capacity_fraction(server) < 1
        ]
        if not due:
            return due
        due.sort(key=lambda server: server.next_turn_at_ms)
        return [
            server
            for server in due[:limit]
            if self.slow_start.try_consume_turn(server, request.load)
            and self.outliers.sample_eligibility(request, server)
        ]

    def _add_from(
        self, rotation: Rotation, request: Request, found: list[Server], limit: int, max_steps: int
    ) -> None:
        turns = rotation.turns
        for _ in range(max_steps):
            if not turns or len(found) >= limit:
                return
            turn, tie_breaker, server = turns[0]
            if not server.is_ready:
                heapq.heappop(turns)
                server.is_in_rotation = False
                continue
            rotation.position = turn
            heapq.heapreplace(turns, (turn + 1 / server.entry.weight, tie_breaker, server))
            if server in found or self.slow_start.capacity_fraction(server) < 1:
                continue
            if self.outliers.sample_eligibility(request, server):
                found.append(server)
