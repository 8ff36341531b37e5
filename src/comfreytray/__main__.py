"""Run the command line as `python -m comfreytray`."""

from comfreytray.cli import main

if __name__ == "__main__":
    main()
