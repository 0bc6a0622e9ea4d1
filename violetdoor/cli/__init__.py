"""The command line: all commands of operators; a relay also starts without it."""

from __future__ import annotations


def run(args: list[str]) -> int:
    """Run one command and return its exit status.

    0: done; 1: the answer is no; 2: wrong usage or unreadable input.
    """
    import click

    from violetdoor.cli.commands import cli

    try:
        result = cli.main(args, prog_name="violetdoor", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return 2
    except (click.Abort, KeyboardInterrupt):
        return 2
    return result if isinstance(result, int) else 0
