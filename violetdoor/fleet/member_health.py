"""Member states of the failure detector: alive, suspected or dead. Does no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from violetdoor.fleet.dissemination import gossip_rounds
from violetdoor.fleet.probes import PROBE_PERIOD_SECONDS
from violetdoor.fleet.view import Peer

# Duration of a suspicion in probe periods, multiplied by the logarithm of the fleet's size.
MIN_SUSPICION_PERIODS = 2.4  # if `MAX_CONFIRMATIONS` others have confirmed it
MAX_SUSPICION_PERIODS = 6.0  # if no other member has confirmed it
MAX_CONFIRMATIONS = 3  # number of independent confirmations that shorten it to the minimum


class Health(Enum):
    """A member's health as this relay sees it. The values are shown to operators."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(slots=True, eq=False)
class MonitoredMember:
    """State of one monitored member."""

    peer: Peer
    incarnation: int = 0
    health: Health = Health.ALIVE
    health_changed_at: float = 0.0  # when it became suspected or dead
    last_received_at: float = -math.inf  # when the last packet of this instance was received
    suspected_by: set[str] = field(default_factory=set)  # names of the relays that suspect it


class MemberTable:
    """The members of the current view except this relay, by name.

    `suspected` and `dead` are subsets of `members`, kept so that the cost of a step depends on the number of
    suspected and dead members only. The three dicts are updated in place and never replaced.
    """

    def __init__(self) -> None:
        """Start without members."""
        self.members: dict[str, MonitoredMember] = {}
        self.suspected: dict[str, MonitoredMember] = {}
        self.dead: dict[str, MonitoredMember] = {}

    def replace_members(self, peers: Iterable[Peer], now: float) -> dict[str, MonitoredMember]:
        """Replace the members and return the former ones; instances that stay keep their health."""
        former = dict(self.members)
        self.members.clear()
        for peer in peers:
            member = former.get(peer.name)
            if member is None or member.peer.instance != peer.instance:
                member = MonitoredMember(peer, last_received_at=now)
            member.peer = peer  # `joined_seq` may have been unknown before
            self.members[peer.name] = member
        self.suspected.clear()
        self.dead.clear()
        for name, member in self.members.items():
            if member.health is Health.SUSPECT:
                self.suspected[name] = member
            elif member.health is Health.DEAD:
                self.dead[name] = member
        return former

    def set_health(self, member: MonitoredMember, health: Health, changed_at: float) -> None:
        """Change a member's health and move it to the matching subset."""
        name = member.peer.name
        self.suspected.pop(name, None)
        self.dead.pop(name, None)
        if health is Health.SUSPECT:
            self.suspected[name] = member
        elif health is Health.DEAD:
            self.dead[name] = member
        member.health = health
        member.health_changed_at = changed_at

    def alive_names(self) -> list[str]:
        """Return the members that are neither suspected nor dead."""
        return [name for name, member in self.members.items() if member.health is Health.ALIVE]

    def suspicion_seconds(self, member: MonitoredMember) -> float:
        """Return how long a suspicion of the member lasts; each independent confirmation shortens it."""
        scale = PROBE_PERIOD_SECONDS * gossip_rounds(len(self.members) + 1)
        shortest = MIN_SUSPICION_PERIODS * scale
        longest = MAX_SUSPICION_PERIODS * scale
        max_confirmations = min(MAX_CONFIRMATIONS, max(0, len(self.members) - 1))
        if max_confirmations == 0:
            return shortest
        confirmations = min(max_confirmations, len(member.suspected_by) - 1)
        return longest - (longest - shortest) * math.log(confirmations + 1) / math.log(max_confirmations + 1)
