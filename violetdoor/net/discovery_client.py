"""HTTP client that fetches the server list from discovery."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import httptools

from violetdoor.net.addresses import Address
from violetdoor.net.sockets import close_socket, connect, send_buffers

CONNECT_TIMEOUT_SECONDS = 1.0  # counts towards the timeout of the whole call
MAX_BODY_BYTES = 1 << 20
READ_CHUNK_BYTES = 16 * 1024


class DiscoveryError(Exception):
    """A call to discovery returned no server list."""


class ResponseTimeoutError(DiscoveryError):
    """The connection was established, but no complete response arrived within the timeout."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("no complete response within the timeout")


class UnreachableError(DiscoveryError):
    """No connection to discovery could be established."""

    def __init__(self, cause: OSError) -> None:
        """Use the message of the system error, if it has one."""
        super().__init__(str(cause) or "connection not established within the timeout")


class ResponseTooLongError(DiscoveryError):
    """The response body is longer than MAX_BODY_BYTES."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("response body exceeds the size limit")


class TruncatedResponseError(DiscoveryError):
    """Discovery closed the connection before the response was complete."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("connection closed before the response was complete")


class StatusError(DiscoveryError):
    """The response status is not 200."""

    def __init__(self, status: int) -> None:
        """Set the message and record the HTTP status."""
        super().__init__(f"expected HTTP status 200, found {status}")
        self.status = status


class _ResponseBody:
    """Collects the body of one HTTP response; httptools calls the `on_` methods by name."""

    def __init__(self) -> None:
        self.content = bytearray()
        self.is_complete = False

    def on_body(self, data: bytes) -> None:
        if len(self.content) + len(data) > MAX_BODY_BYTES:
            raise ResponseTooLongError
        self.content += data

    def on_message_complete(self) -> None:
        self.is_complete = True


async def fetch_server_list(address: Address, query: str, timeout_seconds: float) -> bytes:
    """Fetch the server list from discovery and return the response body.

    Raises UnreachableError if no connection is established, ResponseTimeoutError if the response is not
    complete in time, and another DiscoveryError, OSError or HttpParserError if the response is unusable.

    Each call opens its own connection: a persistent one may be closed while idle, or deliver bytes after the
    previous response.
    """
    deadline = asyncio.get_running_loop().time() + timeout_seconds
    try:
        sock = await connect(address, min(CONNECT_TIMEOUT_SECONDS, timeout_seconds))
    except OSError as err:
        raise UnreachableError(err) from err
    host = f"{address[0]}:{address[1]}"
    head = f"GET /api/targets{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    body = _ResponseBody()
    parser = httptools.HttpResponseParser(body)
    try:
        async with asyncio.timeout_at(deadline):
            await send_buffers(sock, [head.encode()])
            buffer = bytearray(READ_CHUNK_BYTES)
            loop = asyncio.get_running_loop()
            while not body.is_complete:
                count = await loop.sock_recv_into(sock, buffer)
                if not count:
                    raise TruncatedResponseError
                parser.feed_data(memoryview(buffer)[:count])
    except TimeoutError as err:
        raise ResponseTimeoutError from err
    finally:
        close_socket(sock)
    status = parser.get_status_code()
    if status != HTTPStatus.OK:
        raise StatusError(status)
    return bytes(body.content)
