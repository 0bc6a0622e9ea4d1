"""Reads the files that named sets are loaded from."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

MAX_SET_FILES_BYTES = 64 << 20  # total for all files of one rules source
BYTES_PER_MIB = 1 << 20


class SetFilesTooLargeError(ValueError):
    """The set files of one rules source exceed MAX_SET_FILES_BYTES in total."""

    def __init__(self) -> None:
        """Set the message with the limit."""
        super().__init__(f"set files exceed the limit of {MAX_SET_FILES_BYTES // BYTES_PER_MIB} MiB in total")


class SetFileReader:
    """Reads each file once; `files` holds the texts of the files read and of those given at the start."""

    def __init__(self, folder: Path, files: Mapping[str, str]) -> None:
        """Read from a folder; `files` are already read, by name, and do not count towards the limit."""
        self.files = dict(files)
        self._folder = folder
        self._remaining_bytes = MAX_SET_FILES_BYTES

    def __call__(self, name: str) -> str:
        """Return a file's text; raises OSError, and ValueError above the limit or for invalid UTF-8."""
        if name not in self.files:
            with Path(self._folder, name).open("rb") as file:
                data = file.read(self._remaining_bytes + 1)
            self._remaining_bytes -= len(data)
            if self._remaining_bytes < 0:
                raise SetFilesTooLargeError
            self.files[name] = data.decode("utf-8")
        return self.files[name]
