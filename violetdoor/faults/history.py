"""The history of a run: rows in the order of one clock, stored as Parquet."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import orjson


class Row(msgspec.Struct, frozen=True):
    """One observation: seconds since the start, the relay, server or client, the kind, and its values."""

    at: float
    who: str
    kind: str
    values: dict[str, Any]

    def __str__(self) -> str:
        values = " ".join(f"{k}={v}" for k, v in self.values.items())
        return f"{self.at:9.3f} {self.who:6s} {self.kind:16s} {values}"


class History:
    """The rows of a run, ordered by time once sorted."""

    def __init__(self, rows: list[Row] | None = None) -> None:
        self.rows = rows or []

    def add(self, at: float, who: str, kind: str, **values: Any) -> None:
        """Append a row."""
        self.rows.append(Row(round(at, 4), who, kind, values))

    def sort(self) -> None:
        """Sort rows by time: the events of relays arrive slightly late."""
        self.rows.sort(key=lambda row: row.at)

    def of_kinds(self, *kinds: str) -> Iterator[Row]:
        """Iterate over the rows of these kinds."""
        return (row for row in self.rows if row.kind in kinds)

    def tail(self, start: int) -> History:
        """Return the history from one row on."""
        return History(self.rows[start:])

    def save(self, path: Path) -> None:
        """Write the history as Parquet."""
        import pyarrow as pa
        import pyarrow.parquet as pq

        rows = self.rows
        table = pa.table({
            "at": pa.array([r.at for r in rows], pa.float64()),
            "who": pa.array([r.who for r in rows], pa.string()),
            "kind": pa.array([r.kind for r in rows], pa.string()),
            "values": pa.array([orjson.dumps(r.values).decode() for r in rows], pa.string()),
        })  # fmt: skip
        pq.write_table(table, path, compression="zstd")

    @classmethod
    def load(cls, path: Path) -> History:
        """Read a history that `save` wrote."""
        import pyarrow.parquet as pq

        table = pq.read_table(path).to_pydict()
        rows = zip(table["at"], table["who"], table["kind"], table["values"], strict=True)
        return cls([Row(at, who, kind, orjson.loads(values)) for at, who, kind, values in rows])
