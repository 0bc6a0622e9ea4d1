"""The watch on discovery: repeated calls whose responses are delivered to the core."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import httptools
import orjson

from violetdoor.balancing.events import ServerListKind, ServerListUpdate
from violetdoor.net.addresses import Address
from violetdoor.net.counters import Counters
from violetdoor.net.descriptors import SpareDescriptor
from violetdoor.net.discovery_client import (
    DiscoveryError,
    ResponseTimeoutError,
    UnreachableError,
    fetch_server_list,
)
from violetdoor.net.server_directory import INVALID_ENTRY_ERRORS, ServerDirectory

log = logging.getLogger("violetdoor.discovery")

WATCH_HOLD_MS = 4_000  # maximum time for which discovery may hold a call until the list changes
# Time after the hold at which a watch counts as unresponsive. Changes that it missed count as notified 2 s
# after the hold; the rest of those 2 s is for reopening the watch and for its response.
WATCH_GRACE_SECONDS = 1.0
LIST_TIMEOUT_SECONDS = 1.9  # of a call without a hold: under the 2 s after which a list counts as notified
# Changes that a failed call misses count as notified after this time. It covers the failed call, the
# backoff, the next call with its whole timeout, and a margin for late wake-ups.
NOTIFICATION_BUDGET_SECONDS = 6.0
WAKEUP_MARGIN_SECONDS = 0.2
# Retry delay after a failed call to an agent on this machine, to which calls are cheap. The first is short
# enough for the watch to continue (200 ms); it grows so that a missing agent does not keep this process busy.
MIN_AGENT_RETRY_DELAY_SECONDS = 0.05
MAX_AGENT_RETRY_DELAY_SECONDS = 0.5
MIN_JITTER_FACTOR = 0.5  # a delay is multiplied by a random factor between this and 1

CALL_ERRORS = (OSError, DiscoveryError, httptools.HttpParserError, *INVALID_ENTRY_ERRORS)


def latest_call_start(missed_since: float) -> float:
    """Return the latest start of the next call if changes may be missed since then (s, loop clock)."""
    return missed_since + NOTIFICATION_BUDGET_SECONDS - LIST_TIMEOUT_SECONDS - WAKEUP_MARGIN_SECONDS


@dataclass(slots=True, frozen=True)
class FailedCall:
    """A call to discovery that returned no list."""

    missed_since: float  # s, loop clock; later changes in discovery may be missed
    is_unresponsive_watch: bool = False  # a held call got no response within its timeout
    is_unreachable: bool = False  # no connection, so discovery could notify nobody


class ServerListWatch:
    """Calls discovery repeatedly once the decision module starts it; reports a failure and stops.

    If the settings declare that lists are pushed, the address is that of an agent on this machine. The
    decision module does not poll then, so the watch runs from the start and retries failed calls itself.
    """

    def __init__(
        self,
        address: Address,
        directory: ServerDirectory,
        deliver: Callable[[ServerListUpdate], None],
        counters: Counters,
    ) -> None:
        """Prepare a watch that passes each update to `deliver`."""
        self.address = address
        self.directory = directory
        self.deliver = deliver
        self.counters = counters
        self.is_pushed = False
        self._spare = SpareDescriptor()  # for calls while clients use all other descriptors
        self._needs_complete_list = False  # fetch the complete list next, even though a version is known
        self._task: asyncio.Task[None] | None = None

    def set_pushed(self, *, is_pushed: bool) -> None:
        """Set whether lists are pushed; if so, start the watch."""
        self.is_pushed = is_pushed
        if is_pushed:
            self.start()

    def start(self) -> None:
        """Start the watch unless it is already running."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    def switch_address(self, address: Address) -> None:
        """Stop using the old address at once and fetch the complete list from the new one.

        Discards the state of the old address: its version, which the new one does not know, its held call,
        and the backoff after its failures.
        """
        if self._task is not None:
            self._task.cancel()  # ends the current call, so that its response is not delivered
            self._task = None
        self.address = address
        self.directory.version = None
        self.directory.newest_version = 0
        # An update without changes ends the decision module's backoff.
        self.deliver(ServerListUpdate(ServerListKind.INCREMENTAL))
        self.start()

    async def stop(self) -> None:
        """Stop the watch."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._spare.close()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        delay = MIN_AGENT_RETRY_DELAY_SECONDS
        unresponsive_since = -math.inf
        while True:
            failure = await self._call_once()
            if failure is None:
                delay = MIN_AGENT_RETRY_DELAY_SECONDS
                unresponsive_since = -math.inf
                continue
            missed_since = unresponsive_since
            unresponsive_since = -math.inf
            # No backoff after an unresponsive watch: changes that it missed would count as notified before
            # the backoff ends, and discovery itself may be working.
            if failure.is_unresponsive_watch:
                unresponsive_since = failure.missed_since
                continue
            if not failure.is_unreachable and loop.time() < missed_since + NOTIFICATION_BUDGET_SECONDS:
                continue  # the call that reopened the watch failed early: there is time for another one
            if not self.is_pushed:
                # The decision module schedules the next poll: it spreads many relays' calls and backs off.
                time_left = max(0.0, latest_call_start(failure.missed_since) - loop.time())
                self.deliver(ServerListUpdate(ServerListKind.FAILED, next_poll_within_ms=time_left * 1000))
                return
            await asyncio.sleep(delay * random.uniform(MIN_JITTER_FACTOR, 1.0))
            delay = min(MAX_AGENT_RETRY_DELAY_SECONDS, 2 * delay)

    async def _call_once(self) -> FailedCall | None:
        """Call discovery once; deliver the response, or return the failure."""
        self.counters["discovery_calls"] += 1
        started_at = asyncio.get_running_loop().time()
        version = self.directory.version
        # Version 0 is valid: treating it as unknown would fetch the complete list in a loop.
        is_watch = version is not None and not self._needs_complete_list
        try:
            update = await self._fetch_watch(version) if is_watch else await self._fetch_complete_list()
        except CALL_ERRORS as err:
            self.counters["discovery_failed"] += 1
            log.warning("call to discovery for the server list failed: %s: %s", type(err).__name__, err)
            return _failed_call(err, started_at, is_watch=is_watch)
        self._needs_complete_list = False
        if version is not None and update.version < version and not update.kind.is_complete:
            # An agent that restarted with an older list: its incremental changes are not enough to be up to
            # date, so the complete list is fetched next.
            self.directory.version = version
            self._needs_complete_list = True
        if update.entries:
            self.counters["discovery_changes"] += len(update.entries)
        try:
            self.deliver(update)
        except Exception:  # an entry on which the decision module fails must not end the watch
            self.counters["faults"] += 1
            log.exception("decision module failed to apply a server list; the watch continues")
        return None

    async def _fetch_watch(self, version: int | None) -> ServerListUpdate:
        timeout_seconds = WATCH_HOLD_MS / 1000 + WATCH_GRACE_SECONDS
        return await self._fetch(f"?from={version}&hold_ms={WATCH_HOLD_MS}", timeout_seconds)

    async def _fetch_complete_list(self) -> ServerListUpdate:
        # Without a hold, the short timeout soon detects a new address that does not respond.
        return await self._fetch("", LIST_TIMEOUT_SECONDS)

    async def _fetch(self, query: str, timeout_seconds: float) -> ServerListUpdate:
        with self._spare.released():
            answer = await fetch_server_list(self.address, query, timeout_seconds)
        return self.directory.apply_list(orjson.loads(answer), counters=self.counters)


def _failed_call(err: Exception, started_at: float, *, is_watch: bool) -> FailedCall:
    is_unresponsive = isinstance(err, ResponseTimeoutError)
    is_unreachable = isinstance(err, UnreachableError)
    missed_since = started_at
    if is_watch and not is_unresponsive and not is_unreachable:  # notified of changes until the failure
        missed_since = asyncio.get_running_loop().time()
    return FailedCall(
        missed_since, is_unresponsive_watch=is_unresponsive and is_watch, is_unreachable=is_unreachable
    )
