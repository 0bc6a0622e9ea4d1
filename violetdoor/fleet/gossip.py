"""Gossip: choice of the recipients of packets that spread updates and heartbeat rounds. Does no I/O."""

from __future__ import annotations

import math

from violetdoor.fleet.context import NodeContext

FANOUT = 2  # number of members that get a packet at once when there is an update
SPREAD_INTERVAL_SECONDS = 0.04  # minimum time between two such sends
# Random members drawn for one packet until one is alive; enough as long as a majority is alive.
MAX_DRAWS_PER_PACKET = 8


class Gossip:
    """Chooses recipients of packets; each packet carries rumors, map updates and the heartbeat round."""

    def __init__(self, context: NodeContext) -> None:
        """Choose among the members of the context's view."""
        self.context = context
        self.last_spread_at = -math.inf

    def spread(self, now: float) -> None:
        """Send an update to `FANOUT` members, at most once per `SPREAD_INTERVAL_SECONDS`."""
        if self.context.view is None or now < self.last_spread_at + SPREAD_INTERVAL_SECONDS:
            return
        self.last_spread_at = now
        self.send_to_random_members(FANOUT)

    def send_to_random_members(self, count: int) -> None:
        """Send a packet to `count` random members that are alive and have no packet queued in this step."""
        context = self.context
        view = context.view
        if view is None:
            return
        members = view.members
        queued = context.outbox.messages
        for _ in range(MAX_DRAWS_PER_PACKET * count):  # cheaper than listing the alive members
            name = members[context.random.randrange(len(members))].name
            if name != context.config.name and name not in queued and context.detector.is_alive(name):
                queued[name] = []
                count -= 1
                if count == 0:
                    return
