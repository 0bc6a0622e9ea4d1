"""Match rules in a running relay: both fronts, reloads under load, upgrades; and the command line."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from nats_peers import Client
from standins import (
    ROOT,
    TIMEOUT_SECONDS,
    Discovery,
    GateServer,
    NatsServer,
    Relay,
    Standin,
    relay,
    run,
    wait_until,
)
from test_line import open_client, read_line, start_relay

from violetdoor.fronts.nats import fields as nats_fields
from violetdoor.fronts.nats.frames import Frame
from violetdoor.match.load import Loader
from violetdoor.rules.schemas import schema_of
from violetdoor.rules.source import EXIT_INVALID_RULES

# Modules of violetdoor.configuration that a relay with a platform configuration needs: not the operator's form,
# the validation, or the parser that locates errors in files.
PLATFORM_CONFIGURATION = {
    "completeness",
    "errors",
    "field_types",
    "inheritance",
    "platform_config",
    "platform_form",
    "relay_config",
    "sources",
}

CLASSES = [
    {"name": "booking", "aim_ms": 500, "deadline_ms": 3000},
    {"name": "checkin", "aim_ms": 300, "deadline_ms": 1000},
]


def config(tmp_path: Path, rules: str, *servers: Standin, **changed: Any) -> Path:
    """Write an operator's file and a rules file beside it; return the path of the former."""
    (tmp_path / "club.rules").write_text(rules)
    data = {"listen": "127.0.0.1:0", "console": "127.0.0.1:0", "retry_after_ms": 50, "classes": CLASSES,
            "rules": {"file": "club.rules"}, "servers": [{"addr": s.address} for s in servers]} | changed  # fmt: skip
    path = tmp_path / "relay.json"
    path.write_text(json.dumps(data))
    return path


@contextlib.asynccontextmanager
async def ruled(tmp_path: Path, rules: str, *servers: Standin, **changed: Any) -> AsyncIterator[Relay]:
    async with contextlib.AsyncExitStack() as stack:
        for server in servers:
            await stack.enter_async_context(server)
        path = config(tmp_path, rules, *servers, **changed)
        yield await stack.enter_async_context(relay("--config", str(path), TMPDIR=str(tmp_path)))


async def reload_rules(it: Relay, tmp_path: Path, rules: str, figure: str = "config_applied") -> None:
    """Change the rules file, send SIGHUP, and wait until this metric counts the reload."""
    before = (await it.read_metrics())[figure]
    (tmp_path / "club.rules").write_text(rules)
    it.process.send_signal(signal.SIGHUP)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while (await it.read_metrics())[figure] == before:
            await asyncio.sleep(0.01)


async def hits(it: Relay) -> dict[str, int]:
    status, text = await it.call("GET /rules")
    assert status == 200
    return {name: int(n) for name, n in re.findall(r"^(?:hits )?(.+): (\d+)$", text, re.M)}


def test_rules_classify_nats_clients(tmp_path: Path) -> None:
    """Rules match on user, first subject, headers and address, or refuse with a reason; else the default applies."""
    rules = """
    rule "old" when connect.version starts_with "0." { refuse "too old, \\"upgrade\\""; }
    rule "subject" when first.subject fits "booking.>" { class = "booking"; label by = "subject"; }
    rule "header" when first.headers["Kind"] == "b" and peer.address in home { class = "booking"; pool = "fast"; }
    rule "user" when connect.user in ["app", "phone"] { class = "booking"; tenant = connect.user ?? ""; }
    set home = prefixes { "127.0.0.0/8" };
    default { class = "checkin"; }
    """

    async def test() -> None:
        server = NatsServer()
        async with ruled(tmp_path, rules, server) as it:
            old = Client(*await it.open())
            assert (await old.line()).startswith(b"INFO")
            old.send(b'CONNECT {"version":"0.9"}')
            assert await old.line() == b"-ERR 'too old, ?upgrade?'"
            for first in (b"SUB booking.a.b 1", b"PING\r\nSUB booking.x 1"):
                by_subject = Client(*await it.open())
                await by_subject.line()
                by_subject.send(b'CONNECT {"verbose":false,"headers":true}', first)
                await by_subject.flush()
            header = Client(*await it.open())
            await header.line()
            header.send(b'CONNECT {"verbose":false,"headers":true}')
            header.send(b"HPUB a 21 23", b"NATS/1.0\r\nKind: b\r\n\r\nhi")
            await header.flush()
            user = await Client.connect(it, user="app")
            await user.flush()
            # Values that are invalid UTF-8, too long, or of the wrong type count as missing.
            odd = await Client.connect(it, user="x" * 300, name=7, lang=None)
            odd.send(b"SUB \xff\xfe 1")
            await odd.flush()
            assert await hits(it) == {"old": 1, "subject": 2, "header": 1, "user": 1, "default": 1,
                                      "label by=subject": 2, "pool fast": 1}  # fmt: skip
            figures = await it.read_metrics()
            assert figures["ok.booking"] == 4
            assert figures["ok.checkin"] == 1
            assert (await it.counters())["ruled_out"] == 1

    run(test)


