"""Division of the node's file descriptors between their uses, without I/O."""

from __future__ import annotations

from typing import NamedTuple

RESERVED_SOCKETS = 24  # for log, reactor, two discovery watches, listener, and a margin
CLIENT_FRACTION = 0.6  # of the remaining descriptors
REQUEST_FRACTION = 0.75  # of those for engines; the rest is for releases and health checks


class Shares(NamedTuple):
    """The limits that follow from the file descriptors for each use."""

    clients: int  # client connections
    requests: int  # open requests, each of which may use a connection on both sides


def shares(sockets: int) -> Shares:
    """Returns the shares of `sockets` file descriptors.

    >>> shares(512)
    Shares(clients=292, requests=147)
    """
    available = max(8, sockets - RESERVED_SOCKETS)
    clients = int(available * CLIENT_FRACTION)
    return Shares(clients, int((available - clients) * REQUEST_FRACTION))
