"""How a node shares out its descriptors; pure."""

from __future__ import annotations

from typing import NamedTuple

OWN = 24  # the log, the reactor's own, discovery's two watches, the listener, some to spare
CLIENTS = 0.6  # of the rest; clients hold at most a third of all for requests


class Shares(NamedTuple):
    clients: int  # connections of clients
    requests: int  # open at once: each may hold a connection on both sides


def shares(sockets: int) -> Shares:
    """
    >>> shares(512)
    Shares(clients=292, requests=147)
    """
    rest = max(8, sockets - OWN)
    clients = int(rest * CLIENTS)
    return Shares(clients, (rest - clients) * 3 // 4)  # the others are for releases and probes
