"""Record the operators' interfaces: schemas, console calls, statsd text, counters, commands and errors.

The JSON files beside this file were recorded with the code of revision 300e9a1, from the root of its
worktree, by

    PYTHONPATH=tests:. .venv/bin/python -m recorded.record_forms

and must not be recorded again: a difference is a change of an interface that operators use. The program is
accessed only through its command line, sockets and signals, so that its internal names may change.

A recording keeps the order and names of keys, the types of values and the text of errors, but no values.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator, Sequence
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from standins import ROOT, TIMEOUT_SECONDS, Discovery, GateServer, NatsServer, Relay, relay, run, wait_until

FOLDER = Path(__file__).parent
RUNS = 3  # runs of each scenario, to distinguish names that always occur from those that sometimes occur
KEY = b"0123456789abcdef0123456789abcdef"
TYPES = {str: "string", int: "integer", float: "number", bool: "boolean", type(None): "null"}
COUNTS = "counts"  # JSON key of an object whose keys depend on what happened in the run


def load_recording(name: str) -> Any:
    """Read a recording."""
    return json.loads((FOLDER / f"{name}.json").read_text())


def save_recording(name: str, data: Any) -> None:
    """Write a recording."""
    (FOLDER / f"{name}.json").write_text(json.dumps(data, indent=1) + "\n")


ENVIRONMENT = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
ENVIRONMENT |= {"COLUMNS": "200"}


def run_command(*args: str, **env: str) -> subprocess.CompletedProcess[str]:
    """Run the program until it exits, without a terminal."""
    return subprocess.run(
        [sys.executable, "-m", "violetdoor", *args], cwd=ROOT, capture_output=True, text=True, timeout=60,
        env=ENVIRONMENT | env, stdin=subprocess.DEVNULL,
    )  # fmt: skip


class Invocation(NamedTuple):
    """Arguments of the command line, and variables added to its environment."""

    args: tuple[str, ...]
    env: dict[str, str]


class InvocationResult(NamedTuple):
    """Exit status and output of an invocation."""

    status: int | str  # "serves" if the program accepted clients and was then terminated
    out: str
    err: str


# Imports the program once, then forks a process for each invocation, which is faster than starting anew.
FORK_SCRIPT = """
import json, os, signal, sys, time
import click, lark, msgspec, orjson, uvloop
from violetdoor.__main__ import main

def child(args, env, paths):
    for number, path in zip((1, 2), paths):
        os.dup2(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), number)
    os.environ.update(env)
    sys.argv = ["violetdoor", *args]
    sys.exit(main())

folder, invocations = json.load(sys.stdin)
with open(os.devnull, "w") as sys.stdout, open(os.devnull, "w") as sys.stderr:
    for form in ("operator", "platform", "control"):
        bad = os.path.join(folder, "bad.json")
        with open(bad, "w") as file:
            file.write('{"listen": 7}')
        sys.argv = ["violetdoor", "config", "check", "--form", form, bad]
        main()
sys.stdout, sys.stderr = sys.__stdout__, sys.__stderr__
results = []
for args, env in invocations:
    paths = [os.path.join(folder, name) for name in ("stdout", "stderr")]
    if not (pid := os.fork()):
        child(args, env, paths)
    served, deadline = False, time.monotonic() + 60
    while True:
        exited_pid, status = os.waitpid(pid, os.WNOHANG)
        if exited_pid:
            break
        if not served and os.path.exists(paths[1]) and "listening on" in open(paths[1]).read():
            served = True
            os.kill(pid, signal.SIGTERM)
        if time.monotonic() > deadline:
            os.kill(pid, signal.SIGKILL)
        time.sleep(0.002)
    code = "serves" if served else os.waitstatus_to_exitcode(status)
    results.append([code, *(open(path).read() for path in paths)])
    for path in paths:
        os.unlink(path)
print(json.dumps(results))
"""


def run_invocations(invocations: Sequence[Invocation]) -> list[InvocationResult]:
    """Run each invocation of the command line in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        done = subprocess.run(
            [sys.executable, "-c", FORK_SCRIPT], cwd=ROOT, capture_output=True, text=True, timeout=600,
            env=ENVIRONMENT, input=json.dumps([folder, invocations]),
        )  # fmt: skip
    assert done.returncode == 0, done.stderr
    return [InvocationResult(*result) for result in json.loads(done.stdout)]


# Schemas.

SCHEMAS = {
    "operator": ("config", "schema", "--form", "operator"),
    "platform": ("config", "schema", "--form", "platform"),
    "control": ("config", "schema", "--form", "control"),
    "faults": ("faults", "schema"),
}


