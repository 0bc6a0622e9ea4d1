"""Bitmaps of a view's members, packed in the shortest of three formats.

A bitmap is an integer whose bit N represents the member at index N. A packed bitmap is one format byte
followed by the bits or by a list of indices, little-endian.
"""

from __future__ import annotations

INDEX_BYTES = 2  # bytes of one member index in a list

# Values of the format byte.
RAW_FORMAT = 0  # followed by all bits
PRESENT_FORMAT = 1  # followed by the indices of the bits that are set
ABSENT_FORMAT = 2  # followed by the indices of the bits that are not set


def pack_bitmap(bits: int, size: int) -> bytes:
    """Pack a bitmap of `size` members in the shortest format."""
    set_count = bits.bit_count()
    raw_bytes = (size + 7) // 8
    if min(set_count, size - set_count) * INDEX_BYTES >= raw_bytes:
        return bytes((RAW_FORMAT,)) + bits.to_bytes(raw_bytes, "little")
    if set_count * 2 <= size:
        return bytes((PRESENT_FORMAT,)) + _pack_indices(bits)
    return bytes((ABSENT_FORMAT,)) + _pack_indices(~bits & _all_set(size))


def unpack_bitmap(data: bytes, size: int) -> int:
    """Unpack a bitmap of `size` members; bits of indices beyond the members are ignored."""
    if not data or data[0] == RAW_FORMAT:
        return int.from_bytes(data[1:], "little") & _all_set(size)
    bits = 0
    for offset in range(1, len(data) - 1, INDEX_BYTES):
        index = int.from_bytes(data[offset : offset + INDEX_BYTES], "little")
        bits |= 1 << min(size, index)
    return (bits if data[0] == PRESENT_FORMAT else ~bits) & _all_set(size)


def _pack_indices(bits: int) -> bytes:
    packed = bytearray()
    while bits:
        lowest = bits & -bits
        packed += (lowest.bit_length() - 1).to_bytes(INDEX_BYTES, "little")
        bits ^= lowest
    return bytes(packed)


def _all_set(size: int) -> int:
    return (1 << size) - 1
