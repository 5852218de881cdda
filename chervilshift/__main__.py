"""Start the command line."""

from chervilshift.cmdline import main

if __name__ == "__main__":
    main()
