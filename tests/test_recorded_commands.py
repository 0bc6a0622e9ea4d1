"""Commands, options, exit statuses and errors of files are those recorded from revision 300e9a1."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from recorded import record_forms


def test_all_commands_have_the_recorded_usage_options_and_defaults_in_order() -> None:
    recorded = record_forms.load_recording("commands")["help"]
    assert json.dumps(dict(record_forms.help_pages()), indent=1) == json.dumps(recorded, indent=1)


def test_uses_of_the_command_line_end_with_the_recorded_status_and_errors(tmp_path: Path) -> None:
    assert record_forms.run_uses(tmp_path) == record_forms.load_recording("commands")["uses"]


@pytest.mark.parametrize("form", record_forms.FILE_FORMS)
def test_bad_files_end_with_the_recorded_status_and_error_lines(tmp_path: Path, form: str) -> None:
    assert record_forms.config_errors(tmp_path, form) == record_forms.load_recording("errors")[form]
