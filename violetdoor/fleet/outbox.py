"""Output of a node that its driver carries out: datagrams, calls and events. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from violetdoor.fleet.messages import (
    Message,
    Packet,
    Request,
)
from violetdoor.fleet.view import Address

CALL_TIMEOUT_SECONDS = 0.5  # for connecting, sending the request and receiving the response


class Datagram(NamedTuple):
    """A packet and its destination address."""

    address: Address
    packet: Packet


@dataclass(slots=True, frozen=True)
class Call:
    """A request over TCP; `number` identifies the call when its response is handled."""

    number: int
    address: Address
    request: Request
    timeout: float = CALL_TIMEOUT_SECONDS  # s


@dataclass(slots=True, frozen=True)
class Event:
    """An event to be logged and counted, with its values by name."""

    name: str
    values: dict[str, Any]


class Actions(NamedTuple):
    """Actions for the driver: packets to send, calls to make, events to report."""

    datagrams: list[Datagram]
    calls: list[Call]
    events: list[Event]


@dataclass(slots=True, frozen=True)
class PendingCall:
    """A call without a response yet."""

    request: Request
    peer_name: str  # relay that is called; empty where its name is not known
    probe_seq: int  # sequence number of the probe that the call belongs to, 0 if it belongs to none


class Outbox:
    """Collects messages, calls and events of all parts of a node until the driver takes them."""

    def __init__(self) -> None:
        """Create an empty outbox."""
        self.messages: dict[str, list[Message]] = {}  # by recipient; packed at the end of a step
        self.pending_calls: dict[int, PendingCall] = {}
        self._datagrams: list[Datagram] = []
        self._calls: list[Call] = []
        self._events: list[Event] = []
        self._last_call_number = 0

    def queue(self, name: str, message: Message) -> None:
        """Queue a message for a relay; it goes into this step's packet to that relay."""
        self.messages.setdefault(name, []).append(message)

    def send(self, address: Address, packet: Packet) -> None:
        """Add a packet to the actions."""
        self._datagrams.append(Datagram(address, packet))

    def start_call(self, address: Address, request: Request, peer_name: str = "", probe_seq: int = 0) -> int:
        """Add a call to the actions and return its number."""
        self._last_call_number += 1
        self.pending_calls[self._last_call_number] = PendingCall(request, peer_name, probe_seq)
        self._calls.append(Call(self._last_call_number, address, request))
        return self._last_call_number

    def emit(self, name: str, **values: Any) -> None:
        """Add an event to the actions."""
        self._events.append(Event(name, values))

    def take_actions(self) -> Actions:
        """Return the collected actions and clear them."""
        actions = Actions(self._datagrams, self._calls, self._events)
        self._datagrams = []
        self._calls = []
        self._events = []
        return actions
