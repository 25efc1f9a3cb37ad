"""How a node shares out its descriptors; pure."""
from __future__ import annotations

from typing import NamedTuple

OWN = 24                 # the log, the reactor's own, discovery's two watches, the listener, some to spare
CLIENTS = 0.6            # of the rest; clients hold at most a third of all for requests


class Shares(NamedTuple):
    clients: int             # connections of clients
    engines: int             # connections to engines
    idle: int                # of these, idle ones that are kept
    jobs: int                # open at once: each may hold a connection on both sides


def shares(sockets: int) -> Shares:
    """
    >>> shares(512)
    Shares(clients=292, engines=196, idle=49, jobs=147)
    """
    rest = max(8, sockets - OWN)
    clients = int(rest * CLIENTS)
    engines = rest - clients
    return Shares(clients, engines, engines // 4, engines * 3 // 4)
