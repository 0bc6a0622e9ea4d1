"""One relay's part in the fleet, without input or output: packets and times in, packets and deadlines out.

`Node` joins detection, agreement, leases and the shared map, and decides on entering, leaving, founding
and going over to another line. The same code runs in processes, in virtual time, and under a search over
interleavings. Times are seconds of a monotonic clock that goes on while the machine sleeps, but for
`unix_ms`, which only the shared map's stamps and the numbers of new lines are made of.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

import msgspec

from violetdoor import events
from violetdoor.fleet import messages as m
from violetdoor.fleet.agreement import Agreement
from violetdoor.fleet.lease import CLEAR, Lease
from violetdoor.fleet.seal import Window
from violetdoor.fleet.shared import SharedMap
from violetdoor.fleet.swim import Detector, Health
from violetdoor.fleet.view import (
    JOINS_MOST,
    LINE_RANDOM_BITS,
    MEMBERS_MOST,
    Change,
    Peer,
    View,
    ViewId,
    in_order,
)

Address = tuple[str, int]

PAUSE = 0.5  # s by which this relay comes late to what is due that is a pause of its own
SETTLE = 0.15  # s that a change waits for others that come together with it
RANK = 0.4  # s by which a member that stands further back waits longer until it proposes in the first's place
SEEK = 0.4  # s between two calls of a relay that is in no view, or whose lease is over
CALL_WITHIN = 0.5  # s that a call may take
FRESH_FOR = 3.0  # s for which another relay's word that it is in no view counts
LIVE_FOR = 2.0  # s for which another relay's word that it is in a live view keeps this one from founding
FOUND_AGAIN, FOUND_GIVE_UP = 0.15, 1.5  # s until those asked are asked again; until the founding is given up
VOTED_FOR = 2 * FOUND_GIVE_UP  # s for which a relay that would begin one line begins no other
JOIN_FOR = 3.0  # s for which a wish to enter counts; it is said again meanwhile
HELD = 60.0  # s between two entries of one running relay that was taken out in between
GOSSIP, GOSSIP_GAP = 2, 0.04  # members told at once of what is new; s between two such times
SYNC_EVERY = 2.5  # s between two exchanges with a random member, and with a seed that is in no view of ours:
# less than a restarted founder waits, so that it hears of a line that lives
MAP_SYNC = 0.5  # s between two exchanges since maps differ
SENDERS_MOST = 2 * MEMBERS_MOST  # whose counts are remembered against repeats
ASKED_MOST = 3  # members that hear of a wish to enter
FIRST_MOST = 5  # first members of a remembered view that a restarted relay tells of its new life
SPOKE_FOR = 2.0  # s for which a restarted relay that spoke counts as one that may propose
DRAWS = 8  # of a random member, until one lives: enough while a majority does
ROUNDS_GOSSIP = 0.1  # s between two packets to a random member while a round of heartbeats is not complete


_SHORT = m.Ping | m.Ack | m.Nack | m.PingFor | m.Accepted | m.Refused | m.Prepare | m.Leaving


class Standing(Enum):
    """Where this relay stands."""

    OUTSIDE = "outside"
    RECALLED = "recalled"  # restarted: it remembers a view that has its last life, and only decides with it
    MEMBER = "member"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class Plan:
    """What an operator says of this relay in its fleet."""

    name: str
    host: str  # where the others reach it
    port: int
    zone: str = ""
    seeds: tuple[Address, ...] = ()
    founders: frozenset[str] = frozenset()
    version: int = m.VERSION


@dataclass(slots=True)
class Founding:
    """A line that this relay is about to begin; the others are asked over TCP, as a view may be long."""

    view: View
    base: ViewId | None
    needed: frozenset[str]  # whose word it takes: all of these, or a majority of the founders
    quorum: int
    began: float
    asked: float
    forced: bool
    yes: set[str] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class Call:
    """A request over TCP that this relay wants made; `number` comes back with its answer."""

    number: int
    address: Address
    request: m.Request
    within: float = CALL_WITHIN


@dataclass(slots=True, frozen=True)
class Event:
    """Something that operators and tests want to know."""

    name: str
    values: dict[str, Any]


class Node:
    """One relay. After each call of it send `datagrams`, make `calls`, tell `events`; wake it at `due`."""

    def __init__(
        self, plan: Plan, random: Random, now: float, unix_ms: Callable[[], float],
        memory: m.Memory | None = None,
    ) -> None:  # fmt: skip
        self.plan, self.random, self.unix_ms = plan, random, unix_ms
        self.started = now
        self.process = random.getrandbits(62) | 1
        self.standing = Standing.OUTSIDE
        self.me = self._new_life()
        self.view: View | None = None
        self.detector = Detector(self.me, random, now)
        self.agreement: Agreement | None = None
        self.lease: Lease | None = None
        self.map = SharedMap(plan.name)
        self.line, self.seen = 0, 0  # that this relay was last in, and its last view that it knew
        self.newest: View | None = None  # that last view, while this relay stands in none
        self.last_joined = -math.inf  # when this relay last gave a heartbeat that may hold somebody's lease
        # views before this one whose leases may still hold
        self.unclear: list[tuple[View | None, float]] = []
        self.live = False
        self.lost_at = now  # when the lease was last seen to be over
        self.pending: dict[str, tuple[Peer, float]] = {}  # who wants to enter, until when that counts
        self.leavers: set[str] = set()
        self.need_since = math.inf  # since when there is something to change
        self.reached: dict[str, ViewId] = {}  # the view that each member last said it stands at
        self.moves: dict[str, tuple[int, float]] = {}  # processes that were let in again: which, when
        self.ended: set[str] = set()  # members whose life is over for sure
        self.gone: dict[int, None] = {}  # lives that have left by their own word
        self.proved: dict[int, None] = {}  # lives whose process is gone: it refuses calls, or another answers
        # Outside, and while no lease holds.
        self.seek_at = now + random.random() * SEEK / 2
        self.sought: list[Address] = []  # to be asked next, last first
        self.greeting: int | None = None  # the call to a member that spoke to this life
        # relays in no view: founder, up since, when
        self.fresh: dict[str, tuple[Peer, bool, float, float]] = {}
        self.live_heard = -math.inf  # when a relay in a live view was last heard of
        self.founding: Founding | None = None
        self.voted: tuple[int, float] | None = None  # for which line this relay last was, and when
        self.known: dict[str, Address] = {}  # where members of the last view were
        self.spoke: dict[str, float] = {}  # when a later life of a member was last heard
        # Packets.
        self.count = 0
        self.windows: dict[tuple[str, int], Window] = {}
        self.versions: dict[str, int] = {}
        self.sources: dict[str, tuple[Address, int]] = {}  # lives outside the view: from where, and which
        self.queue: dict[str, list[m.Message]] = {}
        self.gossip_at = -math.inf
        self.spread_at = now
        self.sync_at = now + SYNC_EVERY * random.random()
        self.differed_at = -math.inf  # when a map that differs was last asked for
        self.syncing: int | None = None  # the call that brings a newer view
        self.numbers = 0
        self.waiting: dict[int, tuple[m.Request, str, int]] = {}  # calls that are out
        self.datagrams: list[tuple[Address, m.Packet]] = []
        self.calls: list[Call] = []
        self.events: list[Event] = []
        self.dropped: dict[str, int] = dict.fromkeys(("repeated", "for another", "stranger"), 0)
        self.memory = memory  # to be kept before anything of the same step is sent
        self._due = now
        if memory is not None and plan.name in memory.view.places:
            self._recall(memory, now)

    def _recall(self, memory: m.Memory, now: float) -> None:
        """Go on as the acceptor that this relay was; its life in that view is over, and it enters anew."""
        self.standing, self.view = Standing.RECALLED, memory.view
        self.unclear = [(None, now)]  # whose leases under earlier views may hold, it has forgotten
        self.line, self.seen = memory.view.line, memory.view.seq
        self.lease = None
        self.agreement = Agreement.of(memory, self.plan.name, self.random)
        self.detector.watch(memory.view.members, now)
        self.known = {p.name: (p.host, p.port) for p in memory.view.members}
        self.ended.add(self.plan.name)
        self.pending[self.plan.name] = self.me, math.inf
        self._tell(events.FLEET_RECALLED, view=str(memory.view.id))

    # Two processes of one relay.

    def give(self) -> m.Handed:
        """All that makes this relay the member that it is; this process says nothing more as it."""
        self._remember()
        return m.Handed(
            self.process, self.me, self.standing.value, self.started,
            None if self.view is None else self.memory, self.newest, self.line, self.seen,
            None if self.lease is None else self.lease.give(), self.last_joined, tuple(self.unclear),
            self.live, self.detector.incarnation, self.count, self._entries(), self.map.clock.last,
            tuple((name, instance, w.newest) for (name, instance), w in self.windows.items()),
            tuple((name, process, at) for name, (process, at) in self.moves.items()), tuple(self.gone),
            tuple(self.reached.items()), tuple(self.ended), tuple(self.leavers),
        )  # fmt: skip

    def take(self, handed: m.Handed, now: float) -> None:
        """Go on as the member that the process before this one was, on the same machine and clock."""
        self.process, self.started, self.count = handed.process, handed.started, handed.count
        self.me = self.detector.me = handed.me
        self.detector.incarnation = handed.incarnation
        self.standing = Standing(handed.standing)
        self.newest, self.line, self.seen = handed.newest, handed.line, handed.seen
        self.map.merge(handed.entries, self.unix_ms(), self._size())
        self.map.clock.seen(handed.clock)
        self.last_joined, self.unclear, self.live = handed.last_joined, list(handed.unclear), handed.live
        self.windows = {(name, instance): Window(newest) for name, instance, newest in handed.windows}
        self.moves = {name: (process, at) for name, process, at in handed.moves}
        self.gone, self.reached = dict.fromkeys(handed.gone), dict(handed.reached)
        self.ended, self.leavers = set(handed.ended), set(handed.leavers)
        self.memory, held = handed.memory, handed.memory
        if held is None:
            return
        self.view, names = held.view, held.view.places
        self.agreement = Agreement.of(held, self.plan.name, self.random)
        self.detector.watch(held.view.members, now)
        self.known = {p.name: (p.host, p.port) for p in held.view.members}
        if handed.lease is not None:
            self.lease = Lease(len(names), names[self.plan.name], self.random)
            self.lease.take(handed.lease)
        if self.standing is Standing.RECALLED:
            self.pending[self.plan.name] = self.me, math.inf
        self._tell(events.FLEET_HANDED, view=self._shown(), lease=round(max(0.0, self._lease_left(now)), 3))

    def _lease_left(self, now: float) -> float:
        return 0.0 if self.lease is None else self.lease.until - now

    def _new_life(self) -> Peer:
        p = self.plan
        return Peer(p.name, self.random.getrandbits(62) | 1, p.host, p.port, p.zone, self.process)

    # What the rest of the program asks.

    def may_act(self, now: float) -> bool:
        """Whether this relay holds a lease in the view that it stands at, at this moment."""
        return self.standing is Standing.MEMBER and self.lease is not None and self.lease.held(now)

    def owns(self, key: str, now: float) -> bool:
        """Whether a key is this relay's alone at this moment.

        Not before the leases of all that may have owned it under earlier views are over.
        """
        if self.view is None or not self.may_act(now) or self.view.owner(key) != self.plan.name:
            return False
        self._clear(now)
        return all(before is not None and before.owner(key) == self.plan.name for before, _ in self.unclear)

    def cleared(self, now: float) -> bool:
        """Whether no lease under an earlier view can still hold."""
        self._clear(now)
        return not self.unclear

    def _clear(self, now: float) -> None:
        self.unclear = [
            (before, at) for before, at in self.unclear if now < at + CLEAR and not self._all_gone_on(before)
        ]

    def _all_gone_on(self, before: View | None) -> bool:
        """Whether each member of an earlier view stands at a later one now, has left, or is no more."""
        if before is None or self.view is None:
            return False
        for peer in before.members:
            if peer.name == self.plan.name:
                continue
            reached = self.reached.get(peer.name)
            gone_on = self.view.has(peer) and reached is not None and reached > before.id
            if not gone_on and peer.instance not in self.gone and peer.instance not in self.proved:
                return False
        return True

    def surely_over(self, name: str, life: int, now: float) -> bool:
        """Whether a relay's life can act no more: its process is gone, or it is out and its lease is over."""
        if life in self.proved or life in self.gone:
            return True
        known = None if self.view is None else self.view.peer(name)
        return self.view is not None and (known is None or known.instance != life) and self.cleared(now)

    def sharers(self) -> int | None:
        """How many relays share the servers, as far as is known; none: this relay stands in no view.

        Without a lease nobody says who is dead and who is only cut off. Those that are heard count then, and
        at least half of the view: so the two sides of a partition take twice the whole at the most.
        """
        if self.view is None or self.standing is not Standing.MEMBER:
            return None
        size = len(self.view.members)
        return size if self.live else max(self.detector.living, (size + 1) // 2)

    def put(self, key: str, value: float | None, now: float) -> bool:
        """Set a value that all relays are to know; False where the map is full."""
        took = self.map.put(key, value, self.unix_ms(), self._size())
        if took:
            self._gossip(now)
            self._flush(now)
        return took

    def leave(self, now: float) -> None:
        """Go: the others need not find out."""
        if self.standing is Standing.MEMBER and self.view is not None:
            for peer in self.view.members:
                if peer.name != self.plan.name:
                    self._say(peer.name, m.Leaving())
            self._flush(now)
        self.standing, self.lease = Standing.LEFT, None
        self._tell(events.FLEET_LEFT)

    def force(self, now: float) -> str:
        """Begin a line with all that are reached, though no majority of the view is; why not, or nothing."""
        if self.standing not in (Standing.MEMBER, Standing.RECALLED) or self.view is None:
            return "this relay is in no view"
        reached = [p for p in self.view.members if p.name not in self.ended and self.detector.alive(p.name)]
        if self.may_act(now) or len(reached) >= self.view.majority:
            return f"a majority is reached: {len(reached)} of {len(self.view.members)}"
        self._begin_line(reached, frozenset(p.name for p in reached), len(reached), now, forced=True)
        self._flush(now)
        return ""

    # Time.

    @property
    def due(self) -> float:
        """When to wake this node next."""
        return self._due

    def wake(self, now: float) -> None:
        """Do what is due."""
        if self.standing is Standing.LEFT:
            self._due = math.inf
            return
        self._look_at_pause(now)
        was = self.live
        if self.standing in (Standing.MEMBER, Standing.RECALLED):
            self._wake_member(now)
        if not self.may_act(now):
            if was:
                self.live, self.lost_at = False, now
                self._tell(events.FLEET_STALE, view=self._shown())
            if now >= self.seek_at:
                self.seek_at = now + SEEK * self.random.uniform(0.7, 1.3)
                self._seek(now)
        self._wake_founding(now)
        self._flush(now)

    def _look_at_pause(self, now: float) -> None:
        """Guards against a relay that was stopped and takes its own pause for the death of all others."""
        if now > self._due + PAUSE:
            self._tell(events.FLEET_PAUSED, seconds=round(now - self._due, 3))
            self.detector.paused(now)
            self._due = now

    def _wake_member(self, now: float) -> None:
        assert self.view is not None and self.agreement is not None
        self.detector.wake(now)
        self.agreement.wake(now)
        self._propose(now)
        self._take_decision(now)
        if self.lease is None or self.view is None or self.standing is not Standing.MEMBER:
            return
        self._heartbeat(now)
        if self.lease.number and not self.lease.complete and now >= self.spread_at:
            self.spread_at = now + ROUNDS_GOSSIP * self.random.uniform(0.7, 1.3)
            self._send_to_some(1)
        if now >= self.sync_at:
            self.sync_at = now + SYNC_EVERY * self.random.uniform(0.7, 1.3)
            others = [(p.host, p.port) for p in self.view.members if p.name != self.plan.name]
            # A seed outside the view may have started anew, or be in a line of its own: it is to hear of this
            # one before it founds another.
            away = sorted(set(self.plan.seeds) - set(others) - {(self.plan.host, self.plan.port)})
            if others:
                self._sync(self.random.choice(others))
            if away:
                self._sync(self.random.choice(away))

    def _heartbeat(self, now: float) -> None:
        lease, view = self.lease, self.view
        if lease is None or view is None:
            return
        if self.agreement is not None:
            lease.frozen = lease.frozen or self.agreement.frozen
        first = all(p.name == self.plan.name or not self.detector.alive(p.name) for p in self._before_me())
        lease.wake(now, first)
        if lease.joins:
            self.last_joined = max(self.last_joined, *lease.joins.values())
        if lease.fresh:
            lease.fresh = False
            self._gossip(now)
        if not self.live and lease.held(now):
            self.live = True
            self._tell(events.FLEET_LIVE, view=self._shown())

    def _before_me(self) -> Iterable[Peer]:
        assert self.view is not None
        return self.view.members[: self.view.places[self.plan.name]]

    def _set_due(self, now: float) -> None:
        dues = [math.inf]
        if self.agreement is not None:
            dues += [self.detector.due, self.agreement.due]
            if self.need_since < math.inf:
                dues.append(now + SETTLE / 2)
        if self.lease is not None:
            dues += [self.lease.due, self.sync_at]
            if self.lease.number and not self.lease.complete:
                dues.append(self.spread_at)
            if self.live:
                dues.append(self.lease.until)
        if not self.live and self.standing is not Standing.LEFT:
            dues.append(self.seek_at)
        if self.founding is not None:
            dues.append(self.founding.asked + FOUND_AGAIN)
        self._due = max(now + 0.001, min(dues))

    # Agreement.

    def _wanted(self, now: float) -> Change:
        """What the next view is to change, as far as this relay knows."""
        view = self.view
        assert view is not None
        dead = [view.places[n] for n in self.detector.dead() if n in view.places and n not in self.leavers]
        counted = {*self.detector.dead(), *self.leavers}
        dead += [view.places[n] for n in self.ended & view.places.keys() - counted]
        left = [view.places[n] for n in self.leavers if n in view.places]
        self.pending = {n: (p, until) for n, (p, until) in self.pending.items() if now < until}
        joins = []
        for name, (peer, _) in self.pending.items():
            known = view.peer(name)
            if known is not None and known.instance != peer.instance and name not in self.ended:
                watched = self.detector.watched.get(name)
                if watched is not None and watched.health is not Health.DEAD and name not in self.leavers:
                    continue  # its earlier life may still be one
            if known is None or known.instance != peer.instance:
                joins.append(peer)
        replaced = {view.places[p.name] for p in joins if p.name in view.places}
        room = MEMBERS_MOST - len(view.members) + len(set(dead) | set(left))
        joins = joins[: max(0, min(JOINS_MOST, room))]
        dead = sorted((set(dead) | replaced) - set(left))
        change = Change(tuple(dead), tuple(sorted(left)), tuple(joins))
        while joins and len(m.encode(change)) > m.CHANGE_MOST:
            del joins[-max(1, len(joins) // 8) :]
            change = Change(tuple(dead), tuple(sorted(left)), tuple(joins))
        return change

    def _propose(self, now: float) -> None:
        agreement, view = self.agreement, self.view
        assert agreement is not None and view is not None
        wanted = self._wanted(now)
        if not wanted and not agreement.frozen:
            self.need_since = math.inf
            return
        if self.need_since == math.inf:
            self.need_since = now
        for place in agreement.contradicted:
            self.detector.look_at(view.members[place].name, now)
        agreement.contradicted = set()
        rank = sum(
            self.detector.alive(p.name) or now < self.spoke.get(p.name, -math.inf) + SPOKE_FOR
            for p in self._before_me()
        )
        if now >= self.need_since + SETTLE + RANK * rank and agreement.proposal is None:
            ended = tuple(sorted(view.places[n] for n in self.ended & view.places.keys()))
            agreement.propose(wanted or agreement.accepted or wanted, now, ended)

    def _take_decision(self, now: float) -> None:
        agreement = self.agreement
        if agreement is None or self.view is None:
            return
        for place, message in agreement.out:
            self._say(self.view.members[place].name, message)
        agreement.out.clear()
        if agreement.decided is not None:
            self._install(self.view.after(agreement.decided), now, self.view)

    # Views.

    def _install(self, view: View, now: float, before: View | None) -> None:
        """Go over to a view; `before` is the one that it follows, where that is known."""
        old = self.view
        if not view.has(self.me):
            if self._decides(view):
                self._recall(m.Memory(view), now)
            else:
                self._removed(view, now)
            return
        same_line = old is not None and old.line == view.line
        peer = view.peer(self.plan.name)
        assert peer is not None
        self.me = self.detector.me = peer
        if old is not None and same_line and self.standing is not Standing.OUTSIDE:
            self.unclear.append((old, now))
            if before is None or before.id != old.id:
                self.unclear.append((None, now))
        else:
            # A line that begins has no view before it; whoever enters one that runs knows none.
            self.unclear = [(None, now)] if view.seq > 1 else []
        until = self.lease.until if self.lease is not None and same_line else -math.inf
        after = -math.inf if view.line == self.line else self.last_joined + CLEAR
        self.line, self.seen = view.line, view.seq
        self._note_moves(old, view, now)
        self.view, self.standing = view, Standing.MEMBER
        self.agreement = Agreement(view, self.plan.name, self.random)
        self.lease = Lease(len(view.members), view.places[self.plan.name], self.random, until, after)
        self.detector.watch(view.members, now)
        self.leavers &= view.places.keys()
        stayed = set() if old is None else {p.name for p in old.members if view.has(p)}
        self.ended &= stayed
        self.spoke = {n: at for n, at in self.spoke.items() if n in view.places}
        self.reached = {n: at for n, at in self.reached.items() if n in view.places}
        self.pending = {n: p for n, p in self.pending.items() if not view.has(p[0])}
        self.known = {p.name: (p.host, p.port) for p in view.members}
        self.sources = {n: s for n, s in self.sources.items() if n not in view.places}
        self.need_since, self.founding, self.fresh = math.inf, None, {}
        living = {(p.name, p.instance) for p in view.members}
        self.windows = {who: w for who, w in self.windows.items() if who in living}
        self.versions = {n: v for n, v in self.versions.items() if n in view.places}
        self._tell(
            events.FLEET_VIEW, view=str(view.id), digest=view.digest, members=[p.name for p in view.members],
            zones=sorted({p.zone for p in view.members}),
        )  # fmt: skip
        if old is not None and same_line:  # those that are out: is their process gone, too?
            for peer in old.members:
                if not view.has(peer) and peer.instance not in self.gone and peer.instance not in self.proved:
                    self._call((peer.host, peer.port), m.TcpPing(peer.instance), peer.name)
        for peer in () if before is None else view.members:
            if peer.since == view.seq and peer.name != self.plan.name:
                self._say(peer.name, m.Ping(0, peer.instance))  # it asks for the view at once
        self._heartbeat(now)
        self._gossip(now)

    def _decides(self, view: View) -> bool:
        """Whether this relay has a word on what follows a view that has an earlier life of it.

        In views behind those that it has seen it may have promised what it has forgotten since.
        """
        return view.line == self.line and view.seq > self.seen and self.plan.name in view.places

    def _note_moves(self, old: View | None, view: View, now: float) -> None:
        """Remember which running relays were let in again after they had been taken out."""
        if old is None or old.line != view.line:
            return
        for peer in old.members:
            if not view.has(peer):
                self.moves.setdefault(peer.name, (peer.process, -math.inf))
        for peer in view.members:
            if not old.has(peer) and peer.name in self.moves and peer.since == view.seq:
                process, _ = self.moves[peer.name]
                self.moves[peer.name] = (peer.process, now if process == peer.process else -math.inf)
        for name in list(self.moves)[: max(0, len(self.moves) - MEMBERS_MOST)]:
            del self.moves[name]

    def _removed(self, view: View | None, now: float) -> None:
        """Out of the view: whatever this relay held is over, and it asks to enter again."""
        if self.standing is Standing.MEMBER:
            self._tell(events.FLEET_REMOVED, view=None if view is None else str(view.id))
            self.me = self._new_life()
        if view is not None:
            self.known |= {p.name: (p.host, p.port) for p in view.members}
            if view.line == self.line and view.seq > self.seen:
                self.seen, self.newest = view.seq, view
        self.standing, self.view, self.agreement, self.lease = Standing.OUTSIDE, None, None, None
        self.detector.me = self.me
        self.detector.watch((), now)
        self.detector.incarnation = 0
        self.unclear, self.pending, self.reached = [], {}, {}
        self.leavers, self.ended, self.founding, self.spoke = set(), set(), None, {}
        if self.live:
            self.live, self.lost_at = False, now
            self._tell(events.FLEET_STALE, view=None)
        self.seek_at = now

    # Entering and founding.

    def _seek(self, now: float) -> None:
        """Ask a relay where the fleet stands."""
        addresses = {*self.plan.seeds, *self.known.values()} - {(self.plan.host, self.plan.port)}
        if not addresses:
            self._found(now)
            return
        # Each in turn: guards against one living seed among dead ones that chance passes by.
        self.sought = [one for one in self.sought if one in addresses]
        if not self.sought:
            self.sought = sorted(addresses)
            self.random.shuffle(self.sought)
        address = self.sought.pop()
        self._call(address, self._hello(now) if self.view is None else self._sync_request(()))
        if self.standing is Standing.RECALLED and self.view is not None:
            # All at once may have restarted: the first of them brings all back.
            for peer in [p for p in self.view.members if p.name != self.plan.name][:FIRST_MOST]:
                self._say(peer.name, m.JoinFor(self.me))
        self._found(now)

    def _hello(self, now: float) -> m.Hello:
        return m.Hello(self.me, self._founder, now - self.started)

    @property
    def _founder(self) -> bool:
        return self.plan.name in self.plan.founders and self.line == 0

    def _found(self, now: float) -> None:
        """Begin the first line: founders that remember none, and hear of none that lives."""
        if self.founding is not None or now < self.live_heard + LIVE_FOR:
            return
        self.fresh = {n: f for n, f in self.fresh.items() if now < f[3] + FRESH_FOR}
        if self.standing is Standing.OUTSIDE:
            # A relay without a memory has forgotten the heartbeats it gave: it waits until they hold nothing.
            up = {n for n, (_, founder, since, _) in self.fresh.items() if founder and now >= since + CLEAR}
            mine = {self.plan.name} if self._founder and now >= self.started + CLEAR else set()
            if not mine or len(up | mine) <= len(self.plan.founders) // 2 or min(up | mine) != self.plan.name:
                return
            peers = [self.me, *(p for p, _, _, _ in self.fresh.values())]
            self._begin_line(peers, self.plan.founders, len(self.plan.founders) // 2 + 1, now)

    def _begin_line(
        self, peers: Iterable[Peer], needed: frozenset[str], quorum: int, now: float, forced: bool = False
    ) -> None:
        began = int(self.unix_ms())
        if self.view is not None:  # guards against a clock that was set back
            began = max(began, (self.view.line >> LINE_RANDOM_BITS) + 1)
        line = began << LINE_RANDOM_BITS | self.random.getrandbits(LINE_RANDOM_BITS)
        members = {p.name: msgspec.structs.replace(p, since=1) for p in peers}
        members |= {n: msgspec.structs.replace(f[0], since=1) for n, f in self.fresh.items()}
        members[self.plan.name] = msgspec.structs.replace(self.me, since=1)
        first = sorted(members.values(), key=lambda p: p.name not in needed)[:MEMBERS_MOST]
        view = View(line, 1, in_order(first))
        base = None if self.view is None else self.view.id
        self.founding = Founding(view, base, needed, quorum, now, -math.inf, forced)
        if self._would_found(m.Found(view, base, forced), now):
            self.founding.yes.add(self.plan.name)
            self._wake_founding(now)
        else:
            self.founding = None

    def _would_found(self, found: m.Found, now: float) -> bool:
        """Whether this relay would begin that line; then no other for a while, and no lease."""
        if self.voted is not None and self.voted[0] != found.view.line and now < self.voted[1] + VOTED_FOR:
            return False
        if not found.view.has(self.me) or now < self.live_heard + LIVE_FOR or self.may_act(now):
            return False
        if self.standing is Standing.OUTSIDE:
            if self.line or now < self.started + CLEAR:
                return False
        elif not found.forced or self.view is None or found.base != self.view.id:
            return False
        self.voted = found.view.line, now
        if self.lease is not None:
            self.lease.frozen, self.lease.until = True, -math.inf
        if self.agreement is not None:
            self.agreement.promised = 1 << 62  # that view has no successor in its line any more
        return True

    def _wake_founding(self, now: float) -> None:
        f = self.founding
        if f is None:
            return
        if len(f.yes & f.needed) >= f.quorum:
            self.founding = None
            self._tell(events.FLEET_FOUNDED, view=str(f.view.id), forced=f.forced)
            self._install(f.view, now, None)
            for peer in f.view.members:
                if peer.name != self.plan.name:
                    self._say(peer.name, m.Ping(0, peer.instance))  # it asks for the view at once
        elif now >= f.began + FOUND_GIVE_UP:
            self.founding = None
        elif now >= f.asked + FOUND_AGAIN:
            f.asked = now
            for peer in f.view.members:
                if peer.name not in f.yes and peer.name != self.plan.name:
                    self._call((peer.host, peer.port), m.Found(f.view, f.base, f.forced), peer.name)

    def _go_over(self, line: int, size: int, live: bool, now: float) -> bool:
        """Whether to give up the own line for another that was heard of.

        Two lines live at once only where the assumptions of founding are broken; the smaller one yields.
        """
        if self.view is None or line == self.view.line or not live:
            return False
        if not self.may_act(now):
            return True
        return (size, line) > (len(self.view.members), self.view.line)

    # Calls over TCP.

    def _call(self, address: Address, request: m.Request, name: str = "", seq: int = 0) -> int:
        self.numbers += 1
        self.waiting[self.numbers] = request, name, seq
        self.calls.append(Call(self.numbers, address, request))
        return self.numbers

    def _sync(self, address: Address) -> int:
        return self._call(address, self._sync_request(self._entries()))

    def _sync_request(self, entries: tuple[m.Entry, ...]) -> m.Sync:
        view = None if self.view is None else self.view.id
        return m.Sync(self.me, view, self._size(), self.live, entries)

    def _entries(self) -> tuple[m.Entry, ...]:
        return tuple(self.map.entries.values())

    def asked(self, request: m.Request, now: float) -> m.Answer | None:
        """What to say to a request that came over TCP."""
        if self.standing is Standing.LEFT:
            return None
        answer: m.Answer
        match request:
            case m.TcpPing():
                answer = m.Alive(self.me.instance)
            case m.Sync(peer=peer, view=view, live=live, entries=entries):
                self._merge(entries, now)
                if live and (self.view is None or view is None or view.line != self.view.line):
                    self.live_heard = now
                    self.known[peer.name] = (peer.host, peer.port)
                    if view is not None and self._go_over(view.line, request.size, live, now):
                        self._removed(None, now)
                # Who was taken out may be the only one left that knows what was decided.
                answer = m.State(self.view or self.newest, self.may_act(now), self._entries())
            case m.Hello():
                answer = self._greet(request, now)
            case m.Found():
                answer = m.FoundVote(request.view.line, self._would_found(request, now))
        self._flush(now)
        return answer

    def _greet(self, hello: m.Hello, now: float) -> m.Answer:
        peer = hello.peer
        if self.view is None:
            if peer.name != self.plan.name:
                self._meet(peer, hello.founder, now - hello.up, now)
            return m.Fresh(self.me, self._founder, now - self.started)
        known = self.view.peer(peer.name)
        if known is not None and known.instance == peer.instance:
            return m.State(self.view, self.may_act(now), self._entries())
        if peer.name == self.plan.name:
            return m.Refusal("name")
        if known is not None and peer.name not in self.ended:
            if (known.host, known.port) == (peer.host, peer.port):
                self._say(peer.name, m.Ping(0))  # whoever is there now says which life it is
            if self.detector.alive(peer.name):
                return m.Refusal("name")
        process, let_in = self.moves.get(peer.name, (0, -math.inf))
        if process == peer.process and now < let_in + HELD:
            return m.Refusal("held")
        if known is None and len(self.view.members) >= MEMBERS_MOST:
            return m.Refusal("full")
        self._wants(peer, now)
        live = self.may_act(now)
        if live:
            asked = [p.name for p in self.view.members if self.detector.alive(p.name)][:ASKED_MOST]
            for name in asked:
                if name != self.plan.name:
                    self._say(name, m.JoinFor(peer))
        else:
            self._meet(peer, hello.founder, now - hello.up, now)
        if known is not None:  # it may remember that line, and be needed to decide what follows
            return m.State(self.view, live, self._entries())
        return m.Refusal("pending" if live else "stale")

    def _meet(self, peer: Peer, founder: bool, since: float, now: float) -> None:
        """A relay that is in no view, and since when it is up by this relay's clock."""
        self.fresh[peer.name] = peer, founder, since, now
        while len(self.fresh) > MEMBERS_MOST:
            del self.fresh[next(iter(self.fresh))]

    def _wants(self, peer: Peer, now: float) -> None:
        if peer.name in self.pending or len(self.pending) < MEMBERS_MOST:
            self.pending[peer.name] = peer, now + JOIN_FOR
            self._due = min(self._due, now)

    def answered(self, number: int, answer: m.Answer | None, now: float, refused: bool = False) -> None:
        """The answer to a call, or that there was none; `refused`: nobody listens there."""
        request, name, seq = self.waiting.pop(number, (None, "", 0))
        if number == self.syncing:
            self.syncing = None
        if number == self.greeting:
            self.greeting = None
        if request is None or self.standing is Standing.LEFT:
            return
        match request, answer:
            case m.TcpPing(instance=life), m.Alive(instance=instance):
                if instance != life:
                    self.no_more(name, life, now)
                elif name in self.detector.watched:
                    self.detector.answered_over_tcp(seq)
            case m.TcpPing(instance=life), None if refused:
                self.no_more(name, life, now)
            case _, m.State(view=view, live=live, entries=entries):
                self._merge(entries, now)
                if view is not None:
                    self._learn(view, live, now)
            case m.Found(), m.FoundVote(line=line, yes=True):
                if self.founding is not None and line == self.founding.view.line:
                    self.founding.yes.add(name)
                    self._wake_founding(now)
            case m.Hello(), m.Fresh(peer=peer, founder=founder, up=up):
                self._meet(peer, founder, now - up, now)
                self._found(now)
            case m.Hello(), m.Refusal(why=why):
                if why == "pending":
                    self.live_heard = now
                    self.seek_at = min(self.seek_at, now + SEEK / 2)
                else:
                    self._tell(events.FLEET_REFUSED, why=why)
        self._flush(now)

    def no_more(self, name: str, life: int, now: float) -> None:
        """A life's process is gone for sure: its address refuses calls, or another life answers there.

        An address belongs to one process at a time, and a process that is replaced hands its sockets over.
        """
        proved = life in self.proved
        self.proved[life] = None
        while len(self.proved) > MEMBERS_MOST:
            del self.proved[next(iter(self.proved))]
        known = None if self.view is None else self.view.peer(name)
        if known is not None and known.instance == life and name != self.plan.name and not proved:
            self._ended(name, now)
            self.detector.over(name, now, proved=True)

    def _learn(self, view: View, live: bool, now: float) -> None:
        """A view that another relay stands at."""
        if live:
            self.live_heard = now
        mine = self.view
        if mine is None:
            self.known |= {p.name: (p.host, p.port) for p in view.members}
            if view.has(self.me) or self._decides(view):
                self._install(view, now, None)
        elif view.line == mine.line:
            if view.seq > mine.seq:
                self._install(view, now, None)
        elif self.voted is not None and self.voted[0] == view.line and view.has(self.me):
            self._install(view, now, None)  # the line that this relay agreed to begin
        elif self._go_over(view.line, len(view.members), live, now):
            self._removed(view, now)

    def _merge(self, entries: Iterable[m.Entry], now: float) -> None:
        if self.map.merge(entries, self.unix_ms(), self._size()):
            self._gossip(now)

    # Packets.

    def receive(self, packet: m.Packet, source: Address, now: float) -> None:
        """Take in a packet whose seal was sound."""
        if self.standing is Standing.LEFT:
            return
        self._look_at_pause(now)
        if packet.to != self.plan.name or packet.to_instance not in (0, self.me.instance):
            self._answer_for_another(packet, source, now)
            return
        if packet.name == self.plan.name:
            self.dropped["stranger"] += 1
            return
        member = None if self.view is None else self.view.peer(packet.name)
        known = member is not None and member.instance == packet.instance
        window = self.windows.get((packet.name, packet.instance))
        if window is None:
            if len(self.windows) >= SENDERS_MOST:
                self.dropped["stranger"] += 1
                return
            window = self.windows[packet.name, packet.instance] = Window()
        if not window.take(packet.count):
            self.dropped["repeated"] += 1
            return
        if not known:
            self._met(packet, source)
            self._called(packet, source, now)
        self.versions[packet.name] = packet.newest
        self.map.merge(packet.news, self.unix_ms(), self._size())
        if known:
            self._from_member(packet, now)
        for message in packet.messages:
            self._message(packet, known, message, now)
        self._take_decision(now)
        self._heartbeat(now)
        self._flush(now)

    def _answer_for_another(self, packet: m.Packet, source: Address, now: float) -> None:
        """A packet for an earlier life of this relay: a ping is told which life is here now."""
        self.dropped["for another"] += 1
        if packet.to != self.plan.name:
            return
        self._met(packet, source)
        for message in packet.messages:
            if isinstance(message, m.Ping):
                self._say(packet.name, m.Ack(message.seq, self.me.instance))
        self._flush(now)

    def _met(self, packet: m.Packet, source: Address) -> None:
        """Somebody who is no member spoke: an answer goes to just that life, where it came from."""
        self.sources.pop(packet.name, None)
        self.sources[packet.name] = source, packet.instance
        while len(self.sources) > MEMBERS_MOST:
            del self.sources[next(iter(self.sources))]

    def _called(self, packet: m.Packet, source: Address, now: float) -> None:
        """A member speaks to this life, which is in no view: it has been let in, and asks for that view."""
        if self.greeting is not None or packet.view is None or not packet.to_instance:
            return
        if self.view is None:
            self.greeting = self._call(source, self._hello(now))
        elif self.voted is not None and packet.view.line == self.voted[0] != self.view.line:
            self.greeting = self._call(source, self._sync_request(()))

    def _from_member(self, packet: m.Packet, now: float) -> None:
        view, detector = self.view, self.detector
        assert view is not None
        detector.heard(packet.name, packet.instance, packet.incarnation, now)
        for rumor in packet.rumors:
            detector.rumor(rumor, now)
        for name, life in detector.proofs:
            self.no_more(name, life, now)
        detector.proofs.clear()
        if packet.view is not None and packet.view.line == view.line:
            self.reached[packet.name] = max(packet.view, self.reached.get(packet.name, packet.view))
            if packet.view.seq > view.seq:
                self._catch_up(packet.name)
            if packet.view.seq == view.seq and packet.round is not None and self.lease is not None:
                if self.agreement is not None and self.agreement.frozen:
                    self.lease.frozen = True
                self.lease.receive(packet.round, now)
        elif packet.view is not None and self._go_over(packet.view.line, packet.size, packet.live, now):
            self._catch_up(packet.name)
        if packet.map != self.map.digest and now >= self.differed_at + MAP_SYNC:
            self.differed_at = now
            self._catch_up(packet.name)

    def _catch_up(self, name: str) -> None:
        """Ask a member for its view and its map, once at a time."""
        if self.syncing is None and (address := self._address(name)) is not None:
            self.syncing = self._sync(address)

    def _message(self, packet: m.Packet, known: bool, message: m.Message, now: float) -> None:
        name, detector = packet.name, self.detector
        match message:
            case m.Ping():
                detector.ping(name, message)
            case m.Ack():
                member = detector.watched.get(name)
                if member is not None and message.instance not in (0, member.peer.instance):
                    if any(p.seq == message.seq for p in detector.probe):  # sent since: no old packet
                        self.no_more(name, member.peer.instance, now)
                    else:
                        self._ended(name, now)
                else:
                    detector.ack(name, message, now)
            case m.PingFor() if known:
                detector.ping_for(name, message, now)
            case m.Nack() if known:
                detector.nack(message)
            case m.JoinFor(peer=peer) if known:
                self._wants(peer, now)
            case m.JoinFor(peer=peer) if peer.name == name and self.view and name in self.view.places:
                # Guards against an old packet: what it says of its life is only a reason to ask.
                self._wants(peer, now)
                self.spoke[name] = now
                if name not in self.ended:
                    self._say(name, m.Ping(0))
            case m.Leaving() if known:
                self.leavers.add(name)
                self.gone[packet.instance] = None
                while len(self.gone) > MEMBERS_MOST:
                    del self.gone[next(iter(self.gone))]
                self._due = min(self._due, now)
            case (
                m.Poll() | m.Vote() | m.Prepare() | m.Promise() | m.Accept() | m.Accepted() | m.Refused()
                | m.Decided()
            ):  # fmt: skip
                # By name, whichever life: one that has restarted speaks of a view only where it remembers it.
                base = self.view
                if self.agreement is not None and base is not None and message.base == base.id:
                    if name not in base.places:
                        return
                    names = [p.name for p in base.members]
                    lives = {n for n, p in enumerate(names) if p not in self.ended and detector.alive(p)}
                    self.agreement.receive(base.places[name], message, now, lives)
                    self._take_decision(now)

    def _ended(self, name: str, now: float) -> None:
        """A member's life is over for sure."""
        self.ended.add(name)
        self.detector.over(name, now)
        self._due = min(self._due, now)

    def _say(self, name: str, message: m.Message) -> None:
        self.queue.setdefault(name, []).append(message)

    def _gossip(self, now: float) -> None:
        """Tell a few members at once of what is new."""
        if self.view is None or now < self.gossip_at + GOSSIP_GAP:
            return
        self.gossip_at = now
        self._send_to_some(GOSSIP)

    def _send_to_some(self, count: int) -> None:
        assert self.view is not None
        members = self.view.members
        for _ in range(DRAWS * count):  # drawing again is cheaper than to list those that live
            name = members[self.random.randrange(len(members))].name
            if name != self.plan.name and name not in self.queue and self.detector.alive(name):
                self.queue[name] = []
                count -= 1
                if not count:
                    return

    def _address(self, name: str) -> Address | None:
        peer = None if self.view is None else self.view.peer(name)
        if peer is not None:
            return peer.host, peer.port
        return self.sources[name][0] if name in self.sources else None

    def _size(self) -> int:
        return 1 if self.view is None else len(self.view.members)

    def _shown(self) -> str | None:
        return None if self.view is None else str(self.view.id)

    def _tell(self, name: str, **values: Any) -> None:
        self.events.append(Event(name, values))

    def _flush(self, now: float) -> None:
        """Make packets of what is to be said."""
        detector = self.detector
        for name, message in detector.out:
            self._say(name, message)
        detector.out.clear()
        for name, seq in detector.over_tcp:
            if (address := self._address(name)) is not None:
                self._call(address, m.TcpPing(detector.watched[name].peer.instance), name, seq)
        detector.over_tcp.clear()
        if detector.changed:
            detector.changed = False
            self._gossip(now)
        self._remember()
        queue, self.queue = self.queue, {}
        for name, messages in queue.items():
            member = None if self.view is None else self.view.peer(name)
            address = self._address(name)
            if address is None:
                continue
            # A life that is over is asked by name alone: whoever is there now is to answer.
            meant = 0 if member is None or name in self.ended else member.instance
            if any(isinstance(one, m.Ping) and one.instance == 0 for one in messages):
                meant = 0
            elif name in self.sources:
                meant = self.sources[name][1]
            self._packet(name, meant, address, tuple(messages), now)
        self._set_due(now)

    def _remember(self) -> None:
        """What a restart must not forget, as it is now."""
        if self.agreement is not None and (now := self.agreement.memory) != self.memory:
            self.memory = now

    def _packet(
        self, name: str, meant: int, address: Address, messages: tuple[m.Message, ...], now: float
    ) -> None:
        self.count += 1
        view, version = self.view, min(self.plan.version, self.versions.get(name, m.OLDEST))
        # A long change leaves no room for what others are told, too.
        bulky = any(not isinstance(one, _SHORT) for one in messages) and len(m.encode(messages)) > m.BULK
        packet = m.Packet(
            version, self.plan.version, self.plan.name, self.me.instance, name, meant, self.count,
            None if view is None else view.id, 0 if view is None else len(view.members), self.may_act(now),
            self.detector.incarnation, None if self.lease is None else self.lease.told(), self.map.digest,
            () if bulky else self.detector.pick_rumors(name), () if bulky else self.map.pick_news(), messages,
            self.plan.zone if version >= 2 else "",
        )  # fmt: skip
        self.datagrams.append((address, packet))
