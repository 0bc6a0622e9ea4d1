"""The program that compiles rules: `python -m violetdoor.rules.worker`.

Reads a RulesSource as JSON from standard input and writes a WorkerOutput to standard output. If the rules are
invalid, it writes one line for each fault to standard error and exits with status 2.
"""

from __future__ import annotations

import marshal
import sys
from pathlib import Path
from typing import NamedTuple

import orjson

from violetdoor.match.faults import RulesError
from violetdoor.match.load import Loaded, Loader
from violetdoor.rules.schemas import schema_of
from violetdoor.rules.set_files import SetFileReader
from violetdoor.rules.source import EXIT_INVALID_RULES, RulesSource, WorkerOutput


class CompiledSource(NamedTuple):
    """Compiled rules and the texts of the set files that were read for them, by name."""

    loaded: Loaded
    files: dict[str, str]


def compile_source(source: RulesSource) -> CompiledSource:
    """Compile a source in this process; raises RulesError with all faults."""
    reader = SetFileReader(Path(source.folder), source.files)
    loader = Loader(
        schema_of(source.front),
        source.classes or None,
        source.limit_us,
        reader,
        source.file,
        source.line,
        source.column,
    )
    return CompiledSource(loader.load(source.text), reader.files)


def main() -> int:
    """Compile the source from standard input; return the exit status."""
    fields = orjson.loads(sys.stdin.buffer.read())
    fields["classes"] = tuple(fields["classes"])
    try:
        compiled = compile_source(RulesSource(**fields))
    except RulesError as err:
        print(err, file=sys.stderr)
        return EXIT_INVALID_RULES
    output: WorkerOutput = {"data": compiled.loaded.data, "files": compiled.files}
    sys.stdout.buffer.write(marshal.dumps(dict(output)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
