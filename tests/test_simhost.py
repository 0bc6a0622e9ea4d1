"""The simulator adapter: round trip, invalid input, exceptions, and the README's example."""

import io
import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from violetdoor.balancing.events import ConnectionMeasured
from violetdoor.balancing.platform_settings import parse_platform_settings
from violetdoor.simhost.host import serve
from violetdoor.simhost.wire import read_event

ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "accounts": [{"name": "one", "share": 1.0}],
    "classes": [{"name": "feed", "goalTime": 300.0, "effect": "idempotent", "worth": 2.0, "new": 1}],
    "familyInfo": {"messageAim": [50.0]},
    "policyLimits": {"sendCap": 3, "retryAfter": True, "maxRetryAfter": 900.0, "probes": False},
    "report": {"how": "none", "columns": []},
    "locality": "a",
    "period": 5.0,
    "unheard_of": {"x": 1},
}
START = ["NewInstance", 1, 7, SETTINGS]
LIST = ["Targets", 1, "remembered", 4, [["10.0.0.1:80", "a", "k", 0, "on", 1, None]]]
QUERY = ["Query", 1, 11, "feed", "one", None, 2000.0, 5.0, None, False, False, False]


def exchange(*batches: tuple[float, list[Any]]) -> list[list[Any]]:
    source = io.StringIO("".join(json.dumps({"wall": w, "items": items}) + "\n" for w, items in batches))
    sink = io.StringIO()
    serve(source, sink)
    return [json.loads(line)["steps"] for line in sink.getvalue().splitlines()]


def test_request_is_attempted_and_its_end_is_accepted() -> None:
    ended = ["Ended", 1, 11, "10.0.0.1:80", 9.0, True, "success", 0, None]
    replies = exchange((10.0, []), (20.0, [START, LIST]), (30.0, [QUERY]), (50.0, [ended]))
    assert replies[0] == []
    sends = [s for s in replies[2] if s[0] == "PassOn"]
    assert [s[:3] + s[4:] for s in sends] == [["PassOn", 1, 11, "10.0.0.1:80"]]
    assert not [s for s in replies[3] if s[0] != "Defer"]


def test_platform_settings_are_translated() -> None:
    settings = parse_platform_settings(SETTINGS)
    assert settings.classes["feed"].priority_weight == 2.0
    assert settings.classes["feed"].message_latency_objective_ms == 50.0
    assert settings.max_retry_after_ms == 900.0
    assert not settings.health_checks_report_load


def test_instances_are_independent() -> None:
    alone = exchange((20.0, [START, LIST]), (30.0, [QUERY]))
    other = [["NewInstance", 2, 9, SETTINGS], ["Targets", 2, *LIST[2:]]]
    both = exchange((20.0, [*other, START, LIST]), (30.0, [["Query", 2, *QUERY[2:]], QUERY]))
    assert [[s for s in r if s[1] == 1] for r in both] == alone


def test_load_measurements_are_converted_from_microseconds() -> None:
    event = read_event(["HintUpdate", 1, 11, 0, "h", 1, 5000.0])
    assert event is not None
    assert isinstance(event, ConnectionMeasured)
    assert event.value == 5.0


@pytest.mark.parametrize(
    ("line", "names"),
    [
        ("not json", "batch"),
        ('{"wall": 1}', "batch"),
        ('{"wall":1,"items":[["Nonsense",1]]}', "Nonsense"),
        ('{"wall":1,"items":[["Query",1,2]]}', "Query"),
        ('{"wall":1,"items":[["Abandoned",4,2]]}', "instance 4"),
        ('{"wall":1,"items":["x"]}', "message"),
        ('{"wall":1,"items":[["NewInstance",1,7,{"classes":[{}]}]]}', "NewInstance"),
    ],
)
def test_protocol_error_gives_one_line_and_an_exit_status(line: str, names: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "violetdoor.simhost"],
        input=line + "\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert done.returncode != 0
    assert done.stdout == ""
    assert len(done.stderr.splitlines()) == 1
    assert names in done.stderr
    assert "Traceback" not in done.stderr


def test_end_of_input_exits_cleanly() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "violetdoor.simhost"],
        input='{"wall":1,"items":[]}\n',
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert (done.returncode, done.stdout, done.stderr) == (0, '{"steps":[]}\n', "")


def test_exception_in_decision_module_becomes_a_fault_message() -> None:
    replies = exchange((20.0, [START, LIST]), (30.0, [["Query", 1, 11, "no such class", *QUERY[4:]]]))
    assert replies[1][0][:2] == ["InternalError", 1]
    assert "no such class" in replies[1][0][2]


def test_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    code = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    assert len(code) == 1
    exec(code[0], {})
    assert capsys.readouterr().out.startswith("send request 1 to 10.0.0.")
