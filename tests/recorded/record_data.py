"""Record the bytes of upgrades, the bans file and the client protocols with the code of revision 300e9a1.

`PYTHONPATH=.:tests .venv/bin/python tests/recorded/record_data.py` writes `upgrade.json`, `bans.json` and
`wire.json` beside this file. Existing files are not overwritten: recorded bytes must not be recorded again.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path

import test_recorded_bans
import test_recorded_upgrade
import test_recorded_wire

FOLDER = Path(__file__).parent


def main() -> None:
    """Write the files that are missing."""
    for name, sample in (
        ("bans", test_recorded_bans.sample),
        ("upgrade", test_recorded_upgrade.sample),
        ("wire", test_recorded_wire.sample),
    ):
        path = FOLDER / f"{name}.json"
        if path.exists():
            print(f"{path.name} exists and is not overwritten")
            continue
        with tempfile.TemporaryDirectory() as folder:
            values = asyncio.run(sample(Path(folder)))
        path.write_text(json.dumps(values, indent=1) + "\n")
        print(f"{path.name}: {len(values)} values recorded")


if __name__ == "__main__":
    main()
