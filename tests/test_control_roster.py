"""Rosters, their snapshots and deltas, and a control machine's replica."""

from __future__ import annotations

import itertools

import pytest
from control_rosters import group, relays, snapshot

from violetdoor.control.delta_log import DeltaLog, split_into_frames
from violetdoor.control.messages import (
    MAX_FRAME_BYTES,
    MAX_HOST_BYTES,
    MAX_NAME_BYTES,
    MAX_ZONE_BYTES,
    Delta,
    Relay,
    RelayKey,
    RosterDeltas,
    Version,
    encode,
)
from violetdoor.control.relay.roster_history import RosterHistory
from violetdoor.control.replica import ApplyOutcome, Replica
from violetdoor.control.roster import Roster, SnapshotAssembler
from violetdoor.fleet.view import rendezvous_weight


def test_a_snapshot_is_complete_or_rejected() -> None:
    roster = Roster(Version(1, 1, 5), relays(600))
    chunks = roster.snapshot_chunks()
    assert len(chunks) == 3
    assert all(len(encode(chunk)) < MAX_FRAME_BYTES for chunk in chunks)
    assembler = SnapshotAssembler()
    assert [assembler.add(chunk) for chunk in chunks[:2]] == [None, None]
    assembled = assembler.add(chunks[2])
    assert assembled is not None
    assert assembled.members == roster.members
    assert assembled.zone_counts() == roster.zone_counts()
    assembler.add(chunks[0])
    with pytest.raises(ValueError, match="out of order"):
        assembler.add(chunks[2])


def test_the_delta_log_is_bounded_by_count_and_by_bytes() -> None:
    log = DeltaLog(max_deltas=3)
    versions = [Version(1, 1, n) for n in range(6)]
    for base, version in itertools.pairwise(versions):
        log.add(Delta(base, version, relays(1)))
    assert log.since(versions[1]) is None
    assert len(log) == 3
    since = log.since(versions[3])
    assert since is not None
    assert [delta.version for delta in since] == versions[4:]
    small = DeltaLog(max_bytes=200)
    for base, version in itertools.pairwise(versions):
        small.add(Delta(base, version, relays(3)))
    assert small.size_bytes <= 200
    assert len(small) < 5


def test_deltas_are_split_into_frames() -> None:
    name = "n" * MAX_NAME_BYTES
    joined = tuple(Relay(name, 2**62, "h" * MAX_HOST_BYTES, 65535, "z" * MAX_ZONE_BYTES) for _ in range(150))
    departed = tuple(RelayKey(name, 2**62) for _ in range(150))
    deltas = tuple(Delta(Version(2**60, 9, n), Version(2**60, 9, n + 1), joined, departed) for n in range(3))
    parts = split_into_frames(deltas)
    assert [delta for part in parts for delta in part] == list(deltas)
    assert all(len(encode(RosterDeltas(part))) <= MAX_FRAME_BYTES - 64 for part in parts)


def test_a_departed_relay_counts_until_its_departure_has_settled() -> None:
    own_key = RelayKey("r0", 1)
    history = RosterHistory(own_key)
    first, second = Version(1, 1, 1), Version(1, 1, 2)
    history.replace(Roster(first, relays(4)))
    key = next(f"k{n}" for n in range(99) if max(("r0", "r1", "r2", "r3"), key=lambda r: rendezvous_weight(f"k{n}", r)) == "r2"
               and max(("r0", "r1", "r3"), key=lambda r: rendezvous_weight(f"k{n}", r)) == "r0")  # fmt: skip
    history.settle(first)
    assert not history.is_owner(key)
    assert history.apply(Delta(first, second, (), (RelayKey("r2", 3),)))
    assert history.roster is not None
    assert history.roster.owner(key) == "r0"
    assert not history.is_owner(key)
    history.settle(second)
    assert history.is_owner(key)
    # A roster that arrives as a snapshot starts a new history.
    assert not history.replace(Roster(first, relays(4)))
    assert history.replace(Roster(Version(1, 2, 0), relays(1)))
    assert not history.is_owner(key)
    history.settle(Version(1, 2, 0))
    assert history.is_owner(key)


def test_a_replica_rejects_earlier_terms_and_is_current_for_one_incarnation() -> None:
    replica = Replica()
    assert replica.install_snapshot(snapshot(Version(7, 2, 0)), group(2))
    assert replica.is_current(group(2))
    assert replica.is_current(group(3))  # same membership: nothing settles without its acknowledgement
    late = Delta(Version(7, 2, 0), Version(7, 2, 1))
    assert replica.apply(late, group(3)) is ApplyOutcome.OTHER_TERM
    assert replica.apply(late, group(2)) is ApplyOutcome.APPLIED
    assert not replica.is_current(group(4, incarnation=2))
    assert not replica.is_current(group(2, epoch=8))
    assert not replica.install_snapshot(snapshot(Version(7, 2, 0)), group(2))
    # A group that was founded again has another epoch, which can't be compared with the former one.
    assert replica.install_snapshot(snapshot(Version(6, 1, 0)), group(1, epoch=6))
