"""Opens the callers' port before the rest of the program is imported.

Callers that arrive meanwhile wait in the port's queue. Otherwise their
connections would be refused, and after a loss of power all gateways start at
the same time.
"""

import os
import socket

import yaml

from sassafrasstile.platform import _addresses
from sassafrasstile.platform import _names

_BACKLOG = 511


def open_listener() -> socket.socket | None:
    """Returns a socket that listens at the address of the settings.

    Returns:
        The socket, or None if the settings or the address can't be used. The
        gateway then reports the reason when it reads or opens them itself.
    """
    path = os.environ.get(_names.SETTINGS_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as file:
            settings = yaml.load(file, Loader=_addresses.LOADER)
        address = _addresses.split_address(settings["listen"]["frontend"])
        return _listen(address)
    except (OSError, yaml.YAMLError, KeyError, TypeError, ValueError):
        return None


def _listen(address: tuple[str, int]) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
