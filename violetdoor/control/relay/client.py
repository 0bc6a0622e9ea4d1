"""Drives a relay's attachment to its region's control machines with sockets and a clock."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import Counter
from collections.abc import Callable
from random import Random

from violetdoor import events
from violetdoor.control.actions import EmitEvent
from violetdoor.control.connection import Connection
from violetdoor.control.dialer import Dialer
from violetdoor.control.frames import CloseReason
from violetdoor.control.messages import SessionResponse, session_response_decoder
from violetdoor.control.relay.actions import Action, Connect, Disconnect, LookupResult, Send
from violetdoor.control.relay.attachment import Attachment
from violetdoor.control.relay.options import AttachmentConfig
from violetdoor.control.relay.snapshot import AttachmentSnapshot
from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.fleet.clock import boot_time

log = logging.getLogger("violetdoor.control")

# Upper bound of one timer: the event loop's clock stops while the machine is suspended, the attachment's
# does not.
MAX_TIMER_SECONDS = 60.0
# Added to each timer so that it doesn't fire early: the event loop's timers have a resolution of 1 ms.
TIMER_SLACK_SECONDS = 0.001
# Bytes of OS entropy that seed the attachment's random generator.
RANDOM_SEED_BYTES = 16


class ControlClient:
    """An attachment on real sockets. Start it once; `close`, `hand_over` or `abort` ends it."""

    def __init__(
        self,
        config: AttachmentConfig,
        key: bytes,
        clock: Callable[[], float] = boot_time,
        counters: Counter[str] | None = None,
    ) -> None:
        """Prepare an attachment whose frames are signed with `key`; nothing is sent before `start`."""
        self.clock = clock
        self.counters: Counter[str] = Counter() if counters is None else counters
        random = Random(os.urandom(RANDOM_SEED_BYTES))
        self.attachment = Attachment(config, random, clock(), _unix_time_ms)
        self.dialer: Dialer[SessionResponse] = Dialer(
            MessageAuthenticator(key), session_response_decoder, self, self.counters
        )
        self.on_step: Callable[[], None] = lambda: None  # called when the attachment may have changed
        self.on_lookup_result: Callable[[LookupResult], None] = lambda _result: None
        self.is_open = False
        self._timer: asyncio.TimerHandle | None = None
        self._is_stepping = False

    @property
    def connection(self) -> Connection[SessionResponse] | None:
        """The connection to the control machine; None without one."""
        return self.dialer.connection

    def start(self, snapshot: AttachmentSnapshot | None = None) -> None:
        """Attach as a new run of the relay, or continue the run that an earlier process handed over."""
        if snapshot is not None:
            self.attachment.import_snapshot(snapshot, self.clock())
        self.is_open = True
        self._step()

    def set_shared_value(self, key: str, value: float | None) -> bool:
        """Set a value shared with all relays; return False if the key is too long or the map is full."""
        if not self.is_open:
            return True  # after a handover, the successor process got the value over the upgrade's channel
        is_set = self.attachment.set_shared_value(key, value)
        self._step()
        return is_set

    def lookup(self, key: str) -> int | None:
        """Request the owner of a key; return the number that its `LookupResult` will carry.

        Returns None without a session, or if the key is too long.
        """
        lookup_number = self.attachment.lookup(key)
        self._step()
        return lookup_number

    def leave(self) -> None:
        """Leave the fleet, and don't attach again."""
        if self.is_open:
            self.attachment.leave()
            self._step()

    def hand_over(self) -> AttachmentSnapshot | None:
        """Stop, and return the state for the process that continues this run; None if already stopped."""
        if not self.is_open:
            return None
        snapshot = self.attachment.export_snapshot()
        self._step()
        self.abort()
        return snapshot

    async def close(self) -> None:
        """Leave the fleet and stop."""
        self.leave()
        self.abort(immediate=False)

    def abort(self, *, immediate: bool = True) -> None:
        """Stop without sending `Leave`; no callback is called afterwards.

        `immediate`: discard what is queued on the connection.
        """
        self.is_open = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        connection = self.dialer.connection
        self.dialer.close()
        if immediate and connection is not None:
            connection.abort(CloseReason.CLOSED_LOCALLY)

    # DialerHandler.

    def connection_opened(self, _connection: Connection[SessionResponse]) -> None:
        """Request a session."""
        self.attachment.handle_connected(self.clock())
        self._step()

    def message_received(self, _connection: Connection[SessionResponse], message: SessionResponse) -> None:
        """Pass a message on to the attachment."""
        self.attachment.handle_message(message, self.clock())
        self._step()

    def backlog_changed(self, _connection: Connection[SessionResponse], queued_bytes: int) -> None:
        """Ignore it: a relay sends little, and a machine that reads nothing answers no heartbeat either."""

    def connection_closed(self, _connection: Connection[SessionResponse], _reason: CloseReason) -> None:
        """Report a disconnect to the attachment, which tries the next control machine."""
        self._handle_disconnected(refused=False)

    def connection_failed(self, *, refused: bool) -> None:
        """Report a disconnect to the attachment, which tries the next control machine."""
        self._handle_disconnected(refused=refused)

    def _handle_disconnected(self, *, refused: bool) -> None:
        if self.is_open:
            self.attachment.handle_disconnected(self.clock(), refused=refused)
            self._step()

    # Actions and timers of the attachment.

    def _handle_timer(self) -> None:
        now = self.clock()
        if now >= self.attachment.next_wake_at:
            self.attachment.wake(now)
        self._step()

    def _step(self) -> None:
        """Execute the attachment's actions, call `on_step`, and set the timer for its next deadline."""
        if not self.is_open or self._is_stepping:
            return
        self._is_stepping = True
        try:
            while actions := self.attachment.take_actions():
                for action in actions:
                    self._execute(action)
        finally:
            self._is_stepping = False
        self.on_step()
        if not self.is_open:
            return
        if self._timer is not None:
            self._timer.cancel()
        delay = max(0.0, self.attachment.next_wake_at - self.clock()) + TIMER_SLACK_SECONDS
        delay = min(MAX_TIMER_SECONDS, delay)
        self._timer = asyncio.get_running_loop().call_later(delay, self._handle_timer)

    def _execute(self, action: Action) -> None:
        match action:
            case Connect(address):
                self.dialer.dial(address)
            case Send(message):
                self.dialer.send(message)
            case Disconnect():
                self.dialer.close()
            case LookupResult():
                self.on_lookup_result(action)
            case EmitEvent(name, values):
                events.emit(log, name, **values)


def _unix_time_ms() -> float:
    return time.time() * 1000
