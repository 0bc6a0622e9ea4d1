"""Console calls, statsd text and counters of real programs have the form recorded from revision 300e9a1."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest
from recorded import record_forms

# Values in /overload that depend on the current load: a busy machine changes them, but not the form.
LOAD_VALUES = re.compile(
    r'"(?:(level) (?:calm|cautious|shedding|severe)'
    r'|(cause) (?:none|delay|cpu|memory|descriptors|backlog|queued))"'
)


def text_of(forms: object) -> str:
    """Return the forms as text with the known load values masked; an unknown value stays and fails the test."""
    return LOAD_VALUES.sub(lambda found: f'"{found[1] or found[2]} VALUE"', json.dumps(forms, indent=1))


@pytest.mark.parametrize("scenario", record_forms.SCENARIOS)
def test_console_answers_and_counters_have_the_recorded_names_and_forms(
    tmp_path: Path, scenario: str
) -> None:
    recorded = record_forms.load_recording("console")[scenario]
    forms, names = record_forms.run_scenario(scenario, tmp_path)
    assert text_of(forms) == text_of(recorded["forms"])
    assert names.keys() == recorded["names"].keys()
    optional_names = "|".join(record_forms.load_recording("stats_names"))
    for place, seen in names.items():
        always, sometimes = (set(recorded["names"][place][kind]) for kind in ("always", "sometimes"))
        assert always <= set(seen), place
        for name in set(seen) - always - sometimes:
            plain = re.sub(r"^svc\.|\|c$", "", name)
            assert re.fullmatch(optional_names, plain) or re.fullmatch(
                optional_names, plain.replace("_", " ")
            ), place


@pytest.mark.parametrize(
    ("line", "is_masked"), [("cause delay", True), ("cause weather", False), ("level 3", False)]
)
def test_only_the_known_levels_and_causes_of_load_are_masked(line: str, is_masked: bool) -> None:
    assert (text_of([line]) != json.dumps([line], indent=1)) is is_masked
