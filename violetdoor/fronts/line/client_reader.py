"""Reads a client: holds its lines until the server is up, and detects its disconnect at any time."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from violetdoor.net.line_socket import MAX_LINE_BYTES, LineTooLongError
from violetdoor.net.sockets import DISCONNECT_POLL_INTERVAL_SECONDS, is_peer_closed, wait_readable

if TYPE_CHECKING:
    from violetdoor.fronts.line.client import ClientConnection
    from violetdoor.fronts.line.stream import EstablishedStream

log = logging.getLogger("violetdoor.line")


async def forward_client_lines(
    client: ClientConnection, established: asyncio.Future[EstablishedStream]
) -> bool:
    """Forward the client's lines once its server is up; return True at the end of the client's stream.

    False if writing to the server fails; the server's own reader detects its disconnect as well.
    """
    lines = client.lines
    try:
        # Check for complete lines before reading: lines that arrived together with the OPEN line would
        # otherwise be held back until the client sends more.
        while lines.complete_length() or await lines.fill():
            if not lines.complete_length():
                continue
            if not established.done() and not await _wait_until_established(client, established):
                break
            try:
                await established.result().forward_to_server()
            except OSError as err:
                log.info("failed to write a client's lines to its server: %s", err)
                return False
    except LineTooLongError:
        log.warning("client sent a line over the length limit; closing its connection")
    return True


async def _wait_until_established(
    client: ClientConnection, established: asyncio.Future[EstablishedStream]
) -> bool:
    """Wait until the server is up while complete lines are buffered; False if the client disconnects first.

    Guards against a disconnect that stays unread behind those lines: the request would be forwarded although
    its client has gone.
    """
    lines = client.lines
    while not established.done():
        if lines.used == MAX_LINE_BYTES:  # buffer full: poll for a disconnect instead of reading
            await asyncio.wait((established,), timeout=DISCONNECT_POLL_INTERVAL_SECONDS)
            if not established.done() and is_peer_closed(lines.sock):
                return False
            continue
        more = asyncio.get_running_loop().create_task(wait_readable(lines.sock))
        try:
            await asyncio.wait((more, established), return_when=asyncio.FIRST_COMPLETED)
        finally:
            more.cancel()
            await asyncio.gather(more, return_exceptions=True)
        if not established.done() and not await lines.fill():
            return False
    return True
