"""Sources of a relay's configuration, which is read at the start, at SIGHUP and in an upgrade."""

from __future__ import annotations

from pathlib import Path
from typing import Protocol

from violetdoor.configuration.platform_config import PlatformConfigSource
from violetdoor.configuration.relay_config import Config


class ConfigSource(Protocol):
    """Reads one relay's configuration."""

    def listen_address(self) -> str:
        """Return the address that clients connect to, as configured; empty if it can't be read."""

    def load(self, inherited: bytes = b"") -> Config:
        """Read the configuration for the start; raises ConfigError.

        `inherited`: the predecessor's configuration (JSON), empty without a predecessor. It takes precedence
        over the file.
        """

    def reload(self) -> Config:
        """Read the file again; raises ConfigError."""

    def parse_inherited(self, serialized: bytes) -> Config:
        """Return the current configuration of the other process of an upgrade; raises ConfigError."""


def config_source(path: Path | None) -> ConfigSource:
    """Return the source for an operator's file, or for the platform's environment if `path` is None."""
    if path is None:
        return PlatformConfigSource()
    from violetdoor.configuration.operator_config import (
        OperatorConfigSource,  # not loaded by a relay of the platform
    )

    return OperatorConfigSource(path)
