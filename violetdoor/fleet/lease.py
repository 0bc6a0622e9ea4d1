"""Leases derived from heartbeat rounds, which are spread by gossip without a central collector. No I/O.

A round consists of a number, the member that started it, a bitmap of the members that have joined it, and a
bitmap of the members that its starter knew to have joined the previous round. Every packet carries the newest
round; receivers merge the bitmaps of joined members. A member of view V joins rounds only until it accepts a
successor of V.

A relay holds a lease for LEASE_DURATION_SECONDS from the time it joined round k-1 if it knows that a majority
of V has joined round k, and is itself in the starter's bitmap of round k-1.

Why this is safe: the relay joined k-1 before k was started, and each member of the majority joined k after
that. A successor of V is decided only after a majority has accepted it. The two majorities share a member,
which joined k before it accepted the successor. The lease therefore began before the successor was decided,
and ends within LEASE_DURATION_SECONDS of the decision by the holder's clock. A relay that installs the
successor waits for this time, extended by the maximum clock drift (LEASE_EXPIRY_SECONDS), before it acts.
"""

from __future__ import annotations

import math
from random import Random

from violetdoor.fleet.bitmap import pack_bitmap, unpack_bitmap
from violetdoor.fleet.messages import HeartbeatRound
from violetdoor.fleet.stored_state import JoinedRound, LeaseState

LEASE_DURATION_SECONDS = 3.0  # four rounds: a lease survives two lost rounds, or a process pause of 1 s
ROUND_INTERVAL_SECONDS = 0.75  # from the start of one round to the start of the next
# Interval of the first rounds of a view. It is short because a lease needs two rounds, and has to be acquired
# before the lease under the previous view expires.
FIRST_ROUND_DELAY_SECONDS = 0.1
# Maximum difference between the clock rates of two machines; clocks in order differ by less than 0.001.
MAX_CLOCK_DRIFT_FRACTION = 0.05
# From the installation of a view until all leases under earlier views have expired.
LEASE_EXPIRY_SECONDS = LEASE_DURATION_SECONDS * (1 + MAX_CLOCK_DRIFT_FRACTION)
# Minimum additional delay of a member that is not the first live one before it starts a round itself.
STARTER_STAGGER_SECONDS = 0.3
NO_STARTER = -1


