"""The session of one NATS client from its INFO to its end, on one server after another.

The session is one request to the core at a time: it is placed on one server, and when that server
disconnects, is unresponsive, or the client migrates, the connection is closed before the core is asked for
another server.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

from violetdoor.balancing.actions import FailRequest, Reject, StartAttempt
from violetdoor.balancing.events import AttemptResult
from violetdoor.core import ClientDisconnected, RequestAttributes, RequestHandle
from violetdoor.fronts.nats.attempt import attempt_server
from violetdoor.fronts.nats.client import NatsClient
from violetdoor.fronts.nats.client_operations import ClientOperations
from violetdoor.fronts.nats.errors import (
    END_WITHOUT_ERROR,
    INTERNAL_ERROR,
    NO_CAPACITY,
    NO_SERVERS,
    PLACEMENT_TIMEOUT,
    SLOW_CLIENT,
    NatsClientError,
    SessionEnd,
)
from violetdoor.fronts.nats.server_binding import ServerBinding
from violetdoor.fronts.nats.server_connection import ServerConnection
from violetdoor.fronts.nats.server_reader import ServerReader
from violetdoor.net.outbox import SlowReaderError

if TYPE_CHECKING:
    from violetdoor.fronts.nats.front_protocol import Front

log = logging.getLogger("violetdoor.nats")

MIN_REPLACEMENT_WAIT_SECONDS = 0.1  # before a session that lost its server asks for another one again
MAX_REPLACEMENT_SECONDS = 10.0  # until a session that lost its server and finds no room for it is ended
DEADLINE_MARGIN_MS = 50.0  # a rejection this close to the deadline counts as a timeout


@dataclass(slots=True, frozen=True)
class Refusal:
    """Why a client was not placed, and how its session ends if it is not placed again."""

    end: SessionEnd
    retry_after_ms: float = 0.0  # 0 if the decision was not a rejection
    is_by_relay: bool = True  # the client has not ended the session itself

    @property
    def is_retryable(self) -> bool:
        """Whether the client may be placed later: there are servers, but none with room or quick enough."""
        return self.is_by_relay and self.end.error_text in (NO_CAPACITY, PLACEMENT_TIMEOUT)


class Session:
    """Serves one NATS client."""

    __slots__ = ("_loop", "binding", "client", "client_id", "core", "end_requested", "front")

    def __init__(self, front: Front, sock: socket.socket, client_id: int) -> None:
        """Start before INFO is sent to the client."""
        self.front = front
        self.core = front.core
        self.client_id = client_id
        self.client = NatsClient(front, sock)
        self.binding = ServerBinding(front, self.client)
        self._loop = asyncio.get_running_loop()
        self.end_requested: asyncio.Future[None] = self._loop.create_future()  # by the relay

    @property
    def request_class(self) -> str:
        """The client's request class, empty until it is identified."""
        return self.client.request_class

    async def run(self) -> None:
        """Send INFO, identify the client, and serve it on one server after another until its session ends."""
        client = self.client
        operations: asyncio.Task[None] | None = None
        end = END_WITHOUT_ERROR
        try:
            client.out.enqueue(self.front.info(self.client_id))
            first = await client.read_first_frame()
            if first is None:
                return
            executing = ClientOperations(self.front, client, self.binding).run(first)
            operations = self._loop.create_task(executing)
            end = await self._serve()
        except NatsClientError as err:
            end = SessionEnd(str(err))
        except Exception:
            end = SessionEnd(INTERNAL_ERROR)
            raise
        finally:
            if operations is not None:
                operations.cancel()
                await asyncio.gather(operations, return_exceptions=True)
            self.binding.close()
            await client.close(end)

    async def _serve(self) -> SessionEnd:
        """Place the client on one server after another; return how the session ends."""
        is_reconnect = False
        replace_until = 0.0  # s, loop clock; no later than this, a session that stood is placed again
        while True:
            identity = self.client.identity
            assert identity is not None
            attributes = RequestAttributes(
                identity.request_class,
                identity.tenant,
                identity.idempotency_key,
                group=identity.group,
                is_reconnect=is_reconnect,
            )
            handle = self.core.open_request(attributes, self.front.deadlines_ms[identity.request_class])
            try:
                placed = await self._place(handle)
                if isinstance(placed, ServerConnection):
                    is_reconnect = True
                    end = await self._serve_on_server(handle, placed)
                    replace_until = self._loop.time() + MAX_REPLACEMENT_SECONDS
            finally:
                handle.close()
            if isinstance(placed, Refusal):
                end = await self._wait_for_capacity(placed, replace_until)
            if end is not None:
                return end

    async def _wait_for_capacity(self, refusal: Refusal, replace_until: float) -> SessionEnd | None:
        """Wait before a session that stood is placed again; return how it ends, None to place it again.

        A migration is this relay's decision. It must not end a session for which there is no place right now.
        """
        wait_seconds = max(MIN_REPLACEMENT_WAIT_SECONDS, refusal.retry_after_ms / 1000)
        is_over = self._loop.time() + wait_seconds >= replace_until
        if not refusal.is_retryable or is_over or self.front.is_shutting_down:
            self._count_refusal(refusal)
            return refusal.end
        self.front.counts["nats_waited"] += 1
        ends = (self.client.ended, self.end_requested)
        await asyncio.wait(ends, timeout=wait_seconds, return_when=asyncio.FIRST_COMPLETED)
        if self.client.ended.done():
            return self.client.ended.result()
        return END_WITHOUT_ERROR if self.end_requested.done() else None

    async def _place(self, handle: RequestHandle) -> ServerConnection | Refusal:
        """Carry out the core's attempts until a server is up; return its connection, or the final answer."""
        client = self.client
        has_timed_out = False
        while True:
            decision = await client.wait_unless_ended(handle.next_decision())
            match decision:
                case None | ClientDisconnected():
                    handle.client_disconnected()
                    return Refusal(client.ended.result(), is_by_relay=False)
                case FailRequest():
                    return Refusal(self._final_answer(handle, has_timed_out=has_timed_out))
                case Reject():
                    end = self._final_answer(handle, has_timed_out=has_timed_out)
                    return Refusal(end, decision.retry_after_ms)
                case StartAttempt():
                    outcome = await attempt_server(self.front, client, decision)
            if isinstance(outcome, ServerConnection):
                self._count_attempt(AttemptResult.OK)
                self.front.counts["nats_placed"] += 1
                self.front.metrics.increment("ok", client.request_class)
                handle.connection_established(outcome.setup_ms)
                return outcome
            if outcome is AttemptResult.CANCELLED:
                client.end(END_WITHOUT_ERROR)
            self._count_attempt(outcome)
            has_timed_out = outcome is AttemptResult.TIMEOUT
            if client.ended.done():
                handle.client_disconnected()
            handle.attempt_ended(outcome)

    def _count_attempt(self, result: AttemptResult) -> None:
        self.front.counts[f"nats_attempt_{result.value}"] += 1

    def _count_refusal(self, refusal: Refusal) -> None:
        if refusal.is_by_relay:
            self.front.counts["nats_refused"] += 1
            metric = "shed" if refusal.retry_after_ms else "errors"
            self.front.metrics.increment(metric, self.client.request_class)

    def _final_answer(self, handle: RequestHandle, *, has_timed_out: bool) -> SessionEnd:
        """Return the final answer to a client that cannot be placed."""
        if not self.core.has_ready_server():
            return SessionEnd(NO_SERVERS)
        if has_timed_out or self.core.now() > handle.deadline_ms - DEADLINE_MARGIN_MS:
            return SessionEnd(PLACEMENT_TIMEOUT)
        return SessionEnd(NO_CAPACITY)

    async def _serve_on_server(
        self, handle: RequestHandle, connection: ServerConnection
    ) -> SessionEnd | None:
        """Serve the client on this server; return how the session ends, None to place it again."""
        client, binding = self.client, self.binding
        binding.resume(connection)
        reader = ServerReader(self.front, client, binding, handle)
        receiving = self._loop.create_task(reader.run())
        watching = self._loop.create_task(reader.watch_liveness())
        is_abandoned = False  # the server has not ended the connection, and did not answer any more
        try:
            ends = (receiving, watching, client.ended, handle.migration_requested, self.end_requested)
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            if receiving.done() and (error := receiving.exception()):
                raise error  # SlowReaderError, or an internal error
            binding.suspend()
            result = await self._leave_server(handle, connection, receiving, watching)
            is_abandoned = result is AttemptResult.RESET and not receiving.done()
            if result is None:
                handle.attempt_ended(AttemptResult.CANCELLED, is_final=True)
                return client.ended.result()
            is_end_requested = self.end_requested.done()
        except SlowReaderError:
            handle.attempt_ended(AttemptResult.CANCELLED, is_final=True)
            return SLOW_CLIENT
        finally:
            # The old connection is closed, without reading more from it, before the core is asked again. This
            # prevents duplicate messages: from a server taken for dead and from the next one.
            binding.suspend()
            for task in (receiving, watching):
                task.cancel()
            await asyncio.gather(receiving, watching, return_exceptions=True)
            await connection.close(reset=is_abandoned)
        handle.attempt_ended(result, is_final=True)
        binding.resolve_unconfirmed(connection)
        return END_WITHOUT_ERROR if is_end_requested else None

    async def _leave_server(
        self,
        handle: RequestHandle,
        connection: ServerConnection,
        receiving: asyncio.Task[None],
        watching: asyncio.Task[None],
    ) -> AttemptResult | None:
        """Detach from a server, with a fence if it is alive; return the result, None if the client ended."""
        counts, ended = self.front.counts, self.client.ended
        if ended.done():
            return None
        if receiving.done():
            counts["nats_broken"] += 1
            log.info("server %s disconnected", handle.server)
            return AttemptResult.RESET
        if watching.done():
            counts["nats_silent"] += 1
            log.info("server %s is unresponsive", handle.server)
            return AttemptResult.RESET
        fence = self.binding.end_subscriptions(connection)
        timeout = self.front.options.silence_timeout
        await asyncio.wait((fence, receiving, ended), timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        if ended.done():
            return None
        if not fence.done():
            counts["nats_fence_failed"] += 1
            return AttemptResult.RESET
        counts["nats_moved"] += 1
        return AttemptResult.CANCELLED