def test_rules_classify_line_requests(tmp_path: Path) -> None:
    """Rules set class and tenant without changing the line, or refuse; an unknown class falls back to the default."""
    rules = """
    rule "blocked" when open.tenant == "gone" { refuse "no partner any more"; }
    rule "extra" when open.extra["vip"] == "1" { class = "booking"; group = hash(open.group ?? "", 8); }
    rule "as said" when open.tenant == "raw" { class = open.class ?? "checkin"; }
    default { class = "checkin"; }
    """

    async def test() -> None:
        server = GateServer()
        async with ruled(tmp_path, rules, server, front="line") as it:
            for values, answer in ((b"c=any,t=gone,d=900", b"ERR no partner any more\r\n"),
                                   (b"c=any,t=acme,vip=1,g=5c0f,d=2500", b"UP r1\r\n"),
                                   (b"c=any,t=acme,d=900", b"UP r1\r\n"), (b"t=raw,c=nosuch,d=900", b"UP r1\r\n"),
                                   (b"c=any,t=acme,d=29000", b"ERR\r\n")):  # fmt: skip
                reader, _ = await open_client(it, values)
                assert await read_line(reader) == answer, values
            assert server.opened[0].endswith(
                b"c=any,t=acme,vip=1,g=5c0f,d=" + server.opened[0].rpartition(b"=")[2]
            )
            figures = await it.read_metrics()
            assert figures["ok.booking"] == 1
            assert figures["ok.checkin"] == 2
            counts = await it.counters()
            assert counts["rules_failed"] == 1
            assert it.logged("unknown class 'nosuch'") == 1

    run(test)


def test_reload_under_load_replaces_the_complete_set_or_nothing(tmp_path: Path) -> None:
    """200 requests waiting for servers keep their verdicts across a reload; new ones get the new set."""

    def rules(cls: str, extra: str = "") -> str:
        other_rules = "".join(
            f'rule "r{n}" when open.tenant == "t{n}" {{ class = "checkin"; }}\n' for n in range(300)
        )
        return f'{other_rules}rule "all" when open.tenant == "acme" {{ class = "{cls}"; }}\n{extra}default {{}}\n'

    async def test() -> None:
        server = GateServer(first_answer=b"")
        async with ruled(tmp_path, rules("booking"), server, front="line") as it:
            waiting = [await open_client(it, b"c=checkin,t=acme,d=9000") for _ in range(200)]
            await wait_until(lambda: len(server.opened) > 0)
            while await hits(it) != {"all": 200}:
                await asyncio.sleep(0.01)
            for bad in (rules("nosuch"), rules("booking", "rule x {\n"), 'rule "r" when open.tenant', ""):
                await reload_rules(it, tmp_path, bad, "config_rejected")
            assert it.logged("unknown class 'nosuch'")
            assert await hits(it) == {"all": 200}
            await reload_rules(it, tmp_path, rules("checkin"))
            assert await hits(it) == {}
            server.first_answer = b"UP r1\r\n"
            later, _ = await open_client(it, b"c=booking,t=acme,d=900")
            assert await read_line(later) == b"UP r1\r\n"
            figures = await it.read_metrics()
            assert figures["ok.checkin"] == 1
            assert figures["tries.checkin"] >= 1
            for writer in server.writers:
                writer.write(b"UP r1\r\n")
            answers = await asyncio.gather(*(read_line(reader) for reader, _ in waiting))
            figures = await it.read_metrics()
            assert len(answers) == 200
            assert figures["ok.checkin"] == 1
            assert figures["ok.booking"] + figures["shed.booking"] + figures["errors.booking"] == 200

    run(test)


