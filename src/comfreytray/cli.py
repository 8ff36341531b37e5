"""The command line."""


def main() -> None:
    """Run the command line."""
    raise SystemExit(2)
