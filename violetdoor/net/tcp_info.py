"""What the kernel knows of a TCP connection's last segments (Linux, `struct tcp_info` of tcp(7))."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

# tcpi_last_data_sent, _last_ack_sent, _last_data_recv and _last_ack_recv in ms, with the resolution of a
# kernel tick; tcpi_pmtu, tcpi_rcv_ssthresh; tcpi_rtt in microseconds.
LAST_SEGMENTS = struct.Struct("7I")
LAST_SEGMENTS_OFFSET = 44
INFO_BYTES = LAST_SEGMENTS_OFFSET + LAST_SEGMENTS.size
US_PER_MS = 1000


class SegmentAges(NamedTuple):
    """How long ago the last segment with data was sent, and received, and the round-trip time, in ms."""

    sent_ms: int
    received_ms: int
    rtt_ms: float

    @property
    def answer_ms(self) -> int:
        """How long the peer took to answer, if the last segment received answers the last one sent."""
        return max(0, self.sent_ms - self.received_ms)


def segment_ages(sock: socket.socket) -> SegmentAges:
    """Return the ages of a connection's last segments. Raises OSError.

    Right after a read, the age of the received one is how long the data has waited for this process.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    sent_ms, _, received_ms, _, _, _, rtt_us = LAST_SEGMENTS.unpack_from(info, LAST_SEGMENTS_OFFSET)
    return SegmentAges(sent_ms, received_ms, rtt_us / US_PER_MS)
