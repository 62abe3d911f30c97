"""Runs the command line with `python -m sassafrasstile`."""

from sassafrasstile import commands

if __name__ == "__main__":
    commands.main()
