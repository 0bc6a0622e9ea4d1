"""Sample relays, snapshots and group states for tests of a control group."""

from __future__ import annotations

from violetdoor.control.group import GroupState
from violetdoor.control.messages import GroupSnapshot, Relay, Version


def relays(count: int, start: int = 0) -> tuple[Relay, ...]:
    """Return `count` relays, named r0, r1, ... from `start` on, in three zones."""
    return tuple(Relay(f"r{n}", n + 1, "host", 1, f"z{n % 3}") for n in range(start, start + count))


def group(
    term: int, incarnation: int = 1, epoch: int = 7, members: tuple[str, ...] = ("c0", "c1", "c2")
) -> GroupState:
    """Return the state of a group at its leader c0, whose lease does not expire."""
    return GroupState(
        epoch=epoch,
        term=term,
        incarnation=incarnation,
        members=members,
        leader="c0",
        is_leader=True,
        lease_expires_at=1e9,
        prior_leases_expired=True,
    )


def snapshot(version: Version) -> GroupSnapshot:
    """Return a complete roster of three relays."""
    return GroupSnapshot(version, None, relays(3))
