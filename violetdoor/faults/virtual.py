"""Simulation of a fleet in virtual time: nodes, failing links, and processes that die, stop and restart.

There are no sockets and no real clocks, only one event queue and one random generator, so the same seed gives
the same run. Datagrams and requests use the same links. Requests behave as on TCP: loss only delays them.
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

LAN_DELAY_SECONDS = 0.0004, 0.0012  # range of the one-way delay in a local network
RETRANSMIT_SECONDS = 0.2  # delay that each lost segment adds to a request or response
START_UNIX_MS = 1.8e12  # Unix time (ms) at virtual time 0


@dataclass(slots=True)
class Link:
    """One direction of the link between two hosts."""

    cut: bool = False
    loss: float = 0.0  # fraction of the packets lost
    delay: tuple[float, float] = LAN_DELAY_SECONDS  # range in seconds, drawn for each packet
    repeat: float = 0.0  # fraction of the datagrams that are duplicated


@dataclass(eq=False)
class Host:
    """The simulated host of one relay: its process, if one runs, and its clocks."""

    name: str
    address: Address
    node: Node | None = None
    generation: int = 0  # number of processes started here; events of earlier ones are ignored
    stopped: bool = False  # as by SIGSTOP
    stored_state: DurableState | None = None  # durable state of the last process
    queued_packets: list[tuple[Any, ...]] = field(default_factory=list)  # received while it is stopped
    clock_rate: float = 1.0  # of its monotonic clock, relative to virtual time
    wall_clock_offset: float = 0.0  # seconds that its wall clock is ahead of virtual time
    wakes_at: float = float("inf")
    sent = 0
    received = 0


class World:
    """All hosts, their links and virtual time."""

    def __init__(self, seed: int, encode: bool = False, durable: bool = True) -> None:
        self.durable = durable  # whether a restarted process gets the durable state of the one before it
        self.random, self.now = Random(seed), 0.0
        self.hosts: dict[str, Host] = {}
        self.by_address: dict[Address, Host] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link()
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()
        self.events: list[tuple[float, str, str, dict[str, Any]]] = []  # virtual time, host, name, values
        self.encode = encode  # encode each datagram to count its bytes
        self.sent_bytes: Counter[str] = Counter()
        self.longest_datagram = 0  # bytes, with the authentication tag
        self.after_step: Callable[[], None] | None = None  # called after each event

    # Hosts.

    def start(self, name: str, founders: Iterable[str] = (), seeds: Iterable[str] = (), zone: str = "",
              version: int = m.PROTOCOL_VERSION) -> Host:  # fmt: skip
        """Start a process at a host."""
        host = self.host(name)
        seed_addresses = tuple(self.host(seed).address for seed in seeds)
        config = NodeConfig(name, *host.address, zone, seed_addresses, frozenset(founders), version)
        host.generation += 1
        host.stopped, host.queued_packets = False, []
        host.node = Node(config, Random(self.random.getrandbits(64)), self.clock(host),
                         lambda: self.wall_clock_ms(host),
                         host.stored_state if self.durable else None)  # fmt: skip
        self.carry_out_actions(host)
        return host

    def host(self, name: str) -> Host:
        """Return the host of this name; create it on first use."""
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
        """Resume a stopped process; it first receives the datagrams queued at its socket."""
        host = self.hosts[name]
        host.stopped, queued, host.queued_packets = False, host.queued_packets, []
        for delivery in queued[-256:]:  # the socket buffer keeps at most 256 datagrams
            self._schedule(self.now, self._deliver_datagram, *delivery)
        self._schedule(self.now, self._wake_node, host, host.generation)

    def clock(self, host: Host) -> float:
        return 1000.0 + self.now * host.clock_rate

    def wall_clock_ms(self, host: Host) -> float:
        return START_UNIX_MS + (self.now + host.wall_clock_offset) * 1000

    # Links.

    def link(self, source: str, to: str) -> Link:
        return self.links.get((source, to), self.default_link)

    def set_links(self, sources: Iterable[str], to: Iterable[str], both: bool = True, **values: Any) -> None:
        """Set attributes of all links from some hosts to others; `both`: also of those back."""
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

    def _schedule(self, at: float, callback: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.queue, (at, next(self.order), callback, args))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Advance virtual time until a condition holds, at most `seconds`; return whether it holds."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self.queue)
            callback(*args)
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
            self._schedule_wake(host)
            return
        host.wakes_at = float("inf")
        host.node.wake(self.clock(host))
        self.carry_out_actions(host)

    def _schedule_wake(self, host: Host) -> None:
        assert host.node is not None
        at = max(self.now, self.now + (host.node.next_wake_at - self.clock(host)) / host.clock_rate)
        if at < host.wakes_at - 1e-9 or host.wakes_at <= self.now:
            host.wakes_at = at
            if at < float("inf"):
                self._schedule(at, self._wake_node, host, host.generation)

    def carry_out_actions(self, host: Host) -> None:
        node = host.node
        if node is None:
            return
        host.stored_state = node.durable_state
        datagrams, calls, events = node.take_actions()
        self.events += [(self.now, host.name, e.name, e.values) for e in events]
        for address, packet in datagrams:
            self._send_datagram(host, address, packet)
        for call in calls:
            self._send_request(host, call.address, call.number, call.request, call.timeout)
        self._schedule_wake(host)

    def _send_datagram(self, host: Host, address: Address, packet: m.Packet) -> None:
        if self.encode:
            length = len(m.encode(packet)) + TAG_BYTES
            self.sent_bytes[host.name] += length + 28  # 28 bytes of IP and UDP headers
            self.longest_datagram = max(self.longest_datagram, length)
            if length > m.MAX_DATAGRAM_BYTES:  # the endpoint drops it, too
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
            host.queued_packets.append((host, generation, packet, source))
            return
        host.node.receive(packet, source, self.clock(host))
        self.carry_out_actions(host)

    # Requests and responses.

    def _one_way_delay(self, source: str, to: str) -> float | None:
        """Draw the delay of a request or response in seconds; None if the link is unusable."""
        link = self.link(source, to)
        if link.cut or self.link(to, source).cut or link.loss >= 1:
            return None
        delay = 2 * self.random.uniform(*link.delay)  # doubled for the connection setup
        while self.random.random() < link.loss:
            delay += RETRANSMIT_SECONDS
        return delay

    def _send_request(
        self, host: Host, address: Address, number: int, request: m.Request, timeout: float
    ) -> None:
        to = self.by_address.get(address)
        delay = None if to is None else self._one_way_delay(host.name, to.name)
        if to is None or delay is None or to.node is None or to.stopped or delay > timeout:
            refused = to is not None and delay is not None and to.node is None
            at = self.now + ((delay or 0.0) if refused else timeout)
            self._schedule(at, self._deliver_response, host, host.generation, number, None, refused)
            return
        deadline = self.now + timeout
        self._schedule(
            self.now + delay,
            self._deliver_request,
            host,
            host.generation,
            to,
            to.generation,
            number,
            request,
            deadline,
        )

    def _deliver_request(
        self,
        host: Host,
        generation: int,
        to: Host,
        to_generation: int,
        number: int,
        request: m.Request,
        deadline: float,
    ) -> None:
        response, return_delay = None, self._one_way_delay(to.name, host.name)
        if to.generation == to_generation and to.node is not None and not to.stopped:
            response = to.node.handle_request(request, self.clock(to))
            self.carry_out_actions(to)
        if return_delay is None or self.now + return_delay > deadline:
            self._schedule(deadline, self._deliver_response, host, generation, number, None)
        else:
            self._schedule(
                self.now + return_delay, self._deliver_response, host, generation, number, response
            )

    def _deliver_response(
        self, host: Host, generation: int, number: int, response: m.Response | None, refused: bool = False
    ) -> None:
        if host.generation != generation or host.node is None:
            return
        if host.stopped:
            self._schedule(
                self.now + 0.05, self._deliver_response, host, generation, number, response, refused
            )
            return
        host.node.handle_response(number, response, self.clock(host), refused=refused)
        self.carry_out_actions(host)

    # Observations.

    def views(self, names: Iterable[str] | None = None) -> set[str]:
        """Return the distinct views of running nodes, each as its id and digest, or "none"."""
        found = set()
        for name in self.hosts if names is None else names:
            node = self.hosts[name].node
            if node is not None:
                found.add("none" if node.view is None else f"{node.view.id} {node.view.digest}")
        return found

    def settled(self, names: Iterable[str]) -> bool:
        """Return whether these hosts share a view with exactly them as members, and all hold a lease."""
        wanted = sorted(names)
        for name in wanted:
            host = self.hosts[name]
            node = host.node
            if node is None or node.view is None or [p.name for p in node.view.members] != wanted:
                return False
            if not node.may_act(self.clock(host)):
                return False
        return len(self.views(wanted)) == 1
