"""Reading the file with the key that all relays of a fleet share."""

from __future__ import annotations

from pathlib import Path

MIN_KEY_BYTES = 16  # size of a tag: a shorter key would be easier to guess than a tag
MAX_KEY_BYTES = 64  # longest key that BLAKE2b accepts


class KeyFileError(Exception):
    """The key file cannot be read or holds no valid key; the message has its path and the reason."""


class UnreadableKeyFileError(KeyFileError):
    """The operating system failed to read the key file."""

    def __init__(self, path: Path, reason: str | None) -> None:
        """Report the path and the operating system's error message."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class KeyLengthError(KeyFileError):
    """The key is too short or too long."""

    def __init__(self, path: Path, length: int) -> None:
        """Report the path and the length that was found, in bytes."""
        super().__init__(
            f"{path}: found {length} bytes, expected a key of {MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
        )
        self.path = path
        self.length = length


def read_key(path: Path) -> bytes:
    """Read the shared key: the file's bytes with surrounding whitespace removed. Raises KeyFileError."""
    try:
        key = path.read_bytes().strip()
    except OSError as err:
        raise UnreadableKeyFileError(path, err.strerror) from err
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise KeyLengthError(path, len(key))
    return key
