"""Estimate of how long gossip takes to reach all members. Does no I/O."""

from __future__ import annotations

import math


def gossip_rounds(member_count: int) -> int:
    """Return how many rounds gossip needs to reach nearly all members: log10 of their number, at least 1.

    Das et al. 2002 (SWIM), section 4.1: a rumor reaches a group in a number of periods that is logarithmic in
    the size of the group.
    """
    return max(1, math.ceil(math.log10(member_count + 1)))
