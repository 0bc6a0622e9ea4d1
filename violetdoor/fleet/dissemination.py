"""How long gossip takes to reach everybody. Without input or output."""

from __future__ import annotations

import math


def gossip_rounds(member_count: int) -> int:
    """Return the rounds in which gossip reaches nearly all members: the logarithm of their number, or 1.

    Das and others 2002 (SWIM), section 4.1: rumors reach a group in a number of periods logarithmic in its
    size.
    """
    return max(1, math.ceil(math.log10(member_count + 1)))
