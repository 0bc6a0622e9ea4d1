"""The front end of the NATS protocol: accepts clients and serves each in a session."""

from __future__ import annotations

import asyncio
import itertools
import math
import os
import socket
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import orjson

from violetdoor.core.even_selection import select_evenly
from violetdoor.fronts.nats.errors import (
    AUTHORIZATION_VIOLATION,
    SERVER_SHUTDOWN,
    TOO_MANY_CONNECTIONS,
    ClientDeniedError,
)
from violetdoor.fronts.nats.frames import Frame, error
from violetdoor.fronts.nats.front_protocol import ClientIdentity
from violetdoor.fronts.nats.message_ids import FirstDeliveries, RetentionBudget
from violetdoor.fronts.nats.options import NatsOptions
from violetdoor.fronts.nats.session import Session
from violetdoor.net.acceptor import Acceptor
from violetdoor.net.sockets import listen, printable_reason, send_buffers

if TYPE_CHECKING:
    from violetdoor.services import ServiceHost

PROTOCOL_VERSION = "2.10.0"  # the NATS server version whose protocol this front implements
SERVER_ID_BYTES = 28  # the length of a NATS server's public key, which is its id
ANY_USER = "*"  # stands for any user in the tenants' lists of users
THROTTLED_FRACTION = 0.1  # of the sessions, longest queues first, throttled under memory pressure
THROTTLED_MAX_PENDING_BYTES = 16_384  # queue limit of a throttled session
MIGRATION_FRACTION = THROTTLED_FRACTION / 10  # of the sessions, ended per relieve_memory call
SHUTDOWN_STEP_SECONDS = 0.05  # between two steps of ending sessions
GRACE_FRACTION = 0.3  # of the shutdown time, while clients may disconnect by themselves
END_REQUESTED_FRACTION = 0.7  # of the shutdown time, after which all sessions are asked to end