def schema(name: str) -> Any:
    """Return a printed schema with references expanded and without class names and docstrings."""
    done = run_command(*SCHEMAS[name])
    assert done.returncode == 0, done.stderr
    data = json.loads(done.stdout)
    return _expand_references(data, data.get("$defs", {}), ())


def _expand_references(node: Any, definitions: dict[str, Any], enclosing: tuple[str, ...]) -> Any:
    """Expand references in a node; `enclosing` are the names of the definitions around it."""
    if isinstance(node, list):
        return [_expand_references(item, definitions, enclosing) for item in node]
    if not isinstance(node, dict):
        return node
    if "$ref" in node:
        target = node["$ref"].rpartition("/")[2]
        rest = {key: value for key, value in node.items() if key not in ("$ref", "$defs")}
        depth = f"itself, {len(enclosing) - enclosing.index(target)} up" if target in enclosing else None
        referred = depth or _expand_references(definitions[target], definitions, (*enclosing, target))
        return {"refers to": referred} | _expand_references(rest, definitions, enclosing)
    masked = {"title", "description", "$defs"} if "title" in node else {"$defs"}  # only classes have titles
    kept = {}
    for key, value in node.items():
        if key in masked:
            continue
        if key in ("default", "enum", "const", "examples"):
            kept[key] = value
        elif key == "properties":
            kept[key] = {
                name: _expand_references(schema_node, definitions, enclosing)
                for name, schema_node in value.items()
            }
        else:
            kept[key] = _expand_references(value, definitions, enclosing)
    return kept


def schemas() -> dict[str, Any]:
    """Return all schemas that the command line prints."""
    return {name: schema(name) for name in SCHEMAS}


# Forms of JSON and text.


def form(value: Any) -> Any:
    """Return keys in order with the types of their values; for a list, the distinct forms of its items."""
    if isinstance(value, dict):
        return {key: form(item) for key, item in value.items()}
    if isinstance(value, list):
        forms = {json.dumps(form(item)): form(item) for item in value}
        return [forms[text] for text in sorted(forms)]
    return TYPES[type(value)]


def statsd(text: str) -> list[str]:
    """Return the metric names and kinds of a statsd text in order."""
    return [re.sub(r":-?\d+\|", "|", line) for line in text.splitlines()]


def answer_form(status: int, text: str) -> dict[str, Any]:
    """Return the status of a console's answer and the form of its JSON or statsd, or its masked text."""
    if text.startswith("{"):
        return {"status": status, "json": form(json.loads(text))}
    if text.startswith("svc."):
        return {"status": status, "statsd": statsd(text)}
    text = re.sub(r"\b[0-9a-f]+/\d+/\d+\b", "ID/N/N", text)
    masked = re.sub(r"127(\.\d+){3}:\d+", "ADDRESS", re.sub(r"/tmp/\S+/", "FOLDER/", text))
    masked = re.sub(r"(?<![\w.])-?\d+(\.\d+)?(e[+-]?\d+)?(?![\w.])", "N", masked)
    return {"status": status, "text": masked.splitlines()}


def split_counts(node: Any, names: dict[str, list[str]], parent_path: str = "") -> Any:
    """Return a form without the names of counters, which are put into `names` by their path."""
    if isinstance(node, list):
        return [split_counts(item, names, parent_path) for item in node]
    if not isinstance(node, dict):
        return node
    kept: dict[str, Any] = {}
    for key, item in node.items():
        path = f"{parent_path}.{key}" if parent_path else key
        if key == COUNTS:
            assert set(item.values()) <= {"integer"}, (path, item)
            names[path] = sorted(item)
            kept[key] = "counts"
        elif key == "statsd" and any("control_sessions" in line for line in item):
            kept[key] = [line for line in item if line.endswith("|g")]
            names[path] = sorted(line for line in item if line.endswith("|c"))
        else:
            kept[key] = split_counts(item, names, path)
    return kept


# Running the program against stand-ins.


class Network:
    """Loopback addresses that only one scenario uses, on free ports."""

    def __init__(self) -> None:
        self.prefix = f"127.{100 + os.getpid() % 40}.{Random().randrange(256)}"
        self.addresses: dict[str, str] = {}

    def address_of(self, name: str) -> str:
        """Return the address assigned to a name; assign one on first use."""
        if name not in self.addresses:
            host = f"{self.prefix}.{len(self.addresses) + 1}"
            with socket.socket() as sock:
                sock.bind((host, 0))
                self.addresses[name] = f"{host}:{sock.getsockname()[1]}"
        return self.addresses[name]