def test_successor_starts_with_the_set_in_force(tmp_path: Path) -> None:
    """Even if a set file no longer exists; and a reload in one process must reach the other."""
    rules = 'set known = strings from "known.txt";\nrule "known" when connect.user in known { class = "booking"; }\n'
    rules += 'default { class = "checkin"; }'

    async def test() -> None:
        (tmp_path / "known.txt").write_text("app\n")
        server = NatsServer()
        async with ruled(tmp_path, rules, server) as old:
            (tmp_path / "known.txt").unlink()
            (tmp_path / "club.rules").write_text("broken")
            async with relay("--config", str(tmp_path / "relay.json"), TMPDIR=str(tmp_path)) as new:
                assert new.logged("took over from the predecessor")
                await new.wait_for_health()  # until then the old process may accept the client
                client = await Client.connect(new, user="app")
                await client.flush()
                assert await hits(new) == {"known": 1}
                await reload_rules(
                    old, tmp_path, 'rule "new" when connect.user == "app" { class = "booking"; }\ndefault {}'
                )
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    while "hits known" in (await new.call("GET /rules"))[1]:
                        await asyncio.sleep(0.01)
                client = await Client.connect(new, user="app")
                await client.flush()
                assert await hits(new) == {"new": 1}

    run(test)


def test_a_plain_run_imports_no_library_beside_its_four(tmp_path: Path) -> None:
    """A relay with a platform configuration imports no rules, command line or second front."""

    async def test() -> None:
        async with (
            GateServer() as server, Discovery(server) as discovery,
            start_relay(tmp_path, discovery, PYTHONPROFILEIMPORTTIME="1") as it,
        ):  # fmt: skip
            reader, _ = await open_client(it)
            assert await read_line(reader) == b"UP r1\r\n"
            await it.counters()
            names = {text.rpartition("|")[2].strip() for text in it.lines if text.startswith("import time:")}
            top_level = {name.partition(".")[0] for name in names}
            from importlib.metadata import packages_distributions

            libraries = {
                "uvloop",
                "orjson",
                "msgspec",
                "typing_extensions",  # imported by msgspec
                "httptools",
            }
            assert {n for n in top_level & packages_distributions().keys() if n[0] != "_"} == libraries
            own_modules = {n for n in names if n.startswith("violetdoor.")}
            assert not [n for n in own_modules if n.split(".")[1] in ("match", "rules", "cli") or "nats" in n]
            configuration = {
                n.rpartition(".")[2] for n in own_modules if n.startswith("violetdoor.configuration.")
            }
            assert configuration == PLATFORM_CONFIGURATION
            assert not names & {"argparse", "tomllib", "secrets"}

    run(test)


# The command line.


def command(*args: str, text: str = "") -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "-m", "violetdoor", *args], input=text, capture_output=True, text=True,
                          cwd=ROOT, check=False, timeout=60)  # fmt: skip


CLUBS = ["examples/rules/clubs.rules", "examples/rules/clubs.cases.toml"]


def test_rules_are_checked_explained_tried_and_measured(tmp_path: Path) -> None:
    done = command("rules", "check", CLUBS[0])
    assert done.returncode == 0
    assert "5 rules, up to" in done.stdout
    done = command("rules", "test", *CLUBS)
    assert done.returncode == 0
    assert done.stdout == "5 passed, 0 failed\n"
    cases = tmp_path / "cases.toml"
    cases.write_text(
        '[[cases]]\nname = "n"\nrequest = { "connect.user" = "a" }\nexpect = { class = "vip" }\n'
    )
    done = command("rules", "test", CLUBS[0], str(cases))
    assert done.returncode == 1
    assert "n: class: found 'checkin', expected 'vip'" in done.stdout
    done = command("rules", "explain", CLUBS[0], '{"connect": {"user": "sohar-strong.turnstile.1"}}')
    assert "'turnstiles stay in their branches' decides" in done.stdout
    assert "(connect.lang is missing" in done.stdout
    assert "refuse 'no turnstile is there'" in done.stdout
    done = command("rules", "explain", "--json", CLUBS[0], '{"connect.user": "a.app.1"}')
    explanation = json.loads(done.stdout)
    assert explanation["verdict"]["rule"] == "default"
    assert len(explanation["steps"]) == 6
    assert command("rules", "explain", CLUBS[0], '{"connect.usr": 1}').returncode == 2
    done = command("rules", "bench", "--rounds", "20", *CLUBS)
    assert done.returncode == 0
    assert done.stdout.startswith("100 decisions: p50 ")
    assert command("nosuch").returncode == 2
    assert command("--help").returncode == 0


