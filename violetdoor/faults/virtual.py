"""A fleet in virtual time: nodes, links that fail, processes that die, stop and come back.

No sockets, no clocks: one heap of events, one random generator: the same seed gives the same run.
Datagrams and calls go through the same links; a call is as good as TCP, so loss only delays it.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from violetdoor.fleet import messages as m
from violetdoor.fleet.authentication import TAG_BYTES
from violetdoor.fleet.context import NodeConfig
from violetdoor.fleet.node import Node
from violetdoor.fleet.stored_state import DurableState
from violetdoor.fleet.view import Address

DELAY = 0.0004, 0.0012  # s one way on a site's network
RETRANSMIT = 0.2  # s that a lost segment of a call costs
START_UNIX_MS = 1.8e12  # ms at virtual time 0


@dataclass(slots=True)
class Link:
    """One way from one host to another."""

    cut: bool = False
    loss: float = 0.0
    delay: tuple[float, float] = DELAY
    repeat: float = 0.0  # part of the datagrams that come twice


@dataclass(eq=False)
class Host:
    """One relay's place: its process, if one runs, and its clock."""

    name: str
    address: Address
    node: Node | None = None
    generation: int = 0  # processes that ran here
    stopped: bool = False
    disk: DurableState | None = None  # what the last process kept
    held: list[tuple[Any, ...]] = field(default_factory=list)  # what came while it was stopped
    rate: float = 1.0  # of its monotonic clock
    wall_clock_offset: float = 0.0  # s by which its wall clock is off
    wakes_at: float = float("inf")
    sent = 0
    received = 0


