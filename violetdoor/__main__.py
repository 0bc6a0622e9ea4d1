"""Start one relay, or carry out a command."""

from __future__ import annotations

import logging
import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from violetdoor.config import Config, ConfigError, from_operator, from_platform, listen_text, with_rules
from violetdoor.handover import Inherited, inherit, place
from violetdoor.net.logs import Limit
from violetdoor.program import Program

if TYPE_CHECKING:
    from violetdoor.rules.source import Compiled


async def serve(
    config: Config, reread: Callable[[], Config], limit: Limit, meet: Path | None,
    inherited: Inherited | None, adopt: Callable[[bytes], Config], compiled: Compiled | None,
) -> None:  # fmt: skip
    """Run one relay from start to exit."""
    await Program(config, reread, limit, meet, inherited, adopt, compiled).run()


def begin(path: Path | None) -> int:
    """Run until told to stop; what does not read or start is one plain line and a status of 2."""
    # Guards against an end by a SIGHUP that comes before the loop handles it: it stays pending until then.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    handler, limit = logging.StreamHandler(), Limit()
    handler.addFilter(limit)
    form = "%(asctime)s %(levelname)s %(name)s %(message)s"
    logging.basicConfig(level=logging.INFO, format=form, handlers=[handler])
    try:
        meet = place(listen_text(path))
        inherited = inherit(meet) if meet else None
        held = str(inherited.state.get("config", "")).encode() if inherited else b""
        if path is None:
            config, reread = from_platform(inherited=held), partial(from_platform, again=True)
        else:
            config, reread = from_operator(path, inherited=held), partial(from_operator, path, again=True)
        compiled = None
        if config.rules is not None:
            compiled = _compiled(config)
            config = with_rules(config, compiled.source)

        def adopt(raw: bytes) -> Config:
            return from_platform(inherited=raw) if path is None else from_operator(path, True, raw)

        uvloop.run(serve(config, reread, limit, meet, inherited, adopt, compiled))
    except ConfigError as err:
        print(f"violetdoor: {err}", file=sys.stderr)
        return 2
    except OSError as err:
        print(f"violetdoor: it cannot serve: {err}", file=sys.stderr)
        return 2
    return 0


def _compiled(config: Config) -> Compiled:
    """The rules to begin with; ConfigError with the first fault and the number of the others."""
    from violetdoor.rules.source import RulesFaultError, compile_now

    assert config.rules is not None
    try:
        return compile_now(config.rules)
    except RulesFaultError as err:
        first, *more = str(err).splitlines()
        others = f" (and {len(more)} more: violetdoor config check)" if more else ""
        raise ConfigError(first + others) from err


def main() -> int:
    """Start a relay as the platform does, without any command; else see what is asked for."""
    match sys.argv[1:]:
        case []:
            return begin(None)
        case ["--config", path]:
            return begin(Path(path))
    from violetdoor.cli import run  # the commands' libraries are loaded for commands only

    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
