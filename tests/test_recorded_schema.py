"""The schemas that the command line prints are those recorded from revision 300e9a1."""

from __future__ import annotations

import json

import pytest
from recorded import record_forms


@pytest.mark.parametrize("name", record_forms.SCHEMAS)
def test_printed_schema_has_the_recorded_names_types_and_defaults_in_order(name: str) -> None:
    recorded = record_forms.load_recording("schema")[name]
    assert json.dumps(record_forms.schema(name), indent=1) == json.dumps(recorded, indent=1)
