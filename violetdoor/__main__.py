"""Start one relay."""

import argparse
import logging
import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

import uvloop

from violetdoor.config import Config, ConfigError, from_operator, from_platform, listen_text
from violetdoor.handover import Inherited, inherit, place
from violetdoor.net.logs import Limit
from violetdoor.program import Program


async def serve(
    config: Config, reread: Callable[[], Config], limit: Limit, meet: Path | None, inherited: Inherited | None
) -> None:
    """Run one relay from start to exit."""
    await Program(config, reread, limit, meet, inherited).run()


def main() -> int:
    """Run until told to stop; what does not read or start is one plain line and a status of 2."""
    parser = argparse.ArgumentParser(prog="violetdoor", description="A relay for long-lived connections.")
    parser.add_argument("--config", type=Path, help="an operator's TOML file for the NATS front")
    path = parser.parse_args().config
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
        read = partial(from_platform, inherited=held) if path is None else partial(from_operator, path)
        reread = partial(from_platform, again=True) if path is None else read
        uvloop.run(serve(read(), reread, limit, meet, inherited))
    except ConfigError as err:
        print(f"violetdoor: {err}", file=sys.stderr)
        return 2
    except OSError as err:
        print(f"violetdoor: it cannot serve: {err}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
