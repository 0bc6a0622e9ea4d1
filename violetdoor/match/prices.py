"""Price table: worst-case cost of each step of a rule in ns, as a base and a price per byte or item.

The table is measured by `benchmarks/match.py prices`, which writes it with the machine it was measured on.
"""

from __future__ import annotations

from functools import cache
from pathlib import Path

import orjson

PRICE_TABLE_PATH = Path(__file__).with_name("prices.json")


@cache
def price_table() -> dict[str, tuple[float, float]]:
    """Return base and price per unit of each step, in ns."""
    data = orjson.loads(PRICE_TABLE_PATH.read_bytes())
    return {name: (float(base), float(each)) for name, (base, each) in data["ns"].items()}


def contains_steps(text: int, part: int) -> float:
    """Return the worst-case number of character comparisons of a substring search, given both lengths.

    CPython's search compares text length times part length below 2,500 characters of text, or where the part
    is under 100; beyond that it is linear: Objects/stringlib/fastsearch.h.
    """

    def naive_steps(text_length: int, part_length: int) -> int:
        return max(0, text_length - part_length + 1) * part_length

    quadratic_length = min(text, 2499)
    worst = naive_steps(quadratic_length, min(part, quadratic_length // 2 + 1))
    if text >= 2500:
        worst = max(worst, naive_steps(text, min(part, 99)), 8 * text)
    return float(max(worst, text))
