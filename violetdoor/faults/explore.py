"""Searches over interleavings of the fleet's decisions: the code of service, under hostile schedulers.

`Schedule` plays whole nodes. Each step draws what a network and its machines may do at any moment: a packet
comes at once, late, twice or never; a process lies still, dies, or comes back with what it kept; a clock
runs fast, or is set back. After each step two promises are looked at over all processes, those that lie
still too:

- two nodes that stand at a view of one number stand at the same members;
- a key has one owner at a time.

`Ballots` plays the agreement and the leases of one view alone, where nothing limits the order of messages
but chance, and looks at what those promises rest on:

- one change follows a view;
- a lease under it ends within LEASE_DURATION_SECONDS of the decision.

Assumed, and kept by both: clocks differ in rate by less than `lease.MAX_CLOCK_DRIFT_FRACTION`, and what a
process kept is there when it comes back. `assumed=False` drops the first.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from violetdoor.faults.virtual import Host, World
from violetdoor.fleet import messages as m
from violetdoor.fleet.agreement import Agreement
from violetdoor.fleet.lease import LEASE_DURATION_SECONDS, MAX_CLOCK_DRIFT_FRACTION, Lease
from violetdoor.fleet.view import Address, Peer, View, ViewChange

SECONDS = 25.0  # of one schedule: founding takes 4, a crash, a new view and its lease 4 more
FOUNDING = 4.5  # s at the start without harm, so that there is a fleet to be harmed
QUICKEST, SLOWEST = 0.0002, 2.0  # s that a packet takes; drawn evenly over their logarithm
QUICK = 0.7  # part of the packets that come within 2 ms: without them nothing is ever decided
KEYS = 12  # looked at: with so many each of five members owns some
HARM_EVERY = 0.5  # s between two harms of processes, on average
KEYS_EVERY = 0.002  # s between two looks at owners: leases don't change by less


HARMS = ("stop", "stop", "go on", "kill", "restart", "restart", "cut", "heal", "heal", "step")


@dataclass(slots=True, frozen=True)
class Violation:
    """A promise that a schedule broke."""

    seed: int
    at: float
    invariant: str
    description: str


class Hostile(World):
    """A world whose links take as long as they like."""

    def _send_datagram(self, host: Host, address: Address, packet: m.Packet) -> None:
        to = self.by_address.get(address)
        if to is None:
            return
        link = self.link(host.name, to.name)
        for _ in range(1 + (self.random.random() < link.repeat)):
            if link.cut or self.random.random() < link.loss:
                continue
            slowest = 0.002 if self.random.random() < QUICK else SLOWEST
            delay = math.exp(self.random.uniform(math.log(QUICKEST), math.log(slowest)))
            self._schedule(self.now + delay, self._deliver_datagram, to, to.generation, packet, host.address)


class Schedule:
    """One run of some nodes."""

    def __init__(self, seed: int, bounded_drift: bool = True) -> None:
        self.seed, self.random = seed, Random(f"schedule {seed}")
        self.world = world = Hostile(seed)
        world.after_step = self._look
        self.names = [f"n{n}" for n in range(self.random.choice((3, 3, 4, 5)))]
        self.broken: Violation | None = None
        self.members: dict[str, str] = {}  # digest by number
        self.looked = 0.0
        for name in self.names:
            host = world.host(name)
            host.rate = 1 + self.random.uniform(-MAX_CLOCK_DRIFT_FRACTION, MAX_CLOCK_DRIFT_FRACTION) / 2 * (
                1 if bounded_drift else 20
            )
            world.start(name, self.names, self.names[:3])

    def run(self) -> Violation | None:
        """Play it; the first promise that is broken, if one is."""
        world, random = self.world, self.random
        world.run(FOUNDING, self._over)
        world.default_link.loss, world.default_link.repeat = random.choice((0.0, 0.02, 0.1)), 0.05
        while world.now < SECONDS and self.broken is None:
            world.run(random.expovariate(1 / HARM_EVERY), self._over)
            self._harm()
        return self.broken

    def _over(self) -> bool:
        return self.broken is not None

    def _harm(self) -> None:
        world, random = self.world, self.random
        host = world.hosts[random.choice(self.names)]
        match random.choice(HARMS):
            case "stop" if host.node is not None:
                world.stop(host.name)
            case "go on":
                for one in world.hosts.values():
                    if one.stopped and random.random() < 0.6:
                        world.resume(one.name)
            case "kill":
                world.kill(host.name)
            case "restart":
                for one in [o for o in world.hosts.values() if o.node is None]:
                    world.start(one.name, self.names, self.names[:3])
            case "cut":
                some = random.sample(self.names, random.randint(1, len(self.names) - 1))
                others = [n for n in self.names if n not in some]
                world.set_links(some, others, random.random() < 0.7, cut=True)
            case "heal":
                world.heal()
            case "step":
                host.wall_clock_offset += random.choice((-3600.0, -2.0, 2.0, 3600.0))

    # The promises.

    def _look(self) -> None:
        world = self.world
        for host in world.hosts.values():
            view = None if host.node is None else host.node.view
            if view is not None and self.members.setdefault(str(view.id), view.digest) != view.digest:
                self._break("numbers", f"view {view.id} at {host.name} has other members than before")
        if world.now < self.looked + KEYS_EVERY:
            return
        self.looked = world.now
        for n in range(KEYS):
            owners = list(self._owners(f"k{n}"))
            if len(owners) > 1:
                views = {o: str(node.view.id) for o in owners if (node := world.hosts[o].node) and node.view}
                self._break("owners", f"k{n} has the owners {views}")

    def _owners(self, key: str) -> Iterable[str]:
        for host in self.world.hosts.values():
            # One that lies still may have asked just before, and act on the answer just after it wakes.
            if host.node is not None and host.node.owns(key, self.world.clock(host)):
                yield host.name

    def _break(self, invariant: str, description: str) -> None:
        self.broken = self.broken or Violation(self.seed, round(self.world.now, 4), invariant, description)


STEPS = 400  # of one run of ballots
ADVANCE = 0.2, 0.6, 1.5  # s that pass at once
TWICE = 0.15  # part of the messages that come once more, later
LATE = 0.85  # part of the times that a message to a slow member is passed over
PENDING_MOST = 80  # messages on their way: beyond it the oldest are lost, so that a run goes on


class Ballots:
    """One run of the members of one view that decide what follows it."""

    def __init__(self, seed: int, bounded_drift: bool = True) -> None:
        self.seed, self.random, self.now = seed, Random(f"ballots {seed}"), 0.0
        size = self.random.choice((3, 3, 4, 5))
        peers = tuple(Peer(f"n{n}", n + 1, "", 0) for n in range(size))
        self.view = View(1, 1, peers)
        self.members = [Agreement(self.view, p.name, self.random) for p in peers]
        self.leases: list[Lease | None] = [Lease(size, n, self.random) for n in range(size)]
        self.pending: list[tuple[int, int, m.Message | m.HeartbeatRound]] = []  # to, from, what
        self.decided: tuple[ViewChange, float] | None = None
        self.slow = self.random.choice((None, *range(size)))  # what is sent there is mostly late

    def run(self) -> Violation | None:
        """Play it; the first promise that is broken, if one is."""
        for _ in range(STEPS):
            self._step()
            if (broken := self._look()) is not None:
                return broken
        return None

    def _step(self) -> None:
        random, n = self.random, self.random.randrange(len(self.members))
        match random.choices(("deliver", "heartbeat", "propose", "time", "restart"), (60, 20, 6, 8, 1))[0]:
            case "deliver" if self.pending:
                at = random.randrange(len(self.pending))
                to, source, message = self.pending[at]
                if to == self.slow and random.random() < LATE:
                    return
                if random.random() > TWICE:
                    del self.pending[at]
                self._take(to, source, message)
            case "heartbeat" if (lease := self.leases[n]) is not None:
                lease.frozen = lease.frozen or self.members[n].frozen
                lease.wake(self.now, is_first_alive=True)
                if (round := lease.current_round()) is not None:
                    others = [to for to in range(len(self.members)) if to != n]
                    self.pending.append((random.choice(others), n, round))
            case "propose":
                change = ViewChange(dead=(random.randrange(len(self.members)),))
                self.members[n].propose(change, self.now)
            case "time":
                self.now += random.choice(ADVANCE)
                for one in self.members:
                    one.wake(self.now)
            case "restart":
                state = self.members[n].durable_state
                self.members[n] = Agreement.restore(state, self.view.members[n].name, random)
                self.leases[n] = None  # its life is over; as an acceptor it goes on
        for source, one in enumerate(self.members):
            self.pending += [(to, source, message) for to, message in one.outgoing]
            one.outgoing.clear()
        del self.pending[:-PENDING_MOST]

    def _take(self, to: int, source: int, message: m.Message | m.HeartbeatRound) -> None:
        if isinstance(message, m.HeartbeatRound):
            if (lease := self.leases[to]) is not None:
                lease.frozen = lease.frozen or self.members[to].frozen
                lease.receive(message, self.now)
        elif not isinstance(message, m.Decided):  # others hear of it as late as can be
            self.members[to].receive(source, message, self.now, set())

    def _look(self) -> Violation | None:
        for one in self.members:
            if one.decided_change is not None and self.decided is None:
                self.decided = one.decided_change, self.now
            if (
                one.decided_change is not None
                and self.decided is not None
                and one.decided_change != self.decided[0]
            ):
                return self._broken("one change", f"{one.decided_change} after {self.decided[0]}")
        for n, lease in enumerate(self.leases):
            if (
                lease is not None
                and self.decided is not None
                and lease.expires_at > self.decided[1] + LEASE_DURATION_SECONDS
            ):
                late = lease.expires_at - self.decided[1] - LEASE_DURATION_SECONDS
                return self._broken("lease", f"n{n}'s ends {late:.3f} s too late")
        return None

    def _broken(self, invariant: str, description: str) -> Violation:
        return Violation(self.seed, round(self.now, 4), invariant, description)


RunType = type[Schedule] | type[Ballots]


def search(kind: RunType, seeds: Iterable[int], bounded_drift: bool = True) -> Violation | None:
    """Play runs until one breaks a promise."""
    for seed in seeds:
        if (broken := kind(seed, bounded_drift).run()) is not None:
            return broken
    return None
