"""What each step of a rule costs at the worst, in ns: a base, and so much for each byte or item.

The table is measured by `benchmarks/match.py prices`, which writes it with the machine it was measured on.
"""

from __future__ import annotations

from functools import cache
from pathlib import Path

import orjson

PRICE_TABLE_PATH = Path(__file__).with_name("prices.json")


@cache
def table() -> dict[str, tuple[float, float]]:
    """The table in force."""
    data = orjson.loads(PRICE_TABLE_PATH.read_bytes())
    return {name: (float(base), float(each)) for name, (base, each) in data["ns"].items()}


def contains_steps(text: int, part: int) -> float:
    """Comparisons at the worst to look for a part in a text.

    CPython's search takes text times part below 2,500 characters of text, or where the part is under 100;
    beyond that it is linear: Objects/stringlib/fastsearch.h.
    """

    def naive(n: int, m: int) -> int:
        return max(0, n - m + 1) * m

    small = min(text, 2499)
    worst = naive(small, min(part, small // 2 + 1))
    if text >= 2500:
        worst = max(worst, naive(text, min(part, 99)), 8 * text)
    return float(max(worst, text))
