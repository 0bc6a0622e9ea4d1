"""Writes the generated tables of `docs/CAPACITY.md` from the stored figures."""

from __future__ import annotations

from benchmarks.capacity.records import Store


def renew(store: Store) -> None:
    """Renew the page."""
