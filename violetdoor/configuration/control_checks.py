"""Checks of a control machine's file as a whole: values that contradict each other.

The file already matches its form: see `validation`.
"""

from __future__ import annotations

from collections.abc import Iterator

from violetdoor.configuration.common_checks import (
    ValueAtPath,
    address_violations,
    duplicate_violations,
    host_of,
    length_violations,
)
from violetdoor.configuration.control_form import Control, ControlFile
from violetdoor.configuration.validation import FieldViolation


def control_violations(form: ControlFile) -> Iterator[FieldViolation]:
    """Yield all violations in a file that matches the control machine's form."""
    control = form.control
    yield from _region_violations(control)
    if not control.group.seeds and control.name not in control.group.founders:
        reason = "neither seeds to ask nor itself among the founders: it would stay alone"
        yield FieldViolation(("control", "group"), reason)
    yield from length_violations(_advertised_texts(control))
    yield from address_violations(_addresses(control))


def _region_violations(control: Control) -> Iterator[FieldViolation]:
    path = ("control", "regions")
    if control.region not in control.regions:
        yield FieldViolation(path, f"the machine's own region {control.region!r} is missing")
    for region, addresses in control.regions.items():
        if not addresses:
            reason = "found no address, expected those of its control machines"
            yield FieldViolation((*path, region), reason)
        yield from duplicate_violations((*path, region), addresses)


def _advertised_texts(control: Control) -> Iterator[ValueAtPath]:
    """Yield the texts that this machine sends to other machines and relays."""
    yield ("control", "name"), control.name
    yield ("control", "zone"), control.zone
    yield ("control", "region"), control.region
    for region in control.regions:
        yield ("control", "regions", region), region
    group = control.group
    for index, founder in enumerate(group.founders):
        yield ("control", "group", "founders", index), founder
    yield ("control", "group", "advertise"), host_of(group.advertise or group.listen)


def _addresses(control: Control) -> Iterator[ValueAtPath]:
    group = control.group
    yield ("control", "listen"), control.listen
    yield ("control", "console"), control.console
    yield ("control", "group", "listen"), group.listen
    yield ("control", "group", "advertise"), group.advertise
    for index, seed in enumerate(group.seeds):
        yield ("control", "group", "seeds", index), seed
    for region, addresses in control.regions.items():
        for index, address in enumerate(addresses):
            yield ("control", "regions", region, index), address
