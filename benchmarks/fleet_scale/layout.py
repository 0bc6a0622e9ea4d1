"""The control machines, zones and relays of a fleet and their addresses, derived from its `Size`."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from benchmarks.fleet_scale.protocol import Address, StubRelay

GROUP_PORT, SESSION_PORT, CONSOLE_PORT, CLIENT_PORT = 7946, 7950, 8500, 8081  # on the run's own addresses
MIN_GROUP_SIZE, MAX_GROUP_SIZE = 3, 7  # control machines per region
MAX_MACHINES = 200  # limited by the addresses of one run
RACK_RELAYS = 40  # per rack, unless RACK_ZONE_DIVISOR allows fewer
RACK_ZONE_DIVISOR = 4  # a rack holds at most a quarter of its zone's relays
REAL_PORT_BASE = 20_000  # real relays use the ports after this one, on one shared address


class LayoutError(Exception):
    """No fleet of this size can be laid out; the message says why."""


class Network:
    """A /24 block of loopback addresses, reserved for this run until `close` by a bound UDP socket."""

    def __init__(self) -> None:
        for _ in range(1000):
            self.prefix = f"127.{Random().randrange(64, 192)}.{Random().randrange(256)}"
            self._guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._guard.bind((self.host(254), GROUP_PORT))
                return
            except OSError:
                self._guard.close()
        raise LayoutError("no free block of loopback addresses found")

    def host(self, number: int) -> str:
        """Return the address with this last byte."""
        return f"{self.prefix}.{number}"

    def close(self) -> None:
        """Release the addresses."""
        with contextlib.suppress(OSError):
            self._guard.close()


@dataclass(frozen=True, slots=True)
class Size:
    """The numbers of relays, control machines, regions and zones."""

    relays: int
    control: int
    regions: int
    zones: int

    def check(self) -> None:
        """Raise LayoutError if no fleet of this size can be laid out."""
        if (
            not MIN_GROUP_SIZE * self.regions
            <= self.control
            <= min(MAX_GROUP_SIZE * self.regions, MAX_MACHINES)
        ):
            raise LayoutError(
                f"{self.control} control machines for {self.regions} regions: "
                f"expected {MIN_GROUP_SIZE} to {MAX_GROUP_SIZE} a region, {MAX_MACHINES} in all"
            )
        if not self.regions <= self.zones:
            raise LayoutError(
                f"{self.zones} zones for {self.regions} regions: expected at least one per region"
            )
        if self.relays < 4 * self.zones:
            raise LayoutError(f"{self.relays} relays for {self.zones} zones: expected at least four per zone")


@dataclass(frozen=True, slots=True)
class ControlMachine:
    """One machine of a region's control group."""

    name: str
    region: str
    host: str

    @property
    def group(self) -> Address:
        return Address(self.host, GROUP_PORT)

    @property
    def sessions(self) -> Address:
        return Address(self.host, SESSION_PORT)

    @property
    def console(self) -> Address:
        return Address(self.host, CONSOLE_PORT)


@dataclass(frozen=True, slots=True)
class RealRelay:
    """A relay that runs as a violetdoor process."""

    name: str
    zone: str
    region: str
    listen: Address
    console: Address


@dataclass(frozen=True, slots=True)
class Zone:
    """The relays of one zone. The stub relays in its rack are hosted by a separate process."""

    name: str
    region: str
    stubs: tuple[StubRelay, ...]  # those outside the rack
    rack: tuple[StubRelay, ...]
    real: tuple[RealRelay, ...]


@dataclass(frozen=True, slots=True)
class Layout:
    """The whole fleet."""

    size: Size
    regions: tuple[str, ...]
    machines: tuple[ControlMachine, ...]
    zones: tuple[Zone, ...]
    unattached: RealRelay  # relay without a control plane, as a baseline of memory usage

    def group(self, region: str) -> tuple[ControlMachine, ...]:
        """Return the control machines of a region."""
        return tuple(m for m in self.machines if m.region == region)

    def zones_of(self, region: str) -> tuple[Zone, ...]:
        """Return the zones of a region."""
        return tuple(z for z in self.zones if z.region == region)

    @property
    def real(self) -> tuple[RealRelay, ...]:
        return tuple(r for z in self.zones for r in z.real)


def split_evenly(total: int, parts: int) -> list[int]:
    """Split a total into parts that differ by at most one, larger parts first."""
    return [total // parts + (n < total % parts) for n in range(parts)]


def build_layout(size: Size, network: Network, real: int) -> Layout:
    """Lay out a fleet of this size, `real` of its relays as processes spread over the zones."""
    size.check()
    regions = tuple(f"region-{n:02d}" for n in range(size.regions))
    machines = _machines(size, regions, network)
    zones = []
    ports = _Ports(network.host(251))
    numbers = zip(
        _regions_of_zones(size, regions),
        split_evenly(size.relays, size.zones),
        split_evenly(real, size.zones),
        strict=True,
    )
    for number, (region, relays, real_here) in enumerate(numbers):
        zones.append(_zone(f"zone-{number:02d}", region, relays, real_here, network, ports))
    unattached = RealRelay("unattached", "", "", ports.allocate(), ports.allocate())
    return Layout(size, regions, machines, tuple(zones), unattached)


def _regions_of_zones(size: Size, regions: Sequence[str]) -> list[str]:
    counts = split_evenly(size.zones, size.regions)
    return [region for region, count in zip(regions, counts, strict=True) for _ in range(count)]


def _machines(size: Size, regions: Sequence[str], network: Network) -> tuple[ControlMachine, ...]:
    found: list[ControlMachine] = []
    for region, count in zip(regions, split_evenly(size.control, size.regions), strict=True):
        for number in range(count):
            found.append(ControlMachine(f"{region}-control-{number}", region, network.host(len(found) + 1)))
    return tuple(found)


class _Ports:
    """Allocates consecutive ports of one address."""

    def __init__(self, host: str) -> None:
        self.host, self.next = host, REAL_PORT_BASE

    def allocate(self) -> Address:
        self.next += 1
        return Address(self.host, self.next)


def _zone(name: str, region: str, relays: int, real: int, network: Network, ports: _Ports) -> Zone:
    running = tuple(
        RealRelay(f"{name}-real-{n:03d}", name, region, ports.allocate(), ports.allocate())
        for n in range(real)
    )
    advertised_host = network.host(252)
    stubs = tuple(
        StubRelay(f"{name}-relay-{n:03d}", name, Address(advertised_host, CLIENT_PORT))
        for n in range(relays - real)
    )
    rack = min(RACK_RELAYS, relays // RACK_ZONE_DIVISOR)
    return Zone(name, region, stubs[rack:], stubs[:rack], running)
