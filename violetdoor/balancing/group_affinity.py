"""Group affinity: connections of one group go to few servers, the same ones from all relays.

A group's connections share work at a server, and each server that holds any of them pays for that work.
"""

from __future__ import annotations

import math
import zlib

from violetdoor.balancing.context import Context
from violetdoor.balancing.load_estimation import TARGET_LOAD, TYPICAL_FLEET_LOAD, LoadEstimator
from violetdoor.balancing.model import Request, Server
from violetdoor.balancing.outlier_detection import OutlierDetector
from violetdoor.balancing.slow_start import SlowStart

BASE_HOME_SERVERS = 5  # servers that a group goes to at one relay
HOME_SERVER_REDUCTION_PER_LOG_RELAYS = (
    0.3  # servers fewer by the logarithm of relays: together they find others full
)
MIN_WEIGHT = 1e-9  # guards a division by the weight of a server that is to get nothing
HASH_RANGE = 2**32  # values of a CRC-32


class GroupAffinity:
    """Owns each group's order of servers."""

    def __init__(
        self, context: Context, load: LoadEstimator, outliers: OutlierDetector, slow_start: SlowStart
    ) -> None:
        """Start without any order; orders are worked out when a group first needs one."""
        self.context = context
        self.load = load
        self.outliers = outliers
        self.slow_start = slow_start
        self._orders: dict[int, list[Server]] = {}

    def clear_orders(self) -> None:
        """Work out the orders anew, after a change of the server list."""
        self._orders.clear()

    def server_order(self, group: int) -> list[Server]:
        """Return the group's order of servers, by weighted rendezvous hashing: the same at all relays."""
        order = self._orders.get(group)
        if order:
            return order
        draws = [
            (zlib.crc32(f"{server.name} {group}".encode()), server)
            for server in self.context.servers.values()
        ]
        scores = {
            server: math.log((draw + 1) / HASH_RANGE) / max(server.entry.weight, MIN_WEIGHT)
            for draw, server in draws
        }
        order = self._orders[group] = sorted(scores, key=scores.__getitem__, reverse=True)
        return order

    def candidates(self, request: Request, group: int, limit: int) -> list[Server]:
        """Return those of the group's first servers that have capacity, `limit` at the most."""
        homes = self._home_servers(group)
        # It was lost by a server that still looks sound where health checks report no load: begin elsewhere.
        skips_first = request.is_reconnect and not self.context.settings.health_checks_report_load
        start = self.context.random.randrange(1, max(2, len(homes))) if skips_first else 0
        found: list[Server] = []
        for server in homes[start:] + homes[:start]:
            if self.load.lacks_capacity(server) or not self.outliers.sample_eligibility(request, server):
                continue
            if self.slow_start.try_consume_turn(server, request.load):
                found.append(server)
                if len(found) == limit:
                    break
        return found

    def _home_servers(self, group: int) -> list[Server]:
        """Return the servers that the group may go to, in its order: more for one with much of all load."""
        requests = self.context.requests
        others = sum(1 for request in requests.values() if request.group == group) - 1
        # The group's part of all connections, as much of it as so few connections make sure.
        certain_fraction = others * (1 - (1 + others) ** -0.5) / len(requests)
        fleet_load = self.load.fleet_load or TYPICAL_FLEET_LOAD
        more = certain_fraction * len(self.context.servers) * fleet_load / TARGET_LOAD
        fewer = HOME_SERVER_REDUCTION_PER_LOG_RELAYS * math.log(self.context.settings.relay_count)
        count = BASE_HOME_SERVERS + int(more) - int(fewer)
        usable = [s for s in self.server_order(group) if s.is_ready and not self.outliers.is_ejected(s)]
        return usable[:count]
