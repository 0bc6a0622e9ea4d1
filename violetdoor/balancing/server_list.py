"""The server list: which servers there are, and when the list is polled again after a failure."""

from __future__ import annotations

from violetdoor.balancing.actions import SetTimer
from violetdoor.balancing.context import Context
from violetdoor.balancing.events import ServerEntry, ServerListUpdate, ServerState
from violetdoor.balancing.group_affinity import GroupAffinity
from violetdoor.balancing.model import Server
from violetdoor.balancing.slow_start import SlowStart
from violetdoor.balancing.weighted_round_robin import WeightedRoundRobin

SERVER_LIST_TIMER = "list"  # token of the timer of the next poll
POLL_SERVICE_TIME_MS = 125.0  # that one poll keeps a list service busy that answers a few a second
MIN_BACKOFF_MS = 500.0  # before it is doubled for the first time


class ServerList:
    """Owns the servers and the backoff of polls."""

    def __init__(
        self,
        context: Context,
        slow_start: SlowStart,
        groups: GroupAffinity,
        rotation: WeightedRoundRobin,
    ) -> None:
        """Start with an empty list."""
        self.context = context
        self.slow_start = slow_start
        self.groups = groups
        self.rotation = rotation
        self._failed_polls = 0  # in a row; a cached list counts as one

    def updated(self, event: ServerListUpdate) -> None:
        """Take in the list, a change of it, or a poll that failed."""
        if self.context.settings.polls_server_list and event.kind.is_stale:
            self._failed_polls += 1
            self._schedule_poll(event)
        else:
            self._failed_polls = 0
        for entry in event.entries:
            self._update_server(entry)
        self.groups.forget_orders()
        servers = self.context.servers
        listed = {entry.name for entry in event.entries} if event.kind.is_complete else servers.keys()
        removed = [
            name
            for name, server in servers.items()
            if server.entry.state is ServerState.REMOVED or name not in listed
        ]
        for name in removed:
            servers.pop(name).is_ready = False

    def _schedule_poll(self, event: ServerListUpdate) -> None:
        """Set the time of the next poll.

        All relays poll one service: polls are spread by its rate, back off, and still begin in time.
        """
        settings = self.context.settings
        longest_ms = min(settings.poll_deadline_ms / 2, event.next_poll_within_ms)
        spread_ms = POLL_SERVICE_TIME_MS * settings.relay_count
        limit_ms = max(longest_ms / 2, min(longest_ms, spread_ms))
        backoff_ms = max(MIN_BACKOFF_MS, spread_ms) * 2**self._failed_polls
        wait_ms = min(limit_ms, backoff_ms) * self.context.random.random()
        self.context.actions.append(SetTimer(SERVER_LIST_TIMER, self.context.now_ms + wait_ms))

    def _update_server(self, entry: ServerEntry) -> None:
        server = self.context.servers.get(entry.name)
        if server is None:
            server = self.context.servers[entry.name] = Server(entry)
        if server.entry.started_at_ms != entry.started_at_ms:
            server.forget_previous_process()
        server.entry = entry
        server.is_ready = entry.state is ServerState.READY and entry.weight > 0
        if server.is_ready and not server.is_in_rotation:
            self.rotation.add(server)
        self.slow_start.schedule_first_turn(server)
