"""Which control machines and relays there are, and where they listen: all out of four numbers."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from benchmarks.fleet_scale.protocol import Address, StubRelay

GROUP_PORT, SESSION_PORT, CONSOLE_PORT, CLIENT_PORT = 7946, 7950, 8500, 8081  # on addresses of the run's own
MIN_GROUP_SIZE, MAX_GROUP_SIZE = 3, 7  # control machines of a region
MAX_MACHINES = 200  # addresses that one run has
RACK_RELAYS = 40  # relays of a rack, and at most
RACK_ZONE_DIVISOR = 4  # this part of a zone
REAL_PORT_BASE = 20_000  # of real relays, which share one address


class LayoutError(Exception):
    """These numbers make no fleet; the text says why."""


class Network:
    """Loopback addresses that only this run uses for as long as it is open: others draw others."""

    def __init__(self) -> None:
        for _ in range(1000):
            self.prefix = f"127.{Random().randrange(64, 192)}.{Random().randrange(256)}"
            self._guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._guard.bind((self.host(254), GROUP_PORT))
                return
            except OSError:
                self._guard.close()
        raise LayoutError("no loopback addresses are free")

    def host(self, number: int) -> str:
        """One address."""
        return f"{self.prefix}.{number}"

    def close(self) -> None:
        """Give the addresses up."""
        with contextlib.suppress(OSError):
            self._guard.close()


@dataclass(frozen=True, slots=True)
class Size:
    """How large the fleet is."""

    relays: int
    control: int
    regions: int
    zones: int

    def check(self) -> None:
        """Raise LayoutFaultError where no fleet is of this size."""
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
            raise LayoutError(f"{self.zones} zones for {self.regions} regions: expected one a region")
        if self.relays < 4 * self.zones:
            raise LayoutError(f"{self.relays} relays for {self.zones} zones: expected four a zone")


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
    """A relay that runs as a process of the program."""

    name: str
    zone: str
    region: str
    listen: Address
    console: Address


@dataclass(frozen=True, slots=True)
class Zone:
    """The relays of one zone. Those of its rack are hosted by a process of their own."""

    name: str
    region: str
    stubs: tuple[StubRelay, ...]
    rack: tuple[StubRelay, ...]
    real: tuple[RealRelay, ...]


@dataclass(frozen=True, slots=True)
class Layout:
    """The whole fleet."""

    size: Size
    regions: tuple[str, ...]
    machines: tuple[ControlMachine, ...]
    zones: tuple[Zone, ...]
    unattached: RealRelay  # without a control plane, to compare with

    def group(self, region: str) -> tuple[ControlMachine, ...]:
        """The control machines of a region."""
        return tuple(m for m in self.machines if m.region == region)

    def zones_of(self, region: str) -> tuple[Zone, ...]:
        """The zones of a region."""
        return tuple(z for z in self.zones if z.region == region)

    @property
    def real(self) -> tuple[RealRelay, ...]:
        return tuple(r for z in self.zones for r in z.real)


def split_evenly(total: int, parts: int) -> list[int]:
    """A total in as equal parts as there can be, larger ones first."""
    return [total // parts + (n < total % parts) for n in range(parts)]


def build_layout(size: Size, network: Network, real: int) -> Layout:
    """The fleet of this size, with so many real relays spread over its zones."""
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
    """Ports of one address, one after another."""

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
