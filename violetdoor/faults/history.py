"""What happened in a run, in the order of one clock: a list of rows, kept as Parquet."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import orjson


class Row(msgspec.Struct, frozen=True):
    """Something that was seen: when (s from the start), at whom, what, and its values."""

    at: float
    who: str
    kind: str
    values: dict[str, Any]

    def __str__(self) -> str:
        told = " ".join(f"{k}={v}" for k, v in self.values.items())
        return f"{self.at:9.3f} {self.who:6s} {self.kind:16s} {told}"


class History:
    """Rows in the order of their time."""

    def __init__(self, rows: list[Row] | None = None) -> None:
        self.rows = rows or []

    def add(self, at: float, who: str, kind: str, **values: Any) -> None:
        """Write a row."""
        self.rows.append(Row(round(at, 4), who, kind, values))

    def sort(self) -> None:
        """Put rows in order: what relays tell arrives a little late."""
        self.rows.sort(key=lambda row: row.at)

    def of_kinds(self, *kinds: str) -> Iterator[Row]:
        """The rows of some kinds."""
        return (row for row in self.rows if row.kind in kinds)

    def tail(self, start: int) -> History:
        """From one row on."""
        return History(self.rows[start:])

    def save(self, path: Path) -> None:
        """Write as Parquet."""
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
        """Read again what was saved."""
        import pyarrow.parquet as pq

        table = pq.read_table(path).to_pydict()
        rows = zip(table["at"], table["who"], table["kind"], table["values"], strict=True)
        return cls([Row(at, who, kind, orjson.loads(values)) for at, who, kind, values in rows])
