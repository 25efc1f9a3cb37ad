"""Pinned bytes of every message and stored record, and a pinned trace of decisions."""
