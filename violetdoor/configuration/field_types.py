"""Field types that the forms of several configuration files share, and the JSON Schema of a form.

A form is a msgspec struct for one table of a file. If the file's key differs from the term that the code
uses, `field(name=...)` gives the key, so that only the forms contain both. `violetdoor config schema` prints
the names and docstrings of the forms.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(min_length=1)]
Address = Annotated[str, Meta(pattern=r"^.*:[0-9]{1,5}$", description="host:port")]

# A table of a file as the parser returns it: its keys and values are not validated yet.
RawTable = dict[str, Any]


class StrictTable(Struct, forbid_unknown_fields=True):
    """A table in which unknown keys are violations."""


def json_schema(form: Any) -> RawTable:
    """Return the JSON Schema of a form."""
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **msgspec.json.schema(form)}
