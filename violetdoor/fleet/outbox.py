"""What a node wants its driver to do: send datagrams, make calls, report events. Without input or output."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from violetdoor.fleet.messages import (
    Message,
    Packet,
    Request,
)
from violetdoor.fleet.view import Address

CALL_TIMEOUT_SECONDS = 0.5  # for the connection, the request and its response


class Datagram(NamedTuple):
    """A packet and the address that it goes to."""

    address: Address
    packet: Packet


@dataclass(slots=True, frozen=True)
class Call:
    """A request over TCP; `number` comes back with its answer."""

    number: int
    address: Address
    request: Request
    timeout: float = CALL_TIMEOUT_SECONDS  # s


@dataclass(slots=True, frozen=True)
class Event:
    """Something that operators and tests want to know."""

    name: str
    values: dict[str, Any]


class Actions(NamedTuple):
    """What the driver is to do, and what it is to report."""

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
        """Begin with nothing to do."""
        self.messages: dict[str, list[Message]] = {}  # by recipient; made into packets at the end of a step
        self.pending_calls: dict[int, PendingCall] = {}
        self._datagrams: list[Datagram] = []
        self._calls: list[Call] = []
        self._events: list[Event] = []
        self._last_call_number = 0

    def queue(self, name: str, message: Message) -> None:
        """Send a message to a relay with this step's packet to it."""
        self.messages.setdefault(name, []).append(message)

    def send(self, address: Address, packet: Packet) -> None:
        """Send a packet."""
        self._datagrams.append(Datagram(address, packet))

    def start_call(self, address: Address, request: Request, peer_name: str = "", probe_seq: int = 0) -> int:
        """Make a call and return its number."""
        self._last_call_number += 1
        self.pending_calls[self._last_call_number] = PendingCall(request, peer_name, probe_seq)
        self._calls.append(Call(self._last_call_number, address, request))
        return self._last_call_number

    def emit(self, name: str, **values: Any) -> None:
        """Report an event."""
        self._events.append(Event(name, values))

    def take_actions(self) -> Actions:
        """Return all that is to be done, and begin anew."""
        actions = Actions(self._datagrams, self._calls, self._events)
        self._datagrams = []
        self._calls = []
        self._events = []
        return actions