# Slow data generation says nothing about the fields, and that health check failed on a busy machine.
@settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.binary(max_size=300), st.dictionaries(st.sampled_from(["user", "name", "lang", "version", "verbose"]),
                                                st.none() | st.integers() | st.text(max_size=300)))  # fmt: skip
def test_fields_of_a_request_are_bounded(raw: bytes, connect: dict[str, Any]) -> None:
    """Oversized fields from a client must not make rules cost more than their limit."""
    frame = Frame("HPUB", (raw, b"1", b"2"), raw, b"NATS/1.0\r\n" + raw)
    request = nats_fields.rule_request(connect, frame, ("::1%eth0", 1))
    for value, field in zip(request, nats_fields.SCHEMA.fields.values(), strict=True):
        texts = (
            [*value, *value.values()]
            if isinstance(value, dict)
            else [value]
            if isinstance(value, str)
            else []
        )
        assert all(len(v.encode()) <= field.max_bytes for v in texts)
        assert not isinstance(value, dict) or len(value) <= field.max_entries


def test_examples_of_the_reference_page_are_true() -> None:
    """Each example on the page must compile and produce the result that the page states."""
    page = (ROOT / "docs" / "operators" / "rules.md").read_text()
    blocks = re.findall(r"```rules (\w+)\n(.*?)```", page, re.S)
    assert len(blocks) >= 3
    for name, text in blocks:
        Loader(schema_of(name)).load(text if "default" in text else text + "\ndefault {}")
    rows = re.findall(r"^\| `(.+?)` \| `(.+?)` \|", page, re.M)
    assert len(rows) >= 40
    for expression, expected in rows:
        plain = [part.replace("\\|", "|") for part in (expression, expected)]
        text = f'rule "r" when ({plain[0]}) == ({plain[1]}) {{}}\ndefault {{}}'
        if plain[1] in ("true", "false"):
            text = f'rule "r" when {"" if plain[1] == "true" else "not "}({plain[0]}) and peer.port >= 0 {{}}\ndefault {{}}'
        rules = Loader(schema_of("line"), limit_us=1e6).load(text).build()
        request = [bytes([10, 1, 2, 3]), 4000, "9b1f", "7f3a", "booking", "acme.north", None, 12.5, 2_000_000, False, True,
                   {"site": "muscat-7"}]  # fmt: skip
        assert rules.decide(tuple(request)).rule == "r", expression


def test_worker_reports_each_fault_on_a_line() -> None:
    source = {"front": "nats", "text": "rule", "file": "f", "folder": ".", "classes": [], "limit_us": 250.0}
    done = subprocess.run([sys.executable, "-m", "violetdoor.rules.worker"], input=json.dumps(source).encode(),
                          capture_output=True, check=False, timeout=60)  # fmt: skip
    assert done.returncode == EXIT_INVALID_RULES == 2
    assert b"f:1:" in done.stderr
    assert b"Traceback" not in done.stderr


def test_the_demo_shows_a_client_that_goes_on() -> None:
    done = command("demo", "--seconds", "5", "--fault", "cut")
    assert done.returncode == 0, done.stdout + done.stderr
    assert 'by rule "the demo\'s client"' in done.stdout
    assert "breaks its connections" in done.stdout
    assert re.search(r"relay: server toy-[12] disconnected$", done.stdout, re.M), done.stdout
    assert " 0 lost, 0 twice" in done.stdout
    assert not done.stderr
