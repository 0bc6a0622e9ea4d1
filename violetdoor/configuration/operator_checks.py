"""Checks of an operator's file as a whole: contradictions, and references to undefined names.

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
from violetdoor.configuration.operator_form import Fleet, Operator
from violetdoor.configuration.validation import FieldViolation


def operator_violations(form: Operator) -> Iterator[FieldViolation]:
    """Yield all violations in a file that matches the operator's form."""
    yield from _class_violations(form)
    if (form.discovery is not None) == bool(form.servers):
        path = ("discovery",) if form.discovery else ()
        yield FieldViolation(path, "either discovery or servers is wanted")
    yield from _tenant_violations(form)
    if form.rules is not None and (form.rules.file is None) == (form.rules.text is None):
        yield FieldViolation(("rules",), "either file or text is wanted")
    if form.fleet is not None:
        yield from _fleet_violations(form, form.fleet)
    yield from address_violations(_addresses(form))


def _class_violations(form: Operator) -> Iterator[FieldViolation]:
    names: set[str] = set()
    for index, request_class in enumerate(form.classes):
        name = request_class.name
        if name in names:
            reason = f"found {name!r} a second time, expected each class once"
            yield FieldViolation(("classes", index, "name"), reason)
        names.add(name)


def _tenant_violations(form: Operator) -> Iterator[FieldViolation]:
    classes = {request_class.name for request_class in form.classes}
    for index, tenant in enumerate(form.tenants):
        if tenant.request_class not in classes:
            expected_names = ", ".join(sorted(classes))
            reason = f"unknown class {tenant.request_class!r}, expected one of {expected_names}"
            yield FieldViolation(("tenants", index, "class"), reason)
    if form.front == "line" and form.tenants:
        yield FieldViolation(("tenants",), "the line front has its tenants in line.tenants")
    if form.front == "nats" and not form.tenants and form.rules is None:
        reason = "'tenants' is missing: the NATS front lets in only those that tenants or rules name"
        yield FieldViolation((), reason)


def _addresses(form: Operator) -> Iterator[ValueAtPath]:
    yield ("listen",), form.listen
    yield ("console",), form.console
    yield ("discovery",), form.discovery
    if form.fleet is not None:
        yield from _fleet_addresses(form.fleet)
    for index, server in enumerate(form.servers):
        yield ("servers", index, "addr"), server.address


def _fleet_addresses(fleet: Fleet) -> Iterator[ValueAtPath]:
    yield ("fleet", "listen"), fleet.listen
    yield ("fleet", "advertise"), fleet.advertise
    for index, seed in enumerate(fleet.seeds):
        yield ("fleet", "seeds", index), seed
    for index, address in enumerate(fleet.control_addresses):
        yield ("fleet", "control", index), address
    for name, route in fleet.routes.items():
        yield ("fleet", "routes", name), route


def _fleet_violations(form: Operator, fleet: Fleet) -> Iterator[FieldViolation]:
    """Yield the violations in the table `fleet`, whether the relay keeps a view or attaches to a region."""
    if form.name is None:
        yield FieldViolation((), "'name' is missing: the others of a fleet know a relay by it")
    attaches = fleet.region is not None or bool(fleet.control_addresses)
    if attaches:
        yield from _attachment_violations(fleet)
    elif fleet.listen is None:
        reason = "'listen' is missing; a relay of a region has region and control instead"
        yield FieldViolation(("fleet",), reason)
    elif not fleet.seeds and form.name not in fleet.founders:
        reason = "neither seeds to ask nor itself among the founders: it would stay alone"
        yield FieldViolation(("fleet",), reason)
    yield from length_violations(_advertised_texts(form, fleet, form.listen if attaches else fleet.listen))


def _advertised_texts(form: Operator, fleet: Fleet, listen: str | None) -> Iterator[ValueAtPath]:
    """Yield the texts that this relay sends to other relays; it listens for those at `listen`."""
    yield ("name",), form.name
    yield ("zone",), form.zone
    yield ("fleet", "region"), fleet.region
    for index, founder in enumerate(fleet.founders):
        yield ("fleet", "founders", index), founder
    yield ("fleet", "advertise"), host_of(fleet.advertise or listen or "")


def _attachment_violations(fleet: Fleet) -> Iterator[FieldViolation]:
    """Yield the violations in the table `fleet` of a relay that attaches to control machines."""
    if fleet.region is None:
        reason = "'region' is missing: a relay attaches to the control machines of its region"
        yield FieldViolation(("fleet",), reason)
    if not fleet.control_addresses:
        reason = "'control' is missing: the addresses of the region's control machines"
        yield FieldViolation(("fleet",), reason)
    view_only_values = {
        "listen": fleet.listen,
        "seeds": fleet.seeds,
        "founders": fleet.founders,
        "state": fleet.state_file,
        "routes": fleet.routes,
    }
    for key, value in view_only_values.items():
        if value:
            reason = "a relay attaches to control machines or keeps a view: not both"
            yield FieldViolation(("fleet", key), reason)
    yield from duplicate_violations(("fleet", "control"), fleet.control_addresses)