class NatsFront:
    """Accepts NATS clients and owns the state that their sessions share."""

    def __init__(self, host: ServiceHost, options: NatsOptions) -> None:
        """Listen at the host's address, or on the socket that it inherited."""
        config = host.config
        self.core = host.core
        self.directory = host.directory
        self.counts = host.counters
        self.metrics = host.metrics
        self.rules = host.rules
        self.gate = host.gate
        self.options = options
        self.deadlines_ms: Mapping[str, float] = config.deadlines
        self.tenants = options.tenants  # a reload changes only these and the deadlines
        self.name = config.name
        self.server_id = os.urandom(SERVER_ID_BYTES).hex().upper()
        self.is_shutting_down = False
        self.sessions: set[Session] = set()
        self.retention_budget = RetentionBudget(self.counts)
        self.first_deliveries = FirstDeliveries(self.counts)
        self.core.classes_in_use = self._classes_in_use
        self._client_ids = itertools.count(1)
        self._full_answer = self.info(0) + error(TOO_MANY_CONNECTIONS)
        listener = host.inherited_listener or listen(config.listen, reuse_port=True)
        self.acceptor = Acceptor(listener, self._serve, host.counters, config.max_sockets, self._full_answer)
        if self.gate is not None:
            self.acceptor.rejection_for = self._shed_at_accept

    def reconfigure(self, deadlines_ms: Mapping[str, float], tenants: dict[str, tuple[str, str]]) -> None:
        """Apply new deadlines and tenants; an open session keeps its class even if that was removed."""
        self.deadlines_ms = {**self.deadlines_ms, **deadlines_ms}
        self.tenants = tenants

    def _classes_in_use(self) -> frozenset[str]:
        """Return the classes of all open sessions; each may still be placed on another server."""
        return frozenset(session.request_class for session in self.sessions)

    async def run(self) -> None:
        """Accept clients until cancelled."""
        await self.acceptor.run()

    def queued_bytes(self) -> float:
        """Return the total of bytes that are queued for clients."""
        return float(sum(session.client.out.queued_bytes for session in self.sessions))

    def relieve_memory(self, *, under_pressure: bool, migrate: bool) -> None:
        """Under memory pressure limit the longest queues, and with `migrate` end low-priority sessions."""
        if not under_pressure:
            for session in self.sessions:
                session.client.out.max_bytes = self.options.max_pending
            return
        by_queue_length = sorted(
            self.sessions, key=lambda session: session.client.out.queued_bytes, reverse=True
        )
        for session in by_queue_length[: math.ceil(len(by_queue_length) * THROTTLED_FRACTION)]:
            out = session.client.out
            out.max_bytes = min(out.max_bytes, THROTTLED_MAX_PENDING_BYTES)
        if migrate:
            candidates = [s for s in by_queue_length if s.request_class and not s.end_requested.done()]
            for session in self.core.select_lowest_priority(candidates, MIGRATION_FRACTION):
                session.end_requested.set_result(None)

    def info(self, client_id: int) -> bytes:
        """Return the INFO line for a client (id 0: none); during shutdown it sets `ldm`, lame-duck mode."""
        host, port = self.acceptor.address if client_id else ("", 0)
        values: dict[str, Any] = {
            "server_id": self.server_id,
            "server_name": self.name,
            "version": PROTOCOL_VERSION,
            "proto": 1,
            "go": "",
            "host": host,
            "port": port,
            "headers": True,
            "max_payload": self.options.max_payload,
            "client_id": client_id,
        }
        if self.is_shutting_down:
            values["ldm"] = True
        return b"INFO " + orjson.dumps(values) + b"\r\n"

    @property
    def reads_first_operation(self) -> bool:
        """Whether the rules use the first operation after a CONNECT."""
        return self.rules is not None and any(name.startswith("first.") for name in self.rules.used_fields)

    def identify(
        self, connect: Mapping[str, Any], first: Frame | None, sock: socket.socket
    ) -> ClientIdentity:
        """Return a client's identity from the rules and, where they don't set it, from the tenants' users.

        Raises ClientDeniedError for a client that neither admits.
        """
        user = str(connect.get("user") or "")
        listed = self.tenants.get(user) or self.tenants.get(ANY_USER)
        tenant, request_class = listed or ("", "")
        if self.rules is None:
            if listed is None:
                raise ClientDeniedError(AUTHORIZATION_VIOLATION)
            return ClientIdentity(tenant, request_class)
        from violetdoor.fronts.nats.fields import rule_request

        verdict = self.rules.decide(rule_request(connect, first, sock.getpeername()), self.deadlines_ms)
        if verdict.cls is not None:
            request_class = verdict.cls
        if verdict.tenant is not None:
            tenant = verdict.tenant
        if verdict.refusal is not None:
            self.counts["ruled_out"] += 1
            self.metrics.increment("errors", request_class)
            raise ClientDeniedError(printable_reason(verdict.refusal))
        if not request_class:
            raise ClientDeniedError(AUTHORIZATION_VIOLATION)
        return ClientIdentity(tenant, request_class, verdict.group, verdict.key)

    def _shed_at_accept(self, client: str) -> bytes | None:
        """Return the answer to a client that is shed before it is read from, None to accept it."""
        assert self.gate is not None
        return None if self.gate.check_connection(client) is None else self._full_answer

    async def _serve(self, sock: socket.socket) -> bool:
        """Serve one client; return False: its connection is closed, never reset."""
        client_id = next(self._client_ids)
        if self.is_shutting_down:
            await send_buffers(sock, [self.info(client_id) + error(SERVER_SHUTDOWN)])
            return False
        session = Session(self, sock, client_id)
        self.sessions.add(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)
        return False

    async def shut_down(self) -> None:
        """Notify all clients, give them time to disconnect, then end the other sessions evenly over time."""
        self.is_shutting_down = True
        for session in self.sessions:
            session.client.out.enqueue(self.info(session.client_id))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        duration = self.options.drain_timeout
        has_successor = not self.acceptor.accepting_enabled.is_set()
        grace = 0.0 if has_successor else GRACE_FRACTION
        first_end = started_at + duration * grace
        last_end = started_at + duration * END_REQUESTED_FRACTION
        while self.sessions and loop.time() < started_at + duration:
            if loop.time() >= first_end:
                waiting = [session for session in self.sessions if not session.end_requested.done()]
                for session in select_evenly(waiting, last_end - loop.time(), SHUTDOWN_STEP_SECONDS):
                    session.end_requested.set_result(None)
            await asyncio.sleep(SHUTDOWN_STEP_SECONDS)
        await self.acceptor.close()
