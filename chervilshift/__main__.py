"""Entry point of the executable."""

from chervilshift import hangup

__all__ = ["run"]


def run() -> None:
    """Defer SIGHUP, then import and run the command line."""
    hangup.defer_sighup()
    from chervilshift.cmdline import main

    main()


if __name__ == "__main__":
    run()
