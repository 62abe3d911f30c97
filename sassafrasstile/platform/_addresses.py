"""Parses settings files and addresses; it imports little."""

import re

import yaml

# The loader in C, where the library was built with it.
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_PORT = re.compile(r"[0-9]{1,5}")


def split_address(address: str) -> tuple[str, int]:
    """Splits `HOST:PORT`.

    Raises:
        ValueError: The address has another form.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    if not host or not _PORT.fullmatch(port):
        raise ValueError(f"address is {address[:80]!r}; expected HOST:PORT")
    return host, int(port)
