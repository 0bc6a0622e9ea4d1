"""Start one relay, or run a command."""

from __future__ import annotations

import sys
from pathlib import Path


def main() -> int:
    """Start a relay without arguments or with `--config FILE` alone; otherwise run a command."""
    match sys.argv[1:]:
        case []:
            path = None
        case ["--config", named]:
            path = Path(named)
        case args:
            from violetdoor.cli import run  # the commands' libraries are loaded for commands only

            return run(args)
    from violetdoor.serve import serve

    return serve(path)


if __name__ == "__main__":
    sys.exit(main())
