"""Members and views of a fleet. All methods are deterministic, so every relay computes the same results."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import cached_property

import msgspec
import xxhash
from msgspec import Struct

MAX_MEMBERS = 1024  # members of one view; a bitmap of them takes 128 bytes, so two fit into every packet
MAX_JOINS_PER_CHANGE = 48  # fewer if long names would make the encoded change exceed `MAX_CHANGE_BYTES`
EPOCH_RANDOM_BITS = 16  # low bits of an epoch; the bits above them are the founder's Unix time in ms

Address = tuple[str, int]  # host and port, as in the socket API


class Peer(Struct, frozen=True, array_like=True):
    """One instance of a relay as a member.

    `instance` is a new random number each time the relay joins, so that reports about an earlier instance do
    not apply to it. `process` is a random number that stays the same until the relay restarts; an upgrade
    hands it over. `joined_seq` is the `seq` of the first view of the epoch that contains this instance.
    """

    name: str
    instance: int
    host: str
    port: int
    zone: str = ""
    process: int = 0
    joined_seq: int = 0

    @property
    def address(self) -> Address:
        """The address at which other relays reach this relay."""
        return self.host, self.port


class ViewChange(Struct, frozen=True, array_like=True):
    """The difference between a view and its successor. Removed members are given by their index."""

    dead: tuple[int, ...] = ()
    departed: tuple[int, ...] = ()  # members that announced that they leave
    joins: tuple[Peer, ...] = ()

    def __bool__(self) -> bool:
        """Whether the successor differs from the view."""
        return bool(self.dead or self.departed or self.joins)


class ViewId(Struct, frozen=True, array_like=True, order=True):
    """Identifies a view by its epoch and its sequence number in that epoch.

    An epoch begins when a fleet is founded, or founded again after the loss of a majority. Its value is the
    founder's Unix time in ms followed by random bits, so later epochs are higher if clocks are correct.
    """

    epoch: int
    seq: int

    def __str__(self) -> str:
        """Return the text shown to operators: the epoch in hex, a slash, the sequence number."""
        return f"{self.epoch:x}/{self.seq}"


class View(Struct, frozen=True, array_like=True, dict=True):
    """The agreed members of the fleet, sorted by name. Bitmaps and ballots identify a member by its index."""

    epoch: int
    seq: int
    members: tuple[Peer, ...]

    @property
    def id(self) -> ViewId:
        """The identifier of the view."""
        return ViewId(self.epoch, self.seq)

    @cached_property
    def digest(self) -> str:
        """Hash of all fields of the view, as 16 hex digits."""
        return hashlib.blake2b(msgspec.msgpack.encode(self), digest_size=8).hexdigest()

    @cached_property
    def index_by_name(self) -> dict[str, int]:
        """The index of each member in `members`, by its name."""
        return {peer.name: index for index, peer in enumerate(self.members)}

    @property
    def majority(self) -> int:
        """The number of members that form a majority."""
        return len(self.members) // 2 + 1

    def member(self, name: str) -> Peer | None:
        """Return the member with this name, or None."""
        index = self.index_by_name.get(name)
        return None if index is None else self.members[index]

    def contains(self, peer: Peer) -> bool:
        """Return whether this very instance of a relay is a member; another instance of it does not count."""
        member = self.member(peer.name)
        return member is not None and member.instance == peer.instance

    def apply(self, change: ViewChange) -> View:
        """Return the successor view in the same epoch."""
        removed = set(change.dead) | set(change.departed)
        members = {peer.name: peer for index, peer in enumerate(self.members) if index not in removed}
        seq = self.seq + 1
        members |= {peer.name: msgspec.structs.replace(peer, joined_seq=seq) for peer in change.joins}
        return View(self.epoch, seq, sorted_by_name(members.values()))

    def owner(self, key: str) -> str:
        """Return the name of the member that owns a key.

        Rendezvous hashing lets only few keys change their owner when members change.
        """
        return max(self.members, key=lambda peer: (rendezvous_weight(key, peer.name), peer.name)).name

    def preference_list(self, key: str, count: int) -> list[str]:
        """Return the names of up to `count` members by descending weight for a key: the owner comes first.

        Members of zones that are not in the list yet are preferred; once every zone is in it, only the weight
        counts.
        """
        ranked = sorted(
            self.members, key=lambda peer: (rendezvous_weight(key, peer.name), peer.name), reverse=True
        )
        chosen: list[Peer] = []
        while ranked and len(chosen) < count:
            zones = {peer.zone for peer in chosen}
            best = next((peer for peer in ranked if peer.zone not in zones), ranked[0])
            chosen.append(best)
            ranked.remove(best)
        return [peer.name for peer in chosen]


def rendezvous_weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a member for a key; the member with the highest weight owns the key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def sorted_by_name(peers: Iterable[Peer]) -> tuple[Peer, ...]:
    """Return peers sorted by name, which is the order of `View.members`."""
    return tuple(sorted(peers, key=lambda peer: peer.name))
