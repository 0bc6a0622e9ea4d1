"""Parses the load report at the end of a gate server's reply, such as `PONG queue=2,util=0.61`.

Its fields are named by the report columns in the settings; the decision module's names for them are those of
the simulator's wire.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from violetdoor.balancing.platform_settings import REPORT_NAMES

# Stricter than float(), which also accepts signs, nan, inf and a thousand digits.
REPORT_FIELD = re.compile(r"([A-Za-z_][A-Za-z0-9_]{0,31})=([0-9]{1,12}(?:\.[0-9]{1,12})?)")
MAX_FIELDS = 16  # more than the settings' columns


def parse_load_report(line: bytes) -> Mapping[str, float]:
    """Return the report after the first word of a line, by the module's names; empty if there is none.

    A report with any invalid part is discarded: half of it could make a busy server look idle.
    """
    _, _, text = line.decode("ascii", "replace").rstrip("\r\n").partition(" ")
    fields = [REPORT_FIELD.fullmatch(part) for part in text.split(",", MAX_FIELDS)]
    if len(fields) > MAX_FIELDS or not all(fields):
        return {}
    return {REPORT_NAMES.get(field[1], field[1]): float(field[2]) for field in fields if field}
