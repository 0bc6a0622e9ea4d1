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
from violetdoor.fleet.lease import LEASE_EXPIRY, Lease
from violetdoor.fleet.seal import Window
from violetdoor.fleet.shared import SharedMap
from violetdoor.fleet.swim import Detector, Health
from violetdoor.fleet.view import (
    EPOCH_RANDOM_BITS,
    MAX_JOINS,
    MAX_MEMBERS,
    Change,
    Peer,
    View,
    ViewId,
    in_order,
)

Address = tuple[str, int]

PAUSE_THRESHOLD = 0.5  # s by which this relay comes late to what is due that is a pause of its own
BATCH_DELAY = 0.15  # s that a change waits for others that come together with it
PROPOSER_STAGGER = 0.4  # s that each later member waits longer until it proposes in the first one's place
SEEK_INTERVAL = 0.4  # s between two calls of a relay that is in no view, or whose lease is over
CALL_TIMEOUT = 0.5  # s that a call may take
CANDIDATE_TTL = 3.0  # s for which another relay's word that it is in no view counts
LIVE_VIEW_TTL = 2.0  # s for which another relay's word that it is in a live view keeps this one from founding
FOUNDING_RETRY = 0.15  # s until those that have not voted are asked again
FOUNDING_TIMEOUT = 1.5  # s until the founding is given up
FOUNDING_VOTE_TTL = 2 * FOUNDING_TIMEOUT  # s for which a relay that would begin one line begins no other
JOIN_REQUEST_TTL = 3.0  # s for which a wish to enter counts; it is said again meanwhile
REJOIN_INTERVAL = 60.0  # s between two entries of one running relay that was taken out in between
GOSSIP_FANOUT, GOSSIP_INTERVAL = 2, 0.04  # members told at once of what is new; s between two such times
# s between two exchanges with a random member, and with a seed that is in no view of ours: less than a
# restarted founder waits, so that it hears of an epoch that lives
SYNC_INTERVAL = 2.5
MAP_SYNC_INTERVAL = 0.5  # s between two exchanges since maps differ
MAX_SENDERS = 2 * MAX_MEMBERS  # whose counts are remembered against repeats
MAX_JOIN_FORWARDS = 3  # members that hear of a wish to enter
MAX_RESTART_NOTICES = 5  # first members of a remembered view that a restarted relay tells of its new life
RESTARTED_TTL = 2.0  # s for which a restarted relay that spoke counts as one that may propose
MAX_DRAWS = 8  # of a random member, until one lives: enough while a majority does
# s between two packets to a random member while a round of heartbeats is not complete
ROUND_GOSSIP_INTERVAL = 0.1


_SHORT = m.Ping | m.Ack | m.Nack | m.PingFor | m.Accepted | m.Refused | m.Prepare | m.Leaving


class MemberState(Enum):
    """Where this relay stands."""

    OUTSIDE = "outside"
    RECOVERING = "recalled"  # restarted: it remembers a view that has its last life, and only decides with it
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
    within: float = CALL_TIMEOUT


@dataclass(slots=True, frozen=True)
class Event:
    """Something that operators and tests want to know."""

    name: str
    values: dict[str, Any]


