"""Hashes numbers; every node computes the same values."""

from __future__ import annotations

from collections.abc import Iterable

MODULUS = 2**64


def mix(a: int, b: int) -> int:
    """Hashes two numbers into one, the same on every node.

    >>> mix(1, 2) == mix(1, 2) != mix(2, 1) and len({mix(number, 0) for number in range(100)}) == 100
    True
    """
    a = (a + b * 0x9E3779B97F4A7C15) % MODULUS
    for factor in (0xBF58476D1CE4E5B9, 0x94D049BB133111EB):
        a = (a ^ a >> 30) * factor % MODULUS
    return a ^ a >> 31


def hash_score(key: int, key_hash: int) -> float:
    """Returns a score between 0 and 1, both exclusive, from two hashed numbers, for rendezvous hashing."""
    return (((key ^ key_hash) * 0xD6E8FEB86659FD93 % MODULUS >> 11) + 0.5) / 2**53


def hash_scores(key: int, key_hashes: Iterable[int]) -> list[float]:
    """Returns the `hash_score` of one key with each of the hashes.

    >>> hash_scores(7, [3, 4]) == [hash_score(7, 3), hash_score(7, 4)]
    True
    """
    return [
        (((key ^ key_hash) * 0xD6E8FEB86659FD93 % MODULUS >> 11) + 0.5) / 2**53 for key_hash in key_hashes
    ]
