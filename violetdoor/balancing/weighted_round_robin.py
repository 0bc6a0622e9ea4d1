"""Weighted round robin: rotations of the warm servers, one for the local zone and one for all others.

Based on King, Song and Dias, section 4.2, in which the front end chooses a back-end node for each connection;
docs/design.md lists the differences.
"""

from __future__ import annotations

import heapq

from violetdoor.balancing.context import Context
from violetdoor.balancing.model import Request, Server
from violetdoor.balancing.outlier_detection import OutlierDetector
from violetdoor.balancing.slow_start import SlowStart

MAX_STEPS_PER_CANDIDATE = 3  # turns examined per requested candidate, at most


class Rotation:
    """Servers ordered by their next turns; a server of twice the weight has twice as many turns."""

    __slots__ = ("position", "turns")

    def __init__(self) -> None:
        """Start without servers."""
        self.turns: list[tuple[float, float, Server]] = []  # heap of (turn, random tie-breaker, server)
        self.position = 0.0  # the latest turn that was reached


class WeightedRoundRobin:
    """Owns the rotations; an unused turn expires, and turns don't accumulate."""

    def __init__(self, context: Context, outliers: OutlierDetector, slow_start: SlowStart) -> None:
        """Start without servers."""
        self.context = context
        self.outliers = outliers
        self.slow_start = slow_start
        self.local_zone = Rotation()
        self.other_zones = Rotation()

    def add(self, server: Server) -> None:
        """Add a server at a random place in its rotation.

        The places differ among relays, or all would choose the same server at the same time.
        """
        is_local_zone = server.entry.zone == self.context.settings.zone
        rotation = self.local_zone if is_local_zone else self.other_zones
        random = self.context.random.random
        turn = rotation.position + random() / server.entry.weight
        heapq.heappush(rotation.turns, (turn, random(), server))
        server.is_in_rotation = True

    def candidates(self, request: Request, limit: int) -> list[Server]:
        """Return at most `limit` servers by their next turns, and consume these turns.

        Up to half of them are warming-up servers. If there are other zones, the local zone gets half of the
        remaining places.
        """
        found = self._warming_up(request, limit // 2)
        max_steps = MAX_STEPS_PER_CANDIDATE * limit
        local_limit = (len(found) + limit) // 2 if self.other_zones.turns else limit
        self._add_from(self.local_zone, request, found, local_limit, max_steps)
        self._add_from(self.other_zones, request, found, limit, max_steps)
        return found

    def _warming_up(self, request: Request, limit: int) -> list[Server]:
        """Return the warming-up servers whose turn is due, the longest due first."""
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