def write_json(path: Path, data: Any) -> Path:
    """Write a JSON file."""
    path.write_text(json.dumps(data))
    return path


@contextlib.asynccontextmanager
async def control_machine(path: Path) -> AsyncIterator[Relay]:
    """Start a control machine and wait for its console."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "violetdoor", "control", "--config", str(path), cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    machine = Relay(process)
    try:
        await wait_until(lambda: machine.console[1] or process.returncode is not None)
        yield machine
    finally:
        status = await machine.stop()
    assert status == 0, machine.lines


async def wait_for_json(program: Relay, call: str, condition: Callable[[Any], bool]) -> Any:
    """Repeat a console call until its JSON fulfills a condition."""
    async with asyncio.timeout(2 * TIMEOUT_SECONDS):
        while True:
            status, text = await program.call(call)
            if status == 200 and condition(found := json.loads(text)):
                return found
            await asyncio.sleep(0.02)


async def wait_for_figure(program: Relay, name: str, minimum: int) -> None:
    """Read the figures of `/stats` until one of them is at least `minimum`."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while (await program.read_metrics()).get(name, 0) < minimum:
            await asyncio.sleep(0.01)


async def answer_forms(
    program: Relay, calls: Iterable[str], placeholders: dict[str, str] | None = None
) -> dict[str, Any]:
    """Make console calls in order and return the forms of their answers.

    `placeholders` map words in the calls to values that differ by run.
    """
    forms = {}
    for call in calls:
        recorded_call = call if len(call) < 200 else call[:20] + "..."
        for placeholder, value in (placeholders or {}).items():
            call = call.replace(placeholder, value)
        forms[recorded_call] = answer_form(*await program.call(call))
    return forms


PLAIN_CALLS = [
    "GET /healthcheck", "GET /stats", "PUT /healthcheck", "PUT /stats", "GET /nothing", "WHAT",
    "GET /" + "x" * 9000, "GET /overload", "GET /rules", "GET /fleet", "GET /control", "PUT /fleet/force",
    "PUT /gate-servers/nobody/maint", "PUT /gate-servers/nobody/ready", "GET /gate-servers/SERVER/maint",
    "PUT /gate-servers/SERVER/maint", "PUT /gate-servers/SERVER/ready", "DELETE /gate-servers/SERVER/ready",
    "PUT /gate-servers/SERVER/other",
]  # fmt: skip

PLATFORM_SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "checkin", "goalTime": 300.0, "hardLimit": 1200.0, "worth": 1.0},
        {"name": "booking", "goalTime": 500.0, "hardLimit": 1500.0, "worth": 3.0},
    ],
    "familyInfo": {"messageAim": [250.0, 50.0], "tellsDelay": True},
    "policyLimits": {"sendCap": 3, "retryAfter": True, "maxRetryAfter": 900.0, "connectTimeout": 200.0},
    "discovery": "on_request", "locality": "a", "balancers": 1, "period": 4.0,
    "rules": {"askWithin": 2000.0}, "report": {"how": "none"},
}  # fmt: skip


async def platform_relay(folder: Path) -> dict[str, Any]:
    """Run a relay with a platform configuration; return its calls, and its counters after some traffic."""
    async with GateServer() as server, Discovery(server) as discovery:
        path = write_json(folder / "platform.json", {
            "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "known": discovery.listed(),
            "settings": PLATFORM_SETTINGS, "console": "127.0.0.1:0",
        })  # fmt: skip
        async with relay(BALANCER_CONFIG=str(path)) as program:
            await wait_for_figure(program, "pool_size", 1)
            calls = await answer_forms(program, PLAIN_CALLS, {"SERVER": f"s-{server.address}"})
            counters = await line_traffic(program, server, path)
    return {"calls": calls, "counters": counters}


