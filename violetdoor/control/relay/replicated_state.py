"""State that a relay receives from the control group and keeps when a session ends."""

from __future__ import annotations

from dataclasses import dataclass

from violetdoor.control.relay.membership import FleetMembership
from violetdoor.control.relay.roster_history import RosterHistory
from violetdoor.control.relay.shared_map_sync import SharedMapSync


@dataclass(frozen=True, slots=True)
class ReplicatedState:
    """The parts of the state that outlives sessions; each part owns its data."""

    history: RosterHistory  # rosters of the relay's own region
    membership: FleetMembership  # relay counts of all regions
    map_sync: SharedMapSync
