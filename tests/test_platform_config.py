"""The platform's file: error messages for invalid values."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from violetdoor.configuration.errors import ConfigError
from violetdoor.configuration.platform_config import FILE_VARIABLE, PlatformConfigSource

REQUEST_CLASS = {"name": "booking", "goalTime": 500.0, "hardLimit": 3000.0, "effect": "deduplicated"}


def platform_file(path: Path, **class_values: Any) -> Path:
    """Write a platform's file; `class_values` are added to those of its only request class."""
    settings = {"classes": [REQUEST_CLASS | class_values], "policyLimits": {"sendCap": 1}}
    data = {
        "name": "r1",
        "seed": 1,
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "settings": settings,
    }
    path.write_bytes(orjson.dumps(data))
    return path


@pytest.mark.parametrize("scope_name", ["server", "Zone", "ALL"])
def test_unknown_deduplication_scope_is_named_in_the_operators_words(
    scope_name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The error text is that of revision 300e9a1, although the names of the types have changed since."""
    path = platform_file(tmp_path / "relay.json", dedupScope=scope_name)
    monkeypatch.setenv(FILE_VARIABLE, str(path))
    with pytest.raises(ConfigError) as caught:
        PlatformConfigSource().load()
    assert str(caught.value) == f"{path}: ValueError {scope_name!r} is not a valid Scope"


@pytest.mark.parametrize("scope_name", ["all", "zone", "cell", "", None])
def test_known_deduplication_scopes_are_taken(
    scope_name: str | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(FILE_VARIABLE, str(platform_file(tmp_path / "relay.json", dedupScope=scope_name)))
    scope = PlatformConfigSource().load().settings.classes["booking"].deduplication_scope
    assert scope.value == (scope_name or "all")