async def line_traffic(program: Relay, server: GateServer, path: Path) -> list[str]:
    """Have clients served, rejected and refused, reload twice; return the names of the counters in order."""

    async def open_client(values: bytes, number: int) -> tuple[bytes, asyncio.StreamWriter]:
        reader, writer = await program.open()
        writer.write(b"OPEN %016x 7f3a9c21e0b4d655 %b\r\n" % (number, values))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await reader.readline(), writer

    answer, established = await open_client(b"c=checkin,t=acme,d=1000,g=5c0f", 1)
    assert answer == b"UP r1\r\n"
    established.write(b"M 1\r\n")
    assert (await open_client(b"c=unknown,t=acme,d=1000", 2))[0] == b"ERR\r\n"
    server.first_answer = b"ERR\r\n"
    assert (await open_client(b"c=booking,t=acme,d=200", 3))[0].startswith(b"BUSY")
    reader, writer = await program.open()
    writer.write(b"nonsense\r\n")
    assert (await reader.read(-1)) is not None
    established.close()
    await wait_until(lambda: server.ended >= 2)
    good = path.read_text()
    for text, name in (("", "config_rejected"), (good, "config_applied")):
        path.write_text(text)
        program.process.send_signal(signal.SIGHUP)
        await wait_for_figure(program, name, 1)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while (await program.read_metrics())["active"]:
            await asyncio.sleep(0.01)
    return list(await program.counters())


RULES = """
define club = token(connect.user, 0);

rule "apps" when connect.user ends_with ".app" { class = "booking"; tenant = club ?? "others"; }

default { class = "checkin"; tenant = club ?? "others"; }
"""
CLASSES = [
    {"name": "checkin", "aim_ms": 300, "deadline_ms": 1200, "message_aim_ms": 250},
    {"name": "booking", "aim_ms": 500, "deadline_ms": 1500, "worth": 3.0},
]
FLEET_CALLS = [
    "GET /healthcheck", "GET /stats", "GET /overload", "PUT /overload", "GET /rules", "PUT /rules",
    "GET /fleet", "PUT /fleet", "PUT /fleet/force", "GET /fleet/nothing", "GET /control",
]  # fmt: skip


async def fleet_relays(folder: Path) -> dict[str, Any]:
    """Run two relays of one fleet with the NATS front, rules and load shedding."""
    network, names = Network(), ["r1", "r2"]
    (folder / "fleet.key").write_bytes(KEY)
    (folder / "club.rules").write_text(RULES)
    async with NatsServer() as server, contextlib.AsyncExitStack() as stack:
        starting = []
        for name in names:
            path = write_json(folder / f"{name}.json", {
                "name": name, "listen": "127.0.0.1:0", "console": "127.0.0.1:0", "classes": CLASSES,
                "rules": {"file": "club.rules"}, "overload": {"cores": 1.0, "memory_mb": 512},
                "servers": [{"id": "s1", "addr": server.address}],
                "fleet": {
                    "listen": network.address_of(name), "key": "fleet.key", "founders": names, "wait": 8.0,
                    "seeds": [network.address_of(other) for other in names if other != name],
                    "state": f"{name}.state",
                },
            })  # fmt: skip
            (folder / name).mkdir()
            starting.append(
                stack.enter_async_context(relay("--config", str(path), TMPDIR=str(folder / name)))
            )
        first, second = await asyncio.gather(*starting)
        for program in (first, second):
            await wait_for_json(
                program,
                "GET /fleet",
                lambda status: status["may_act"] and status["size"] == 2 and status["clear"],
            )
        await nats_client(first)
        owns = {(await program.call("GET /fleet/owns/orders"))[0] for program in (first, second)}
        calls = await answer_forms(first, FLEET_CALLS)
        calls["GET /fleet/owns/KEY, of both relays"] = sorted(owns)
        counters = list(await first.counters())
        left = await answer_forms(second, ["PUT /fleet/leave"])
        await wait_for_json(second, "GET /fleet", lambda status: status["standing"] == "left")
        left |= await answer_forms(second, ["GET /fleet", "GET /fleet/owns/orders", "GET /healthcheck"])
    return {"calls": calls, "left": left, "counters": counters}


async def nats_client(program: Relay) -> None:
    """Run a client that connects, subscribes and publishes to itself."""
    reader, writer = await program.open()
    connect = (
        b'CONNECT {"verbose":false,"pedantic":false,"user":"one.app","lang":"x","version":"1"}\r\nPING\r\n'
    )
    writer.write(connect)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while await reader.readline() != b"PONG\r\n":
            pass
        writer.write(b"SUB a 1\r\nPUB a 2\r\nhi\r\nPING\r\n")
        while await reader.readline() != b"PONG\r\n":
            pass
    await wait_for_figure(program, "ok.booking", 1)
    writer.close()


CONTROL_CALLS = [
    "GET /healthcheck", "PUT /healthcheck", "GET /stats", "PUT /stats", "GET /control", "PUT /control",
    "PUT /control/force", "GET /control/force", "GET /nothing",
]  # fmt: skip
ATTACHED_CALLS = [
    "GET /healthcheck", "GET /stats", "GET /fleet", "PUT /fleet", "GET /fleet/owns/orders",
    "GET /fleet/owner/orders", "PUT /fleet/owner/orders", "PUT /fleet/force", "GET /overload",
]  # fmt: skip


