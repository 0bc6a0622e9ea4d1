"""The configuration of a relay from an operator's file."""

from __future__ import annotations

import random
import socket
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import orjson

from violetdoor.balancing.settings import BalancerSettings, RequestClass
from violetdoor.configuration.errors import ConfigError, ViolationsError
from violetdoor.configuration.field_types import RawTable
from violetdoor.configuration.files import describe_violations, describe_without_locations, read_table
from violetdoor.configuration.inheritance import merge_inherited
from violetdoor.configuration.operator_checks import operator_violations
from violetdoor.configuration.operator_form import Fleet, Operator, Rules
from violetdoor.configuration.relay_config import Config
from violetdoor.configuration.validation import FieldViolation, form_violations
from violetdoor.fronts.line.options import LineOptions
from violetdoor.net.addresses import parse_address

if TYPE_CHECKING:  # otherwise imported only if the file uses them
    from violetdoor.control.relay.options import AttachmentOptions
    from violetdoor.fronts.nats.options import NatsOptions
    from violetdoor.rules.source import RulesSource

POLL_DEADLINE_MS = 10_000.0  # maximum time until a failed discovery call is repeated
SEED_BITS = 64


class ParsedOperatorFile(NamedTuple):
    """The form of an operator's file, or None with all violations in it."""

    form: Operator | None
    violations: list[FieldViolation]


class OperatorConfigSource:
    """Reads the configuration of a relay that an operator starts."""

    def __init__(self, path: Path) -> None:
        """`path`: the operator's file."""
        self.path = path

    def listen_address(self) -> str:
        """Return the address that clients connect to, as written in the file; empty if it can't be read."""
        try:
            return str(read_table(self.path)["listen"])
        except (KeyError, ConfigError):
            return ""

    def load(self, inherited: bytes = b"") -> Config:
        """Read the configuration for the start; raises ConfigError.

        `inherited` is the predecessor's configuration (JSON). It takes precedence over the file, except for
        PROCESS_KEYS.
        """
        return load_operator_config(self.path, inherited=inherited)

    def reload(self) -> Config:
        """Read the file again; raises ConfigError."""
        return load_operator_config(self.path, is_reload=True)

    def parse_inherited(self, serialized: bytes) -> Config:
        """Return the current configuration of the other process of an upgrade; raises ConfigError."""
        return load_operator_config(self.path, is_reload=True, inherited=serialized)


def load_operator_config(path: Path, *, is_reload: bool = False, inherited: bytes = b"") -> Config:
    """Read an operator's file; raises ConfigError.

    `inherited` (JSON) takes precedence over the file, except for PROCESS_KEYS. Errors of a reload have no
    line numbers: the process is serving and can't wait for a parser to load.
    """
    data: RawTable = {}
    try:
        data = read_table(path)
    except ConfigError:
        if not inherited:
            raise
    if inherited:
        data = merge_inherited(data, inherited)
    form, violations = parse_operator_form(data)
    if form is None:
        describe = describe_without_locations if is_reload else describe_violations
        raise ViolationsError(describe(path, violations))
    return translate_operator_form(form, data, path)


def parse_operator_form(data: RawTable) -> ParsedOperatorFile:
    """Return the form of an operator's file, or all violations in it."""
    try:
        form = msgspec.convert(data, Operator)
    except msgspec.ValidationError as err:
        violations = form_violations(Operator, data) or [FieldViolation((), str(err))]
        return ParsedOperatorFile(None, violations)
    violations = list(operator_violations(form))
    return ParsedOperatorFile(None if violations else form, violations)


def translate_operator_form(form: Operator, data: RawTable, path: Path) -> Config:
    """Return the configuration for a valid file; raises ConfigError if its rules can't be read.

    `form` was converted from `data`. Paths in the file are relative to the folder of the file.
    """
    fleet = form.fleet
    return Config(
        name=form.name or socket.gethostname(),
        listen=parse_address(form.listen),
        discovery=parse_address(form.discovery) if form.discovery else None,
        seed=random.SystemRandom().getrandbits(SEED_BITS),
        settings=_balancer_settings(form),
        initial_server_list=_server_list(form),
        max_sockets=form.max_sockets,
        line=_line_options(form),
        reports_message_delay=True,
        console=parse_address(form.console) if form.console else None,
        serialized=orjson.dumps(data),
        is_from_platform=False,
        nats=_nats_options(form) if form.front == "nats" else None,
        overload=form.overload,
        fleet=_with_resolved_paths(fleet, path.parent) if fleet and fleet.listen else None,
        control=_attachment_options(fleet, path.parent) if fleet and fleet.control_addresses else None,
        log_format=form.log_format,
        rules=_rules_source(form, form.rules, path) if form.rules else None,
    )


def _balancer_settings(form: Operator) -> BalancerSettings:
    """Return the settings of the decision module, translated from the terms of the file."""
    classes = {
        request_class.name: RequestClass(
            latency_objective_ms=request_class.latency_objective_ms,
            priority_weight=request_class.priority_weight,
            message_latency_objective_ms=(
                request_class.message_latency_objective_ms or request_class.latency_objective_ms
            ),
        )
        for request_class in form.classes
    }
    return BalancerSettings(
        classes=classes,
        zone=form.zone,
        relay_count=form.relay_count,
        polls_server_list=bool(form.discovery),
        poll_deadline_ms=POLL_DEADLINE_MS,
        health_checks_report_load=False,
        max_attempts=form.max_attempts,
        max_retry_after_ms=form.max_retry_after_ms,
    )


def _server_list(form: Operator) -> RawTable:
    """Return the file's servers as a complete list in the format of discovery."""
    rows = []
    for server in form.servers:
        defaults = {"zone": form.zone, "id": server.address, "kind": "", "cell": 0}
        set_values = {key: value for key, value in msgspec.to_builtins(server).items() if value is not None}
        rows.append(defaults | set_values)
    return {"version": 0, "full": True, "servers": rows}


def _line_options(form: Operator) -> LineOptions:
    return LineOptions(
        deadlines_ms={request_class.name: request_class.deadline_ms for request_class in form.classes},
        connect_timeout_seconds=form.line.connect_timeout,
        tenants=frozenset(form.line.tenants),
    )


def _nats_options(form: Operator) -> NatsOptions:
    from violetdoor.fronts.nats.options import NatsOptions

    tenants = {user: (tenant.name, tenant.request_class) for tenant in form.tenants for user in tenant.users}
    return NatsOptions(tenants=tenants, **msgspec.structs.asdict(form.nats))


def _with_resolved_paths(fleet: Fleet, folder: Path) -> Fleet:
    state_file = str(folder / fleet.state_file) if fleet.state_file else None
    return msgspec.structs.replace(fleet, key_file=str(folder / fleet.key_file), state_file=state_file)


def _attachment_options(fleet: Fleet, folder: Path) -> AttachmentOptions:
    """Return the options for attaching to the control machines of the relay's region."""
    from violetdoor.control.relay.options import AttachmentOptions

    assert fleet.region is not None
    return AttachmentOptions(
        region=fleet.region,
        control_addresses=tuple(parse_address(address) for address in fleet.control_addresses),
        key_path=folder / fleet.key_file,
        advertised_address=parse_address(fleet.advertise) if fleet.advertise else None,
        lease_wait_seconds=fleet.start_timeout,
    )


def _rules_source(form: Operator, rules: Rules, path: Path) -> RulesSource:
    from violetdoor.configuration.rules_text import locate_rules

    return locate_rules(form, rules, path)
