"""Start one relay."""

import logging
import sys

import uvloop

from violetdoor.config import ConfigError, from_platform
from violetdoor.program import Program


def main() -> int:
    """Run until told to stop; a bad configuration is one plain line and a status of 2."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s")
    try:
        config = from_platform()
    except ConfigError as err:
        print(f"violetdoor: {err}", file=sys.stderr)
        return 2
    uvloop.run(Program(config).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