async def control_region(folder: Path) -> dict[str, Any]:
    """Run a control machine of one region and an attached relay; a second region is unreachable."""
    network = Network()
    (folder / "fleet.key").write_bytes(KEY)
    machine = write_json(folder / "c1.json", {"control": {
        "name": "c1", "region": "east", "listen": network.address_of("sessions"), "console": "127.0.0.1:0",
        "key": "fleet.key", "zone": "a", "group": {
            "listen": network.address_of("group"), "founders": ["c1"], "state": "c1.state",
        },
        "regions": {"east": [network.address_of("sessions")], "west": [network.address_of("nobody")]},
    }})  # fmt: skip
    async with GateServer() as server, control_machine(machine) as control:
        path = write_json(folder / "r1.json", {
            "front": "line", "name": "r1", "zone": "a", "listen": "127.0.0.1:0", "console": "127.0.0.1:0",
            "line": {"tenants": ["acme"]}, "classes": CLASSES, "servers": [{"id": "s1", "addr": server.address}],
            "fleet": {
                "region": "east", "control": [network.address_of("sessions")], "key": "fleet.key", "wait": 20.0,
            },
        })  # fmt: skip
        async with relay("--config", str(path), TMPDIR=str(folder)) as program:
            await wait_for_json(
                program,
                "GET /fleet",
                lambda status: status["clear"] and status["settled"] and status["living"]["total"] == 1,
            )
            await wait_for_json(
                control, "GET /control", lambda status: status["may_act"] and status["living"] == 1
            )
            attached = await answer_forms(program, ATTACHED_CALLS)
            machine_calls = await answer_forms(control, CONTROL_CALLS)
            machine_counters = list(await control.counters())
            counters = list(await program.counters())
            left = await answer_forms(program, ["PUT /fleet/leave", "GET /fleet", "GET /fleet/owns/orders"])
    return {
        "attached": attached, "left": left, "machine": machine_calls, "counters": counters,
        "machine counters": machine_counters,
    }  # fmt: skip


SCENARIOS: dict[str, Callable[[Path], Awaitable[dict[str, Any]]]] = {
    "platform_relay": platform_relay, "fleet_relays": fleet_relays, "control_region": control_region,
}  # fmt: skip


def run_scenario(name: str, folder: Path) -> tuple[Any, dict[str, list[str]]]:
    """Run a scenario; return the forms, and the names of the counters by their path in the result."""
    result: dict[str, Any] = {}

    async def run_and_store() -> None:
        result.update(await SCENARIOS[name](folder))

    run(run_and_store)
    names: dict[str, list[str]] = {}
    for key in [name for name in result if name.endswith("counters")]:
        counters = result.pop(key)
        assert counters == sorted(counters)
        names[f"SIGUSR1, {key}"] = counters
    return split_counts(result, names), names


# Commands.


def option_forms(text: str) -> list[str]:
    """Return a help page's options with metavars, defaults, ranges and whether they are required."""
    section = re.search(r"^Options:\n(.*?)(?:^\n|\Z)", text, re.M | re.S)
    assert section is not None, text
    found = []
    for block in re.split(r"^  (?=-)", section[1], flags=re.M)[1:]:
        flags, _, rest = re.sub(r"\n\s+", "  ", block.strip()).partition("  ")
        found.append(" ".join([flags, *re.findall(r"\[(?:default|required|[\d.]+<)[^\]]*\]", rest)]))
    return found


