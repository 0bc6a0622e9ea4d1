"""Bytes of a connection as they would be on the wire, counted in two ways.

By the kernel: payload and segments both ways as TCP_INFO has them. On loopback one segment holds up to
64 KiB, so large ones count as many as Ethernet would need. Acknowledgements are segments.

By a model: the payload that the connection's code has written and read, a header for each segment that its
writes and the frames that came need, and an acknowledgement for each that came. It is compared with the
kernel's counts, which the figures rest on.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

HEADER_BYTES = 40  # bytes of IPv4 and TCP without options
TIMESTAMP_OPTION_BYTES = 12  # bytes of the TCP option that Linux sends by default
SEGMENT_PAYLOAD_BYTES = 1448  # bytes of payload in one segment on Ethernet, with timestamps
TCP_INFO_SIZE = 232
# Offsets in struct tcp_info of <linux/tcp.h>
_BYTES_ACKED, _BYTES_RECEIVED, _SEGMENTS_OUT, _SEGMENTS_IN = 120, 128, 136, 140


@dataclass(frozen=True, slots=True)
class Counts:
    """Payload and segments of one connection since it was opened."""

    bytes_out: int = 0
    bytes_in: int = 0
    segments_out: int = 0
    segments_in: int = 0

    def since(self, before: Counts) -> Counts:
        """What has come to these counts since an earlier look."""
        return Counts(
            self.bytes_out - before.bytes_out,
            self.bytes_in - before.bytes_in,
            self.segments_out - before.segments_out,
            self.segments_in - before.segments_in,
        )

    @property
    def wire(self) -> int:
        """Bytes with headers, both ways."""
        header = HEADER_BYTES + TIMESTAMP_OPTION_BYTES
        segments = max(self.segments_out, -(-self.bytes_out // SEGMENT_PAYLOAD_BYTES))
        segments += max(self.segments_in, -(-self.bytes_in // SEGMENT_PAYLOAD_BYTES))
        return self.bytes_out + self.bytes_in + header * segments


def kernel_counts(sock: socket.socket) -> Counts:
    """What the kernel has counted; raises OSError where the socket is closed."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    acked, received = struct.unpack_from("=QQ", info, _BYTES_ACKED)
    segments_out, segments_in = struct.unpack_from("=II", info, _SEGMENTS_OUT)
    return Counts(acked, received, segments_out, segments_in)


def model_wire(payload: Counts) -> int:
    """Bytes with headers of payload that was written and read in so many segments.

    What a relay sends is acknowledged by what is sent back, which takes no segment of its own; what it
    receives is not answered at once and takes one.
    """
    sent = max(payload.segments_out, -(-payload.bytes_out // SEGMENT_PAYLOAD_BYTES))
    received = max(payload.segments_in, -(-payload.bytes_in // SEGMENT_PAYLOAD_BYTES))
    return (
        payload.bytes_out + payload.bytes_in + (HEADER_BYTES + TIMESTAMP_OPTION_BYTES) * (sent + 2 * received)
    )
