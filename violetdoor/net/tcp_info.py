"""What the kernel knows of a TCP connection's last segments (Linux, `struct tcp_info` of tcp(7))."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

# tcpi_last_data_sent, tcpi_last_ack_sent and tcpi_last_data_recv, in ms with the resolution of a kernel tick.
LAST_SEGMENTS = struct.Struct("III")
LAST_SEGMENTS_OFFSET = 44
INFO_BYTES = LAST_SEGMENTS_OFFSET + LAST_SEGMENTS.size


class SegmentAges(NamedTuple):
    """How long ago the last segment with data was sent, and received, in ms."""

    sent_ms: int
    received_ms: int


def segment_ages(sock: socket.socket) -> SegmentAges:
    """Return the ages of a connection's last segments. Raises OSError.

    Right after a read, the age of the received one is how long the data has waited for this process.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    sent_ms, _, received_ms = LAST_SEGMENTS.unpack_from(info, LAST_SEGMENTS_OFFSET)
    return SegmentAges(sent_ms, received_ms)
