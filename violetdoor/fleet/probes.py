"""Probes of the failure detector: those in flight, and the order of their targets. Does no I/O."""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

# Time between two probes. With the shortest suspicion, a fleet of three detects a crash within a second.
PROBE_PERIOD_SECONDS = 0.25
INDIRECT_PROBE_FRACTION = 0.4  # fraction of the period after which helpers are asked to probe the target
INDIRECT_PROBE_COUNT = 3  # number of helpers asked
# Fraction of the period that a probe must have been in flight before its target is suspected.
MIN_PROBE_AGE_FRACTION = 0.9


@dataclass(slots=True)
class Probe:
    """A probe that this relay has in flight."""

    seq: int
    target: str
    started_at: float
    is_indirect: bool = False  # whether the indirect probe has been started
    has_helpers: bool = False  # whether there were members to ask for help
    expected_nacks: int = 0  # number of helpers that have not sent a nack yet


@dataclass(slots=True)
class RelayedProbe:
    """A probe that this relay makes as the helper of another member."""

    origin: str  # member that asked for it
    origin_seq: int  # sequence number of the origin's probe
    expires_at: float


class TcpProbe(NamedTuple):
    """A member to ping over TCP, and the sequence number of the probe that the ping belongs to."""

    target: str
    seq: int


class ProbeOrder:
    """Chooses the next target of a probe: each member once per round, in a random order."""

    def __init__(self, random: Random) -> None:
        """Start without members."""
        self._random = random
        self._names: list[str] = []  # members not yet probed in this round; the next one is last

    def update(self, members: Iterable[str], known: Container[str]) -> None:
        """Continue the round with these members; those that are not `known` are inserted at random positions.

        Otherwise a new member would not be probed before all known members have been.
        """
        names = list(members)
        current = set(names)
        self._names = [name for name in self._names if name in current]
        for name in names:
            if name not in known:
                self._names.insert(self._random.randint(0, len(self._names)), name)

    @property
    def is_exhausted(self) -> bool:
        """Whether all members have been probed in this round."""
        return not self._names

    def shuffle(self, names: list[str]) -> None:
        """Start a new round with these members; keeps and shuffles the list that is passed."""
        self._random.shuffle(names)
        self._names = names

    def pop(self) -> str | None:
        """Remove and return the next member to probe; None at the end of the round."""
        return self._names.pop() if self._names else None
