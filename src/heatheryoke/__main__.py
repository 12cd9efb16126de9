"""Run the command line with `python -m heatheryoke`."""

from heatheryoke.cli import main

__all__: list[str] = []

if __name__ == "__main__":
    main()
