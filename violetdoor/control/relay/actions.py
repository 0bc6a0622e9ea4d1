"""Actions that an attachment requests from its driver, which executes them in order."""

from __future__ import annotations

from dataclasses import dataclass

from violetdoor.control.actions import Address, EmitEvent
from violetdoor.control.messages import SessionRequest


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to a control machine in place of an earlier one.

    The driver reports the outcome with `handle_connected` or `handle_disconnected`.
    """

    address: Address


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message on the connection."""

    message: SessionRequest


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection after all earlier messages are written.

    The driver need not call `handle_disconnected` for it.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class LookupResult:
    """The response to `lookup`: the key's owner as known to the control machine; None if it knows none."""

    lookup_number: int
    region: str
    owner: str | None


Action = Connect | Send | Disconnect | LookupResult | EmitEvent


class ActionQueue:
    """The actions that the parts of an attachment request, in order."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._actions: list[Action] = []

    def append(self, action: Action) -> None:
        """Queue an action behind all earlier ones."""
        self._actions.append(action)

    def send(self, message: SessionRequest) -> None:
        """Queue a message to be sent on the connection."""
        self._actions.append(Send(message))

    def emit(self, name: str, **values: str | int | None) -> None:
        """Queue an event to be emitted."""
        self._actions.append(EmitEvent(name, values))

    def take(self) -> list[Action]:
        """Return the actions queued since the last call, and clear the queue."""
        actions = self._actions
        self._actions = []
        return actions
