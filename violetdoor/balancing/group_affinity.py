"""Group affinity: all relays place the connections of a group on the same few servers.

Connections of a group share work at a server. Each server with at least one of them has to do that work.
"""

from __future__ import annotations

import math
import zlib

from violetdoor.balancing.context import Context
from violetdoor.balancing.load_estimation import TARGET_LOAD, TYPICAL_FLEET_LOAD, LoadEstimator
from violetdoor.balancing.model import Request, Server
from violetdoor.balancing.outlier_detection import OutlierDetector
from violetdoor.balancing.slow_start import SlowStart

BASE_HOME_SERVERS = 5  # home servers of a group, before corrections for its size and the number of relays
# Home servers fewer per unit of ln(relays): each relay finds other servers full, so all together use more.
HOME_SERVER_REDUCTION_PER_LOG_RELAYS = 0.3
MIN_WEIGHT = 1e-9  # avoids a division by zero for a server of weight 0, which gets no connections
HASH_RANGE = 2**32  # number of values of a CRC-32


class GroupAffinity:
    """Owns the preference order of servers of each group."""

    def __init__(
        self, context: Context, load: LoadEstimator, outliers: OutlierDetector, slow_start: SlowStart
    ) -> None:
        """Start without orders; the order of a group is computed when it is first needed."""
        self.context = context
        self.load = load
        self.outliers = outliers
        self.slow_start = slow_start
        self._orders: dict[int, list[Server]] = {}

    def clear_orders(self) -> None:
        """Discard all orders after a change of the server list; they are computed again on demand."""
        self._orders.clear()

    def server_order(self, group: int) -> list[Server]:
        """Return the group's order of servers by weighted rendezvous hashing, the same at all relays."""
        order = self._orders.get(group)
        if order:
            return order
        hashes = [
            (zlib.crc32(f"{server.name} {group}".encode()), server)
            for server in self.context.servers.values()
        ]
        scores = {
            server: math.log((value + 1) / HASH_RANGE) / max(server.entry.weight, MIN_WEIGHT)
            for value, server in hashes
        }
        order = self._orders[group] = sorted(scores, key=scores.__getitem__, reverse=True)
        return order

    def candidates(self, request: Request, group: int, limit: int) -> list[Server]:
        """Return at most `limit` home servers of the group that have capacity, in the group's order."""
        homes = self._home_servers(group)
        # Without load reports, a server that reset the connection still seems healthy: begin at a later one.
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
        """Return the usable home servers in the group's order; a group with much of all load has more."""
        requests = self.context.requests
        other_members = sum(1 for request in requests.values() if request.group == group) - 1
        # The group's share of all requests, reduced by the relative uncertainty of so small a sample.
        certain_fraction = other_members * (1 - (1 + other_members) ** -0.5) / len(requests)
        fleet_load = self.load.fleet_load or TYPICAL_FLEET_LOAD
        extra_servers = certain_fraction * len(self.context.servers) * fleet_load / TARGET_LOAD
        reduction = HOME_SERVER_REDUCTION_PER_LOG_RELAYS * math.log(self.context.settings.relay_count)
        count = BASE_HOME_SERVERS + int(extra_servers) - int(reduction)
        usable = [s for s in self.server_order(group) if s.is_ready and not self.outliers.is_ejected(s)]
        return usable[:count]
