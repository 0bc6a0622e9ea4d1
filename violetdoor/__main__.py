"""Start one relay."""

import argparse
import logging
import sys
from pathlib import Path

import uvloop

from violetdoor.config import Config, ConfigError, from_operator, from_platform
from violetdoor.program import Program


async def serve(config: Config) -> None:
    """Run one relay from start to exit."""
    await Program(config).run()


def main() -> int:
    """Run until told to stop; what does not read or start is one plain line and a status of 2."""
    parser = argparse.ArgumentParser(prog="violetdoor", description="A relay for long-lived connections.")
    parser.add_argument("--config", type=Path, help="an operator's TOML file for the NATS front")
    path = parser.parse_args().config
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s")
    try:
        config = from_platform() if path is None else from_operator(path)
        uvloop.run(serve(config))
    except ConfigError as err:
        print(f"violetdoor: {err}", file=sys.stderr)
        return 2
    except OSError as err:
        print(f"violetdoor: it cannot serve: {err}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