def help_pages(args: tuple[str, ...] = ()) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield usage, options, subcommands and exit statuses of a command and all its subcommands."""
    done = run_command(*args, "--help")
    assert done.returncode == 0, done.stderr
    text = done.stdout
    usage = " ".join(re.findall(r"^Usage: (.*?)\n\n", text, re.M | re.S)[0].split())
    section = re.search(r"^Commands:\n(.*?)(?:^\n|\Z)", text, re.M | re.S)
    commands = re.findall(r"^  (\S+)", section[1], re.M) if section else []
    status = re.search(r"^\s*(Exit status:.*?)\n(?:\n|\Z)", text, re.M | re.S)
    yield (
        " ".join(args),
        {
            "usage": usage,
            "options": option_forms(text),
            "commands": commands,
            "exit status": " ".join(status[1].split()) if status else None,
        },
    )
    for name in commands:
        yield from help_pages((*args, name))


CASES_FILE = '[[cases]]\nname = "one"\nrequest = {connect = {user = "a.app"}}\nexpect = {class = "%s"}\n'
COMMAND_LINES = [  # FOLDER stands for the folder of the files written by `write_files`
    "--help", "-h", "nothing", "--nothing", "serve --nothing", "config", "config check", "config check FOLDER/no.json",
    "config check FOLDER/operator.json", "config check --form platform FOLDER/platform.json",
    "config check --form control FOLDER/control.json", "config check --form nothing FOLDER/operator.json",
    "config schema", "config schema --form nothing", "control", "control status", "control status --console 127.0.0.1:1",
    "control --config FOLDER/no.json", "fleet view", "fleet view --console 127.0.0.1:1", "fleet view --config FOLDER/operator.json",
    "fleet members --console 127.0.0.1:1", "fleet leave --console 127.0.0.1:1", "fleet force --yes --console 127.0.0.1:1",
    "rules check FOLDER/good.rules", "rules check --limit-us 0.001 FOLDER/good.rules", "rules check FOLDER/bad.rules",
    "rules check FOLDER/operator.json", "rules explain FOLDER/good.rules {}", "rules explain FOLDER/good.rules {",
    "rules explain --json FOLDER/good.rules {}", 'rules explain FOLDER/good.rules {"no":1}', "rules test FOLDER/good.rules FOLDER/pass.toml",
    "rules test FOLDER/good.rules FOLDER/fail.toml", "rules test FOLDER/good.rules FOLDER/no.toml", "rules bench FOLDER/good.rules FOLDER/no.toml",
    "rules bench FOLDER/good.rules FOLDER/pass.toml --rounds 0", "faults run", "faults run FOLDER/operator.json",
    "faults random --print", "faults random --count 0", "faults report FOLDER/no", "demo --fault nothing", "demo --seconds 1",
    "--config FOLDER/no.json", "serve", "serve --config FOLDER/no.json", "",
]  # fmt: skip


def operator_data() -> dict[str, Any]:
    """Return the contents of a valid operator's file."""
    return {
        "front": "line", "name": "r1", "listen": "127.0.0.1:0", "classes": json.loads(json.dumps(CLASSES)),
        "line": {"tenants": ["acme"]}, "servers": [{"id": "s1", "addr": "127.0.0.1:9"}],
    }  # fmt: skip


def platform_data() -> dict[str, Any]:
    """Return the contents of a valid platform file."""
    return {
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f",
        "limits": {"sockets": 256}, "settings": json.loads(json.dumps(PLATFORM_SETTINGS)),
    }  # fmt: skip


def control_data() -> dict[str, Any]:
    """Return the contents of a valid file of a control machine."""
    return {"control": {
        "name": "c1", "region": "east", "listen": "127.0.0.1:9", "key": "fleet.key",
        "group": {"listen": "127.0.0.1:9", "founders": ["c1"]},
        "regions": {"east": ["127.0.0.1:9"]},
    }}  # fmt: skip


def write_files(folder: Path) -> None:
    """Write the files that the command lines name."""
    write_json(folder / "operator.json", operator_data())
    write_json(folder / "platform.json", platform_data())
    write_json(folder / "control.json", control_data())
    (folder / "fleet.key").write_bytes(KEY)
    (folder / "good.rules").write_text(RULES)
    (folder / "bad.rules").write_text('rule "x" when nothing.here == 1 { class = "checkin"; }\n')
    (folder / "pass.toml").write_text(CASES_FILE % "booking")
    (folder / "fail.toml").write_text(CASES_FILE % "checkin")


def run_uses(folder: Path) -> dict[str, Any]:
    """Run each command line; return its exit status, and its standard error if the status is not 0."""
    write_files(folder)
    invocations = [
        Invocation(tuple(text.replace("FOLDER", str(folder)).split()), {}) for text in COMMAND_LINES
    ]
    found = {}
    for text, done in zip(COMMAND_LINES, run_invocations(invocations), strict=True):
        lines = done.err.replace(str(folder), "FOLDER").splitlines()
        if lines and lines[0].startswith("Usage:") and not any(line.startswith("Error:") for line in lines):
            lines = lines[:1]  # a help page: the text of its other lines is not recorded
        if done.status:
            output = {"stdout lines": len(done.out.splitlines()), "stderr": lines}
        else:
            output = {"prints": bool(done.out), "stderr lines": len(lines)}
        found[text] = {"status": done.status} | output
    return found


# Invalid files of each form: changes to a valid file as pairs of path and value, or a whole text.

