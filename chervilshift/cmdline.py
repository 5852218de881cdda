"""The command line.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 configuration or settings
refused, 4 another change won, 5 no answer, 6 not in force in time.
"""

import sys
from collections.abc import Callable

import fire
from absl import logging

from chervilshift import errors
from chervilshift.commands.routed import RoutedCommands
from chervilshift.errors import Failure

__all__ = ["main"]

NAME = "chervilshift"
EXIT_FAILED = 1
EXIT_REFUSED = 3
EXIT_CONFLICT = 4
EXIT_NO_ANSWER = 5
EXIT_NOT_IN_TIME = 6
EXIT_CODES = {
    errors.ConfigRefused: EXIT_REFUSED,
    errors.SettingsRefused: EXIT_REFUSED,
    errors.ConfigConflict: EXIT_CONFLICT,
    errors.PeerUnreachable: EXIT_NO_ANSWER,
    errors.NotInTime: EXIT_NOT_IN_TIME,
}
ROUTED = "routed"


def main() -> None:
    """Run the command that the arguments name."""
    _run(_routed if sys.argv[1:2] == [ROUTED] else _any)


def _routed() -> None:
    """Run a command of routed traffic; the others are not imported."""
    fire.Fire(RoutedCommands(), command=sys.argv[2:], name=f"{NAME} {ROUTED}")


def _any() -> None:
    from chervilshift.commands.top import Commands

    fire.Fire(Commands(), name=NAME)


def _run(command: Callable[[], object]) -> None:
    try:
        command()
    except Failure as exc:
        print(f"{exc.name}: {exc}\n{exc.remedy}", file=sys.stderr)
        codes = (
            code for kind, code in EXIT_CODES.items() if isinstance(exc, kind)
        )
        sys.exit(next(codes, EXIT_FAILED))
    except BrokenPipeError:
        sys.exit(EXIT_FAILED)


logging.set_verbosity(logging.WARNING)
