"""How a node divides its file descriptors. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple

RESERVED_SOCKETS = 24  # for the log, the reactor, two watches on discovery, the listener, and a margin
CLIENT_FRACTION = 0.6  # of the rest
REQUEST_FRACTION = 0.75  # of what is left for engines; the others are for releases and health checks


class Shares(NamedTuple):
    """The file descriptors for each use."""

    clients: int  # connections of clients
    requests: int  # open at once: each may hold a connection on both sides


def shares(sockets: int) -> Shares:
    """Divides `sockets` file descriptors.

    >>> shares(512)
    Shares(clients=292, requests=147)
    """
    available = max(8, sockets - RESERVED_SOCKETS)
    clients = int(available * CLIENT_FRACTION)
    return Shares(clients, int((available - clients) * REQUEST_FRACTION))
