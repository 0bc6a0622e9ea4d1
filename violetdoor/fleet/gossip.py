"""Gossip: whom to send packets to, so that news and rounds of heartbeats spread. Without input or output."""

from __future__ import annotations

import math

from violetdoor.fleet.context import NodeContext

FANOUT = 2  # members that are sent to at once when something is new
SPREAD_INTERVAL_SECONDS = 0.04  # between two such times
# Random members that are drawn for one packet until one of them is alive: enough while a majority is.
MAX_DRAWS_PER_PACKET = 8


class Gossip:
    """Chooses recipients of packets; every packet carries rumors, map updates and the round of heartbeats."""

    def __init__(self, context: NodeContext) -> None:
        """Send to the members of the context's view."""
        self.context = context
        self.last_spread_at = -math.inf

    def spread(self, now: float) -> None:
        """Send to a few members at once, as there is something new."""
        if self.context.view is None or now < self.last_spread_at + SPREAD_INTERVAL_SECONDS:
            return
        self.last_spread_at = now
        self.send_to_random_members(FANOUT)

    def send_to_random_members(self, count: int) -> None:
        """Send to so many random members that are alive and get no packet in this step yet."""
        context = self.context
        view = context.view
        if view is None:
            return
        members = view.members
        queued = context.outbox.messages
        for _ in range(MAX_DRAWS_PER_PACKET * count):  # cheaper than to list the members that are alive
            name = members[context.random.randrange(len(members))].name
            if name != context.config.name and name not in queued and context.detector.is_alive(name):
                queued[name] = []
                count -= 1
                if count == 0:
                    return
