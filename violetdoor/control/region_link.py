"""The connection of a control machine to a control machine of another region."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from violetdoor.control.connection import Connection
from violetdoor.control.dialer import Dialer
from violetdoor.control.frames import CloseReason
from violetdoor.control.messages import SessionResponse, session_response_decoder
from violetdoor.fleet.authentication import MessageAuthenticator


class RegionLinkHandler(Protocol):
    """Who is notified of what happens on the connections to other regions."""

    def region_connected(self, region: str) -> None:
        """Handle a connection that was opened."""

    def region_message_received(self, region: str, message: SessionResponse) -> None:
        """Handle a message of the other region's control machine."""

    def region_lost(self, region: str) -> None:
        """Handle the end of a connection, or a failed attempt at one."""


class RegionLink:
    """One connection at a time to one region; it is the handler of its dialer."""

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
        """Pass it on."""
        self._handler.region_connected(self.region)

    def message_received(self, _connection: Connection[SessionResponse], message: SessionResponse) -> None:
        """Pass it on."""
        self._handler.region_message_received(self.region, message)

    def backlog_changed(self, _connection: Connection[SessionResponse], queued_bytes: int) -> None:
        """Ignore it: little is sent here, and a machine that reads nothing sends nothing either."""

    def connection_closed(self, _connection: Connection[SessionResponse], _reason: CloseReason) -> None:
        """Pass it on."""
        self._handler.region_lost(self.region)

    def connection_failed(self, *, refused: bool) -> None:
        """Pass it on, whether or not somebody listens there."""
        del refused
        self._handler.region_lost(self.region)
