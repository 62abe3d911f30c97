"""Entry point of `python -m sassafrasstile`."""

from sassafrasstile import commands

if __name__ == "__main__":
    commands.main()