class World:
    """All hosts, their links, and the time."""

    def __init__(self, seed: int, encode: bool = False, durable: bool = True) -> None:
        self.durable = durable  # processes keep what they must not forget
        self.random, self.now = Random(seed), 0.0
        self.hosts: dict[str, Host] = {}
        self.by_address: dict[Address, Host] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link()
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()
        self.events: list[tuple[float, str, str, dict[str, Any]]] = []  # when, at whom, what
        self.encode = encode  # encode each packet, to count its bytes
        self.sent_bytes: Counter[str] = Counter()
        self.longest_datagram = 0  # bytes of a datagram with its seal
        self.after_step: Callable[[], None] | None = None  # called after each step

    # Hosts.

    def start(self, name: str, founders: Iterable[str] = (), seeds: Iterable[str] = (), zone: str = "",
              version: int = m.PROTOCOL_VERSION) -> Host:  # fmt: skip
        """Start a process at this host."""
        host = self.host(name)
        places = tuple(self.host(seed).address for seed in seeds)
        plan = NodeConfig(name, *host.address, zone, places, frozenset(founders), version)
        host.generation += 1
        host.stopped, host.held = False, []
        host.node = Node(plan, Random(self.random.getrandbits(64)), self.clock(host), lambda: self.unix(host),
                         host.disk if self.durable else None)  # fmt: skip
        self.carry_out_actions(host)
        return host

    def host(self, name: str) -> Host:
        """The place of this name, made when it is first spoken of."""
        if name not in self.hosts:
            count = len(self.hosts)
            host = self.hosts[name] = Host(name, (f"10.{count >> 8}.{count & 255}.1", 7946))
            self.by_address[host.address] = host
        return self.hosts[name]

    def kill(self, name: str) -> None:
        self.hosts[name].node = None

    def stop(self, name: str) -> None:
        self.hosts[name].stopped = True

    def resume(self, name: str) -> None:
        """Continue a stopped process: first comes what waited at its sockets."""
        host = self.hosts[name]
        host.stopped, held, host.held = False, host.held, []
        for one in held[-256:]:  # a socket's buffer holds so much
            self._schedule(self.now, self._deliver_datagram, *one)
        self._schedule(self.now, self._wake_node, host, host.generation)

    def clock(self, host: Host) -> float:
        return 1000.0 + self.now * host.rate

    def unix(self, host: Host) -> float:
        return START_UNIX_MS + (self.now + host.wall_clock_offset) * 1000

    # Links.

    def link(self, source: str, to: str) -> Link:
        return self.links.get((source, to), self.default_link)

    def set_links(self, sources: Iterable[str], to: Iterable[str], both: bool = True, **values: Any) -> None:
        """Change all links from some hosts to others."""
        for a in sources:
            for b in to:
                for pair in ((a, b), (b, a)) if both else ((a, b),):
                    link = self.links.setdefault(pair, Link(
                        self.default_link.cut, self.default_link.loss,
                        self.default_link.delay, self.default_link.repeat,
                    ))  # fmt: skip
                    for name, value in values.items():
                        setattr(link, name, value)

    def heal(self) -> None:
        self.links.clear()

    # Time.

    def _schedule(self, at: float, what: Callable[..., None], *values: Any) -> None:
        heapq.heappush(self.queue, (at, next(self.order), what, values))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass; whether the state came that was waited for."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what, values = heapq.heappop(self.queue)
            what(*values)
            if self.after_step is not None:
                self.after_step()
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    def _wake_node(self, host: Host, generation: int) -> None:
        if host.generation != generation or host.node is None or host.stopped:
            return
        if self.clock(host) + 1e-9 < host.node.next_wake_at:
            self._plan_wake(host)
            return
        host.wakes_at = float("inf")
        host.node.wake(self.clock(host))
        self.carry_out_actions(host)

    def _plan_wake(self, host: Host) -> None:
        assert host.node is not None
        at = max(self.now, self.now + (host.node.next_wake_at - self.clock(host)) / host.rate)
        if at < host.wakes_at - 1e-9 or host.wakes_at <= self.now:
            host.wakes_at = at
            if at < float("inf"):
                self._schedule(at, self._wake_node, host, host.generation)

    def carry_out_actions(self, host: Host) -> None:
        node = host.node
        if node is None:
            return
        host.disk = node.durable_state
        datagrams, calls, events = node.take_actions()
        self.events += [(self.now, host.name, e.name, e.values) for e in events]
        for address, packet in datagrams:
            self._send_datagram(host, address, packet)
        for call in calls:
            self._send_request(host, call.address, call.number, call.request, call.timeout)
        self._plan_wake(host)

    def _send_datagram(self, host: Host, address: Address, packet: m.Packet) -> None:
        if self.encode:
            length = len(m.encode(packet)) + TAG_BYTES
            self.sent_bytes[host.name] += length + 28  # and the headers of IP and UDP
            self.longest_datagram = max(self.longest_datagram, length)
            if length > m.MAX_DATAGRAM_BYTES:  # as the endpoint does
                return
        to = self.by_address.get(address)
        if to is None:
            return
        link = self.link(host.name, to.name)
        for _ in range(1 + (self.random.random() < link.repeat)):
            if not link.cut and self.random.random() >= link.loss:
                at = self.now + self.random.uniform(*link.delay)
                self._schedule(at, self._deliver_datagram, to, to.generation, packet, host.address)

    def _deliver_datagram(self, host: Host, generation: int, packet: m.Packet, source: Address) -> None:
        if host.node is None:
            return
        if host.stopped:
            host.held.append((host, generation, packet, source))
            return
        host.node.receive(packet, source, self.clock(host))
        self.carry_out_actions(host)

    # Calls.

    def _way(self, source: str, to: str) -> float | None:
        """How long a call's words take one way, or nothing where they don't come through."""
        link = self.link(source, to)
        if link.cut or self.link(to, source).cut or link.loss >= 1:
            return None
        delay = 2 * self.random.uniform(*link.delay)  # a connection is opened first
        while self.random.random() < link.loss:
            delay += RETRANSMIT
        return delay

    def _send_request(
        self, host: Host, address: Address, number: int, request: m.Request, within: float
    ) -> None:
        to = self.by_address.get(address)
        way = None if to is None else self._way(host.name, to.name)
        if to is None or way is None or to.node is None or to.stopped or way > within:
            refused = to is not None and way is not None and to.node is None
            at = self.now + ((way or 0.0) if refused else within)
            self._schedule(at, self._deliver_response, host, host.generation, number, None, refused)
            return
        until = self.now + within
        self._schedule(
            self.now + way,
            self._deliver_request,
            host,
            host.generation,
            to,
            to.generation,
            number,
            request,
            until,
        )

    def _deliver_request(
        self,
        host: Host,
        generation: int,
        to: Host,
        to_generation: int,
        number: int,
        request: m.Request,
        until: float,
    ) -> None:
        answer, back = None, self._way(to.name, host.name)
        if to.generation == to_generation and to.node is not None and not to.stopped:
            answer = to.node.handle_request(request, self.clock(to))
            self.carry_out_actions(to)
        if back is None or self.now + back > until:
            self._schedule(until, self._deliver_response, host, generation, number, None)
        else:
            self._schedule(self.now + back, self._deliver_response, host, generation, number, answer)

    def _deliver_response(
        self, host: Host, generation: int, number: int, answer: m.Response | None, refused: bool = False
    ) -> None:
        if host.generation != generation or host.node is None:
            return
        if host.stopped:
            self._schedule(self.now + 0.05, self._deliver_response, host, generation, number, answer, refused)
            return
        host.node.handle_response(number, answer, self.clock(host), refused=refused)
        self.carry_out_actions(host)

    # What is seen of it all.

    def views(self, names: Iterable[str] | None = None) -> set[str]:
        """The numbers and digests of the views that running nodes stand at."""
        found = set()
        for name in self.hosts if names is None else names:
            node = self.hosts[name].node
            if node is not None:
                found.add("none" if node.view is None else f"{node.view.id} {node.view.digest}")
        return found

    def settled(self, names: Iterable[str]) -> bool:
        """Whether just these are members of one view, and all hold a lease."""
        wanted = sorted(names)
        for name in wanted:
            host = self.hosts[name]
            node = host.node
            if node is None or node.view is None or [p.name for p in node.view.members] != wanted:
                return False
            if not node.may_act(self.clock(host)):
                return False
        return len(self.views(wanted)) == 1