class Node:
    """One relay. After each call of it send `datagrams`, make `calls`, tell `events`; wake it at `due`."""

    def __init__(
        self, plan: Plan, random: Random, now: float, unix_ms: Callable[[], float],
        durable_state: m.DurableState | None = None,
    ) -> None:  # fmt: skip
        self.plan, self.random, self.unix_ms = plan, random, unix_ms
        self.started = now
        self.process = random.getrandbits(62) | 1
        self.state = MemberState.OUTSIDE
        self.me = self._new_life()
        self.view: View | None = None
        self.detector = Detector(self.me, random, now)
        self.agreement: Agreement | None = None
        self.lease: Lease | None = None
        self.map = SharedMap(plan.name)
        self.last_epoch, self.last_seq = 0, 0  # that this relay was last in, and its last view that it knew
        self.latest_view: View | None = None  # that last view, while this relay stands in none
        self.last_heartbeat = -math.inf  # when it last gave a heartbeat that may hold somebody's lease
        # views before this one whose leases may still hold
        self.prior_views: list[tuple[View | None, float]] = []
        self.live = False
        self.lost_at = now  # when the lease was last seen to be over
        self.join_requests: dict[str, tuple[Peer, float]] = {}  # who wants to enter, until when that counts
        self.leaving: set[str] = set()
        self.change_wanted_since = math.inf  # since when there is something to change
        self.reported_views: dict[str, ViewId] = {}  # the view that each member last said it stands at
        self.readmissions: dict[str, tuple[int, float]] = {}  # processes that were let in again: which, when
        self.ended_members: set[str] = set()  # members whose life is over for sure
        self.left_instances: dict[int, None] = {}  # lives that have left by their own word
        # Lives whose process is gone: it refuses calls, or another answers.
        self.dead_instances: dict[int, None] = {}
        # Outside, and while no lease holds.
        self.next_seek_at = now + random.random() * SEEK_INTERVAL / 2
        self.seek_targets: list[Address] = []  # to be asked next, last first
        self.hello_call: int | None = None  # the call to a member that spoke to this life
        # relays in no view: founder, up since, when
        self.candidates: dict[str, tuple[Peer, bool, float, float]] = {}
        self.live_view_heard_at = -math.inf  # when a relay in a live view was last heard of
        self.founding: Founding | None = None
        self.founding_vote: tuple[int, float] | None = None  # for which line this relay last was, and when
        self.known_addresses: dict[str, Address] = {}  # where members of the last view were
        self.restarted_heard_at: dict[str, float] = {}  # when a later life of a member was last heard
        # Packets.
        self.packet_count = 0
        self.replay_windows: dict[tuple[str, int], Window] = {}
        self.peer_versions: dict[str, int] = {}
        # Lives outside the view: from where, and which.
        self.outside_sources: dict[str, tuple[Address, int]] = {}
        self.outgoing: dict[str, list[m.Message]] = {}
        self.last_gossip_at = -math.inf
        self.next_round_gossip_at = now
        self.next_sync_at = now + SYNC_INTERVAL * random.random()
        self.last_map_sync_at = -math.inf  # when a map that differs was last asked for
        self.sync_call: int | None = None  # the call that brings a newer view
        self.last_call = 0
        self.open_calls: dict[int, tuple[m.Request, str, int]] = {}  # calls that are out
        self.datagrams: list[tuple[Address, m.Packet]] = []
        self.calls: list[Call] = []
        self.events: list[Event] = []
        self.dropped: dict[str, int] = dict.fromkeys(("repeated", "for another", "stranger"), 0)
        self.durable_state = durable_state  # to be kept before anything of the same step is sent
        self._due = now
        if durable_state is not None and plan.name in durable_state.view.places:
            self._recover(durable_state, now)

    def _recover(self, durable_state: m.DurableState, now: float) -> None:
        """Go on as the acceptor that this relay was; its life in that view is over, and it enters anew."""
        self.state, self.view = MemberState.RECOVERING, durable_state.view
        self.prior_views = [(None, now)]  # whose leases under earlier views may hold, it has forgotten
        self.last_epoch, self.last_seq = durable_state.view.epoch, durable_state.view.seq
        self.lease = None
        self.agreement = Agreement.restore(durable_state, self.plan.name, self.random)
        self.detector.watch(durable_state.view.members, now)
        self.known_addresses = {p.name: (p.host, p.port) for p in durable_state.view.members}
        self.ended_members.add(self.plan.name)
        self.join_requests[self.plan.name] = self.me, math.inf
        self._emit(events.FLEET_RECALLED, view=str(durable_state.view.id))

    # Two processes of one relay.

    def export_state(self) -> m.HandoverState:
        """All that makes this relay the member that it is; this process says nothing more as it."""
        self._update_durable_state()
        return m.HandoverState(
            self.process, self.me, self.state.value, self.started,
            None if self.view is None else self.durable_state,
            self.latest_view, self.last_epoch, self.last_seq,
            None if self.lease is None else self.lease.export_state(),
            self.last_heartbeat, tuple(self.prior_views),
            self.live, self.detector.incarnation, self.packet_count, self._entries(), self.map.clock.last,
            tuple((name, instance, w.newest) for (name, instance), w in self.replay_windows.items()),
            tuple((name, process, at) for name, (process, at) in self.readmissions.items()),
            tuple(self.left_instances),
            tuple(self.reported_views.items()), tuple(self.ended_members), tuple(self.leaving),
        )  # fmt: skip

    def import_state(self, handover: m.HandoverState, now: float) -> None:
        """Go on as the member that the process before this one was, on the same machine and clock."""
        self.process, self.started, self.packet_count = (
            handover.process,
            handover.started,
            handover.packet_count,
        )
        self.me = self.detector.me = handover.me
        self.detector.incarnation = handover.incarnation
        self.state = MemberState(handover.state)
        self.latest_view, self.last_epoch, self.last_seq = (
            handover.latest_view,
            handover.last_epoch,
            handover.last_seq,
        )
        self.map.merge(handover.entries, self.unix_ms(), self._view_size())
        self.map.clock.seen(handover.clock)
        self.last_heartbeat, self.prior_views, self.live = (
            handover.last_heartbeat,
            list(handover.prior_views),
            handover.live,
        )
        self.replay_windows = {
            (name, instance): Window(newest) for name, instance, newest in handover.replay_windows
        }
        self.readmissions = {name: (process, at) for name, process, at in handover.readmissions}
        self.left_instances, self.reported_views = (
            dict.fromkeys(handover.left_instances),
            dict(handover.reported_views),
        )
        self.ended_members, self.leaving = set(handover.ended_members), set(handover.leaving)
        self.durable_state, held = handover.durable_state, handover.durable_state
        if held is None:
            return
        self.view, names = held.view, held.view.places
        self.agreement = Agreement.restore(held, self.plan.name, self.random)
        self.detector.watch(held.view.members, now)
        self.known_addresses = {p.name: (p.host, p.port) for p in held.view.members}
        if handover.lease is not None:
            self.lease = Lease(len(names), names[self.plan.name], self.random)
            self.lease.import_state(handover.lease)
        if self.state is MemberState.RECOVERING:
            self.join_requests[self.plan.name] = self.me, math.inf
        self._emit(
            events.FLEET_HANDED, view=self._view_text(), lease=round(max(0.0, self._lease_left(now)), 3)
        )

    def _lease_left(self, now: float) -> float:
        return 0.0 if self.lease is None else self.lease.expires_at - now

    def _new_life(self) -> Peer:
        p = self.plan
        return Peer(p.name, self.random.getrandbits(62) | 1, p.host, p.port, p.zone, self.process)

    # What the rest of the program asks.

    def may_act(self, now: float) -> bool:
        """Whether this relay holds a lease in the view that it stands at, at this moment."""
        return self.state is MemberState.MEMBER and self.lease is not None and self.lease.is_valid(now)

    def owns(self, key: str, now: float) -> bool:
        """Whether a key is this relay's alone at this moment.

        Not before the leases of all that may have owned it under earlier views are over.
        """
        if self.view is None or not self.may_act(now) or self.view.owner(key) != self.plan.name:
            return False
        self._drop_expired_leases(now)
        return all(
            before is not None and before.owner(key) == self.plan.name for before, _ in self.prior_views
        )

    def prior_leases_expired(self, now: float) -> bool:
        """Whether no lease under an earlier view can still hold."""
        self._drop_expired_leases(now)
        return not self.prior_views

    def _drop_expired_leases(self, now: float) -> None:
        self.prior_views = [
            (before, at)
            for before, at in self.prior_views
            if now < at + LEASE_EXPIRY and not self._all_moved_on(before)
        ]

    def _all_moved_on(self, before: View | None) -> bool:
        """Whether each member of an earlier view stands at a later one now, has left, or is no more."""
        if before is None or self.view is None:
            return False
        for peer in before.members:
            if peer.name == self.plan.name:
                continue
            reached = self.reported_views.get(peer.name)
            gone_on = self.view.has(peer) and reached is not None and reached > before.id
            if (
                not gone_on
                and peer.instance not in self.left_instances
                and peer.instance not in self.dead_instances
            ):
                return False
        return True

    def is_certainly_dead(self, name: str, life: int, now: float) -> bool:
        """Whether a relay's life can act no more: its process is gone, or it is out and its lease is over."""
        if life in self.dead_instances or life in self.left_instances:
            return True
        known = None if self.view is None else self.view.peer(name)
        return (
            self.view is not None
            and (known is None or known.instance != life)
            and self.prior_leases_expired(now)
        )

    def active_relays(self) -> int | None:
        """How many relays share the servers, as far as is known; none: this relay stands in no view.

        Without a lease nobody says who is dead and who is only cut off. Those that are heard count then, and
        at least half of the view: so the two sides of a partition take twice the whole at the most.
        """
        if self.view is None or self.state is not MemberState.MEMBER:
            return None
        size = len(self.view.members)
        return size if self.live else max(self.detector.living, (size + 1) // 2)

    def put(self, key: str, value: float | None, now: float) -> bool:
        """Set a value that all relays are to know; False where the map is full."""
        took = self.map.put(key, value, self.unix_ms(), self._view_size())
        if took:
            self._gossip(now)
            self._flush_packets(now)
        return took

    def leave(self, now: float) -> None:
        """Go: the others need not find out."""
        if self.state is MemberState.MEMBER and self.view is not None:
            for peer in self.view.members:
                if peer.name != self.plan.name:
                    self._queue_message(peer.name, m.Leaving())
            self._flush_packets(now)
        self.state, self.lease = MemberState.LEFT, None
        self._emit(events.FLEET_LEFT)

    def force(self, now: float) -> str:
        """Begin a line with all that are reached, though no majority of the view is; why not, or nothing."""
        if self.state not in (MemberState.MEMBER, MemberState.RECOVERING) or self.view is None:
            return "this relay is in no view"
        reached = [
            p for p in self.view.members if p.name not in self.ended_members and self.detector.alive(p.name)
        ]
        if self.may_act(now) or len(reached) >= self.view.majority:
            return f"a majority is reached: {len(reached)} of {len(self.view.members)}"
        self._begin_epoch(reached, frozenset(p.name for p in reached), len(reached), now, forced=True)
        self._flush_packets(now)
        return ""

    # Time.

    @property
    def due(self) -> float:
        """When to wake this node next."""
        return self._due

    def wake(self, now: float) -> None:
        """Do what is due."""
        if self.state is MemberState.LEFT:
            self._due = math.inf
            return
        self._detect_pause(now)
        was = self.live
        if self.state in (MemberState.MEMBER, MemberState.RECOVERING):
            self._wake_member(now)
        if not self.may_act(now):
            if was:
                self.live, self.lost_at = False, now
                self._emit(events.FLEET_STALE, view=self._view_text())
            if now >= self.next_seek_at:
                self.next_seek_at = now + SEEK_INTERVAL * self.random.uniform(0.7, 1.3)
                self._seek(now)
        self._wake_founding(now)
        self._flush_packets(now)

    def _detect_pause(self, now: float) -> None:
        """Guards against a relay that was stopped and takes its own pause for the death of all others."""
        if now > self._due + PAUSE_THRESHOLD:
            self._emit(events.FLEET_PAUSED, seconds=round(now - self._due, 3))
            self.detector.resume_after_pause(now)
            self._due = now

    def _wake_member(self, now: float) -> None:
        assert self.view is not None and self.agreement is not None
        self.detector.wake(now)
        self.agreement.wake(now)
        self._propose(now)
        self._take_decision(now)
        if self.lease is None or self.view is None or self.state is not MemberState.MEMBER:
            return
        self._heartbeat(now)
        if self.lease.number and not self.lease.complete and now >= self.next_round_gossip_at:
            self.next_round_gossip_at = now + ROUND_GOSSIP_INTERVAL * self.random.uniform(0.7, 1.3)
            self._send_to_some(1)
        if now >= self.next_sync_at:
            self.next_sync_at = now + SYNC_INTERVAL * self.random.uniform(0.7, 1.3)
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
        first = all(
            p.name == self.plan.name or not self.detector.alive(p.name) for p in self._members_before_me()
        )
        lease.wake(now, first)
        if lease.joins:
            self.last_heartbeat = max(self.last_heartbeat, *lease.joins.values())
        if lease.updated:
            lease.updated = False
            self._gossip(now)
        if not self.live and lease.is_valid(now):
            self.live = True
            self._emit(events.FLEET_LIVE, view=self._view_text())

    def _members_before_me(self) -> Iterable[Peer]:
        assert self.view is not None
        return self.view.members[: self.view.places[self.plan.name]]

    def _set_due(self, now: float) -> None:
        dues = [math.inf]
        if self.agreement is not None:
            dues += [self.detector.due, self.agreement.due]
            if self.change_wanted_since < math.inf:
                dues.append(now + BATCH_DELAY / 2)
        if self.lease is not None:
            dues += [self.lease.due, self.next_sync_at]
            if self.lease.number and not self.lease.complete:
                dues.append(self.next_round_gossip_at)
            if self.live:
                dues.append(self.lease.expires_at)
        if not self.live and self.state is not MemberState.LEFT:
            dues.append(self.next_seek_at)
        if self.founding is not None:
            dues.append(self.founding.asked + FOUNDING_RETRY)
        self._due = max(now + 0.001, min(dues))

    # Agreement.

    def _wanted_change(self, now: float) -> Change:
        """What the next view is to change, as far as this relay knows."""
        view = self.view
        assert view is not None
        dead = [view.places[n] for n in self.detector.dead() if n in view.places and n not in self.leaving]
        counted = {*self.detector.dead(), *self.leaving}
        dead += [view.places[n] for n in self.ended_members & view.places.keys() - counted]
        left = [view.places[n] for n in self.leaving if n in view.places]
        self.join_requests = {n: (p, until) for n, (p, until) in self.join_requests.items() if now < until}
        joins = []
        for name, (peer, _) in self.join_requests.items():
            known = view.peer(name)
            if known is not None and known.instance != peer.instance and name not in self.ended_members:
                watched = self.detector.watched.get(name)
                if watched is not None and watched.health is not Health.DEAD and name not in self.leaving:
                    continue  # its earlier life may still be one
            if known is None or known.instance != peer.instance:
                joins.append(peer)
        replaced = {view.places[p.name] for p in joins if p.name in view.places}
        room = MAX_MEMBERS - len(view.members) + len(set(dead) | set(left))
        joins = joins[: max(0, min(MAX_JOINS, room))]
        dead = sorted((set(dead) | replaced) - set(left))
        change = Change(tuple(dead), tuple(sorted(left)), tuple(joins))
        while joins and len(m.encode(change)) > m.MAX_CHANGE:
            del joins[-max(1, len(joins) // 8) :]
            change = Change(tuple(dead), tuple(sorted(left)), tuple(joins))
        return change

    def _propose(self, now: float) -> None:
        agreement, view = self.agreement, self.view
        assert agreement is not None and view is not None
        wanted = self._wanted_change(now)
        if not wanted and not agreement.frozen:
            self.change_wanted_since = math.inf
            return
        if self.change_wanted_since == math.inf:
            self.change_wanted_since = now
        for place in agreement.contradicted:
            self.detector.probe_now(view.members[place].name, now)
        agreement.contradicted = set()
        rank = sum(
            self.detector.alive(p.name)
            or now < self.restarted_heard_at.get(p.name, -math.inf) + RESTARTED_TTL
            for p in self._members_before_me()
        )
        if (
            now >= self.change_wanted_since + BATCH_DELAY + PROPOSER_STAGGER * rank
            and agreement.proposal is None
        ):
            ended = tuple(sorted(view.places[n] for n in self.ended_members & view.places.keys()))
            agreement.propose(wanted or agreement.accepted or wanted, now, ended)

    def _take_decision(self, now: float) -> None:
        agreement = self.agreement
        if agreement is None or self.view is None:
            return
        for place, message in agreement.out:
            self._queue_message(self.view.members[place].name, message)
        agreement.out.clear()
        if agreement.decided is not None:
            self._install(self.view.after(agreement.decided), now, self.view)

    # Views.

    def _install(self, view: View, now: float, before: View | None) -> None:
        """Go over to a view; `before` is the one that it follows, where that is known."""
        old = self.view
        if not view.has(self.me):
            if self._votes_after(view):
                self._recover(m.DurableState(view), now)
            else:
                self._leave_view(view, now)
            return
        same_epoch = old is not None and old.epoch == view.epoch
        peer = view.peer(self.plan.name)
        assert peer is not None
        self.me = self.detector.me = peer
        if old is not None and same_epoch and self.state is not MemberState.OUTSIDE:
            self.prior_views.append((old, now))
            if before is None or before.id != old.id:
                self.prior_views.append((None, now))
        else:
            # A line that begins has no view before it; whoever enters one that runs knows none.
            self.prior_views = [(None, now)] if view.seq > 1 else []
        until = self.lease.expires_at if self.lease is not None and same_epoch else -math.inf
        after = -math.inf if view.epoch == self.last_epoch else self.last_heartbeat + LEASE_EXPIRY
        self.last_epoch, self.last_seq = view.epoch, view.seq
        self._record_readmissions(old, view, now)
        self.view, self.state = view, MemberState.MEMBER
        self.agreement = Agreement(view, self.plan.name, self.random)
        self.lease = Lease(len(view.members), view.places[self.plan.name], self.random, until, after)
        self.detector.watch(view.members, now)
        self.leaving &= view.places.keys()
        stayed = set() if old is None else {p.name for p in old.members if view.has(p)}
        self.ended_members &= stayed
        self.restarted_heard_at = {n: at for n, at in self.restarted_heard_at.items() if n in view.places}
        self.reported_views = {n: at for n, at in self.reported_views.items() if n in view.places}
        self.join_requests = {n: p for n, p in self.join_requests.items() if not view.has(p[0])}
        self.known_addresses = {p.name: (p.host, p.port) for p in view.members}
        self.outside_sources = {n: s for n, s in self.outside_sources.items() if n not in view.places}
        self.change_wanted_since, self.founding, self.candidates = math.inf, None, {}
        living = {(p.name, p.instance) for p in view.members}
        self.replay_windows = {who: w for who, w in self.replay_windows.items() if who in living}
        self.peer_versions = {n: v for n, v in self.peer_versions.items() if n in view.places}
        self._emit(
            events.FLEET_VIEW, view=str(view.id), digest=view.digest, members=[p.name for p in view.members],
            zones=sorted({p.zone for p in view.members}),
        )  # fmt: skip
        if old is not None and same_epoch:  # those that are out: is their process gone, too?
            for peer in old.members:
                if (
                    not view.has(peer)
                    and peer.instance not in self.left_instances
                    and peer.instance not in self.dead_instances
                ):
                    self._call((peer.host, peer.port), m.TcpPing(peer.instance), peer.name)
        for peer in () if before is None else view.members:
            if peer.since == view.seq and peer.name != self.plan.name:
                self._queue_message(peer.name, m.Ping(0, peer.instance))  # it asks for the view at once
        self._heartbeat(now)
        self._gossip(now)

    def _votes_after(self, view: View) -> bool:
        """Whether this relay has a word on what follows a view that has an earlier life of it.

        In views behind those that it has seen it may have promised what it has forgotten since.
        """
        return view.epoch == self.last_epoch and view.seq > self.last_seq and self.plan.name in view.places

    def _record_readmissions(self, old: View | None, view: View, now: float) -> None:
        """Remember which running relays were let in again after they had been taken out."""
        if old is None or old.epoch != view.epoch:
            return
        for peer in old.members:
            if not view.has(peer):
                self.readmissions.setdefault(peer.name, (peer.process, -math.inf))
        for peer in view.members:
            if not old.has(peer) and peer.name in self.readmissions and peer.since == view.seq:
                process, _ = self.readmissions[peer.name]
                self.readmissions[peer.name] = (peer.process, now if process == peer.process else -math.inf)
        for name in list(self.readmissions)[: max(0, len(self.readmissions) - MAX_MEMBERS)]:
            del self.readmissions[name]

    def _leave_view(self, view: View | None, now: float) -> None:
        """Out of the view: whatever this relay held is over, and it asks to enter again."""
        if self.state is MemberState.MEMBER:
            self._emit(events.FLEET_REMOVED, view=None if view is None else str(view.id))
            self.me = self._new_life()
        if view is not None:
            self.known_addresses |= {p.name: (p.host, p.port) for p in view.members}
            if view.epoch == self.last_epoch and view.seq > self.last_seq:
                self.last_seq, self.latest_view = view.seq, view
        self.state, self.view, self.agreement, self.lease = MemberState.OUTSIDE, None, None, None
        self.detector.me = self.me
        self.detector.watch((), now)
        self.detector.incarnation = 0
        self.prior_views, self.join_requests, self.reported_views = [], {}, {}
        self.leaving, self.ended_members, self.founding, self.restarted_heard_at = set(), set(), None, {}
        if self.live:
            self.live, self.lost_at = False, now
            self._emit(events.FLEET_STALE, view=None)
        self.next_seek_at = now

    # Entering and founding.

    def _seek(self, now: float) -> None:
        """Ask a relay where the fleet stands."""
        addresses = {*self.plan.seeds, *self.known_addresses.values()} - {(self.plan.host, self.plan.port)}
        if not addresses:
            self._found_if_due(now)
            return
        # Each in turn: guards against one living seed among dead ones that chance passes by.
        self.seek_targets = [one for one in self.seek_targets if one in addresses]
        if not self.seek_targets:
            self.seek_targets = sorted(addresses)
            self.random.shuffle(self.seek_targets)
        address = self.seek_targets.pop()
        self._call(address, self._hello(now) if self.view is None else self._sync_request(()))
        if self.state is MemberState.RECOVERING and self.view is not None:
            # All at once may have restarted: the first of them brings all back.
            for peer in [p for p in self.view.members if p.name != self.plan.name][:MAX_RESTART_NOTICES]:
                self._queue_message(peer.name, m.JoinFor(self.me))
        self._found_if_due(now)

    def _hello(self, now: float) -> m.Hello:
        return m.Hello(self.me, self._founder, now - self.started)

    @property
    def _founder(self) -> bool:
        return self.plan.name in self.plan.founders and self.last_epoch == 0

    def _found_if_due(self, now: float) -> None:
        """Begin the first line: founders that remember none, and hear of none that lives."""
        if self.founding is not None or now < self.live_view_heard_at + LIVE_VIEW_TTL:
            return
        self.candidates = {n: f for n, f in self.candidates.items() if now < f[3] + CANDIDATE_TTL}
        if self.state is MemberState.OUTSIDE:
            # A relay without a memory has forgotten the heartbeats it gave: it waits until they hold nothing.
            up = {
                n
                for n, (_, founder, since, _) in self.candidates.items()
                if founder and now >= since + LEASE_EXPIRY
            }
            mine = {self.plan.name} if self._founder and now >= self.started + LEASE_EXPIRY else set()
            if not mine or len(up | mine) <= len(self.plan.founders) // 2 or min(up | mine) != self.plan.name:
                return
            peers = [self.me, *(p for p, _, _, _ in self.candidates.values())]
            self._begin_epoch(peers, self.plan.founders, len(self.plan.founders) // 2 + 1, now)

    def _begin_epoch(
        self, peers: Iterable[Peer], needed: frozenset[str], quorum: int, now: float, forced: bool = False
    ) -> None:
        began = int(self.unix_ms())
        if self.view is not None:  # guards against a clock that was set back
            began = max(began, (self.view.epoch >> EPOCH_RANDOM_BITS) + 1)
        epoch = began << EPOCH_RANDOM_BITS | self.random.getrandbits(EPOCH_RANDOM_BITS)
        members = {p.name: msgspec.structs.replace(p, since=1) for p in peers}
        members |= {n: msgspec.structs.replace(f[0], since=1) for n, f in self.candidates.items()}
        members[self.plan.name] = msgspec.structs.replace(self.me, since=1)
        first = sorted(members.values(), key=lambda p: p.name not in needed)[:MAX_MEMBERS]
        view = View(epoch, 1, in_order(first))
        base = None if self.view is None else self.view.id
        self.founding = Founding(view, base, needed, quorum, now, -math.inf, forced)
        if self._would_found_if_due(m.Found(view, base, forced), now):
            self.founding.yes.add(self.plan.name)
            self._wake_founding(now)
        else:
            self.founding = None

    def _would_found_if_due(self, found: m.Found, now: float) -> bool:
        """Whether this relay would begin that line; then no other for a while, and no lease."""
        if (
            self.founding_vote is not None
            and self.founding_vote[0] != found.view.epoch
            and now < self.founding_vote[1] + FOUNDING_VOTE_TTL
        ):
            return False
        if not found.view.has(self.me) or now < self.live_view_heard_at + LIVE_VIEW_TTL or self.may_act(now):
            return False
        if self.state is MemberState.OUTSIDE:
            if self.last_epoch or now < self.started + LEASE_EXPIRY:
                return False
        elif not found.forced or self.view is None or found.base != self.view.id:
            return False
        self.founding_vote = found.view.epoch, now
        if self.lease is not None:
            self.lease.frozen, self.lease.expires_at = True, -math.inf
        if self.agreement is not None:
            self.agreement.promised = 1 << 62  # that view has no successor in its line any more
        return True

    def _wake_founding(self, now: float) -> None:
        f = self.founding
        if f is None:
            return
        if len(f.yes & f.needed) >= f.quorum:
            self.founding = None
            self._emit(events.FLEET_FOUNDED, view=str(f.view.id), forced=f.forced)
            self._install(f.view, now, None)
            for peer in f.view.members:
                if peer.name != self.plan.name:
                    self._queue_message(peer.name, m.Ping(0, peer.instance))  # it asks for the view at once
        elif now >= f.began + FOUNDING_TIMEOUT:
            self.founding = None
        elif now >= f.asked + FOUNDING_RETRY:
            f.asked = now
            for peer in f.view.members:
                if peer.name not in f.yes and peer.name != self.plan.name:
                    self._call((peer.host, peer.port), m.Found(f.view, f.base, f.forced), peer.name)

    def _should_change_epoch(self, epoch: int, size: int, live: bool, now: float) -> bool:
        """Whether to give up the own line for another that was heard of.

        Two lines live at once only where the assumptions of founding are broken; the smaller one yields.
        """
        if self.view is None or epoch == self.view.epoch or not live:
            return False
        if not self.may_act(now):
            return True
        return (size, epoch) > (len(self.view.members), self.view.epoch)

    # Calls over TCP.

    def _call(self, address: Address, request: m.Request, name: str = "", seq: int = 0) -> int:
        self.last_call += 1
        self.open_calls[self.last_call] = request, name, seq
        self.calls.append(Call(self.last_call, address, request))
        return self.last_call

    def _sync(self, address: Address) -> int:
        return self._call(address, self._sync_request(self._entries()))

    def _sync_request(self, entries: tuple[m.Entry, ...]) -> m.Sync:
        view = None if self.view is None else self.view.id
        return m.Sync(self.me, view, self._view_size(), self.live, entries)

    def _entries(self) -> tuple[m.Entry, ...]:
        return tuple(self.map.entries.values())

    def handle_request(self, request: m.Request, now: float) -> m.Answer | None:
        """What to say to a request that came over TCP."""
        if self.state is MemberState.LEFT:
            return None
        answer: m.Answer
        match request:
            case m.TcpPing():
                answer = m.Alive(self.me.instance)
            case m.Sync(peer=peer, view=view, live=live, entries=entries):
                self._merge(entries, now)
                if live and (self.view is None or view is None or view.epoch != self.view.epoch):
                    self.live_view_heard_at = now
                    self.known_addresses[peer.name] = (peer.host, peer.port)
                    if view is not None and self._should_change_epoch(view.epoch, request.size, live, now):
                        self._leave_view(None, now)
                # Who was taken out may be the only one left that knows what was decided.
                answer = m.State(self.view or self.latest_view, self.may_act(now), self._entries())
            case m.Hello():
                answer = self._answer_hello(request, now)
            case m.Found():
                answer = m.FoundVote(request.view.epoch, self._would_found_if_due(request, now))
        self._flush_packets(now)
        return answer

    def _answer_hello(self, hello: m.Hello, now: float) -> m.Answer:
        peer = hello.peer
        if self.view is None:
            if peer.name != self.plan.name:
                self._add_candidate(peer, hello.founder, now - hello.up, now)
            return m.Fresh(self.me, self._founder, now - self.started)
        known = self.view.peer(peer.name)
        if known is not None and known.instance == peer.instance:
            return m.State(self.view, self.may_act(now), self._entries())
        if peer.name == self.plan.name:
            return m.Refusal("name")
        if known is not None and peer.name not in self.ended_members:
            if (known.host, known.port) == (peer.host, peer.port):
                self._queue_message(peer.name, m.Ping(0))  # whoever is there now says which life it is
            if self.detector.alive(peer.name):
                return m.Refusal("name")
        process, let_in = self.readmissions.get(peer.name, (0, -math.inf))
        if process == peer.process and now < let_in + REJOIN_INTERVAL:
            return m.Refusal("held")
        if known is None and len(self.view.members) >= MAX_MEMBERS:
            return m.Refusal("full")
        self._add_join_request(peer, now)
        live = self.may_act(now)
        if live:
            asked = [p.name for p in self.view.members if self.detector.alive(p.name)][:MAX_JOIN_FORWARDS]
            for name in asked:
                if name != self.plan.name:
                    self._queue_message(name, m.JoinFor(peer))
        else:
            self._add_candidate(peer, hello.founder, now - hello.up, now)
        if known is not None:  # it may remember that line, and be needed to decide what follows
            return m.State(self.view, live, self._entries())
        return m.Refusal("pending" if live else "stale")

    def _add_candidate(self, peer: Peer, founder: bool, since: float, now: float) -> None:
        """A relay that is in no view, and since when it is up by this relay's clock."""
        self.candidates[peer.name] = peer, founder, since, now
        while len(self.candidates) > MAX_MEMBERS:
            del self.candidates[next(iter(self.candidates))]

    def _add_join_request(self, peer: Peer, now: float) -> None:
        if peer.name in self.join_requests or len(self.join_requests) < MAX_MEMBERS:
            self.join_requests[peer.name] = peer, now + JOIN_REQUEST_TTL
            self._due = min(self._due, now)

    def handle_answer(self, number: int, answer: m.Answer | None, now: float, refused: bool = False) -> None:
        """The answer to a call, or that there was none; `refused`: nobody listens there."""
        request, name, seq = self.open_calls.pop(number, (None, "", 0))
        if number == self.sync_call:
            self.sync_call = None
        if number == self.hello_call:
            self.hello_call = None
        if request is None or self.state is MemberState.LEFT:
            return
        match request, answer:
            case m.TcpPing(instance=life), m.Alive(instance=instance):
                if instance != life:
                    self.confirm_dead(name, life, now)
                elif name in self.detector.watched:
                    self.detector.answered_over_tcp(seq)
            case m.TcpPing(instance=life), None if refused:
                self.confirm_dead(name, life, now)
            case _, m.State(view=view, live=live, entries=entries):
                self._merge(entries, now)
                if view is not None:
                    self._learn_view(view, live, now)
            case m.Found(), m.FoundVote(epoch=epoch, yes=True):
                if self.founding is not None and epoch == self.founding.view.epoch:
                    self.founding.yes.add(name)
                    self._wake_founding(now)
            case m.Hello(), m.Fresh(peer=peer, founder=founder, up=up):
                self._add_candidate(peer, founder, now - up, now)
                self._found_if_due(now)
            case m.Hello(), m.Refusal(why=why):
                if why == "pending":
                    self.live_view_heard_at = now
                    self.next_seek_at = min(self.next_seek_at, now + SEEK_INTERVAL / 2)
                else:
                    self._emit(events.FLEET_REFUSED, why=why)
        self._flush_packets(now)

    def confirm_dead(self, name: str, life: int, now: float) -> None:
        """A life's process is gone for sure: its address refuses calls, or another life answers there.

        An address belongs to one process at a time, and a process that is replaced hands its sockets over.
        """
        proved = life in self.dead_instances
        self.dead_instances[life] = None
        while len(self.dead_instances) > MAX_MEMBERS:
            del self.dead_instances[next(iter(self.dead_instances))]
        known = None if self.view is None else self.view.peer(name)
        if known is not None and known.instance == life and name != self.plan.name and not proved:
            self._end_member(name, now)
            self.detector.confirm_dead(name, now, proved=True)

    def _learn_view(self, view: View, live: bool, now: float) -> None:
        """A view that another relay stands at."""
        if live:
            self.live_view_heard_at = now
        mine = self.view
        if mine is None:
            self.known_addresses |= {p.name: (p.host, p.port) for p in view.members}
            if view.has(self.me) or self._votes_after(view):
                self._install(view, now, None)
        elif view.epoch == mine.epoch:
            if view.seq > mine.seq:
                self._install(view, now, None)
        elif self.founding_vote is not None and self.founding_vote[0] == view.epoch and view.has(self.me):
            self._install(view, now, None)  # the line that this relay agreed to begin
        elif self._should_change_epoch(view.epoch, len(view.members), live, now):
            self._leave_view(view, now)

    def _merge(self, entries: Iterable[m.Entry], now: float) -> None:
        if self.map.merge(entries, self.unix_ms(), self._view_size()):
            self._gossip(now)

    # Packets.

    def receive(self, packet: m.Packet, source: Address, now: float) -> None:
        """Take in a packet whose seal was sound."""
        if self.state is MemberState.LEFT:
            return
        self._detect_pause(now)
        if packet.to != self.plan.name or packet.to_instance not in (0, self.me.instance):
            self._answer_for_another(packet, source, now)
            return
        if packet.name == self.plan.name:
            self.dropped["stranger"] += 1
            return
        member = None if self.view is None else self.view.peer(packet.name)
        known = member is not None and member.instance == packet.instance
        window = self.replay_windows.get((packet.name, packet.instance))
        if window is None:
            if len(self.replay_windows) >= MAX_SENDERS:
                self.dropped["stranger"] += 1
                return
            window = self.replay_windows[packet.name, packet.instance] = Window()
        if not window.take(packet.count):
            self.dropped["repeated"] += 1
            return
        if not known:
            self._record_outside_source(packet, source)
            self._call_back(packet, source, now)
        self.peer_versions[packet.name] = packet.newest
        self.map.merge(packet.news, self.unix_ms(), self._view_size())
        if known:
            self._from_member(packet, now)
        for message in packet.messages:
            self._message(packet, known, message, now)
        self._take_decision(now)
        self._heartbeat(now)
        self._flush_packets(now)

    def _answer_for_another(self, packet: m.Packet, source: Address, now: float) -> None:
        """A packet for an earlier life of this relay: a ping is told which life is here now."""
        self.dropped["for another"] += 1
        if packet.to != self.plan.name:
            return
        self._record_outside_source(packet, source)
        for message in packet.messages:
            if isinstance(message, m.Ping):
                self._queue_message(packet.name, m.Ack(message.seq, self.me.instance))
        self._flush_packets(now)

    def _record_outside_source(self, packet: m.Packet, source: Address) -> None:
        """Somebody who is no member spoke: an answer goes to just that life, where it came from."""
        self.outside_sources.pop(packet.name, None)
        self.outside_sources[packet.name] = source, packet.instance
        while len(self.outside_sources) > MAX_MEMBERS:
            del self.outside_sources[next(iter(self.outside_sources))]

    def _call_back(self, packet: m.Packet, source: Address, now: float) -> None:
        """A member speaks to this life, which is in no view: it has been let in, and asks for that view."""
        if self.hello_call is not None or packet.view is None or not packet.to_instance:
            return
        if self.view is None:
            self.hello_call = self._call(source, self._hello(now))
        elif self.founding_vote is not None and packet.view.epoch == self.founding_vote[0] != self.view.epoch:
            self.hello_call = self._call(source, self._sync_request(()))

    def _from_member(self, packet: m.Packet, now: float) -> None:
        view, detector = self.view, self.detector
        assert view is not None
        detector.record_heard(packet.name, packet.instance, packet.incarnation, now)
        for rumor in packet.rumors:
            detector.rumor(rumor, now)
        for name, life in detector.death_proofs:
            self.confirm_dead(name, life, now)
        detector.death_proofs.clear()
        if packet.view is not None and packet.view.epoch == view.epoch:
            self.reported_views[packet.name] = max(
                packet.view, self.reported_views.get(packet.name, packet.view)
            )
            if packet.view.seq > view.seq:
                self._catch_up(packet.name)
            if packet.view.seq == view.seq and packet.round is not None and self.lease is not None:
                if self.agreement is not None and self.agreement.frozen:
                    self.lease.frozen = True
                self.lease.receive(packet.round, now)
        elif packet.view is not None and self._should_change_epoch(
            packet.view.epoch, packet.size, packet.live, now
        ):
            self._catch_up(packet.name)
        if packet.map != self.map.digest and now >= self.last_map_sync_at + MAP_SYNC_INTERVAL:
            self.last_map_sync_at = now
            self._catch_up(packet.name)

    def _catch_up(self, name: str) -> None:
        """Ask a member for its view and its map, once at a time."""
        if self.sync_call is None and (address := self._address(name)) is not None:
            self.sync_call = self._sync(address)

    def _message(self, packet: m.Packet, known: bool, message: m.Message, now: float) -> None:
        name, detector = packet.name, self.detector
        match message:
            case m.Ping():
                detector.ping(name, message)
            case m.Ack():
                member = detector.watched.get(name)
                if member is not None and message.instance not in (0, member.peer.instance):
                    if any(p.seq == message.seq for p in detector.probes):  # sent since: no old packet
                        self.confirm_dead(name, member.peer.instance, now)
                    else:
                        self._end_member(name, now)
                else:
                    detector.ack(name, message, now)
            case m.PingFor() if known:
                detector.ping_for(name, message, now)
            case m.Nack() if known:
                detector.nack(message)
            case m.JoinFor(peer=peer) if known:
                self._add_join_request(peer, now)
            case m.JoinFor(peer=peer) if peer.name == name and self.view and name in self.view.places:
                # Guards against an old packet: what it says of its life is only a reason to ask.
                self._add_join_request(peer, now)
                self.restarted_heard_at[name] = now
                if name not in self.ended_members:
                    self._queue_message(name, m.Ping(0))
            case m.Leaving() if known:
                self.leaving.add(name)
                self.left_instances[packet.instance] = None
                while len(self.left_instances) > MAX_MEMBERS:
                    del self.left_instances[next(iter(self.left_instances))]
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
                    lives = {
                        n for n, p in enumerate(names) if p not in self.ended_members and detector.alive(p)
                    }
                    self.agreement.receive(base.places[name], message, now, lives)
                    self._take_decision(now)

    def _end_member(self, name: str, now: float) -> None:
        """A member's life is over for sure."""
        self.ended_members.add(name)
        self.detector.confirm_dead(name, now)
        self._due = min(self._due, now)

    def _queue_message(self, name: str, message: m.Message) -> None:
        self.outgoing.setdefault(name, []).append(message)

    def _gossip(self, now: float) -> None:
        """Tell a few members at once of what is new."""
        if self.view is None or now < self.last_gossip_at + GOSSIP_INTERVAL:
            return
        self.last_gossip_at = now
        self._send_to_some(GOSSIP_FANOUT)

    def _send_to_some(self, count: int) -> None:
        assert self.view is not None
        members = self.view.members
        for _ in range(MAX_DRAWS * count):  # drawing again is cheaper than to list those that live
            name = members[self.random.randrange(len(members))].name
            if name != self.plan.name and name not in self.outgoing and self.detector.alive(name):
                self.outgoing[name] = []
                count -= 1
                if not count:
                    return

    def _address(self, name: str) -> Address | None:
        peer = None if self.view is None else self.view.peer(name)
        if peer is not None:
            return peer.host, peer.port
        return self.outside_sources[name][0] if name in self.outside_sources else None

    def _view_size(self) -> int:
        return 1 if self.view is None else len(self.view.members)

    def _view_text(self) -> str | None:
        return None if self.view is None else str(self.view.id)

    def _emit(self, name: str, **values: Any) -> None:
        self.events.append(Event(name, values))

    def _flush_packets(self, now: float) -> None:
        """Make packets of what is to be said."""
        detector = self.detector
        for name, message in detector.out:
            self._queue_message(name, message)
        detector.out.clear()
        for name, seq in detector.tcp_probes:
            if (address := self._address(name)) is not None:
                self._call(address, m.TcpPing(detector.watched[name].peer.instance), name, seq)
        detector.tcp_probes.clear()
        if detector.changed:
            detector.changed = False
            self._gossip(now)
        self._update_durable_state()
        queue, self.outgoing = self.outgoing, {}
        for name, messages in queue.items():
            member = None if self.view is None else self.view.peer(name)
            address = self._address(name)
            if address is None:
                continue
            # A life that is over is asked by name alone: whoever is there now is to answer.
            meant = 0 if member is None or name in self.ended_members else member.instance
            if any(isinstance(one, m.Ping) and one.instance == 0 for one in messages):
                meant = 0
            elif name in self.outside_sources:
                meant = self.outside_sources[name][1]
            self._packet(name, meant, address, tuple(messages), now)
        self._set_due(now)

    def _update_durable_state(self) -> None:
        """What a restart must not forget, as it is now."""
        if self.agreement is not None and (now := self.agreement.durable_state) != self.durable_state:
            self.durable_state = now

    def _packet(
        self, name: str, meant: int, address: Address, messages: tuple[m.Message, ...], now: float
    ) -> None:
        self.packet_count += 1
        view, version = self.view, min(self.plan.version, self.peer_versions.get(name, m.OLDEST))
        # A long change leaves no room for what others are told, too.
        bulky = (
            any(not isinstance(one, _SHORT) for one in messages)
            and len(m.encode(messages)) > m.BULKY_MESSAGES
        )
        packet = m.Packet(
            version, self.plan.version, self.plan.name, self.me.instance, name, meant, self.packet_count,
            None if view is None else view.id, 0 if view is None else len(view.members), self.may_act(now),
            self.detector.incarnation, None if self.lease is None else self.lease.current_round(),
            self.map.digest,
            () if bulky else self.detector.pick_rumors(name), () if bulky else self.map.pick_news(), messages,
            self.plan.zone if version >= 2 else "",
        )  # fmt: skip
        self.datagrams.append((address, packet))
