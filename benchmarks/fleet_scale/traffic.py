"""Bytes of a connection as they would be on an Ethernet, counted in two ways.

By the kernel: payload and segments in both directions from TCP_INFO, acknowledgements included. On loopback a
segment holds up to 64 KiB, so the number of segments is raised to what Ethernet would need for the payload.

By a model: the payload that the connection's code has written and read, one header for each segment that its
writes and the received frames need, and one acknowledgement for each received segment. The model is only
compared with the kernel's counts, from which the figures are computed.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

HEADER_BYTES = 40  # IPv4 and TCP without options
TIMESTAMP_OPTION_BYTES = 12  # TCP option that Linux sends by default
SEGMENT_PAYLOAD_BYTES = 1448  # bytes in one segment on Ethernet, with the timestamp option
TCP_INFO_SIZE = 232  # bytes of struct tcp_info that are read
# Byte offsets in struct tcp_info of <linux/tcp.h>.
_BYTES_ACKED, _BYTES_RECEIVED, _SEGMENTS_OUT, _SEGMENTS_IN = 120, 128, 136, 140


@dataclass(frozen=True, slots=True)
class Counts:
    """Payload bytes and segments of a connection, sent and received."""

    bytes_out: int = 0
    bytes_in: int = 0
    segments_out: int = 0
    segments_in: int = 0

    def since(self, before: Counts) -> Counts:
        """Return the increase of these counts since `before`."""
        return Counts(
            self.bytes_out - before.bytes_out,
            self.bytes_in - before.bytes_in,
            self.segments_out - before.segments_out,
            self.segments_in - before.segments_in,
        )

    @property
    def wire(self) -> int:
        """Return the bytes in both directions with headers."""
        header = HEADER_BYTES + TIMESTAMP_OPTION_BYTES
        segments = max(self.segments_out, -(-self.bytes_out // SEGMENT_PAYLOAD_BYTES))
        segments += max(self.segments_in, -(-self.bytes_in // SEGMENT_PAYLOAD_BYTES))
        return self.bytes_out + self.bytes_in + header * segments


def kernel_counts(sock: socket.socket) -> Counts:
    """Read the kernel's counts of a connection. Raises OSError if the socket is closed."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    acked, received = struct.unpack_from("=QQ", info, _BYTES_ACKED)
    segments_out, segments_in = struct.unpack_from("=II", info, _SEGMENTS_OUT)
    return Counts(acked, received, segments_out, segments_in)


def model_wire(payload: Counts) -> int:
    """Estimate the bytes with headers from the payload and the number of writes and received frames.

    Segments that a relay sends are acknowledged by the data that is sent back, without an extra segment.
    Segments that it receives are not answered at once, so each takes a separate acknowledgement.
    """
    sent = max(payload.segments_out, -(-payload.bytes_out // SEGMENT_PAYLOAD_BYTES))
    received = max(payload.segments_in, -(-payload.bytes_in // SEGMENT_PAYLOAD_BYTES))
    return (
        payload.bytes_out + payload.bytes_in + (HEADER_BYTES + TIMESTAMP_OPTION_BYTES) * (sent + 2 * received)
    )
