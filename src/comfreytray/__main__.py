"""Run the command line as `python -m comfreytray`."""

from comfreytray.commands.cli import main

if __name__ == "__main__":
    main()
