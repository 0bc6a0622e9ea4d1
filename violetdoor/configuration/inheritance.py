"""Merge the configuration that a predecessor has handed over with the process's own file."""

from __future__ import annotations

import orjson

from violetdoor.configuration.field_types import RawTable

# Keys that each process reads from its own file; all others are inherited from the predecessor.
PROCESS_KEYS = ("name", "listen", "console", "limits", "seed")


def merge_inherited(data: RawTable, inherited: bytes) -> RawTable:
    """Return the predecessor's configuration (JSON), with the values of PROCESS_KEYS taken from `data`."""
    predecessor: RawTable = orjson.loads(inherited)
    own_values = {key: data[key] for key in PROCESS_KEYS if key in data}
    return predecessor | own_values