Change = tuple[str, Any]
ABSENT = object()  # as a value: remove the key
LONG_NAME = "x" * 65
FLEET = {"listen": "127.0.0.1:9", "key": "fleet.key", "founders": ["r1"]}
BAD_OPERATOR: dict[str, list[Change] | str] = {
    "not JSON": '{"listen": ', "not TOML": "listen = \n", "no table": "[]", "empty": "",
    "missing names": [("listen", ABSENT), ("classes.0.name", ABSENT), ("servers.0.addr", ABSENT)],
    "unknown names": [("lisen", "x"), ("classes.0.aim", 3), ("line.tenant", []), ("servers.0.wait", 1)],
    "wrong types": [("listen", 7), ("attempts", "3"), ("classes.0.aim_ms", "x"), ("servers.0.cell", "x")],
    "out of range": [("attempts", 0), ("classes.0.aim_ms", 0), ("classes.1.worth", -1), ("relays", 0)],
    "enums": [("front", "http"), ("log", "xml"), ("fleet", FLEET | {"wire": 3})],
    "addresses": [("listen", "nowhere"), ("servers.0.addr", "127.0.0.1:99999"), ("console", "127.0.0.1:x")],
    "address beyond": [("listen", "127.0.0.1:99999"), ("console", "127.0.0.1:70000")],
    "class twice": [("classes.1.name", "checkin")],
    "discovery and servers": [("discovery", "127.0.0.1:9")],
    "tenants of another front": [("tenants", [{"name": "a", "class": "no", "users": []}])],
    "no tenants": [("front", "nats")],
    "rules of both kinds": [("rules", {"file": "a", "text": "b"})],
    "rules file": [("rules", {"file": "absent.rules"})],
    "rules text": [("rules", {"text": "rule \"x\" when nothing.here == 1 { class = \"none\"; }"})],
    "fleet without name": [("name", ABSENT), ("fleet", {"key": "fleet.key"})],
    "fleet alone": [("fleet", FLEET | {"founders": []})],
    "fleet of both kinds": [("fleet", FLEET | {"region": "east", "control": ["127.0.0.1:9", "127.0.0.1:9"]})],
    "fleet half attached": [("fleet", {"region": "east", "key": "fleet.key"})],
    "fleet unknown": [("fleet", FLEET | {"seed": 1, "routes": {"r2": "x"}})],
    "fleet key": [("fleet", FLEET | {"key": "absent.key"})],
    "long names": [("name", LONG_NAME), ("zone", LONG_NAME), ("fleet", FLEET | {"founders": [LONG_NAME]})],
    "nats table": [("nats", {"max_payload": 0, "silence": "x", "pings": 1})],
    "overload table": [("overload", {"cores": 0, "memory": 1})],
}  # fmt: skip
BAD_PLATFORM: dict[str, list[Change] | str] = {
    "not JSON": '{"listen": ', "no object": "[]", "empty": "",
    "missing settings": [("settings", ABSENT)], "missing name": [("name", ABSENT)],
    "missing discovery": [("discovery", ABSENT)], "missing listen": [("listen", ABSENT)],
    "missing in settings": [("settings.classes.0.goalTime", ABSENT), ("settings.policyLimits", ABSENT)],
    "missing rules": [("settings.rules", ABSENT)],
    "no classes": [("settings.classes", [])],
    "wrong types": [("seed", []), ("settings.classes.0.hardLimit", "x"), ("limits.sockets", "x")],
    "out of range": [("settings.policyLimits.sendCap", 0), ("limits.sockets", 0), ("settings.balancers", 0)],
    "seed": [("seed", "xyz")], "address": [("listen", "nowhere")], "many": [
        ("settings.classes.0.hardLimit", 0), ("settings.classes.0.goalTime", 0),
        ("settings.classes.1.hardLimit", 0), ("settings.classes.1.name", ""), ("limits.sockets", 0),
    ],
}  # fmt: skip
BAD_CONTROL: dict[str, list[Change] | str] = {
    "not JSON": '{"control": ', "not TOML": "control = \n", "empty": "",
    "missing names": [("control.name", ABSENT), ("control.group.listen", ABSENT), ("control.regions", ABSENT)],
    "unknown names": [("controls", 1), ("control.regio", "x"), ("control.group.seed", []), ("control.limits", {"session": 1})],
    "wrong types": [("control.name", 7), ("control.regions.east", "x"), ("control.limits", {"sessions": "x"})],
    "out of range": [("control.limits", {"sessions": 0, "attaches": 0})],
    "addresses": [("control.listen", "nowhere"), ("control.group.listen", "127.0.0.1:99999"), ("control.regions.west", ["x"])],
    "own region": [("control.region", "north")],
    "empty region": [("control.regions.east", [])],
    "same address": [("control.regions.east", ["127.0.0.1:9", "127.0.0.1:9"])],
    "alone": [("control.group.founders", [])],
    "long names": [("control.name", LONG_NAME), ("control.zone", LONG_NAME)],
    "key": [("control.key", "absent.key")],
    "log": [("log", "xml")],
}  # fmt: skip


