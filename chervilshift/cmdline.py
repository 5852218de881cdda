"""The command line.

Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid configuration or
settings, 4 conflict with another configuration change, 5 process unreachable,
6 configuration version not in force within the timeout.
"""

import sys
from collections.abc import Callable

import fire
from absl import logging

from chervilshift import errors
from chervilshift.commands.routed import RoutedCommands
from chervilshift.errors import Failure

__all__ = ["main"]

PROGRAM_NAME = "chervilshift"
EXIT_FAILED = 1
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_UNREACHABLE = 5
EXIT_TIMEOUT = 6
EXIT_CODES = {
    errors.ConfigRefused: EXIT_INVALID,
    errors.SettingsRefused: EXIT_INVALID,
    errors.ConfigConflict: EXIT_CONFLICT,
    errors.PeerUnreachable: EXIT_UNREACHABLE,
    errors.NotInTime: EXIT_TIMEOUT,
}
ROUTED_GROUP = "routed"


def main() -> None:
    """Run the command that the arguments name."""
    _run_command(_run_routed if sys.argv[1:2] == [ROUTED_GROUP] else _run_any)


def _run_routed() -> None:
    """Run a `routed` command without importing the other commands."""
    fire.Fire(
        RoutedCommands(),
        command=sys.argv[2:],
        name=f"{PROGRAM_NAME} {ROUTED_GROUP}",
    )


def _run_any() -> None:
    """Run a command of any group."""
    from chervilshift.commands.top import Commands

    fire.Fire(Commands(), name=PROGRAM_NAME)


def _run_command(command: Callable[[], object]) -> None:
    try:
        command()
    except Failure as exc:
        print(f"{exc.name}: {exc}\n{exc.remedy}", file=sys.stderr)
        codes = (
            code
            for failure_type, code in EXIT_CODES.items()
            if isinstance(exc, failure_type)
        )
        sys.exit(next(codes, EXIT_FAILED))
    except BrokenPipeError:
        # The reader of the output, such as `head`, has closed the pipe.
        sys.exit(EXIT_FAILED)


# Log level of the commands that don't call `logs.setup`.
logging.set_verbosity(logging.WARNING)
