"""Division of the node's file descriptors and memory between their uses, without I/O."""

from __future__ import annotations

from typing import NamedTuple

RESERVED_SOCKETS = 24  # for log, reactor, two discovery watches, listener, and a margin
CLIENT_FRACTION = 0.6  # of the remaining descriptors
REQUEST_FRACTION = 0.75  # of those for engines; the rest is for releases and health checks
DEFAULT_MEMORY_BYTES = 2**28  # if the configuration has no limit
MIN_FREE_BYTES = 2**23  # assumed where the process uses nearly all of its memory at its start
CLIENT_BUFFER_FRACTION = 0.2  # of the free memory: a body may be received, encoded and unsent at once
ENGINE_BUFFER_FRACTION = 0.1


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


class BufferShares(NamedTuple):
    """The limits that follow from the memory, in bytes of all connections of a kind together."""

    clients: int  # requests that have no answer yet
    engines: int  # replies and events that are not complete


def buffer_shares(memory_bytes: float, used_bytes: int) -> BufferShares:
    """Returns the shares of the memory that a process that uses `used_bytes` has left.

    Args:
        memory_bytes: the limit of the process's memory; 0: none is given.
        used_bytes: what the process uses before its first request.

    >>> buffer_shares(128 * 2**20, 28 * 2**20)
    BufferShares(clients=20971520, engines=10485760)
    """
    free_bytes = max(MIN_FREE_BYTES, (memory_bytes or DEFAULT_MEMORY_BYTES) - used_bytes)
    return BufferShares(int(free_bytes * CLIENT_BUFFER_FRACTION), int(free_bytes * ENGINE_BUFFER_FRACTION))