class Lease:
    """One relay's participation in the heartbeat rounds of one view, and its lease under this view.

    Bitmaps are integers whose bit N represents the member at index N of the view. Times are in seconds of
    this machine's monotonic clock.
    """

    def __init__(
        self,
        size: int,
        index: int,
        random: Random,
        expires_at: float = -math.inf,
        not_before: float = -math.inf,
    ) -> None:
        """Participate as the member at `index` of a view with `size` members."""
        self.size = size
        self.index = index
        self.random = random
        self.expires_at = expires_at  # initially that of the lease under the previous view of the epoch
        # Joining a round before this time could support leases under views of two epochs at once.
        self.not_before = not_before
        self.frozen = False  # this relay has accepted a successor of the view, and joins no more rounds
        self.round_number = 0
        self.starter = NO_STARTER
        self.joined = 0  # bitmap of the members known to have joined the current round
        self.joined_previous = 0  # bitmap of those that the starter knew to have joined the previous round
        self.joined_at: dict[int, float] = {}  # when this relay joined the last two rounds, by round number
        self.round_observed_at = -math.inf  # when this relay started the current round or learned of it
        self.round_completed_at = -math.inf  # when this relay learned that a majority had joined it
        self.has_update = False  # whether the round has changed in a way that others should receive soon
        self.starter_delay = 0.0  # additional delay in s before this relay starts a round
        # The last result of `current_round`, and the values that it was computed from.
        self._packed_key: tuple[int, int, int, int] | None = None
        self._packed_round: HeartbeatRound | None = None

    def export_state(self) -> LeaseState:
        """Return the state to hand over to the next process of this relay."""
        return LeaseState(
            expires_at=self.expires_at,
            not_before=self.not_before,
            frozen=self.frozen,
            round_number=self.round_number,
            starter=self.starter,
            joined=pack_bitmap(self.joined, self.size),
            joined_previous=pack_bitmap(self.joined_previous, self.size),
            joined_rounds=tuple(JoinedRound(number, at) for number, at in self.joined_at.items()),
            round_observed_at=self.round_observed_at,
        )

    def import_state(self, state: LeaseState) -> None:
        """Continue from the state that the previous process handed over."""
        self.expires_at = state.expires_at
        self.not_before = state.not_before
        self.frozen = state.frozen
        self.round_number = state.round_number
        self.starter = state.starter
        self.round_observed_at = state.round_observed_at
        self.joined = unpack_bitmap(state.joined, self.size)
        self.joined_previous = unpack_bitmap(state.joined_previous, self.size)
        self.joined_at = {joined.number: joined.joined_at for joined in state.joined_rounds}

    @property
    def majority(self) -> int:
        """The number of members that complete a round."""
        return self.size // 2 + 1

    def is_valid(self, now: float) -> bool:
        """Return whether the lease is valid at time `now`."""
        return now < self.expires_at

    @property
    def is_round_complete(self) -> bool:
        """Whether a majority has joined the current round."""
        return self.joined.bit_count() >= self.majority

    @property
    def next_wake_at(self) -> float:
        """When this relay starts the next round itself."""
        if self.frozen:
            return math.inf
        interval = ROUND_INTERVAL_SECONDS if self.round_number > 1 else FIRST_ROUND_DELAY_SECONDS
        return max(self.not_before, self.round_observed_at + interval + self.starter_delay)

    def wake(self, now: float, *, is_first_alive: bool) -> None:
        """Start the next round if it is due.

        `is_first_alive` tells whether no live member precedes this one in the view.
        """
        if is_first_alive:
            self.starter_delay = 0.0
        else:
            self.starter_delay = STARTER_STAGGER_SECONDS * (1.0 + self.random.random())
        if self.frozen or now < self.next_wake_at:
            return
        # An incomplete round does not delay the next one, as a majority of the members may be dead.
        joined_previous = self.joined if self.round_number else 0
        self._enter_round(self.round_number + 1, self.index, joined_previous, now)

    def _enter_round(self, number: int, starter: int, joined_previous: int, now: float) -> None:
        self.round_number = number
        self.starter = starter
        self.joined = 0
        self.joined_previous = joined_previous
        self.round_observed_at = now
        self.has_update = True
        self._join(now)

    def _join(self, now: float) -> None:
        if self.frozen or now < self.not_before:
            return
        self.joined_at.setdefault(self.round_number, now)
        oldest = self.round_number - 1
        self.joined_at = {number: at for number, at in self.joined_at.items() if number >= oldest}
        self.joined |= 1 << self.index
        self.renew(now)

    def receive(self, received: HeartbeatRound, now: float) -> None:
        """Merge a received round: a newer round replaces the current one.

        Among rounds of the same number the one whose starter has the lowest index wins.
        """
        if received.starter >= self.size or received.number < self.round_number:
            return
        if received.number > self.round_number or received.starter < self.starter:
            joined_previous = unpack_bitmap(received.joined_previous, self.size)
            self._enter_round(received.number, received.starter, joined_previous, now)
        elif received.starter != self.starter:
            return
        before = self.joined
        self.joined |= unpack_bitmap(received.joined, self.size)
        if not self.joined >> self.index & 1:
            self._join(now)
        if self.joined != before:
            self.renew(now)

    def renew(self, now: float) -> None:
        """Extend the lease if a majority has joined the current round."""
        if not self.is_round_complete:
            return
        if self.round_completed_at < self.round_observed_at:
            self.round_completed_at = now
            self.has_update = True
        starts_at = self.joined_at.get(self.round_number - 1)
        if starts_at is not None and self.joined_previous >> self.index & 1:
            self.expires_at = max(self.expires_at, starts_at + LEASE_DURATION_SECONDS)

    def current_round(self) -> HeartbeatRound | None:
        """Return the current round in its wire form; None before the first round."""
        if not self.round_number:
            return None
        key = (self.round_number, self.starter, self.joined, self.joined_previous)
        if self._packed_key != key:  # the cache helps as the round is the same in most consecutive packets
            self._packed_key = key
            joined = pack_bitmap(self.joined, self.size)
            joined_previous = pack_bitmap(self.joined_previous, self.size)
            self._packed_round = HeartbeatRound(self.round_number, self.starter, joined, joined_previous)
        return self._packed_round
