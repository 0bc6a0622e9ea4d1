"""The connection from a control machine to a control machine of another region."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from violetdoor.control.connection import Connection
from violetdoor.control.dialer import Dialer
from violetdoor.control.frames import CloseReason
from violetdoor.control.messages import SessionResponse, session_response_decoder
from violetdoor.fleet.authentication import MessageAuthenticator


class RegionLinkHandler(Protocol):
    """Receives the events of the connections to other regions."""

    def region_connected(self, region: str) -> None:
        """Handle a connection that was opened."""

    def region_message_received(self, region: str, message: SessionResponse) -> None:
        """Handle a message from the other region's control machine."""

    def region_lost(self, region: str) -> None:
        """Handle the end of a connection, or a failed attempt to connect."""


class RegionLink:
    """At most one connection to one region at a time; the link is the handler of its dialer."""

    def __init__(
        self,
        region: str,
        authenticator: MessageAuthenticator,
        handler: RegionLinkHandler,
        counters: Counter[str],
    ) -> None:
        """Prepare connections to `region`; `counters` as in `Connection`."""
        self.region = region
        self.dialer: Dialer[SessionResponse] = Dialer(authenticator, session_response_decoder, self, counters)
        self._handler = handler

    def connection_opened(self, _connection: Connection[SessionResponse]) -> None:
        """Forward the event with the region's name."""
        self._handler.region_connected(self.region)

    def message_received(self, _connection: Connection[SessionResponse], message: SessionResponse) -> None:
        """Forward the event with the region's name."""
        self._handler.region_message_received(self.region, message)

    def backlog_changed(self, _connection: Connection[SessionResponse], queued_bytes: int) -> None:
        """Ignore it: little is sent here, and a machine that reads nothing answers no heartbeat either."""

    def connection_closed(self, _connection: Connection[SessionResponse], _reason: CloseReason) -> None:
        """Forward the event with the region's name."""
        self._handler.region_lost(self.region)

    def connection_failed(self, *, refused: bool) -> None:
        """Forward the event with the region's name, whether or not the connection was refused."""
        del refused
        self._handler.region_lost(self.region)
