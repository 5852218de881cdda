"""Start the command line."""

from chervilshift import hangup

__all__ = ["run"]


def run() -> None:
    """Hold SIGHUP, then import and run what the arguments name."""
    hangup.hold()
    from chervilshift.cmdline import main

    main()


if __name__ == "__main__":
    run()
