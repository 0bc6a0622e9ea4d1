"""One attempt at a server: connect, send the client's CONNECT, wait for the PONG to a PING."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from violetdoor.balancing.actions import StartAttempt
from violetdoor.balancing.events import AttemptResult
from violetdoor.fronts.nats.errors import ClientDeniedError
from violetdoor.fronts.nats.server_connection import ServerConnection
from violetdoor.net.sockets import connect

if TYPE_CHECKING:
    from violetdoor.fronts.nats.client import NatsClient
    from violetdoor.fronts.nats.front_protocol import Front


async def attempt_server(
    front: Front, client: NatsClient, attempt: StartAttempt
) -> ServerConnection | AttemptResult:
    """Return the connection to a server that accepted the client, or the result of the failed attempt.

    Raises ClientDeniedError if the server denies the client.
    """
    if client.is_disconnected:
        return AttemptResult.CANCELLED
    time_left = (attempt.timeout_at_ms - front.core.now()) / 1000
    started_at = asyncio.get_running_loop().time()
    address = front.directory.addresses.get(attempt.server)
    if address is None or time_left <= 0:
        return AttemptResult.UNREACHABLE
    try:
        sock = await connect(address, min(time_left, front.options.connect_timeout))
    except OSError:
        return AttemptResult.UNREACHABLE
    connection = ServerConnection(sock, front.options.silence_timeout, started_at)
    is_up = False
    try:
        result = await _handshake(front, client, attempt, connection)
        is_up = result is AttemptResult.OK
    finally:
        if connection.is_connect_sent:
            front.metrics.increment("tries", client.request_class)
        if not is_up:
            await connection.close()
    return connection if is_up else result


async def _handshake(
    front: Front, client: NatsClient, attempt: StartAttempt, connection: ServerConnection
) -> AttemptResult:
    """Run the handshake on a connected socket; raise ClientDeniedError."""
    time_left = (attempt.timeout_at_ms - front.core.now()) / 1000
    handshake = connection.handshake(
        client.upstream_connect, lambda: _reason_not_to_send(front, client, attempt)
    )
    try:
        async with asyncio.timeout(time_left):
            result = await client.wait_unless_ended(handshake)
    except TimeoutError:
        return AttemptResult.TIMEOUT
    if connection.is_draining:
        front.core.mark_draining(attempt.server)
    if connection.denial:
        raise ClientDeniedError(connection.denial)
    return result or AttemptResult.CANCELLED


def _reason_not_to_send(front: Front, client: NatsClient, attempt: StartAttempt) -> AttemptResult | None:
    """Return the result of an attempt that must not send anything, None if it may send."""
    if client.is_disconnected:
        return AttemptResult.CANCELLED
    if not front.core.may_start(attempt):
        front.counts["begun_too_late"] += 1
        return AttemptResult.UNREACHABLE
    return None
