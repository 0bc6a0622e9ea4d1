"""Transport of signed packets over UDP."""

from __future__ import annotations

import contextlib
import socket
from collections import Counter
from collections.abc import Callable, Mapping

import msgspec

from violetdoor.fleet.authentication import MessageAuthenticator
from violetdoor.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    MIN_PROTOCOL_VERSION,
    PROTOCOL_VERSION,
    Packet,
    encode,
    packet_decoder,
)
from violetdoor.fleet.outbox import Datagram
from violetdoor.fleet.view import Address

# Datagrams read in one iteration of the event loop; the limit keeps other tasks from starving.
MAX_DATAGRAMS_PER_WAKEUP = 32


class DatagramTransport:
    """Sends and receives the packets of one endpoint."""

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        routes: Mapping[str, Address],
        counts: Counter[str],
        on_packet: Callable[[Packet, Address], None],
    ) -> None:
        """Pass each valid packet and its source address to `on_packet`.

        `routes` override the addresses of recipients, by name.
        """
        self.authenticator = authenticator
        self.routes = routes
        self.counts = counts
        self.on_packet = on_packet
        self._buffer = bytearray(MAX_DATAGRAM_BYTES + 1)  # one spare byte reveals datagrams that are too long

    def send(self, sock: socket.socket, datagram: Datagram) -> None:
        """Send a packet; one that the kernel rejects is treated as lost in the network."""
        packet = datagram.packet
        data = self.authenticator.sign(encode(packet))
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts["too_long"] += 1
            return
        try:
            sock.sendto(data, self.routes.get(packet.recipient, datagram.address))
        except OSError:
            self.counts["unsent"] += 1
            return
        self.counts["datagrams_out"] += 1
        self.counts["bytes_out"] += len(data)

    def read(self, sock: socket.socket) -> None:
        """Receive the pending datagrams, at most `MAX_DATAGRAMS_PER_WAKEUP`."""
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                length, source = sock.recvfrom_into(self._buffer)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # an ICMP error: no socket is bound to the port of an earlier send
                continue
            self._receive(memoryview(self._buffer)[:length], source[:2])

    def _receive(self, data: memoryview, source: Address) -> None:
        self.counts["datagrams_in"] += 1
        self.counts["bytes_in"] += len(data)
        if len(data) > MAX_DATAGRAM_BYTES or (body := self.authenticator.verify(data)) is None:
            self.counts["dropped_seal"] += 1
            return
        try:
            packet = packet_decoder.decode(body)
        except (msgspec.MsgspecError, ValueError):
            self.counts["dropped_form"] += 1
            return
        if not MIN_PROTOCOL_VERSION <= packet.version <= PROTOCOL_VERSION:
            self.counts["dropped_version"] += 1
            return
        self.on_packet(packet, source)


def bind_datagram_socket(address: Address) -> socket.socket:
    """Open a non-blocking UDP socket bound to an address. Raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(sock.close)
        sock.setblocking(False)
        sock.bind(address)
        cleanup.pop_all()
    return sock
