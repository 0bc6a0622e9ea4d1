"""Fleets and control groups in virtual time send the same bytes as at revision 300e9a1."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from recorded import virtual_worlds

RECORDED = json.loads((Path(__file__).parent / "recorded" / "worlds.json").read_text())


@pytest.mark.parametrize("seed", virtual_worlds.SEEDS)
def test_fleet_sends_the_recorded_bytes(seed: int) -> None:
    assert virtual_worlds.fleet_run(seed) == RECORDED["fleet"][str(seed)]


@pytest.mark.parametrize("seed", virtual_worlds.SEEDS)
def test_control_plane_sends_the_recorded_bytes(seed: int) -> None:
    assert virtual_worlds.control_run(seed) == RECORDED["control"][str(seed)]


def test_member_hands_over_the_recorded_bytes() -> None:
    assert virtual_worlds.handed_over_by_fleet() == RECORDED["hand-over of fleet"]


def test_attachment_hands_over_the_recorded_bytes() -> None:
    assert virtual_worlds.handed_over_by_attachment() == RECORDED["hand-over of an attachment"]