def apply_changes(data: Any, changes: Iterable[Change]) -> Any:
    """Set or remove values at paths, in place; return the data."""
    for path, value in changes:
        *steps, last = path.split(".")
        node = data
        for step in steps:
            node = node[int(step) if isinstance(node, list) else step]
        if value is ABSENT:
            del node[last]
        else:
            node[last] = value
    return data


FILE_FORMS: dict[str, tuple[Callable[[], Any], dict[str, list[Change] | str]]] = {
    "operator": (operator_data, BAD_OPERATOR), "platform": (platform_data, BAD_PLATFORM),
    "control": (control_data, BAD_CONTROL),
}  # fmt: skip


def invalid_file_invocations(folder: Path, name: str) -> Iterator[tuple[str, Invocation]]:
    """Yield the invocations that read each invalid file of a form, with the keys of their recordings."""
    (folder / "fleet.key").write_bytes(KEY)
    valid_data, invalid_files = FILE_FORMS[name]
    for case, changes in invalid_files.items():
        suffix = "toml" if case == "not TOML" else "json"
        path = folder / f"{name}-{case.replace(' ', '-')}.{suffix}"
        if isinstance(changes, str):
            path.write_text(changes)
        else:
            path.write_text(json.dumps(apply_changes(valid_data(), changes), indent=1))
        yield f"{case}, checked", Invocation(("config", "check", "--form", name, str(path)), {})
        if name == "platform":
            start = Invocation((), {"BALANCER_CONFIG": str(path)})
        else:
            start = Invocation((*(["control"] if name == "control" else []), "--config", str(path)), {})
        yield f"{case}, started", start


def config_errors(folder: Path, name: str) -> dict[str, Any]:
    """Read each invalid file of a form; return the exit status and all output, with paths masked."""
    cases = dict(invalid_file_invocations(folder, name))
    found = {}
    for case, done in zip(cases, run_invocations(list(cases.values())), strict=True):
        lines = (done.err + done.out).replace(str(folder), "FOLDER").splitlines()
        found[case] = {"status": done.status} | ({} if done.status == "serves" else {"lines": lines})
    return found


# Recording.


def counter_names() -> list[str]:
    """Return patterns of all counter names in the sources; some only occur by chance, e.g. under load."""
    texts = [path.read_text() for path in sorted((ROOT / "violetdoor").rglob("*.py"))]
    literal = {name for text in texts for name in re.findall(r'counts\[f?"(.+?)"\]', text)}
    literal |= {name for names in literal for name in re.split(r'" if .+ else "', names)}
    literal = {name for name in literal if '"' not in name}
    events = re.findall(r'"([a-z]+\.[a-z_]+)"', (ROOT / "violetdoor/events.py").read_text())
    patterns = {re.sub(r"\\{.*?\\}", ".+", re.escape(name)) for name in literal | set(events)}
    return sorted(patterns | {"dropped .+"})


def _temporary_folder(stack: contextlib.ExitStack) -> Path:
    return Path(stack.enter_context(tempfile.TemporaryDirectory()))


def main() -> None:
    """Record everything."""
    with contextlib.ExitStack() as stack:
        save_recording("schema", schemas())
        save_recording("commands", {"help": dict(help_pages()), "uses": run_uses(_temporary_folder(stack))})
        save_recording("errors", {name: config_errors(_temporary_folder(stack), name) for name in FILE_FORMS})
        recorded: dict[str, Any] = {}
        for name in SCENARIOS:
            results = [run_scenario(name, _temporary_folder(stack)) for _ in range(RUNS)]
            assert all(json.dumps(result[0]) == json.dumps(results[0][0]) for result in results), results
            counter_sets = {}
            for path in results[0][1]:
                sets = [set(result[1][path]) for result in results]
                always, ever = set.intersection(*sets), set.union(*sets)
                counter_sets[path] = {"always": sorted(always), "sometimes": sorted(ever - always)}
            recorded[name] = {"forms": results[0][0], "names": counter_sets}
        save_recording("console", recorded)
        save_recording("stats_names", counter_names())


if __name__ == "__main__":
    main()
